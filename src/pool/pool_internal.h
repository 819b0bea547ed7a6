// State of a pool's scheduler. Only for the sources of this library.
//
// Index of this file
// [SECTION] Workers
// [SECTION] Capacity index
// [SECTION] Batches
// [SECTION] Scheduler state

#pragma once

#include "admission/admission.h"
#include "pool/arrivals.h"
#include "pool/fair_share.h"
#include "pool/pool.h"
#include "runtimes/runtimes.h"
#include "waits/waits.h"

#include <deque>
#include <span>

namespace peridotwalk {

//-----------------------------------------------------------------------------
// [SECTION] Workers
//-----------------------------------------------------------------------------

constexpr std::int64_t kNoStartedAt = -1;     // The worker hasn't answered this owner yet.
constexpr double       kRunsAveraged = 64;    // For moving averages of what runs take.
constexpr TimeMs       kMinRestartMs = 1'000; // A worker can't restart within that time.
constexpr TimeMs kLateOrderMs = 12'000; // An order without an answer may be carried out that late.

// A run that occupies capacity of a worker, from its placement until it is known to be over.
struct RunState {
    std::int64_t run = 0;
    ResourceSet  need;                // Occupied capacity.
    bool         isExpired = false;   // Placed when its job was past any use of its result.
    bool         isRecorded = false;  // The journal has it, so its start order may be sent.
    bool         isSent = false;      // The start order was sent at least once.
    bool         isConfirmed = false; // The worker has it.
    bool         isPending = false;   // Counts as unconfirmed: its first order isn't settled.
    TimeMs       confirmedAt = 0;
    // Confirmation of its start to this owner. 0: none, or it began at a checkpoint, so that it does only a part of the
    // estimated work.
    TimeMs       fullRunSince = 0;
    bool         isResumed = false;       // Its start order had a checkpoint.
    bool         isRestored = false;      // From the journal; not yet seen in a worker's listing.
    bool         isStopping = false;      // A stop was requested.
    bool         isStopConfirmed = false; // The run can't start any more.
    TimeMs       stopConfirmedAt = 0;
    bool         isOrderInFlight = false;
    TimeMs       retryAt = 0;         // Earliest time of the next order.
    int          attempts = 0;        // Start orders sent.
    std::int64_t percent = 0;         // Percent of full speed, as last listed: see RunningRow.
    std::int64_t usage = 0;           // As last listed: see RunningRow.
    std::int64_t pace = 100;          // Percent of full speed, as last ordered. Only for fillers.
    bool         isUnbounded = false; // Of its step.
    double       work = 0;            // Expected, cpu times ms. 0: it doesn't count in admission.
    std::int64_t listing = 0;         // Number of the last listing of the worker that had it.
};

// This owner's state of one worker of the pool.
struct Worker {
    WorkerPeer                  peer;
    WorkerReport                report;
    bool                        isListed = false;        // Has a directory entry in this pool.
    bool                        isCordoned = false;      // Gets no new runs, by the coordinator.
    bool                        hasAnsweredHold = false; // Has answered a hold of this owner.
    bool                        isHoldInFlight = false;
    ResourceSet                 used; // Occupied by `runs`.
    // Sums over `runs`. Kept up to date, since adding up at each placement is slow.
    std::int64_t                unboundedTasks = 0;
    std::int64_t                unboundedCpu = 0;
    std::int64_t                expiredCpu = 0; // Occupied by timed tasks placed as expired.
    std::int64_t                servingTasks = 0;
    std::int64_t                fillerTasks = 0;
    std::map<TaskRef, RunState> runs;
    std::int64_t startedAtMs = kNoStartedAt; // Start of the incarnation that answered last.
    std::int64_t token = 0; // Of orders. An incarnation refuses all earlier ones once it knows it.
    std::int64_t startToken = 0;     // Of the last start order. 0: none was sent.
    std::int64_t answeredToken = 0;  // Of the last answered hold.
    std::int64_t seenEnd = 0;        // Number of the last ended run read. 0: none.
    std::int64_t recordedEnd = 0;    // Number of the last one in the journal. 0: none.
    TimeMs       clockMs = 0;        // The worker's clock, as last reported.
    TimeMs       clockAt = 0;        // When it was reported. 0: never.
    TimeMs       leaseUntilMs = 0;   // Latest end that its lease may have, on its clock.
    TimeMs       grantedUntilMs = 0; // Lease end that this owner sent last, on its clock.
    TimeMs       leaseSentAt = 0;    // When this owner sent it. 0: never.
    TimeMs       answeredSince = 0;  // First answer to this owner. Previous ones are fenced since.
    TimeMs       nextHoldAt = 0;     // Earliest time of the next hold.
    TimeMs       lastHeldAt = 0;     // Last answered hold.
    int          holdFailures = 0;   // In a row. Above 0 the worker counts as silent.
    int          consecutiveFailures = 0; // Failed runs in a row.
    int          startsInFlight = 0;      // Start orders without an answer yet.
    std::int64_t listings = 0;            // Listings read.
    bool         mayOweOrders = false;    // A run may need a start or stop order.
    TimeMs       lateOrdersUntil = 0;     // Starts without an answer may reach it until then.
    TimeMs       backoffUntil = 0;        // Gets no new runs before. Set by backOff().
    std::int64_t awaitedRound = -1; // Last placement round in which tasks waited for its rack.

