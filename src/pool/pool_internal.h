// State of a pool's scheduler. Only for the sources of this library.
//
// Index of this file
// [SECTION] Workers
// [SECTION] Batches
// [SECTION] Scheduler state

#pragma once

#include "pool/pool.h"

#include <deque>

namespace peridotwalk {

//-----------------------------------------------------------------------------
// [SECTION] Workers
//-----------------------------------------------------------------------------

// A run that takes room on a worker, from its choice until it is known to be over.
struct RunState {
    std::int64_t run = 0;
    ResourceSet  need;                // As counted against the worker.
    bool         isSent = false;      // The order left at least once.
    bool         isConfirmed = false; // The worker has it.
    TimeMs       confirmedAt = 0;
    bool         isRestored = false; // Known from the journal only.
    bool         isStopping = false;
    bool         isStopAnswered = false; // Nothing of this run starts any more.
    TimeMs       stopAnsweredAt = 0;
    bool         isOrderOut = false; // An order for it waits for its answer.
    TimeMs       retryAt = 0;
    int          attempts = 0;
    std::int64_t percent = 0; // At work, as last listed.
    std::int64_t usage = 0;   // As last listed.
    std::int64_t pace = 100;  // As last ordered.
};

struct Worker {
    WorkerPeer                  peer;
    WorkerReport                report;
    bool                        isListed = false;
    bool                        isCordoned = false;
    bool                        isAsked = false; // Answered a hold under our token.
    bool                        isHoldOut = false;
    ResourceSet                 used;
    std::int64_t                lastingTasks = 0; // Of the runs. Kept in step with them, since
    std::int64_t                servingTasks = 0; // counting anew for each placement is dear.
    std::map<TaskRef, RunState> runs;
    std::int64_t                startedAtMs = -1;
    std::int64_t                seenEnd = 0;      // Highest end read in this life.
    std::int64_t                recordedEnd = 0;  // Highest end that the journal has.
    TimeMs                      clockMs = 0;      // Last told by the worker, at
    TimeMs                      clockAt = 0;      // this moment of ours.
    TimeMs                      leaseUntilMs = 0; // Longest lease sent, on the worker's clock.
    TimeMs                      nextHoldAt = 0;
    TimeMs                      lastHeldAt = 0;
    int                         holdFailures = 0;
    int                         failuresInRow = 0;
    TimeMs                      avoidUntil = 0;

    auto room() const -> ResourceSet;
};

//-----------------------------------------------------------------------------
// [SECTION] Batches
//-----------------------------------------------------------------------------

struct JobEntry {
    Job      job;
    JobState recorded = JobState::Queued;
    bool     isRecorded = false;
    TimeMs   explainAt = 0; // The next line on why it waits.
};

// What happens once the journal has a batch.
struct AnswerEffect {
    std::int64_t handle = 0;
    JobVerdict   verdict = JobVerdict::Accepted;
};
struct StartEffect {
    TaskRef      task;
    std::int64_t run = 0;
    std::string  worker;
};
struct AckEffect {
    std::string  worker;
    std::int64_t startedAtMs = 0;
    std::int64_t end = 0;
};
using Effect = std::variant<AnswerEffect, StartEffect, AckEffect>;

enum class HandOverStage { None, Due, Writing, Done };

struct Batch {
    std::vector<KeyedRecord>        records;
    std::map<std::string, JobState> states; // Of jobs in the batch.
    std::vector<Effect>             effects;
    TimeMs                          startedAt = 0;
    TimeMs                          retryAt = 0;
    bool                            isOut = false;
};

//-----------------------------------------------------------------------------
// [SECTION] Scheduler state
//-----------------------------------------------------------------------------

// What can still come of an occurrence. Better ones go first.
enum class Standing { OnTime, Late, Expired };

// A step whose tasks may start now.
struct ReadyStep {
    JobEntry    *entry = nullptr;
    std::int64_t occurrence = 0;
    std::int64_t step = 0;
    bool         isUnbounded = false;
    Standing     standing = Standing::OnTime;
    std::int64_t priority = 0;
    std::int64_t remaining = 0; // Core-milliseconds.
    std::int64_t dueMs = 0;
};

class PoolScheduler::State
{
public:
    State(PoolIdentity identity, const PoolSettings &settings, const FleetView &view);

    // Journal (journal.cpp)
    auto markChanged(const std::string &id) -> void { changed_.insert(id); }
    auto after(Effect effect) -> void { effects_.push_back(std::move(effect)); }
    auto flush(Moment now) -> void;
    auto onAppended(Moment now, std::int64_t sequence, CallOutcome outcome) -> void;
    auto isStalled(Moment now) const -> bool;
    auto makeHandOver(Moment now) const -> HandOver;

    // Jobs (jobs.cpp)
    auto restore(Moment now, JobTable &&jobs) -> void;
    auto submit(Moment now, std::int64_t handle, JobSpec spec) -> void;
    auto cancel(Moment now, std::int64_t handle, std::string_view id) -> void;
    auto endRun(Moment now, Worker &worker, const TaskRef &ref, std::int64_t run, RunEnd end,
                const std::string &checkpoint) -> void;
    auto finishJob(Moment now, JobEntry &entry, JobState state) -> void;
    auto updateJob(Moment now, JobEntry &entry) -> void;

