// Tasks of a node. Each owns its state, and they communicate by signals and calls on the event loop.
// Internal to this library.
//
// Index of this file
// [SECTION] Clocks
// [SECTION] Messages between nodes
// [SECTION] Directory task
// [SECTION] Ownership task
// [SECTION] Pool task
// [SECTION] Router task
// [SECTION] Coordinator task
// [SECTION] Peer task
// [SECTION] Caller task

#pragma once

#include "node/detour.h"
#include "node/metrics.h"
#include "node/node.h"

namespace peridotwalk {

//-----------------------------------------------------------------------------
// [SECTION] Clocks
//-----------------------------------------------------------------------------

inline auto readMoment() -> Moment
{
    return {bootMs(), wallMs()};
}

//-----------------------------------------------------------------------------
// [SECTION] Messages between nodes
//-----------------------------------------------------------------------------

// ReleaseQueue: from another pool that adopts the queue. Ok: this pool accepts no more new jobs of it.
enum class PoolVerb { Submit, Cancel, Query, CountPending, ReleaseQueue };

// Which jobs a call is about.
enum class PoolScope {
    All,  // Of the pool, and of earlier homes of the queue.
    Held, // Of the pool only. A submission finds a job, and adds none.
    New,  // As All. No earlier home of the queue has the job.
};

// A request to the owner of a pool.
struct PoolCall {
    PoolVerb     verb = PoolVerb::Query;
    std::string  pool;
    std::string  job;   // Id of the job. Empty for CountPending and ReleaseQueue.
    std::string  queue; // Name of the queue that the call came on.
    JobSpec      spec;  // The job to submit. Empty for other verbs.
    PoolScope    scope = PoolScope::All;
    // Of the rules by which the pool was chosen. For ReleaseQueue, those of the pool that adopts it.
    std::int64_t version = 0;
};

enum class PoolStatus {
    Ok,
    Missing,  // The owner has no such job.
    Refused,  // The call had no effect and won't have one later.
    NotOwner, // The call had no effect: another node owns the pool, or none does yet.
    Unknown,  // The call may have had an effect.
    Elsewhere // The call had no effect: earlier homes of the queue have to be asked.
};

struct PoolAnswer {
    PoolStatus               status = PoolStatus::Unknown;
    JobState                 state = JobState::Queued; // The job's state. Only for Query.
    // Number of pending jobs for CountPending. For ReleaseQueue, 1 if the pool may hold jobs of the queue.
    std::int64_t             count = 0;
    std::string              reason = {};       // Why it failed. Empty: it didn't.
    TimeMs                   retryAfterMs = 0;  // 0: no advice when to retry.
    std::vector<std::string> earlierPools = {}; // For Elsewhere: which to ask.
};
using PoolAnswerSlot = std::function<void(const PoolAnswer &)>;

auto packCall(const PoolCall &call) -> std::string;
auto unpackCall(std::string_view bytes) -> absl::StatusOr<PoolCall>;
auto packAnswer(const PoolAnswer &answer) -> std::string;
auto unpackAnswer(std::string_view bytes) -> absl::StatusOr<PoolAnswer>;
auto packReport(const PoolReport &report) -> std::string;
auto unpackReport(std::string_view bytes) -> absl::StatusOr<PoolReport>;
auto packDirection(const PoolDirection &direction) -> std::string;
auto unpackDirection(std::string_view bytes) -> absl::StatusOr<PoolDirection>;

constexpr std::string_view kPoolsPath = "/v1/pools";
constexpr std::string_view kCoordinatorPath = "/v1/coordinator";

// The coordinator is the owner of this name's partition, as a pool's owner is that of the pool's name.
constexpr std::string_view kCoordinatorName = "coordinator";

// A member's name is NODE@ADDRESS#INCARNATION, and ends with kReserveSuffix if the node is a reserve.
constexpr std::string_view kReserveSuffix = "~reserve";

// Returns the address in a member's name. Empty: the name has none.
auto addressOf(std::string_view member) -> std::string;

// Returns whether the names are of the same node, but of different incarnations.
auto isOtherIncarnation(std::string_view member, std::string_view other) -> bool;

//-----------------------------------------------------------------------------
// [SECTION] Directory task
//-----------------------------------------------------------------------------

// Keeps the view of the fleet up to date with operators' rules and workers' reports.
class DirectoryTask
{
public:
    DirectoryTask(EventLoop &loop, Directory &directory, const NodeSettings &settings);

