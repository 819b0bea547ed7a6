// What a job asks for and how far it is. Plain data and pure functions: no clock, no sockets.
//
// Index of this file
// [SECTION] ResourceSet
// [SECTION] Specification
// [SECTION] Progress
// [SECTION] Queries

#pragma once

#include "base/base.h"

#include <map>

namespace peridotwalk {

//-----------------------------------------------------------------------------
// [SECTION] ResourceSet
//-----------------------------------------------------------------------------

struct ResourceSet {
    std::int64_t cpu = 0; // Thousandths of a core.
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;

    auto operator==(const ResourceSet &) const -> bool = default;
    auto operator+=(const ResourceSet &other) -> ResourceSet &;
    auto operator-=(const ResourceSet &other) -> ResourceSet &;
    auto fits(const ResourceSet &room) const -> bool; // Every component.
};

//-----------------------------------------------------------------------------
// [SECTION] Specification
//-----------------------------------------------------------------------------

struct StepSpec {
    std::int64_t              count = 1; // Tasks.
    ResourceSet               need;      // Of each task.
    TimeMs                    estimateMs = 0;
    std::vector<std::int64_t> after;               // Earlier steps that have to be done first.
    std::string               requiredLabel;       // Empty: any worker.
    std::string               preferredRack;       // Where the data is. Empty: anywhere.
    std::string               image;               // Tasks of one image behave alike.
    std::int64_t              maxPerWorker = 0;    // 0: no limit.
    std::int64_t              maxUnavailable = 0;  // Tasks we may take away at once. 0: no budget.
    TimeMs                    latencyTargetMs = 0; // Of a serving task's own users. 0: none.
    bool                      isGang = false;      // All tasks start and end together.
    bool                      isSameRack = false;
    bool                      isSpeculative = false;
    bool                      isUnbounded = false; // Runs until cancelled.
    bool                      isFiller = false;    // Its cpu isn't counted against a worker.
    bool                      isCheckpointing = false;
};

struct JobSpec {
    std::string           id;
    std::string           queue;   // Name of the route that it came by.
    std::string           pool;    // Whose workers run it.
    std::string           tenant;  // Empty on queues open to all.
    std::string           payload; // Passed to each task as it came.
    std::vector<StepSpec> steps;
    std::int64_t          occurrences = 0; // 0: runs once, at once.
    std::int64_t          startAtMs = 0;   // Wall clock, of occurrence 0.
    TimeMs                intervalMs = 0;
};

constexpr std::int64_t kMaxTasksPerStep = 10'000;
constexpr std::size_t  kMaxSteps = 256;
constexpr std::int64_t kMaxOccurrences = 100'000;

// Returns what is wrong with a specification, or ok.
auto checkJob(const JobSpec &spec) -> absl::Status;

//-----------------------------------------------------------------------------
// [SECTION] Progress
//-----------------------------------------------------------------------------

struct TaskRef {
    std::string  job;
    std::int64_t occurrence = 0;
    std::int64_t step = 0;
    std::int64_t index = 0;

    auto operator==(const TaskRef &) const -> bool = default;
    auto operator<(const TaskRef &other) const -> bool;
};

enum class RunPhase {
    None,      // Nothing of this task is on a worker.
    Recording, // Chosen, the order waits until the journal has it.
    Starting,  // The order left, no answer yet.
    Running,   // The worker confirmed it.
    Stopping,  // A stop is under way; the room is still taken.
    Unknown,   // Recorded by a former owner; the worker hasn't been asked yet.
};

enum class RunEnd { Done, Failed, Stopped, LeaseExpired, Broken, Alone };

struct JobTask {
    std::int64_t run = 0;      // Number of the last start. Rises.
    std::int64_t endedRun = 0; // Highest run known to be over.
    std::int64_t failures = 0;
    bool         isDone = false;
    std::string  checkpoint;
    std::string  worker; // Of the live run. Empty: none.
    RunPhase     phase = RunPhase::None;
    TimeMs       changedAt = 0; // Monotonic, of the last change of phase.

    auto isLive() const -> bool { return phase != RunPhase::None; }
};

enum class JobState { Queued, Running, Completed, Failed, Cancelled };

struct Occurrence {
    std::vector<std::vector<JobTask>> steps; // By step and index.
};

struct Job {
    JobSpec                            spec;
    std::int64_t                       acceptedAtMs = 0; // Wall clock.
    JobState                           state = JobState::Queued;
    std::map<std::int64_t, Occurrence> occurrences; // Made when due.
    std::int64_t                       doneOccurrences = 0;

    auto isOver() const -> bool { return state >= JobState::Completed; }
};

//-----------------------------------------------------------------------------
// [SECTION] Queries
//-----------------------------------------------------------------------------

auto stateName(JobState state) -> std::string_view;
auto occurrenceCount(const JobSpec &spec) -> std::int64_t; // 1 for jobs without occurrences.

// Returns when an occurrence may start, on the wall clock. 0: at once.
auto occurrenceDueMs(const JobSpec &spec, std::int64_t occurrence) -> std::int64_t;

auto makeOccurrence(const JobSpec &spec) -> Occurrence;
auto isStepDone(const Occurrence &occurrence, std::int64_t step) -> bool;
auto isStepReady(const JobSpec &spec, const Occurrence &occurrence, std::int64_t step) -> bool;
auto isOccurrenceDone(const Occurrence &occurrence) -> bool;

// Returns the task, or nullptr if the reference names none that was made.
auto findTask(Job &job, const TaskRef &ref) -> JobTask *;

// Returns core-milliseconds of the tasks that aren't done, by their estimates.
auto remainingWork(const JobSpec &spec, const Occurrence &occurrence) -> std::int64_t;

} // namespace peridotwalk