    auto freeCapacity() const -> ResourceSet; // Capacity that isn't in use.
};

//-----------------------------------------------------------------------------
// [SECTION] Capacity index
//-----------------------------------------------------------------------------

// The workers that may get new runs in a placement round, by free cpu. A task finds the tightest fit
// near its need, so a placement costs about the same in pools of 100 and of 1,000 workers.
class CapacityIndex
{
public:
    struct Entry {
        std::int64_t freeCpu = 0;
        std::int64_t order = 0; // Breaks ties the same way in each run.
        Worker      *worker = nullptr;
    };

    // Commands.
    auto add(Worker &worker) -> void; // To be followed by sort().
    auto sort() -> void;
    auto clear() -> void;
    // After a change of the worker's free capacity. Workers that aren't in the index are ignored.
    auto update(const Worker &worker, std::int64_t freeCpuBefore) -> void;

    // Queries.
    auto isEmpty() const -> bool { return entries_.empty(); }
    auto workersWith(std::int64_t cpu) const -> std::span<const Entry>; // By free cpu, rising.
    auto largestCpu() const -> std::int64_t { return largestCpu_; }     // Capacity of any worker.

private:
    std::vector<Entry> entries_;
    std::int64_t       largestCpu_ = 0;
};

//-----------------------------------------------------------------------------
// [SECTION] Batches
//-----------------------------------------------------------------------------

// A step with tasks that could start now.
struct WaitingStep {
    std::int64_t step = 0;
    std::int64_t cpu = 0; // Of these tasks.
};

// What placement needs of an occurrence. Worked out anew after its progress has changed.
struct OccurrenceSummary {
    bool         isCurrent = false;
    TimeMs       chainMs = 0;        // Estimated critical path of the job, see longestChain().
    TimeMs       chainLeftMs = 0;    // The same of the steps that aren't done.
    std::int64_t remaining = 0;      // See remainingWork().
    std::int64_t chainLeftSteps = 0; // Steps along the latter.
    double       waitingWork = 0;    // Estimated, cpu times ms, of timed tasks without a run.
    std::vector<WaitingStep> ready;
};

// Tasks of a step that wait for a place near their data, or a gang that waits for one rack.
struct PlaceWait {
    TimeMs       untilMs = 0;   // Steady clock. The wait ends then.
    TimeMs       decidedAt = 0; // Time of the last decision to wait.
    TimeMs       dueAt = 0;     // When the decision is due again without other events.
    std::int64_t tasks = 0;     // Tasks that have begun to wait and aren't placed.
    std::string  rack;          // Of the last decision.
};

// A job, and what the journal has of it.
struct JobEntry {
    Job          job;
    JobState     recorded = JobState::Queued; // State in the journal.
    bool         isRecorded = false;          // The journal has the job.
    bool         hasBegun = false;            // A worker has confirmed a run, or a run has ended.
    TimeMs       nextExplainAt = 0; // Earliest time of the next log event on why it waits.
    std::int64_t countedRound = 0;  // Placement round that last counted it as waiting.
    std::map<std::int64_t, OccurrenceSummary> summaries = {};     // By number of the occurrence.
    bool                                      isRestored = false; // Accepted by an earlier owner.
    std::map<std::pair<std::int64_t, std::int64_t>, PlaceWait> placeWaits =
        {}; // By occurrence and step.