    auto start() -> void;
    auto setOwner(bool isOwner) -> void { isOwner_ = isOwner; } // Owns a pool.
    auto setMember(bool isMember) -> void; // Workers' reports are read only by members.
    auto view() const -> const FleetView & { return view_; }
    auto hasCatalog() const -> bool { return view_.catalog.version() > 0; }
    // The operators' entries were read at least once, all of them. There may be no rules yet.
    auto hasOperators() const -> bool { return hasOperators_; }
    auto hasWorkers() const -> bool { return hasWorkers_; }

    sigc::signal<void()> changed;

private:
    auto readOperators() -> void;
    auto readWorkers() -> void;
    auto apply(DirectorySource source, const DirectoryPage &page) -> void;

    EventLoop          &loop_;
    Directory          &directory_;
    const NodeSettings &settings_;
    FleetView           view_;
    Offset              operatorsAt_ = -1;     // Offset of the next read. -1: reads all entries.
    Offset              workersAt_ = -1;       // Offset of the next read. -1: reads all entries.
    bool                hasOperators_ = false; // See hasOperators().
    bool                hasWorkers_ = false;   // The workers' reports were read at least once.
    bool                isOwner_ = false;
    bool                isMember_ = false;
    bool                isReadingWorkers_ = false;
    bool                isOperatorReadFailing_ = false; // The last read failed.
    bool                isWorkerReadFailing_ = false;   // The last read failed.
};

//-----------------------------------------------------------------------------
// [SECTION] Ownership task
//-----------------------------------------------------------------------------

// Renews this node's membership, and tracks the owner of each partition. Joins only once the node has read the
// operators' rules, or that there are none yet: until then the partitions are better off with nodes that have.
//
// A node with a small share of a processor is a reserve: it polls the owners, joins only while partitions
// have none, and leaves once a regular node is an owner. The store can't do this, as it assigns
// partitions evenly and has no weights.
class OwnershipTask
{
public:
    OwnershipTask(EventLoop &loop, OwnershipGroup &group, const NodeSettings &settings,
                  std::string member);

    auto start() -> void;
    auto allowJoin() -> void;     // The node has read the rules, if there are any.
    auto beginLeave() -> void;    // Stops renewals.
    auto leave() -> void;         // To be called once the pools are handed over.
    auto refreshOwners() -> void; // Reads the owners, unless that was just done.

    auto ownership() const -> const Ownership & { return ownership_; }
    auto memberOf(std::string_view pool) const -> std::string; // Empty: unknown.
    auto member() const -> const std::string & { return member_; }
    auto peers() const -> std::vector<std::string>; // Addresses of other members.
    auto isMember() const -> bool { return isMember_; }
    auto lastContactAt() const -> TimeMs { return lastContactAt_; }
    auto isIsolated() const -> bool; // Lost contact to the store, so it can't learn of new owners.

    // Hands over the pools that were lost, then calls its argument.
    std::function<void(std::function<void()>)>  startHandoverOfLost;
    sigc::signal<void(const OwnershipChange &)> changed;
    sigc::signal<void(TimeMs)>                  renewed; // Argument: end of the term.
    sigc::signal<void(bool)>                    memberChanged;

private:
    using Owners = std::map<std::int64_t, std::string>;

