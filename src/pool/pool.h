// Schedules the jobs of one pool under one fencing token. Pure: no I/O and no clock; events and the
// time are passed in, and actions are returned for the caller to carry out. A pool has one owner at a
// time, which runs one scheduler; a new owner restores its own from the journal.
//
//   auto pool = PoolScheduler(identity, settings, view);
//   pool.restore(now, restoreJobs(records).jobs);
//   pool.submit(now, handle, spec);
//   for (auto &action : pool.takeActions()) { ... }
//
// Every change that must survive the owner is written to the journal first: a job before its caller is
// answered, a run before its start order is sent, an ended run before the worker may forget it. One
// append is in flight at a time; changes made meanwhile go into the next one.
//
// Index of this file
// [SECTION] Settings
// [SECTION] Fleet view
// [SECTION] Actions
// [SECTION] Explanations
// [SECTION] Scheduler

#pragma once

#include "coordinator/coordinator.h"
#include "journal/journal.h"

namespace peridotwalk {

//-----------------------------------------------------------------------------
// [SECTION] Settings
//-----------------------------------------------------------------------------

// A steady and a wall clock, read at the same time.
struct Moment {
    TimeMs       steadyMs = 0; // Monotonic. Advances while the machine is suspended.
    std::int64_t wallMs = 0;   // Since the Unix epoch.
};

// What a pool does while its workers are short. All off: jobs go by timeliness, size and age alone.
struct ContentionSettings {
    bool isOrderLearned =
        false; // Timeliness counts on learned run times, not on a part of the estimates.
    bool isShareByWeight = false; // Tenants share a pool's workers by their weights.
    bool hasAdmission =
        false; // A job that can't end while its result is of use is refused on arrival.
    bool isWaitForPlace =
        false;                // A task may wait for a worker near its data, or for its gang's rack.
    bool mayMoveRuns = false; // Runs leave workers that another pool waits for, where that pays.
    // Runs that wait for the journal count apart from those that wait for their workers, up to this many. 0: they
    // count together, see PoolSettings::maxUnconfirmedRuns.
    std::int64_t maxRecordingRuns = 0;
    double       farFactor =
        1; // Run time far from the data, or of a gang on several racks, as a multiple.
    TimeMs stopMs = 1'000;  // Longest time that a worker takes to stop a run.
    TimeMs restoreMs = 500; // From the start of a run with a checkpoint to its first progress.
};

struct PoolSettings {
    ContentionSettings contention;
    TimeMs             leaseMs = 6'000; // Length of a lease. Bounds work lost to silent workers.
    TimeMs maxLeaseMs = 10'000; // Workers cut longer leases to this; leaseMs is capped to it.
    TimeMs holdWaitMs = 1'000;  // Longest wait of a hold call for a run to end.
    TimeMs holdRetryMs = 250;   // Delay before the next hold after a failed one.
    // The same while starts without an answer may still reach the worker: its next incarnation has to be told a newer
    // token before they do.
    TimeMs urgentHoldRetryMs = 100;
    TimeMs orderRetryMs = 300; // Delay before a failed start or stop is sent again.
    // How long after its term an owner that can't reach the store still extends leases.
    TimeMs offlineExtensionMs = 3'000;
    // How long timed tasks on a cordoned worker may go on before they are stopped.
    TimeMs cordonGraceMs = 5'000;
    // Leases are extended and runs started only if workers' entries were read within this time. It
    // covers an owner's term plus the offline lease extension.
    TimeMs maxViewAgeMs = 5'500;
    TimeMs flushIntervalMs = 10;   // Least time between appends, so that changes are batched.
    TimeMs scheduleIntervalMs = 5; // Least time between placement rounds. Grows with the jobs.
    TimeMs refillIntervalMs = 5;   // Least time between refills. Grows with the steps that wait.
    // An owner whose ticks come this late is overloaded. It places nothing more until it has caught up with the
    // answers of workers, as leases of runs that it can't follow expire.
    TimeMs maxTickGapMs = 80;
    // Runs placed and not confirmed by their workers yet. An owner that is late with answers starts less, whatever
    // its backlog.
    std::int64_t maxUnconfirmedRuns = 512;
    // Ends of runs are fetched together if there are many: a worker is asked again 1 ms later per this many
    // runs of the pool, at most maxEndDelayMs later.
    int          runsPerEndDelayMs = 40;
    TimeMs       maxEndDelayMs = 80;
    // Limits of the store. A task's checkpoint that is too long for its record isn't kept.
    std::int64_t maxRecordBytes = 262'144;
    std::int64_t maxAppendBytes = 2'097'152;
    TimeMs       journalStallMs = 600;    // New jobs are refused while an append takes longer.
    TimeMs       workerBackoffMs = 3'000; // Backoff of a worker that failed several runs in a row.
    int          maxConsecutiveFailures = 3; // Failed runs in a row before a worker backs off.
    int          maxStartAttempts = 4;       // Unanswered start orders before the run is stopped.
    // Start orders that a worker hasn't answered yet. Further ones wait, so that they are decided on when they are sent.
    int          maxStartsInFlight = 4;
};

//-----------------------------------------------------------------------------
// [SECTION] Fleet view
//-----------------------------------------------------------------------------

// Operators' rules and workers' directory entries, as this node read them. Shared by all schedulers of
// a process.
struct FleetView {
    Catalog                             catalog;
    std::set<std::string>               pools; // Of any version since this node started.
    std::set<std::string>               evacuatedZones;
    std::map<std::string, WaveOrder>    waves;      // By name.
    std::map<std::string, WorkerReport> workers;    // Listed workers, by id.
    std::map<std::string, TimeMs>       removed;    // When a worker's entry was removed, by id.
    std::map<std::string, TimeMs>       restarted;  // When another start time was seen, by id.
    std::map<std::string, std::int64_t> startedAt;  // Last one of each, also if just removed.
    TimeMs                              readAt = 0; // When `workers` was last up to date. 0: never.