    // Wall clock. First arrival of a job that was refused before. 0: it wasn't, as far as this owner knows.
    std::int64_t firstArrivalMs = 0;
};

// Effects of a batch. They are applied once the journal has it.
struct AnswerEffect {
    std::int64_t handle = 0;
    JobVerdict   verdict = JobVerdict::Accepted;
};
struct StartEffect {
    TaskRef      task;
    std::int64_t run = 0;
    std::string  worker;
};
// The worker may forget ended runs up to number `end`.
struct AckEffect {
    std::string  worker;
    std::int64_t startedAtMs = 0; // Start of the worker's incarnation that counted them.
    std::int64_t end = 0;
};
using Effect = std::variant<AnswerEffect, StartEffect, AckEffect>;

// A queue that this pool is the home of.
struct HomeEntry {
    QueueHome home;
    bool      isRecorded = false; // The journal has it.
};

struct EarlyCancelEntry {
    EarlyCancel cancel;
    TimeMs      since = 0; // When this owner learned of it.
};

// Progress of the handover record of this owner.
enum class HandoverStage { None, Due, Writing, Done };

// Changes that take effect together, once the journal has all of their records. They go into as many
// appends as the store's limit asks for; each record holds by itself.
struct Batch {
    std::vector<KeyedRecord>        records;
    std::map<std::string, JobState> states; // Job states in the batch, by job.
    std::set<std::string>           homes;  // Queues whose homes are in the batch.
    std::vector<Effect>             effects;
    TimeMs                          startedAt = 0; // When the batch was made.
    TimeMs                          retryAt = 0;   // After a failed append: when it is repeated.
    bool                            isInFlight = false;
    std::size_t                     appended = 0;  // Records that the journal has.
    std::size_t                     appending = 0; // Further ones that the last append has.
};

//-----------------------------------------------------------------------------
// [SECTION] Scheduler state
//-----------------------------------------------------------------------------

// How an occurrence stands against its latency objective. Placement serves them in this order.
enum class Timeliness { OnTime, Late, Expired };

// A step whose tasks may start now.
struct ReadyStep {
    JobEntry             *entry = nullptr;
    std::int64_t          occurrence = 0;
    std::int64_t          step = 0;
    bool                  isUnbounded = false;
    bool                  isOverShare = false; // Its tenant has its share of the workers.
    bool                  hasBegun = false;    // Of its job. Only where tenants share by weight.
    Timeliness            timeliness = Timeliness::OnTime;
    std::int64_t          priority = 0;        // Priority of its queue. 0 goes first.
    std::int64_t          waitingCpu = 0;      // Of its tasks that wait.
    std::int64_t          remaining = 0;       // Work left in the occurrence, in core-milliseconds.
    std::int64_t          dueMs = 0;           // Wall clock. When its latency starts to count.
    std::int64_t          counted = 0;         // Tasks of it in the demand.
    ResourceSet          *demand = nullptr;    // Sum that has them. Nothing: none has.
    bool                  isPlaced = false;    // No task of it waits.
    bool                  lacksWorker = false; // No worker had room for its tasks that wait.
    std::optional<TimeMs> followingMs;         // See chainAfter(). Nothing: not worked out yet.
};

// What a tenant's ready tasks wait for.
struct TenantDemand {
    ResourceSet waiting;   // Needs of all of them.
    ResourceSet placeable; // Part that workers have room for.
    ResourceSet least;     // Smallest need of these.
    ResourceSet covered;   // Part of `waiting` that the allowance covers.
    ResourceSet room;      // Free capacity of usable workers, less `placeable`.
    bool        isRoomKnown = false;
};

// Room of a usable worker, less what moved runs will take.
struct SpareRoom {
    Worker     *worker = nullptr;
    ResourceSet free;
};

// A run that was stopped to run elsewhere.
struct PendingMove {
    std::int64_t run = 0;
    std::string  target; // Worker that had room for it.
    ResourceSet  need;
};

// Workers found for members of a gang, in their order.
using GangPlaces = std::vector<std::pair<Worker *, TaskRef>>;

class PoolScheduler::State
{
public:
    State(PoolIdentity identity, const PoolSettings &settings, const FleetView &view);

    // Journal (journal.cpp)
    auto markChanged(const std::string &id) -> void { changed_[id].insert(0); } // Its state.
    auto markChanged(const TaskRef &task) -> void;
    auto afterAppend(Effect effect) -> void { effects_.push_back(std::move(effect)); }
    auto flush(Moment now) -> void;
    auto appendNext(Moment now) -> void;
    auto keepCheckpoint(JobTask &task, const std::string &checkpoint) const -> void;
    auto onAppended(Moment now, std::int64_t sequence, CallOutcome outcome) -> void;
    auto isStalled(Moment now) const -> bool;
    auto recordHome(const std::string &queue) const -> KeyedRecord;
    auto makeHandover(Moment now) const -> Handover;