    auto removePreviousIncarnation() -> void;
    auto join() -> void;
    auto renew() -> void;
    auto onRenewed(TimeMs sentAt, const absl::StatusOr<Membership> &membership) -> void;
    auto checkHeld() -> void;
    auto onChecked(std::int64_t partition, std::int64_t token, bool isHeld) -> void;
    auto logStoreChange(const absl::Status &status) -> void; // Logs changes only.
    auto pollOwners() -> void;
    auto onOwnersPolled(const Owners &owners) -> void;
    auto stepDown() -> void;
    auto hasRegularOwner() const -> bool;

    EventLoop          &loop_;
    OwnershipGroup     &group_;
    const NodeSettings &settings_;
    std::string         member_;
    Ownership           ownership_;
    Owners              owners_;
    TimeMs              lastContactAt_ = 0; // Last renewal, or last poll by a reserve. 0: none yet.
    TimeMs              ownersReadAt_ = 0;  // Start of the last read of the owners.
    TimeMs              unownedSince_ = -1; // Partitions lack an owner since then. -1: none do.
    bool                isReserve_ = false;
    bool                mayJoin_ = false;   // See allowJoin().
    bool                isJoinDue_ = false; // Joins once it may.
    bool                isMember_ = false;
    bool                isReadingOwners_ = false;
    bool                isLeaving_ = false;
    bool                isStoreLost_ = false;
};

//-----------------------------------------------------------------------------
// [SECTION] Pool task
//-----------------------------------------------------------------------------

struct PoolServices {
    JournalStore  &journal;
    WorkerService &workers;
    NodeMetrics   *metrics = nullptr; // Null: takeovers aren't measured.
    // Calls the owner of another pool, as RouterTask::route(). Empty: there is no other pool.
    std::function<void(const PoolCall &, TimeMs deadline, PoolAnswerSlot)> callPool = {};
};

// Takes over one pool, and connects its scheduler to the store and the workers. Settles with the other
// pools which one is the home of a queue, before it says that it has no such job or accepts a new one.
class PoolTask
{
public:
    PoolTask(EventLoop &loop, PoolServices services, const NodeSettings &settings,
             const FleetView &view, PoolIdentity identity, std::int64_t partition);
    ~PoolTask();
    PoolTask(const PoolTask &) = delete;
    auto operator=(const PoolTask &) -> PoolTask & = delete;

    auto setTerm(TimeMs untilMs) -> void;
    auto onViewChanged() -> void;
    auto handle(const PoolCall &call, PoolAnswerSlot slot) -> void;
    auto tick() -> void;
    auto applyDirection(const PoolDirection &direction) -> void;
    auto beginHandover() -> void;

    auto isHandoverDone() const -> bool { return !scheduler_ || scheduler_->isHandoverDone(); }
    auto isReady() const -> bool { return scheduler_ != nullptr; }
    auto isInTerm() const -> bool { return !isLeaving_ && bootMs() < termUntil_; }
    auto makeReport() -> PoolReport; // The next one to the coordinator. Not before isReady().
    auto isDormant() const -> bool;  // No queue leads to the pool, and nothing is left to do.
    auto isFenced() const -> bool { return isFenced_ || (scheduler_ && scheduler_->isFenced()); }
    auto scheduler() -> PoolScheduler * { return scheduler_.get(); }
    auto identity() const -> const PoolIdentity & { return identity_; }

private:
    // The adoption of a queue, while other pools are asked to release it.
    struct Adoption {
        std::vector<std::pair<PoolCall, PoolAnswerSlot>> waiting;
        QueueHome                                        home;
        std::size_t                                      unanswered = 0;
        std::string                                      refusal; // Empty: none so far.
    };