    auto addWorker(TimeMs now, const WorkerReport &report) -> void;
    auto removeWorker(TimeMs now, const std::string &id) -> void;
    auto forgetWorkers(TimeMs now)
        -> void; // Those that were removed so long ago that nothing of them matters.
    // Returns when the worker's entry was removed. Nothing: it is listed, or its entry was never seen
    // here, perhaps because this node lags behind.
    auto missingSince(const std::string &worker) const -> std::optional<TimeMs>;
};

//-----------------------------------------------------------------------------
// [SECTION] Actions
//-----------------------------------------------------------------------------

enum class JobVerdict {
    Accepted,  // The job is recorded.
    Cancelled, // The cancellation is recorded, or the job was over before.
    Missing,   // There is no such job.
    Refused,   // The job isn't recorded, and this call won't have it recorded later.
};

struct AppendJournal {
    std::int64_t             sequence = 0; // 1 for the owner's first append. A retry repeats it.
    std::vector<KeyedRecord> records;
};
struct AnswerCaller {
    std::int64_t handle = 0; // As passed to submit(), cancel() or another command with a handle.
    JobVerdict   verdict = JobVerdict::Refused;
    std::string  reason = {};      // Why the job was refused. Empty otherwise.
    TimeMs       retryAfterMs = 0; // When the caller may submit a refused job again.
};
struct SendStart {
    WorkerPeer worker;
    StartOrder order;
};
struct SendStop {
    WorkerPeer worker;
    StopOrder  order;
};
struct SendPace {
    WorkerPeer worker;
    PaceOrder  order;
};
struct SendHold {
    WorkerPeer worker;
    HoldOrder  order;
    TimeMs     sentAt = 0; // Steady clock of the owner.
};
// A log event about a decision on a run or a job.
struct LogRunEvent {
    std::string_view event;
    TaskRef          task;    // Only its job counts for events on a job.
    std::int64_t     run = 0; // 0: the event isn't about a run.
    std::string      worker;  // Empty: none was chosen.
    std::string      detail;  // What the decision was based on.
};

using PoolAction =
    std::variant<AppendJournal, AnswerCaller, SendStart, SendStop, SendPace, SendHold, LogRunEvent>;

//-----------------------------------------------------------------------------
// [SECTION] Explanations
//-----------------------------------------------------------------------------

// Whether the job would be accepted now, with the figures that this is based on.
struct AdmissionExplanation {
    bool        isAccepted = true;
    std::string reason = {};      // Why it would be refused. Empty: it wouldn't.
    TimeMs      retryAfterMs = 0; // As in AnswerCaller. 0: it wouldn't be refused.
    TimeMs      chainMs = 0;      // Estimated critical path of the job.
    TimeMs      objectiveMs = 0;  // Latency objective of the job. 0: its queue has no rule.
    // Expected from arrival to completion. Nothing: admission doesn't estimate it.
    std::optional<TimeMs> expectedMs;
    std::int64_t workAhead = 0; // Estimated work of waiting tasks that go first, in core-ms.
    std::int64_t usableCpu = 0; // Capacity of the usable workers.
};

// Where the first step of the job would stand among the steps that wait since the last placement round.
struct OrderExplanation {
    std::string_view timeliness; // "on time", "late" or "expired".
    std::int64_t     priority = 0;
    std::int64_t     stepsAhead = 0;
    std::int64_t     tasksAhead = 0; // Tasks of these steps that wait.
    std::int64_t     workAhead = 0;  // Their estimated work, in core-ms.
    std::int64_t     stepsBehind = 0;
};

// A worker that a task could be placed on now.
struct CandidateExplanation {
    std::string  worker;
    std::string  zone;
    std::string  rack;
    double       score = 0; // The highest wins.
    ResourceSet  free;
    std::int64_t tasks = 0;         // Tasks of the step that it has capacity for.
    TimeMs       answeredAgeMs = 0; // Since it last answered the owner. Idle workers aren't asked.
};

// Workers that a task can't be placed on now, for one reason.
struct ExclusionExplanation {
    std::string              reason;
    std::int64_t             workers = 0;
    std::vector<std::string> examples = {}; // A few of them.
};

// Whether a task would wait for a place, that is, for a worker near its data or for the rack of its gang.
struct PlaceExplanation {
    std::string rack = {};      // Rack of the data. Empty: no preference.
    bool        isNear = false; // The first candidate is in that rack, so there is one.
    bool        waits = false; // It would wait for a worker there rather than take another one now.
    // Expected completion near and far, and the end of the wait, from now. Nothing: not estimated.
    std::optional<TimeMs> nearMs;
    std::optional<TimeMs> farMs;
    std::optional<TimeMs> untilMs;
};

struct StepExplanation {
    std::int64_t                      step = 0; // Index in JobSpec::steps.
    std::int64_t                      tasks = 0;
    ResourceSet                       need;          // Capacity that a task occupies.
    std::int64_t                      placeable = 0; // Tasks that would be placed now.
    std::string                       waitsFor;      // What the others wait for. Empty: none waits.
    std::int64_t                      candidateCount = 0;
    std::vector<CandidateExplanation> candidates; // The first ones, by falling score.
    std::vector<ExclusionExplanation> exclusions;
    PlaceExplanation                  place;
};

// Where a job would be placed now: see PoolScheduler::explain().
struct JobExplanation {
    std::string                  pool;
    std::int64_t                 token = 0;   // Fencing token of the owner.
    std::int64_t                 jobs = 0;    // Jobs that aren't over.
    std::int64_t                 runs = 0;    // Runs that occupy workers.
    std::int64_t                 workers = 0; // Listed in this pool.
    std::int64_t                 rulesVersion = 0;
    std::string                  blockedBy; // Why the owner places nothing now. Empty: it does.
    AdmissionExplanation         admission;
    OrderExplanation             order;
    std::vector<StepExplanation> steps;          // Those that could start first.
    std::int64_t                 laterSteps = 0; // Not explained, as other steps go before them.
    // Ages of what this is based on. Nothing: there was none yet.
    TimeMs                termLeftMs = 0;   // Until the owner's term ends. Below 0: it has ended.
    TimeMs                workersAgeMs = 0; // Since workers' entries were up to date.
    std::optional<TimeMs> roundAgeMs;       // Since the last placement round.
    std::optional<TimeMs> directionAgeMs;   // Since the coordinator's last grants and cordons.
};

//-----------------------------------------------------------------------------
// [SECTION] Scheduler
//-----------------------------------------------------------------------------

// Jobs with timed tasks that wait for a worker, after the last placement round, by how they stand against their
// latency objectives.
struct WaitingJobs {
    std::int64_t onTime = 0;
    std::int64_t late = 0;
    std::int64_t expired = 0; // Their results are of no more use.
};

// What an owner did since it was last asked, and what holds its work back now. Tells a lack of workers from a
// limit of the owner itself.
struct PoolActivity {
    std::int64_t placed = 0;       // Tasks placed.
    std::int64_t rounds = 0;       // Placement rounds.
    std::int64_t ended = 0;        // Ends of runs read.
    std::int64_t waiting = 0;      // Ready tasks without a run, in the last round.
    std::int64_t ownerLimited = 0; // Part of them that waits for the owner, not for workers.
    std::int64_t unconfirmed = 0;  // Runs placed and not confirmed by their workers yet.
    std::int64_t recording = 0;    // Part of them that waits for the journal.
    WaitingJobs  waitingJobs;
    TimeMs       maxTickGapMs = 0; // Longest time between two ticks.
    std::int64_t runsMoved = 0; // Stopped on workers that another pool waits for, to run elsewhere.
    std::int64_t freedCoreMs = 0; // Core time of those workers that this frees, as expected.
    std::int64_t placeWaits =
        0; // Tasks that began to wait for a place near their data or their gang.
    std::int64_t placedNear = 0;       // Tasks whose wait ended: they were placed near,
    std::int64_t placedFar = 0;        // far, as waiting was no longer worthwhile,
    std::int64_t placedByDeadline = 0; // or far at the end of the longest wait.
};

struct PoolIdentity {
    std::string  pool;
    std::int64_t token = 0; // Fencing token of this owner. Higher ones are newer.
};

class PoolScheduler
{
public:
    PoolScheduler(PoolIdentity identity, const PoolSettings &settings, const FleetView &view);
    ~PoolScheduler();
    PoolScheduler(const PoolScheduler &) = delete;
    auto operator=(const PoolScheduler &) -> PoolScheduler & = delete;