    // Jobs (jobs.cpp)
    auto restore(Moment now, JobTable &&jobs) -> void;
    auto submit(Moment now, std::int64_t handle, JobSpec spec) -> void;
    auto cancel(Moment now, std::int64_t handle, std::string_view id, std::string_view queue)
        -> void;
    auto cancelEarly(Moment now, std::int64_t handle, std::string_view id, std::string_view queue)
        -> void;
    auto confirmOwnership(Moment now, std::int64_t handle) -> void;
    auto findRefusal(Moment now) const -> std::optional<AnswerCaller>;
    auto refuseUnrecorded(Moment now, std::int64_t handle) -> bool;
    auto applyRules(JobEntry &entry) const -> void;
    auto endRun(Moment now, Worker &worker, const TaskRef &ref, std::int64_t run, RunEnd end,
                const std::string &checkpoint) -> void;
    auto finishJob(Moment now, JobEntry &entry, JobState state) -> void;
    auto stopRuns(Moment now, JobEntry &entry) -> void;
    auto checkCompletion(Moment now, JobEntry &entry) -> void;

    // Admission (admission.cpp)
    auto noteWaiting(const JobEntry &entry, const OccurrenceSummary &summary, Timeliness timeliness)
        -> void;
    auto beginAdmissionRound() -> void;
    auto finishAdmissionRound(Moment now) -> void;
    auto measureCapacity(Moment now) -> void;
    auto admit(Moment now, std::int64_t handle, const JobSpec &spec) -> bool;
    auto noteAdmitted(Moment now, JobEntry &entry) -> void;
    auto makeArrival(const JobSpec &spec, const QueueRule &queue) const -> Arrival;
    auto findAdmissionRefusal(Moment now, const JobSpec &spec) const -> std::optional<JobRefusal>;
    auto hasFreeCapacity(Moment now, const JobSpec &spec) const -> bool;
    auto expectedWork(const JobSpec &spec, const StepSpec &step) const -> double; // Of one task.
    auto weightOf(const std::string &tenant) const -> double;
    auto mayTakeRuns(Moment now, const Worker &worker) const -> bool;

    // Runs (runs.cpp)
    auto onViewChanged(Moment now) -> void;
    auto allocate(Worker &worker, const TaskRef &ref, const RunState &run) -> void;
    auto dispatch(Moment now, const StartEffect &effect) -> void;
    auto startRecorded(Moment now, Worker &worker, const TaskRef &ref) -> void;
    auto sendStart(Moment now, Worker &worker, const TaskRef &ref, RunState &run) -> void;
    auto requestStop(Moment now, Worker &worker, const TaskRef &ref) -> void;
    auto sendStop(Worker &worker, const TaskRef &ref, RunState &run) -> void;
    auto release(Worker &worker, const TaskRef &ref) -> void;
    auto abandon(Moment now, Worker &worker, const TaskRef &ref, std::string_view why) -> void;
    auto markRunsLost(Moment now, Worker &worker, std::string_view why) -> void;
    auto handleReply(Moment now, const std::string &id, const TaskRef &ref, std::int64_t run,
                     std::int64_t token, const OrderReply &reply) -> Worker *;
    auto onStarted(Moment now, const SendStart &sent, const OrderReply &reply) -> void;
    auto onStopped(Moment now, const SendStop &sent, const OrderReply &reply) -> void;
    auto onHoldReply(Moment now, const SendHold &sent, const HoldReply &reply) -> void;
    auto readEnds(Moment now, Worker &worker, const HoldReply &reply) -> void;
    auto readRunning(Moment now, Worker &worker, const HoldReply &reply) -> void;
    auto sendHold(Moment now, Worker &worker) -> void;
    auto tickWorker(Moment now, Worker &worker) -> void;
    auto sendDueOrders(Moment now, Worker &worker) -> void;
    auto controlPace(Worker &worker) -> void;
    auto backOff(Worker &worker, TimeMs until) -> void;
    auto nextBackoffEnd(Moment now) const -> TimeMs; // 0: no worker backs off.
    auto maySendStarts(Moment now) const -> bool;
    auto isViewFresh(Moment now) const -> bool;
    auto isUsable(Moment now, const Worker &worker) const -> bool; // For new runs.
    auto mayStartOn(const Worker &worker) const -> bool;           // For runs already placed.