    auto adopt(const PoolCall &call, PoolAnswerSlot slot) -> void;
    auto onReleased(const std::string &queue, const std::string &pool, const PoolAnswer &answer)
        -> void;
    auto finishAdoption(const std::string &queue) -> void;
    auto release(const PoolCall &call, PoolAnswerSlot slot) -> void;
    auto answerIfSettled(const PoolCall &call, const PoolAnswerSlot &slot) const -> bool;
    auto confirmMissing(const PoolCall &call, PoolAnswerSlot slot) -> void;
    auto logMissing(const PoolCall &call) const -> void;
    auto failPendingCalls() -> void;
    auto addPending(PoolAnswerSlot slot) -> std::int64_t; // Returns its handle.
    auto fence() -> void;
    auto readJournal() -> void;
    auto onJournal(const std::vector<KeyedRecord> &records) -> void;
    auto run() -> void;      // Lets the scheduler react to an event at once.
    auto runSoon() -> void;  // The same, once for all events of a round of the loop.
    auto carryOut() -> void; // Performs the scheduler's actions.
    auto perform(AppendJournal &action) -> void;
    auto perform(AnswerCaller &action) -> void;
    auto perform(SendStart &action) -> void;
    auto perform(SendStop &action) -> void;
    auto perform(SendPace &action) -> void;
    auto perform(SendHold &action) -> void;
    auto perform(LogRunEvent &action) -> void;

    EventLoop                             &loop_;
    PoolServices                           services_;
    const NodeSettings                    &settings_;
    const FleetView                       &view_;
    PoolIdentity                           identity_;
    std::int64_t                           partition_;
    TimeMs                                 termUntil_ = 0;
    TimeMs                                 takeoverStartedAt_ = 0;
    bool                                   isFenced_ = false;  // A newer owner has taken over.
    bool                                   isLeaving_ = false; // A handover has begun.
    std::unique_ptr<PoolScheduler>         scheduler_;         // Null: the journal isn't read yet.
    std::int64_t                           lastHandle_ = 0;    // Last one given to a call.
    std::int64_t                           lastReport_ = 0;    // Number of the last report.
    std::int64_t                           coordinator_ = 0;   // See PoolReport::coordinator.
    std::map<std::int64_t, PoolAnswerSlot> pendingCalls_; // Calls without an answer, by handle.
    std::map<std::string, Adoption>        adoptions_;    // By queue.
    bool                                   isRunning_ = false; // run() is active.
    bool                                   isRunDue_ = false;  // runSoon() has posted a run().
    std::shared_ptr<bool>                  isAlive_ =
        std::make_shared<bool>(true); // False: destroyed, so late answers are dropped.
};

// The pools that this node owns.
class PoolsTask
{
public:
    PoolsTask(EventLoop &loop, PoolServices services, const NodeSettings &settings,
              DirectoryTask &directory, OwnershipTask &ownership);

    auto handle(const PoolCall &call, PoolAnswerSlot slot) -> void;
    auto setCallPool(decltype(PoolServices::callPool) callPool) -> void;
    auto pools() -> std::map<std::string, std::unique_ptr<PoolTask>> & { return pools_; }

    sigc::signal<void()> ticked; // All schedulers have been ticked.

    // Hands over all pools, or those that this node no longer owns. Calls `done` when that is complete,
    // or at a timeout.
    auto startHandover(bool isAll, std::function<void()> done) -> void;

private:
    auto refresh() -> void; // Creates tasks for pools that were acquired, and ends fenced ones.
    auto isOwned(const std::string &name, const PoolTask &pool) const -> bool;
    auto checkHandover() -> void;
    auto tick() -> void;

