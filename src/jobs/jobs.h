// Specification and progress of jobs. Plain data and pure functions: no clock, no sockets.
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

constexpr std::int64_t kMaxWallMs = 100'000'000'000'000; // In the year 5138.
constexpr std::int64_t kMaxAmount = 1'000'000'000; // Keeps sums over 10,000 tasks inside 64 bits.

struct ResourceSet {
    std::int64_t cpu = 0; // Thousandths of a core.
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;

    auto operator==(const ResourceSet &) const -> bool = default;
    auto operator+=(const ResourceSet &other) -> ResourceSet &;
    auto operator-=(const ResourceSet &other) -> ResourceSet &;
    auto operator*(std::int64_t times) const -> ResourceSet;
    auto fits(const ResourceSet &free) const -> bool; // No component exceeds that of `free`.
    auto isInRange() const -> bool;                   // Each component is 0 to kMaxAmount.
};

//-----------------------------------------------------------------------------
// [SECTION] Specification
//-----------------------------------------------------------------------------

// A step: a number of identical tasks, started once the steps in `after` are done.
struct StepSpec {
    std::int64_t              count = 1;             // Number of tasks.
    ResourceSet               need;                  // Resources of each task.
    TimeMs                    estimateMs = 0;        // Expected run time of each task.
    std::vector<std::int64_t> after;                 // Indexes of steps to be done before.
    std::string               requiredLabel;         // Label of allowed workers. Empty: any worker.
    std::string               preferredRack;         // Rack of the data. Empty: no preference.
    std::string               image;                 // Tasks of one image behave alike.
    std::int64_t              maxPerWorker = 0;      // Tasks on one worker at a time. 0: no limit.
    std::int64_t              maxUnavailable = 0;    // Disruption budget, in tasks. 0 counts as 1.
    TimeMs                    latencyTargetMs = 0;   // For requests to its tasks. 0: not serving.
    bool                      isGang = false;        // All tasks start and end together.
    bool                      isSameRack = false;    // Of a gang: it runs faster in one rack.
    bool                      isSpeculative = false; // Recorded and logged only.
    bool                      isUnbounded = false;   // Tasks run until they are cancelled.
    bool                      isFiller = false;      // Tasks use idle cpu only; none is allocated.
    bool                      isCheckpointing = false; // Saves its progress when stopped.
};

struct JobSpec {
    std::string           id;
    std::string           queue;   // Name of the queue that it was submitted to.
    std::string           pool;    // Pool whose workers run it.
    std::string           tenant;  // Empty on queues that are open to all.
    std::string           payload; // Passed to each task unchanged.
    std::vector<StepSpec> steps;
    std::int64_t          occurrences = 0; // Scheduled repetitions. 0: runs once, immediately.
    std::int64_t          startAtMs = 0;   // When occurrence 0 is due, on the wall clock.
    TimeMs                intervalMs = 0;  // From one occurrence to the next.
    // Version of the rules that the job was accepted under. 0: not recorded.
    std::int64_t          rulesVersion = 0;
    // Of its queue, as last known: counts on if the queue is removed. 0: not recorded, so no maximum.
    std::int64_t          maxAttempts = 0;
};

constexpr std::int64_t kMaxTasksPerStep = 10'000;
// Of one occurrence. Checked when a job is submitted: a node keeps 10 MB of memory for that many.
constexpr std::int64_t kMaxTasksPerJob = 100'000;
constexpr std::size_t  kMaxSteps = 256;
constexpr std::int64_t kMaxOccurrences = 100'000;

// Returns ok, or an error that names what is invalid in a specification.
auto checkJob(const JobSpec &spec) -> absl::Status;

//-----------------------------------------------------------------------------
// [SECTION] Progress
//-----------------------------------------------------------------------------

// Identifies one task.
struct TaskRef {
    std::string  job;            // Id of the job.
    std::int64_t occurrence = 0; // Number of the occurrence, from 0.
    std::int64_t step = 0;       // Index in JobSpec::steps.
    std::int64_t index = 0;      // Index within the step.