    // Leases (leases.cpp)
    auto        setClock(Moment now, Worker &worker, TimeMs clockMs) -> void;
    auto        extendLease(Moment now, Worker &worker) -> TimeMs;
    auto        leaseExpiry(const Worker &worker) const -> TimeMs;
    auto        earlierLease(Moment now, const Worker &worker) const -> TimeMs;
    auto        earlierOwnersExpiry(const Worker &worker, TimeMs until) const -> TimeMs;
    auto        previousOwnersExpiry(const Worker &worker, TimeMs until) const -> TimeMs;
    static auto hasJustAnswered(Moment now, const Worker &worker) -> bool;
    auto        addWorker(const std::string &id) -> Worker &;
    auto        nextOrderToken() -> std::int64_t;
    auto        renewToken(Worker &worker) -> void;
    static auto isReplaced(const Worker &worker, std::int64_t token) -> bool;
    static auto hasRestarted(const Worker &worker) -> bool;

    // Placement (placement.cpp)
    auto        noteTick(Moment now) -> void;
    auto        schedule(Moment now) -> void;
    auto        mayPlace(Moment now) const -> bool;
    auto        hasRules() const -> bool; // This node has read the operators' rules.
    auto        isTenantKnown(const JobSpec &spec) const -> bool;
    auto        refill(Moment now) -> void;
    auto        placeReadySteps(Moment now, bool isRefill) -> void;
    auto        checkFreeCapacity() -> void;
    auto        findReadySteps(Moment now) -> std::vector<ReadyStep>;
    static auto summarize(JobEntry &entry, std::int64_t number) -> const OccurrenceSummary &;
    auto makeReadyStep(JobEntry &entry, std::int64_t number, const OccurrenceSummary &summary,
                       Moment now) const -> ReadyStep;
    static auto isPlacedBefore(const ReadyStep &one, const ReadyStep &other) -> bool;
    static auto scoreOn(const Worker &worker, const StepSpec &step) -> double;
    auto        placeStep(Moment now, ReadyStep &step) -> void;
    auto        placeGang(Moment now, ReadyStep &step) -> void;
    auto        chooseWorker(Moment now, const JobEntry &entry, const TaskRef &ref) -> Worker *;
    auto        isAllowed(Moment now, const Worker &worker, const JobEntry &entry,
                          const TaskRef &ref) const -> bool;
    auto        isKnownUnplaceable(const JobEntry &entry, const TaskRef &ref) const -> bool;
    auto        explainWait(Moment now, JobEntry &entry, const TaskRef &ref) -> void;
    auto        explainUnknownTenant(Moment now, JobEntry &entry) -> void;
    auto        reserveWorker(Moment now, const JobEntry &entry, const TaskRef &ref) -> void;
    auto placeTask(Moment now, const ReadyStep &step, const TaskRef &ref, Worker &worker) -> void;
    auto isWithinAllowance(const std::string &tenant, const ResourceSet &need) const -> bool;
    // `leftOut`: tasks among them that leave room elsewhere unused on purpose, and lack no workers.
    auto addDemand(ReadyStep &step, std::int64_t tasks, std::int64_t leftOut = 0) -> void;
    auto removeDemand(ReadyStep &step, std::int64_t tasks) -> void;
    auto demandOf(const ReadyStep &step) -> ResourceSet *; // Nothing: it requests no workers.
    auto addPlaceable(const ReadyStep &step, std::int64_t tasks, TenantDemand &demand) -> void;
    auto findsWorker(Moment now, const JobEntry &entry, const TaskRef &ref) -> bool;
    auto countWithinAllowance(const std::string &tenant, const ResourceSet &need,
                              std::int64_t tasks, const ResourceSet &planned) const -> std::int64_t;
    auto addUnplaceable(const ResourceSet &need) -> void;
    auto endDelay() const -> TimeMs; // Until ended runs of a worker are fetched again.
    auto findTightestFit(Moment now, const JobEntry &entry, const TaskRef &ref) -> Worker *;

    // Ranking (ranking.cpp)
    auto timeLeft(const JobEntry &entry, const OccurrenceSummary &summary) const -> TimeMs;
    auto learnedRatio(const std::string &queue) const -> double;
    auto learnRunTime(const JobEntry &entry, TimeMs estimateMs, TimeMs tookMs) -> void;
    auto rankReadySteps(Moment now, std::vector<ReadyStep> &ready) -> void;
    auto shareByWeight(Moment now, std::vector<ReadyStep> &ready) -> void;
    auto updateShares(Moment now) -> void;
    auto countWaitingJobs() -> void;