    EventLoop                                       &loop_;
    PoolServices                                     services_;
    const NodeSettings                              &settings_;
    DirectoryTask                                   &directory_;
    OwnershipTask                                   &ownership_;
    std::map<std::string, std::unique_ptr<PoolTask>> pools_;
    std::set<std::string>                            leaving_; // Pools being handed over.
    std::set<std::string>
        asked_; // Pools that another node asked for and the rules here don't name.
    // Last token by pool. A token is used by one scheduler only: a second one would number its appends
    // from 1 again, and the store would ignore them as repeats.
    std::map<std::string, std::int64_t> usedTokens_;
    TimeMs                              handoverTimeoutAt_ = 0;
    std::vector<std::function<void()>>  onHandoverDone_; // Empty: no handover is in progress.
    std::unique_ptr<Timer>              timer_;
};

//-----------------------------------------------------------------------------
// [SECTION] Router task
//-----------------------------------------------------------------------------

// Decides which owners a node calls while it is isolated from the store. It can't learn of new owners then,
// so calls to an owner that didn't answer fail immediately instead of waiting for another owner.
class OwnerReachability
{
public:
    // Commands.
    auto onAnswer(const std::string &address, bool isComplete) -> void;
    auto mayCall(const std::string &address, bool isIsolated) -> bool; // Resets unless isolated.

    // Queries.
    auto mayRetry(TimeMs now, TimeMs deadline, TimeMs retryMs, bool isIsolated) const -> bool;

private:
    std::set<std::string> unresponsive_; // Addresses that didn't answer.
};

// Routes calls to the owner of a pool, here or on a peer, and retries while ownership changes.
class RouterTask
{
public:
    RouterTask(EventLoop &loop, ConnectionPool &peers, const NodeSettings &settings,
               PoolsTask &pools, OwnershipTask &ownership);

    // Answers once. Calls to peers end by `deadline`, on the steady clock. NotOwner: nothing had an effect.
    auto route(const PoolCall &call, TimeMs deadline, PoolAnswerSlot slot) -> void;

private:
    struct RoutedCall {
        PoolCall       call;
        TimeMs         deadline = 0;
        PoolAnswerSlot slot;
        bool           isUnknown = false; // An attempt may have had an effect.
        int            attempts = 0;
    };
    // The same call to the earlier homes of its queue, one after another.
    struct EarlierHomes {
        std::vector<std::string> pools;
        std::size_t              next = 0;
        std::int64_t             count = 0; // Sum, for CountPending.
    };
    using EarlierHomesPtr = std::shared_ptr<EarlierHomes>;

    auto askEarlierHomes(const std::shared_ptr<RoutedCall> &routed, const EarlierHomesPtr &homes)
        -> void;
    auto onEarlierHome(const std::shared_ptr<RoutedCall> &routed, const EarlierHomesPtr &homes,
                       const PoolAnswer &answer) -> void;

    auto handleHere(const std::shared_ptr<RoutedCall> &routed) -> void;
    auto attempt(const std::shared_ptr<RoutedCall> &routed) -> void;
    auto onAnswer(const std::shared_ptr<RoutedCall> &routed, const PoolAnswer &answer) -> void;

    EventLoop          &loop_;
    ConnectionPool     &peers_;
    const NodeSettings &settings_;
    PoolsTask          &pools_;
    OwnershipTask      &ownership_;
    OwnerReachability   reachability_;
};

//-----------------------------------------------------------------------------
// [SECTION] Coordinator task
//-----------------------------------------------------------------------------

// Runs the coordinator while this node owns its partition.
class CoordinatorTask
{
public:
    struct Services {
        JournalStore   &journal;
        MachineService &machines;
        Directory      &directory;
        NodeMetrics    *metrics = nullptr; // None: nothing is exported.
    };

    CoordinatorTask(EventLoop &loop, Services services, const NodeSettings &settings,
                    DirectoryTask &directory, OwnershipTask &ownership);

    // Returns nothing if this node isn't the coordinator, is out of its term, or has no rules yet. A report that
    // doesn't count gets no grants.
    auto handle(const PoolReport &report) -> std::optional<PoolDirection>;

private:
    // State of one period as the coordinator, under one fencing token.
    struct Tenure {
        std::int64_t   token = 0;
        ReportOrder    order;
        QuotaLedger    ledger;
        MachinePlanner planner;
        bool           isRecordRead = false; // The previous coordinator's record was read.
    };
    using TenurePtr = std::shared_ptr<Tenure>;