    // Runs (runs.cpp)
    auto onViewChanged(Moment now) -> void;
    auto occupy(Worker &worker, const TaskRef &ref, const RunState &run) -> void;
    auto dispatch(Moment now, const StartEffect &effect) -> void;
    auto sendStart(Moment now, Worker &worker, const TaskRef &ref, RunState &run) -> void;
    auto requestStop(Moment now, Worker &worker, const TaskRef &ref) -> void;
    auto sendStop(Worker &worker, const TaskRef &ref, RunState &run) -> void;
    auto release(Worker &worker, const TaskRef &ref) -> void;
    auto abandon(Moment now, Worker &worker, const TaskRef &ref, std::string_view why) -> void;
    auto loseRuns(Moment now, Worker &worker, std::string_view why) -> void;
    auto answeringWorker(Moment now, const std::string &id, const TaskRef &ref, std::int64_t run,
                         const OrderReply &reply) -> Worker *;
    auto onStarted(Moment now, const SendStart &sent, const OrderReply &reply) -> void;
    auto onStopped(Moment now, const SendStop &sent, const OrderReply &reply) -> void;
    auto onHoldReply(Moment now, const SendHold &sent, const HoldReply &reply) -> void;
    auto readEnds(Moment now, Worker &worker, const HoldReply &reply) -> void;
    auto readRunning(Moment now, Worker &worker, const HoldReply &reply) -> std::set<TaskRef>;
    auto sendHold(Moment now, Worker &worker) -> void;
    auto tickWorker(Moment now, Worker &worker) -> void;
    auto controlPace(Worker &worker) -> void;
    auto extendLease(Moment now, Worker &worker) -> TimeMs;
    auto lapsedBy(const Worker &worker) const -> TimeMs;
    auto setClock(Moment now, Worker &worker, TimeMs clockMs) -> void;
    auto mayOrder(Moment now) const -> bool;
    auto isViewFresh(Moment now) const -> bool;
    auto isUsable(Moment now, const Worker &worker) const -> bool; // For new runs.
    auto mayStartOn(const Worker &worker) const -> bool;           // For runs already placed.

    // Placement (placement.cpp)
    auto schedule(Moment now) -> void;
    auto findReadySteps(Moment now) -> std::vector<ReadyStep>;
    auto placeStep(Moment now, const ReadyStep &step) -> void;
    auto placeGang(Moment now, const ReadyStep &step) -> void;
    auto chooseWorker(Moment now, const JobEntry &entry, const TaskRef &ref) -> Worker *;
    auto isAllowed(Moment now, const Worker &worker, const JobEntry &entry,
                   const TaskRef &ref) const -> bool;
    auto isHopeless(const JobEntry &entry, const TaskRef &ref) const -> bool;
    auto explainWait(Moment now, JobEntry &entry, const TaskRef &ref) -> void;
    auto reserveWorker(Moment now, const JobEntry &entry, const TaskRef &ref) -> void;
    auto reserve(Moment now, JobEntry &entry, const TaskRef &ref, Worker &worker) -> void;
    auto mayUse(const std::string &tenant, const ResourceSet &need) const -> bool;
    auto noteWaiting(const std::string &tenant, const StepSpec &step) -> void;

    // Directions of the coordinator (directions.cpp)
    auto applyDirection(Moment now, const PoolDirection &direction) -> void;
    auto report() const -> PoolReport;
    auto emptyCordoned(Moment now) -> void;
    auto mayTakeAway(Moment now, const TaskRef &ref) -> bool;

    auto queueOf(const JobEntry &entry) const -> const QueueRule *;
    auto note(std::string_view event, const TaskRef &task, std::int64_t run,
              const std::string &worker, std::string detail) -> void;

    PoolIdentity                                 identity_;
    PoolSettings                                 settings_;
    const FleetView                             &view_;
    TimeMs                                       termUntil_ = 0;
    TimeMs                                       ownedSince_ = 0;
    bool                                         isFenced_ = false;
    bool                                         needsSchedule_ = false;
    TimeMs                                       scheduleAt_ = 0; // Not before.
    std::int64_t                                 passes_ = 0;     // Rounds of placement.
    std::vector<ResourceSet>                     noRoom_;  // Needs that found none in this round.
    std::set<std::string>                        touched_; // Workers to look at in the next round.
    std::int64_t                                 nextDueMs_ = 0; // Wall clock, of an occurrence.
    std::map<std::string, JobEntry, std::less<>> jobs_;
    std::set<std::string>                        active_; // Jobs that aren't over.
    std::map<std::string, Worker, std::less<>>   workers_;
    std::map<std::string, ResourceSet>           tenantUsed_;
    std::map<std::string, ResourceSet>           tenantWanted_;
    std::map<std::string, ResourceSet>           tenantAsked_; // Of it, what the allowance covers.
    std::map<std::string, ResourceSet>           allowances_;
    std::map<std::string, TimeMs>                cordoned_;  // Since when.
    ResourceSet                                  wanted_;    // Of tasks that wait for room alone.
    std::set<std::string>                        reserved_;  // Workers kept for lasting tasks.
    std::set<std::string>                        changed_;   // Progress to record.
    std::set<std::string>                        submitted_; // Jobs to record.
    std::vector<Effect>                          effects_;
    std::optional<Batch>                         batch_; // Under way.
    std::int64_t                                 sequence_ = 0;
    std::optional<HandOver>                      note_; // Of the former owner.
    bool                                         isNoteDropped_ = false;
    HandOverStage                                handOver_ = HandOverStage::None;
    TimeMs                                       flushedAt_ = 0;
    std::vector<PoolAction>                      actions_;
};

// Returns what a task takes of a worker's room. Fillers use only cpu that others leave.
auto roomNeed(const StepSpec &step) -> ResourceSet;

auto stepOf(const JobEntry &entry, const TaskRef &ref) -> const StepSpec &;

// Returns whether the step's tasks serve users of their own, within a latency target.
inline auto isServing(const StepSpec &step) -> bool
{
    return step.latencyTargetMs > 0 && !step.isFiller;
}

} // namespace peridotwalk