    auto operator==(const TaskRef &) const -> bool = default;
    auto operator<(const TaskRef &other) const -> bool;
};

enum class RunPhase {
    None,      // The task has no live run.
    Recording, // Placed. The start order waits until the journal has the run.
    Starting,  // The start order was sent, and isn't confirmed yet.
    Running,   // The worker has confirmed the run.
    Stopping,  // A stop was requested. The run still occupies its worker.
    Unknown,   // Restored from the journal, and not yet seen in the worker's listing.
};

// How a run ended. Only Failed counts towards the maximum of attempts. LeaseExpired: the lease of its
// worker expired, or the worker lost the run. Broken: it ended because another member of its gang
// did. Alone: the other members of its gang didn't start in time.
enum class RunEnd { Done, Failed, Stopped, LeaseExpired, Broken, Alone };

struct JobTask {
    std::int64_t run = 0;      // Number of the last run. 0: none yet.
    std::int64_t endedRun = 0; // Highest number of a run that is over. 0: none.
    std::int64_t failures = 0; // Failed runs.
    bool         isDone = false;
    std::string  checkpoint; // Last one that a worker reported. Empty: none.
    std::string  worker;     // Worker of the live run. Empty: none.
    RunPhase     phase = RunPhase::None;
    TimeMs       changedAt = 0; // When the run was placed or confirmed, on the steady clock.

    auto isLive() const -> bool { return phase != RunPhase::None; }
};

enum class JobState { Queued, Running, Completed, Failed, Cancelled };

struct Occurrence {
    std::vector<std::vector<JobTask>> steps; // Tasks by step and index.
};

struct Job {
    JobSpec                            spec;
    std::int64_t                       acceptedAtMs = 0; // On the wall clock.
    JobState                           state = JobState::Queued;
    std::map<std::int64_t, Occurrence> occurrences;         // By number. Created when due.
    std::int64_t                       doneOccurrences = 0; // Stored, but never raised above 0.
    // Its progress is one record of an earlier version, however large, and has to be written anew.
    bool                               isUnsplit = false;

    auto isOver() const -> bool { return state >= JobState::Completed; }
};

//-----------------------------------------------------------------------------
// [SECTION] Queries
//-----------------------------------------------------------------------------

auto stateName(JobState state) -> std::string_view;
auto occurrenceCount(const JobSpec &spec) -> std::int64_t; // 1 for jobs that run once.
auto taskCount(const JobSpec &spec) -> std::int64_t;       // Of one occurrence.

// Returns when an occurrence may start, on the wall clock. 0: immediately.
auto occurrenceDueMs(const JobSpec &spec, std::int64_t occurrence) -> std::int64_t;

auto makeOccurrence(const JobSpec &spec) -> Occurrence;
auto isStepDone(const Occurrence &occurrence, std::int64_t step) -> bool;
auto isStepReady(const JobSpec &spec, const Occurrence &occurrence, std::int64_t step) -> bool;
auto isOccurrenceDone(const Occurrence &occurrence) -> bool;

// Returns the task, or nullptr if it doesn't exist or its occurrence wasn't created yet.
auto findTask(Job &job, const TaskRef &ref) -> JobTask *;

// Calls visit(TaskRef, JobTask &) for each task of the occurrences created so far.
template <typename Visit>
auto forEachTask(Job &job, const Visit &visit) -> void
{
    for (auto &[number, occurrence] : job.occurrences) {
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
            auto &tasks = occurrence.steps[step];
            for (std::size_t index = 0; index < tasks.size(); ++index) {
                visit(TaskRef{job.spec.id, number, static_cast<std::int64_t>(step),
                              static_cast<std::int64_t>(index)},
                      tasks[index]);
            }
        }
    }
}

// Returns the estimated work of all tasks that aren't done, in core-milliseconds.
auto remainingWork(const JobSpec &spec, const Occurrence &occurrence) -> std::int64_t;

} // namespace peridotwalk