    auto refresh() -> void;
    auto fence(const TenurePtr &tenure) -> void;
    auto readRecord(const TenurePtr &tenure) -> void;
    auto append(const TenurePtr &tenure, const RecordCalls &action) -> void;
    auto releaseCalls(const TenurePtr &tenure, std::int64_t sequence) -> void;
    auto carryOut() -> void;
    auto writer(const Tenure &tenure, std::int64_t sequence) const -> JournalWriter;
    auto retryLater(const TenurePtr &tenure, std::function<void()> action) -> void;
    auto perform(const RecordCalls &action) -> void;
    auto tick() -> void;
    auto logArrivals() -> void;
    auto isInTerm() const -> bool;
    auto identity() const -> CoordinatorIdentity;
    auto perform(const ListMachines &action) -> void;
    auto perform(const MoveMachine &action) -> void;
    auto perform(const MaintainMachine &action) -> void;
    auto perform(const WriteWaveState &action) -> void;

    EventLoop             &loop_;
    Services               services_;
    const NodeSettings    &settings_;
    DirectoryTask         &directory_;
    OwnershipTask         &ownership_;
    TenurePtr              tenure_; // Null: not the coordinator. Calls in flight keep the old one.
    std::unique_ptr<Timer> timer_;
};

// Reports on the pools owned here, and applies the coordinator's directions to them.
class ReporterTask
{
public:
    ReporterTask(EventLoop &loop, ConnectionPool &peers, const NodeSettings &settings,
                 PoolsTask &pools, CoordinatorTask &coordinator, OwnershipTask &ownership);

    auto report() -> void; // Reports on all pools for which that is due.

private:
    // The coordinator, by its member's name, knows the last report on a pool.
    struct Settled {
        std::string coordinator;
        TimeMs      until = 0; // When to report on the pool again while it is dormant.
    };

    // What the last report on a pool showed, in thousandths of a core.
    struct ReportedDemand {
        std::int64_t cpu = 0;
        std::int64_t workerCpu = 0;
    };

    auto reportRises() -> void; // Reports on pools whose demand has risen clearly.
    auto isReportDue(const std::string &name, const PoolTask &pool) const -> bool;
    auto reportPool(const std::string &name, PoolTask &pool) -> void;
    auto logStatus(const PoolReport &report, PoolTask &pool) -> void;
    auto onDirection(const PoolReport &report, const std::string &coordinator,
                     const PoolDirection &direction) -> void;

    ConnectionPool       &peers_;
    const NodeSettings   &settings_;
    PoolsTask            &pools_;
    CoordinatorTask      &coordinator_;
    OwnershipTask        &ownership_;
    std::set<std::string> pendingReports_;  // Pools whose report has no answer yet.
    std::int64_t          newestToken_ = 0; // Highest coordinator token. Lower ones are ignored.
    std::map<std::string, TimeMs>         nextStatusAt_;   // When to log the next status, by pool.
    std::map<std::string, Settled>        settled_;        // By pool.
    std::map<std::string, ReportedDemand> reportedDemand_; // By pool.
    std::unique_ptr<Timer>                timer_;
};

//-----------------------------------------------------------------------------
// [SECTION] Explanation task
//-----------------------------------------------------------------------------

// Answers where a job would be placed if it were submitted now: here if this node owns the pool, or by its owner.
// Records nothing, and submits nothing.
//
// Body of a call: {"job": TEXT, "queue": NAME, "tenant": NAME, "relayed": false}. `job` is the body of a submission
// as text, `tenant` is empty for queues that are open to all. A relayed call isn't relayed again. Status 200 has the
// explanation as JSON; 400, 404 and 503 have {"error": TEXT}.
class ExplanationTask
{
public:
    using ReplySlot = std::function<void(const HttpReply &)>;