    // Commands.
    // `previous`: the handover record of the previous owner. Nothing if it wrote none.
    auto restore(Moment now, JobTable jobs, std::optional<Handover> previous = std::nullopt,
                 const QueueHomes &homes = {}, const EarlyCancels &cancels = {}) -> void;
    auto beginHandover(Moment now) -> void; // Stops deciding and appends the handover record.
    auto setTerm(TimeMs untilMs) -> void;   // End of ownership, steady clock. Nothing starts later.
    // submit() to confirmOwnership() are answered by an AnswerCaller action with the same handle.
    auto submit(Moment now, std::int64_t handle, JobSpec spec) -> void;
    // `queue` is that of the call, for a job whose submission hasn't arrived.
    auto cancel(Moment now, std::int64_t handle, std::string_view id, std::string_view queue = {})
        -> void;
    // Makes this pool the home of a queue, once all other pools have released it, and ends that.
    auto adoptQueue(std::int64_t handle, const std::string &queue, QueueHome home) -> void;
    auto releaseQueue(std::int64_t handle, const std::string &queue) -> void;
    // Accepted once the journal has taken an append that was begun after this call, so that no newer owner had
    // accepted a job before it. Refused at once while the journal can't be written.
    auto confirmOwnership(Moment now, std::int64_t handle) -> void;
    auto onViewChanged(Moment now) -> void; // After each change of the fleet view.
    // onAppended() to onHoldReply(): results of actions.
    auto onAppended(Moment now, std::int64_t sequence, CallOutcome outcome) -> void;
    auto onStarted(Moment now, const SendStart &sent, const OrderReply &reply) -> void;
    auto onStopped(Moment now, const SendStop &sent, const OrderReply &reply) -> void;
    auto onHoldReply(Moment now, const SendHold &sent, const HoldReply &reply) -> void;
    auto tick(Moment now) -> void;    // Does everything that is due. Call it periodically.
    auto advance(Moment now) -> void; // Does what is due after an event. Cheaper than tick().
    // Applies grants and cordons from the coordinator.
    auto applyDirection(Moment now, const PoolDirection &direction) -> void;
    auto takeActions() -> std::vector<PoolAction>;
    auto takeActivity() -> PoolActivity; // Since the last call.
    // Waits for places and moves since this owner began. The other counts are 0.
    auto placeTotals() const -> PoolActivity;

