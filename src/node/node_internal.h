// Tasks of a node. Each owns its state; they talk by signals and calls on the event loop. Only for the
// sources of this library.
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

enum class PoolVerb { Submit, Cancel, Query, CountPending };

// What a node asks the owner of a pool.
struct PoolCall {
    PoolVerb    verb = PoolVerb::Query;
    std::string pool;
    std::string job;   // Id. Empty for CountPending.
    std::string queue; // For CountPending.
    JobSpec     spec;  // For Submit.
};

enum class PoolStatus {
    Ok,
    Missing,  // The owner knows no such job.
    Refused,  // Not taken, and never will be under this call.
    NotOwner, // Nothing was done. Another node owns the pool, or nobody yet.
    Unknown,  // It may have been done.
};

struct PoolAnswer {
    PoolStatus   status = PoolStatus::Unknown;
    JobState     state = JobState::Queued; // For Query.
    std::int64_t count = 0;                // For CountPending.
    std::string  reason = {};
    TimeMs       retryAfterMs = 0;
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

// The coordinator owns the partition of this name, as an owner owns that of its pool.
constexpr std::string_view kCoordinatorName = "coordinator";

// A member's name is NODE@ADDRESS#LIFE, and ends with kReserveMark if the node is a reserve.
constexpr std::string_view kReserveMark = "~reserve";

// Returns the address in a member's name. Empty if there is none.
auto addressOf(std::string_view member) -> std::string;

// Returns whether both names are of one node, in different lives.
auto isOtherIncarnation(std::string_view member, std::string_view other) -> bool;

//-----------------------------------------------------------------------------
// [SECTION] Directory task
//-----------------------------------------------------------------------------

// Follows operators' rules and workers' reports.
class DirectoryTask
{
public:
    DirectoryTask(EventLoop &loop, Directory &directory, const NodeSettings &settings);

    auto start() -> void;
    auto setOwner(bool isOwner) -> void { isOwner_ = isOwner; } // Of any pool.
    auto setMember(bool isMember) -> void;                      // Others don't follow workers.
    auto view() const -> const FleetView & { return view_; }
    auto hasCatalog() const -> bool { return view_.catalog.version() > 0; }
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
    Offset              operatorsAt_ = -1;
    Offset              workersAt_ = -1;
    bool                hasWorkers_ = false;
    bool                isOwner_ = false;
    bool                isMember_ = false;
    bool                isReadingWorkers_ = false;
    bool                areOperatorsLost_ = false;
    bool                areWorkersLost_ = false;
};

//-----------------------------------------------------------------------------
// [SECTION] Ownership task
//-----------------------------------------------------------------------------

// Renews this node's membership, and knows who owns each partition.
//
// A node with a small share of a processor is a reserve: it watches, joins only while partitions have no
// owner, and leaves once a stronger node is there. A store deals partitions evenly and knows no weights.
class OwnershipTask
{
public:
    OwnershipTask(EventLoop &loop, OwnershipGroup &group, const NodeSettings &settings,
                  std::string member);

    auto start() -> void;
    auto beginLeave() -> void;    // Nothing is renewed any more.
    auto leave() -> void;         // After the pools were handed over.
    auto refreshOwners() -> void; // At most one reading at a time.

    auto ownership() const -> const Ownership & { return ownership_; }
    auto memberOf(std::string_view pool) const -> std::string; // Empty: not known.
    auto member() const -> const std::string & { return member_; }
    auto peers() const -> std::vector<std::string>; // Addresses of other members.
    auto isMember() const -> bool { return isMember_; }
    auto lastRenewedAt() const -> TimeMs { return lastRenewedAt_; }
    auto isAway() const -> bool; // Lost the store for a while: it learns of no new owners.

    // Called with what to do once the pools that were lost are handed over.
    std::function<void(std::function<void()>)>  handOverLost;
    sigc::signal<void(const OwnershipChange &)> changed;
    sigc::signal<void(TimeMs)>                  renewed; // The end of the term.
    sigc::signal<void(bool)>                    memberChanged;

private:
    using Owners = std::map<std::int64_t, std::string>;

    auto endFormerLife() -> void;
    auto join() -> void;
    auto renew() -> void;
    auto onRenewed(TimeMs sentAt, const absl::StatusOr<Membership> &membership) -> void;
    auto noteStore(const absl::Status &status) -> void; // In the log, at changes only.
    auto watch() -> void;
    auto onWatched(const Owners &owners) -> void;
    auto standBack() -> void;
    auto hasStrongOwner() const -> bool;