    ExplanationTask(EventLoop &loop, HttpClient &peers, const NodeSettings &settings,
                    DirectoryTask &directory, PoolsTask &pools, OwnershipTask &ownership);

    auto handle(std::string_view body, ReplySlot slot) -> void;

private:
    struct Question {
        std::string queue;
        std::string tenant;
        std::string job;
        bool        isRelayed = false;
        std::string pool;
        JobSpec     spec;
        TimeMs      deadline = 0;
        ReplySlot   slot;
    };
    using QuestionPtr = std::shared_ptr<Question>;

    auto attempt(const QuestionPtr &question) -> void;
    auto answerHere(const QuestionPtr &question) -> bool;
    auto relay(const QuestionPtr &question, const std::string &address) -> void;
    auto retry(const QuestionPtr &question, const std::string &reason) -> void;

    EventLoop          &loop_;
    HttpClient         &peers_;
    const NodeSettings &settings_;
    DirectoryTask      &directory_;
    PoolsTask          &pools_;
    OwnershipTask      &ownership_;
};

//-----------------------------------------------------------------------------
// [SECTION] Peer task
//-----------------------------------------------------------------------------

// Serves calls of other nodes for pools owned here.
class PeerServerTask
{
public:
    PeerServerTask(EventLoop &loop, const NodeSettings &settings, HttpClient &store,
                   PoolsTask &pools, CoordinatorTask &coordinator, ExplanationTask &explanations);

    auto listen() -> absl::Status;

private:
    auto onRequest(const HttpRequest &request) -> void;
    auto onCall(const HttpRequest &request) -> void;
    auto onReport(const HttpRequest &request) -> void;
    auto onStoreCall(const HttpRequest &request) -> void;
    auto refuse(const HttpRequest &request, const absl::Status &status) -> void;

    const NodeSettings &settings_;
    HttpClient         &store_; // Direct, so that no call is relayed twice.
    PoolsTask          &pools_;
    CoordinatorTask    &coordinator_;
    ExplanationTask    &explanations_;
    HttpServer          server_;
};

//-----------------------------------------------------------------------------
// [SECTION] Caller task
//-----------------------------------------------------------------------------

// Serves callers, and the readiness checks of the load balancer.
class JobCallerTask
{
public:
    JobCallerTask(EventLoop &loop, const NodeSettings &settings, NodeMetrics &metrics,
                  DirectoryTask &directory, OwnershipTask &ownership, RouterTask &router);

    auto listen() -> absl::Status;
    auto beginStop() -> void;
    auto open() const -> std::size_t { return server_.open(); } // Requests without a reply.

private:
    auto onRequest(const HttpRequest &request) -> void;
    auto submit(const HttpRequest &request, const JobRequest &call, const QueueRule &queue,
                const std::string &id) -> void;
    auto routeSimple(const HttpRequest &request, const JobRequest &call, const QueueRule &queue,
                     PoolVerb verb, const std::string &id) -> void;
    auto refuse(ExchangeId id, int status, std::string_view reason, TimeMs retryAfterMs = 0)
        -> void;
    auto answer(ExchangeId id, int status, std::string body) -> void;
    auto deadlineOf(const JobRequest &call) const -> TimeMs;
    auto isReady() const -> bool;
    auto send(ExchangeId id, HttpReply reply) -> void;

    // A call without a reply, for the metrics.
    struct OpenCall {
        std::string verb;
        TimeMs      arrivedAt = 0;
    };

    const NodeSettings &settings_;
    NodeMetrics        &metrics_;
    DirectoryTask      &directory_;
    OwnershipTask      &ownership_;
    RouterTask         &router_;
    HttpServer          server_;
    HttpServer          readyServer_;
    bool                isStopping_ = false;

    std::map<ExchangeId, OpenCall> calls_;
};

} // namespace peridotwalk