    // Queries.
    auto identity() const -> const PoolIdentity &;
    auto jobState(std::string_view id) const -> std::optional<JobState>; // In the journal.
    auto countPending(std::string_view queue) const -> std::int64_t;     // Jobs without a run yet.
    auto holdsJob(std::string_view id) const -> bool; // Also one that isn't in the journal yet.
    // Whether the job was cancelled here before its submission arrived.
    auto isCancelledEarly(std::string_view id) const -> bool;
    // Whether it holds jobs or early cancels of the queue, or jobs of queues that operators have renamed or removed.
    auto holdsJobsOf(std::string_view queue) const -> bool;
    auto isHomeOf(std::string_view queue) const -> bool; // Also if that isn't in the journal yet.
    // The queue's home as the journal has it, or nullptr.
    auto findHome(std::string_view queue) const -> const QueueHome *;
    auto isFenced() const -> bool;     // A newer owner is active; this one does nothing.
    auto report() const -> PoolReport; // For the coordinator.
    // Returns the thousandths of a core that runs, waiting tasks or, if they are more, arrivals need.
    auto demandCpu() const -> std::int64_t;
    auto countJobs() const -> std::size_t;           // Jobs that aren't over.
    auto countRuns() const -> std::size_t;           // Runs that occupy workers.
    auto countRecordingRuns() const -> std::int64_t; // Runs placed and not in the journal yet.
    auto countWaitingJobs() const -> WaitingJobs;
    auto countPlacementRounds() const -> std::int64_t;
    // Returns where a job would be placed now if it were submitted. Its id should be empty.
    auto explain(Moment now, const JobSpec &spec) const -> JobExplanation;
    auto isHandoverDone() const -> bool; // The handover is recorded, or a newer owner is active.

private:
    class State;
    std::unique_ptr<State> state_;
};

} // namespace peridotwalk