    EventLoop          &loop_;
    OwnershipGroup     &group_;
    const NodeSettings &settings_;
    std::string         member_;
    Ownership           ownership_;
    Owners              owners_;
    TimeMs              lastRenewedAt_ = 0; // Or watched.
    TimeMs              ownersReadAt_ = 0;
    TimeMs              unownedSince_ = -1; // Watched partitions without an owner.
    bool                isReserve_ = false;
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
    NodeMetrics   *metrics = nullptr; // Nothing: takeovers aren't noted.
};

// Takes one pool over, and connects its scheduler to the store and the workers.
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
    auto beginHandOver() -> void;

    auto isHandedOver() const -> bool { return !scheduler_ || scheduler_->isHandedOver(); }
    auto isReady() const -> bool { return scheduler_ != nullptr; }
    auto isFenced() const -> bool { return isFenced_ || (scheduler_ && scheduler_->isFenced()); }
    auto scheduler() -> PoolScheduler * { return scheduler_.get(); }
    auto identity() const -> const PoolIdentity & { return identity_; }

private:
    auto fence() -> void;
    auto readJournal() -> void;
    auto onJournal(const std::vector<KeyedRecord> &records) -> void;
    auto run() -> void;      // After an event.
    auto carryOut() -> void; // What the scheduler decided.
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
    TimeMs                                 beganAt_ = 0;
    bool                                   isFenced_ = false;
    bool                                   isLeaving_ = false;
    std::unique_ptr<PoolScheduler>         scheduler_; // Nothing until the journal was read.
    std::int64_t                           lastHandle_ = 0;
    std::map<std::int64_t, PoolAnswerSlot> callers_;
    bool                                   isRunning_ = false;
    std::shared_ptr<bool>                  isAlive_ =
        std::make_shared<bool>(true); // False: late answers go nowhere.
};

// The pools that this node owns.
class PoolsTask
{
public:
    PoolsTask(EventLoop &loop, PoolServices services, const NodeSettings &settings,
              DirectoryTask &directory, OwnershipTask &ownership);

    auto handle(const PoolCall &call, PoolAnswerSlot slot) -> void;
    auto pools() -> std::map<std::string, std::unique_ptr<PoolTask>> & { return pools_; }

    // Hands over what isn't owned any more, or everything, and calls `done` when that is through, or
    // after a while.
    auto handOver(bool isAll, std::function<void()> done) -> void;

private:
    auto refresh() -> void; // Makes and ends tasks for what is owned now.
    auto isOwned(const std::string &name, const PoolTask &pool) const -> bool;
    auto checkHandOver() -> void;
    auto tick() -> void;

    EventLoop                                       &loop_;
    PoolServices                                     services_;
    const NodeSettings                              &settings_;
    DirectoryTask                                   &directory_;
    OwnershipTask                                   &ownership_;
    std::map<std::string, std::unique_ptr<PoolTask>> pools_;
    std::set<std::string>                            leaving_; // Being handed over.
    // By pool. A token stands for one life of a scheduler: with the numbers of its appends begun anew,
    // the store would take them for repeats.
    std::map<std::string, std::int64_t>              usedTokens_;
    TimeMs                                           leavingUntil_ = 0;
    std::function<void()>                            handedOver_;
    std::unique_ptr<Timer>                           timer_;
};

//-----------------------------------------------------------------------------
// [SECTION] Router task
//-----------------------------------------------------------------------------

// Which owners don't answer a node that is away from the store. It learns of no new owner there, so callers
// that wait for one only lose their time.
class OwnerReach
{
public:
    // Commands.
    auto onAnswer(const std::string &address, bool isComplete) -> void;
    auto mayCall(const std::string &address, bool isAway) -> bool; // Forgets all unless it is away.

    // Queries.
    auto mayTryAgain(TimeMs now, TimeMs deadline, TimeMs retryMs, bool isAway) const -> bool;

private:
    std::set<std::string> silent_;
};

// Brings calls to the owner of a pool, here or on a peer, and tries again while ownership moves.
class RouterTask
{
public:
    RouterTask(EventLoop &loop, ConnectionPool &peers, const NodeSettings &settings,
               PoolsTask &pools, OwnershipTask &ownership);

    // Answers once, before the deadline on the steady clock. NotOwner: nothing was done anywhere.
    auto route(const PoolCall &call, TimeMs deadline, PoolAnswerSlot slot) -> void;

private:
    struct Trip {
        PoolCall       call;
        TimeMs         deadline = 0;
        PoolAnswerSlot slot;
        bool           isUnknown = false; // A try may have had an effect.
        int            tries = 0;
    };

    auto attempt(const std::shared_ptr<Trip> &trip) -> void;
    auto onAnswer(const std::shared_ptr<Trip> &trip, const PoolAnswer &answer) -> void;