    // Runs that aren't confirmed yet (unconfirmed.cpp)
    auto startsLeft() const -> std::int64_t;
    auto isOwnerBusy() const -> bool; // Places nothing more now.
    auto startLimit() const -> std::int64_t;
    auto addPending(RunState &run) -> void;
    auto markRecorded(RunState &run) -> void;
    auto settleStart(RunState &run) -> void;

    // Explanations (explain.cpp)
    auto explain(Moment now, const JobSpec &spec) const -> JobExplanation;
    auto explainAdmission(Moment now, const JobEntry &entry, const ReadyStep &first,
                          const OrderExplanation &order) const -> AdmissionExplanation;
    auto explainOrder(const ReadyStep &first) const -> OrderExplanation;
    auto explainStep(Moment now, const ReadyStep &first, std::int64_t step) const
        -> StepExplanation;
    auto explainPlace(Moment now, const ReadyStep &first, const StepExplanation &step) const
        -> PlaceExplanation;
    auto explainBlock(Moment now) const -> std::string;
    auto findCause(Moment now, const JobEntry &entry, const StepExplanation &step,
                   std::int64_t fitting) const -> std::string;
    auto findExclusion(Moment now, const Worker &worker, const JobEntry &entry,
                       const TaskRef &ref) const -> std::string;

    // Directions from the coordinator (directions.cpp)
    auto applyDirection(Moment now, const PoolDirection &direction) -> void;
    auto report() const -> PoolReport;
    auto demandCpu() const -> std::int64_t;
    auto drainCordoned(Moment now) -> void;
    auto drainWorker(Moment now, Worker &worker) -> void;
    auto tickWorkers(Moment now) -> void;
    auto mayEvict(Moment now, const TaskRef &ref) -> bool;
    auto mayBeStopping(Moment now, const Worker &worker) const -> bool;

    // Places near the data or the gang (places.cpp)
    auto beginPlaces() -> void; // Of a round or a refill.
    auto mayWaitForPlace(const StepSpec &step) const -> bool;
    auto findInRack(Moment now, const JobEntry &entry, const TaskRef &ref, const std::string &rack)
        -> Worker *;
    auto workersIn(Moment now, const std::string &rack) -> const std::vector<Worker *> &;
    auto forecastOf(Moment now, const StepSpec &step, const std::string &rack) -> RackForecast &;
    auto makeForecast(Moment now, const StepSpec &step, std::span<Worker *const> workers) const
        -> RackForecast;
    auto questionOf(Moment now, ReadyStep &step) const -> PlaceQuestion;
    auto waitsForPlace(Moment now, ReadyStep &step, const TaskRef &ref, const Worker &far,
                       std::int64_t before) -> bool;
    auto decideWait(Moment now, ReadyStep &step, const std::string &rack, std::int64_t tasks,
                    const PlaceQuestion &question) -> bool;
    auto keepRack(Moment now, const PlaceWait &wait) -> void;
    auto keepsWaiting(Moment now, ReadyStep &step, TimeMs intervalMs) -> bool;
    auto noteWaits(ReadyStep &step, std::int64_t tasks) -> void;
    auto endWait(Moment now, ReadyStep &step, const TaskRef &ref, const Worker &worker, bool isNear)
        -> bool;
    auto findGangPlaces(Moment now, ReadyStep &step, const std::string &rack) -> GangPlaces;
    auto chooseGangPlaces(Moment now, ReadyStep &step, bool &isLeftOut) -> GangPlaces;
    auto gangWaits(Moment now, ReadyStep &step) -> bool;
    auto isAwaited(const Worker &worker) const -> bool;
    // Returns the estimated run time of a task on a worker, which is longer far from its data or its gang.
    auto estimateOn(const Worker &worker, const TaskRef &ref) const -> TimeMs;

    // Moves off workers whose machines another pool waits for (moves.cpp)
    auto setUrgent(Moment now, std::span<const std::string> urgent) -> void;
    auto moveRuns(Moment now) -> void;
    auto listSpareRoom(Moment now) const -> std::vector<SpareRoom>;
    auto moveRunsOff(Moment now, Worker &worker, std::vector<SpareRoom> &spare) -> void;
    auto makeMoveCandidate(Moment now, const Worker &worker, const TaskRef &ref,
                           const RunState &run, std::vector<SpareRoom> &spare) -> MoveCandidate;
    auto isTimelyAfterMove(Moment now, const TaskRef &ref, TimeMs leftMs) -> bool;
    auto ranFor(Moment now, const Worker &worker, const TaskRef &ref, const RunState &run) const
        -> TimeMs;
    auto remainingOf(Moment now, const Worker &worker, const TaskRef &ref,
                     const RunState &run) const -> TimeMs;
    auto endOverheadMs() const -> TimeMs;
    auto moveSettings() const -> MoveSettings;