    EventLoop          &loop_;
    ConnectionPool     &peers_;
    const NodeSettings &settings_;
    PoolsTask          &pools_;
    OwnershipTask      &ownership_;
    OwnerReach          reach_;
};

//-----------------------------------------------------------------------------
// [SECTION] Coordinator task
//-----------------------------------------------------------------------------

// Coordinates all pools while this node holds that duty.
class CoordinatorTask
{
public:
    struct Services {
        JournalStore   &journal;
        MachineService &machines;
        Directory      &directory;
    };

    CoordinatorTask(EventLoop &loop, Services services, const NodeSettings &settings,
                    DirectoryTask &directory, OwnershipTask &ownership);

    // Returns nothing if another node is the coordinator.
    auto handle(const PoolReport &report) -> std::optional<PoolDirection>;

private:
    struct Duty {
        std::int64_t   token = 0;
        QuotaLedger    ledger;
        MachinePlanner planner;
        bool           hasBegun = false; // The former holder's record was read.
    };
    using DutyPtr = std::shared_ptr<Duty>;

    auto refresh() -> void;
    auto fence(const DutyPtr &duty) -> void;
    auto readRecord(const DutyPtr &duty) -> void;
    auto append(const DutyPtr &duty, const RecordCalls &action) -> void;
    auto releaseCalls(const DutyPtr &duty, std::int64_t sequence) -> void;
    auto carryOut() -> void;
    auto writer(const Duty &duty, std::int64_t sequence) const -> JournalWriter;
    auto later(const DutyPtr &duty, std::function<void()> action) -> void;
    auto perform(const RecordCalls &action) -> void;
    auto tick() -> void;
    auto isInTerm() const -> bool;
    auto holder() const -> MachineHolder;
    auto perform(const ListMachines &action) -> void;
    auto perform(const MoveMachine &action) -> void;
    auto perform(const MaintainMachine &action) -> void;
    auto perform(const WriteWaveState &action) -> void;

    EventLoop             &loop_;
    Services               services_;
    const NodeSettings    &settings_;
    DirectoryTask         &directory_;
    OwnershipTask         &ownership_;
    DutyPtr                duty_; // Nothing: another node has it. Calls under way keep the old one.
    std::unique_ptr<Timer> timer_;
};

// Reports on the pools owned here, and passes directions on to them.
class ReporterTask
{
public:
    ReporterTask(EventLoop &loop, ConnectionPool &peers, const NodeSettings &settings,
                 PoolsTask &pools, CoordinatorTask &coordinator, OwnershipTask &ownership);

private:
    auto report() -> void;
    auto reportPool(const std::string &name, PoolTask &pool) -> void;
    auto logStatus(const PoolReport &report, PoolTask &pool) -> void;
    auto onDirection(const std::string &name, std::int64_t token, const PoolDirection &direction)
        -> void;

    ConnectionPool               &peers_;
    const NodeSettings           &settings_;
    PoolsTask                    &pools_;
    CoordinatorTask              &coordinator_;
    OwnershipTask                &ownership_;
    std::set<std::string>         reporting_; // Pools whose report waits for its answer.
    std::int64_t                  newestToken_ = 0;
    std::map<std::string, TimeMs> statusAt_; // The next status line, by pool.
    std::unique_ptr<Timer>        timer_;
};

//-----------------------------------------------------------------------------
// [SECTION] Peer task
//-----------------------------------------------------------------------------

// Serves calls of other nodes for pools owned here.
class PeerServerTask
{
public:
    PeerServerTask(EventLoop &loop, const NodeSettings &settings, HttpClient &store,
                   PoolsTask &pools, CoordinatorTask &coordinator);

    auto listen() -> absl::Status;

private:
    auto onRequest(const HttpRequest &request) -> void;
    auto onCall(const HttpRequest &request) -> void;
    auto onReport(const HttpRequest &request) -> void;
    auto onStoreCall(const HttpRequest &request) -> void;
    auto refuse(const HttpRequest &request, const absl::Status &status) -> void;

    const NodeSettings &settings_;
    HttpClient         &store_; // Direct: a peer's call takes no second detour.
    PoolsTask          &pools_;
    CoordinatorTask    &coordinator_;
    HttpServer          server_;
};

//-----------------------------------------------------------------------------
// [SECTION] Caller task
//-----------------------------------------------------------------------------

// Serves callers, and the load balancer's question whether this node is ready.
class JobCallerTask
{
public:
    JobCallerTask(EventLoop &loop, const NodeSettings &settings, NodeMetrics &metrics,
                  DirectoryTask &directory, OwnershipTask &ownership, RouterTask &router);

    auto listen() -> absl::Status;
    auto beginStop() -> void;
    auto open() const -> std::size_t { return server_.open(); }

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

    // For the metrics.
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