    auto queueOf(const JobEntry &entry) const -> const QueueRule *;
    auto logRunEvent(std::string_view event, const TaskRef &task, std::int64_t run,
                     const std::string &worker, std::string detail) -> void;

    PoolIdentity             identity_;
    PoolSettings             settings_;
    const FleetView         &view_;
    TimeMs                   termUntil_ = 0;  // See setTerm().
    TimeMs                   ownedSince_ = 0; // Time of restore().
    bool                     isFenced_ = false;
    std::int64_t             orderTokens_ = 0;   // Given out so far.
    std::int64_t             rulesVersion_ = -1; // Last one that jobs know of.
    bool                     needsSchedule_ = false;
    TimeMs                   scheduleAt_ = 0; // Earliest time of a round.
    // When a worker's backoff ends next, and a round is due. 0: no worker backs off.
    TimeMs                   backoffEndAt_ = 0;
    std::int64_t             placementRounds_ = 0;
    std::optional<TimeMs>    roundAt_;             // Time of the last round.
    std::optional<TimeMs>    directedAt_;          // Time of the last direction.
    std::vector<ResourceSet> unplaceable_;         // Needs that fit nowhere now.
    std::vector<ResourceSet> roomyNeeds_;          // Needs that a worker has room for now.
    CapacityIndex            capacityIndex_;       // Empty between rounds.
    int                      explanations_ = 0;    // Logged in this round.
    std::vector<ReadyStep>   ready_;               // As the last round ranked them.
    bool                     needsRefill_ = false; // Capacity has become free.
    TimeMs                   refillAt_ = 0;        // Earliest time of a refill.
    bool                     isRefilling_ = false;
    std::int64_t             pendingRuns_ = 0;      // Those with isPending.
    std::int64_t             recordingRuns_ = 0;    // Those not in the journal.
    std::int64_t             liveRuns_ = 0;         // On all workers.
    TimeMs                   tickedAt_ = 0;         // Last tick. 0: none yet.
    bool                     isOverloaded_ = false; // Ticks come late.
    std::set<std::string>    workersToTick_;        // Ticked by advance().
    // When the next occurrence is due, on the wall clock. 0: none is known.
    std::int64_t             nextDueMs_ = 0;
    std::map<std::string, JobEntry, std::less<>> jobs_;    // By id.
    std::map<std::string, JobEntry *>            active_;  // Jobs that aren't over, by id.
    std::map<std::string, Worker, std::less<>>   workers_; // By id.
    std::vector<Worker *> workerList_; // All of workers_, in its order: faster to walk.
    std::map<std::string, ResourceSet>  tenantUsed_;   // Needs of placed tasks.
    std::map<std::string, TenantDemand> tenantDemand_; // After the last placement round.
    ResourceSet                         roundRoom_;    // Free on usable workers in this round.
    std::map<std::string, ResourceSet>  allowances_;   // By tenant. Missing: zero.
    NewestMaxima                        maxima_;       // Of tenants.
    std::int64_t coordinatorsRules_ = 0;      // Version that the coordinator had read. 0: none yet.
    std::map<std::string, TimeMs>  cordoned_; // Start of the cordon, by worker.
    // Cordoned workers whose machines another pool waits for, and when moves off them are decided next.
    std::map<std::string, TimeMs>  urgent_;
    std::map<TaskRef, PendingMove> pendingMoves_; // Runs that are stopped to be moved.
    std::map<TaskRef, TimeMs>      ranBefore_;    // Run time that tasks keep in their checkpoints.
    // Of this placement round, by rack: usable workers, and when they have room (also by required label).
    std::map<std::string, std::vector<Worker *>>                rackWorkers_;
    std::map<std::pair<std::string, std::string>, RackForecast> forecasts_;
    TimeMs      waitEndAt_ = 0;         // When a wait for a place has to be decided again. 0: none.
    bool        isWorkWaiting_ = false; // Tasks lacked workers in the last round.
    // Needs of tasks that lack only a worker, by how their jobs stand against their objectives.
    ResourceSet wanted_;                  // On time, and unbounded ones.
    ResourceSet wantedLate_;              // Late, but still of use.
    ArrivalRate arrivals_;                // Work of jobs accepted here.
    ResourceSet ownerLimited_;            // On time, and unbounded ones, that wait for the owner.
    ResourceSet ownerLimitedLate_;        // Late, but still of use, that wait for the owner.
    bool        areWorkersShort_ = false; // The last round left too little capacity for those.
    bool        wasOwnerLimited_ = false; // Tasks waited for the owner in the round before.
    double      startDelayMs_ = 0;        // From a placement to its confirmation, a moving average.
    double      runOverheadMs_ = 0; // From there to the end that is read, beyond the estimate.
    RunTimes    runTimes_;          // Learned from ends that this owner has read.
    mutable std::map<std::string, double, std::less<>> learnedRatios_; // By queue, in this round.
    FairShare             fairShare_; // Between tenants. Up to date only with isShareByWeight.
    std::int64_t          weightsVersion_ = -1; // Version of the rules that its weights are of.
    WaitingJobs           waitingJobs_;         // After the last placement.
    std::set<std::string> reservedWorkers_;     // Kept for unbounded tasks.
    // Progress to record: numbers of records, by job. The first record is written last, as that of an earlier
    // version may have rows of the others.
    std::map<std::string, std::set<std::int64_t, std::greater<>>> changed_;
    std::set<std::string>                                         submitted_; // Jobs to record.
    std::map<std::string, HomeEntry, std::less<>>                 homes_;     // By queue.
    std::set<std::string> changedHomes_; // Queues whose homes to record.
    std::map<std::string, EarlyCancelEntry, std::less<>>
                            earlyCancels_;              // Of jobs that haven't arrived.
    std::set<std::string>   changedCancels_;            // Jobs whose early cancels to record.
    std::vector<Effect>     effects_;                   // Effects of the next batch.
    std::optional<Batch>    batch_;                     // Being appended. Nothing: none.
    std::int64_t            sequence_ = 0;              // Number of the last append.
    std::optional<Handover> previousHandover_;          // Nothing: none was written.
    bool                    isConfirmationDue_ = false; // The next batch needs an append.
    bool                    isHandoverRemoved_ = false; // No longer stored.
    HandoverStage           handover_ = HandoverStage::None;
    TimeMs                  flushedAt_ = 0; // Time of the last batch.
    std::vector<PoolAction> actions_;
    PoolActivity            activity_;
    PoolActivity            placeTotals_; // See placeTotals().
    AdmissionControl admission_; // This and what follows: used with contention.admission only.
    PoolCapacity     capacity_;
    TimeMs           capacityAt_ = 0;  // When it was measured. 0: not yet.
    double           runningWork_ = 0; // Sum of RunState::work.
    double           admittedCpu_ = 0; // Of the first steps of jobs accepted since the last round.
};

// Returns the capacity that a task occupies on a worker. Fillers occupy no cpu: they use only what
// others leave idle.
auto capacityNeed(const StepSpec &step) -> ResourceSet;

auto stepOf(const JobEntry &entry, const TaskRef &ref) -> const StepSpec &;

constexpr int kLateObjectives = 3; // Past this many objectives, late work is expired.

// Returns the latency objective of an occurrence.
auto objectiveOf(const QueueRule &queue, const OccurrenceSummary &summary) -> TimeMs;
auto objectiveOf(const QueueRule &queue, TimeMs chainMs)
    -> TimeMs; // `chainMs`: of its critical path.

// Returns how the occurrence stands if it needs `leftMs` more.
auto timelinessOf(const QueueRule &queue, const OccurrenceSummary &summary, TimeMs leftMs,
                  std::int64_t dueMs, std::int64_t nowMs) -> Timeliness;

// Returns the estimated length of the critical path that follows a step, in ms.
auto chainAfter(const JobSpec &spec, std::int64_t step) -> TimeMs;

// Returns the estimated length of the critical path in ms.
auto estimatedChain(const JobSpec &spec) -> TimeMs;

// Returns whether a task, or a gang, may be started once more after its failed runs.
auto hasAttemptsLeft(const JobEntry &entry, const TaskRef &ref) -> bool;

// Returns whether the step's tasks serve requests of users under a latency target.
inline auto isServing(const StepSpec &step) -> bool
{
    return step.latencyTargetMs > 0 && !step.isFiller;
}

} // namespace peridotwalk
