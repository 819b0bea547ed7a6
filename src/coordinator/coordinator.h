// Decisions across pools, made by one node at a time: how much of each tenant's maximum a pool may use,
// which machines are maintained now, and which move between pools. Pure logic, without I/O or clocks.
//
// Owners of pools report to the coordinator a few times a second and get directions in reply. Allowances
// stay effective while there is no coordinator, so its loss stops only their growth and machine calls.
//
// Index of this file
// [SECTION] Reports and directions
// [SECTION] Order of reports
// [SECTION] Quota ledger
// [SECTION] Demand forecast
// [SECTION] Coordinator's record
// [SECTION] Machine division
// [SECTION] Early demand
// [SECTION] Call pacing
// [SECTION] Arrival of machines
// [SECTION] Machine planner

#pragma once

#include "services/services.h"

#include <deque>
#include <optional>
#include <span>

namespace peridotwalk {

//-----------------------------------------------------------------------------
// [SECTION] Reports and directions
//-----------------------------------------------------------------------------

struct TenantReport {
    std::string tenant;
    ResourceSet allowance;      // Currently effective at the pool.
    ResourceSet used;           // In use by runs.
    ResourceSet wanted;         // Needed by waiting tasks that are ready to start.
    ResourceSet placeable = {}; // Part of `wanted` that the pool's workers have room for now.
    ResourceSet least = {}; // Smallest need in `placeable`. Less of an allowance starts nothing.
};                          // Smallest need of these. Less of an allowance is of no use.

// What rules say of a tenant. Only where the receiver's rules are older.
struct TenantMaximum {
    std::string tenant;
    ResourceSet maximum; // Component 0: no limit.
};

struct WorkerLoad {
    std::string  id;
    std::int64_t runs = 0;
    std::int64_t unboundedRuns = 0;  // Runs of unbounded tasks, included in `runs`.
    std::int64_t cpu = 0;            // Reserved by timed tasks, in thousandths of a core.
    std::int64_t unboundedCpu = 0;   // Reserved by unbounded tasks, in thousandths of a core.
    bool         isCordoned = false; // The coordinator allows no new runs there.
    bool         isUsable = false;   // Could get new runs, apart from a cordon.
    std::int64_t expiredCpu = 0;     // Part of `cpu` reserved by jobs past any use of their result.
};

struct PoolReport {
    std::string               pool;
    std::int64_t              token = 0; // Fencing token of the pool's owner.
    std::vector<TenantReport> tenants;
    std::vector<WorkerLoad>   workers;
    // Needed by tasks that lack only a worker with capacity: those that can still be on time, and
    // unbounded ones.
    ResourceSet               wanted;
    ResourceSet               perWorker; // Largest cpu and memory of any worker. Zero: no workers.
    ResourceSet  wantedLate; // As `wanted`, by tasks of late jobs. Expired ones request nothing.
    // Needed by tasks, late ones too, that wait until the owner has caught up. They keep the pool's workers busy
    // then, and request no more of them.
    ResourceSet  ownerLimited;
    // For ReportOrder.
    std::int64_t sequence = 0;      // Increases with each report of this owner.
    std::int64_t coordinator = 0;   // Token of the coordinator that directed it last. 0: none.
    bool         isDormant = false; // It has nothing to do and no queue. Names no workers.
    std::int64_t rulesVersion = 0;  // Of the rules that the owner has read.
    std::vector<TenantMaximum> maxima = {}; // By these, while the coordinator's rules are older.
    // Work that arrives for the pool, in thousandths of a core that it keeps busy. 0: not measured.
    std::int64_t               arrivingCpu = 0;
};

struct TenantGrant {
    std::string tenant;
    ResourceSet allowance;
};

struct PoolDirection {
    std::int64_t               token = 0; // Fencing token of the coordinator.
    std::vector<TenantGrant>   grants;
    std::vector<std::string>   cordoned;         // Ids of all workers that get no new runs.
    std::int64_t               rulesVersion = 0; // Of the rules that the coordinator has read.
    std::vector<TenantMaximum> maxima = {};      // By these, while the owner's rules are older.
    std::vector<std::string>   urgent =
        {}; // Cordoned workers whose machines a pool in shortage waits for.
};

// Tenants' maxima by the newest rules known here: those that this node has read, or those that another node has told of
// meanwhile.
class NewestMaxima
{
public:
    // Commands.
    auto learn(std::int64_t version, std::span<const TenantMaximum> maxima) -> void;

    // Queries.
    auto find(const Catalog &catalog, std::string_view tenant) const -> std::optional<ResourceSet>;

private:
    std::int64_t                                    version_ = 0;
    std::map<std::string, ResourceSet, std::less<>> maxima_;
};

// Returns the maxima of all tenants if the receiver's rules are older than these, else nothing.
auto maximaFor(const Catalog &catalog, std::int64_t receiversVersion) -> std::vector<TenantMaximum>;

//-----------------------------------------------------------------------------
// [SECTION] Order of reports
//-----------------------------------------------------------------------------

// Decides which reports count for one coordinator. Reports may be late, overtake each other, or come from an owner
// that doesn't know yet that it was replaced. What a report that counts says replaces all that its pool reported
// before.
class ReportOrder
{
public:
    explicit ReportOrder(std::int64_t coordinator) : coordinator_(coordinator) { }

    // Returns whether the report counts: it is of the newest owner known, and newer than those before. The first one
    // of a pool counts only if its owner has had a direction of this coordinator, as it may otherwise be older than
    // what a previous coordinator has granted since.
    auto accept(const PoolReport &report) -> bool;

private:
    struct Last {
        std::int64_t token = 0;
        std::int64_t sequence = 0;
    };

    std::int64_t                coordinator_; // Its fencing token.
    std::map<std::string, Last> last_;        // Last report that counted, by pool.
};

//-----------------------------------------------------------------------------
// [SECTION] Quota ledger
//-----------------------------------------------------------------------------

// Splits each tenant's maximum between pools: first to each what it uses and what it has room for, then of the rest a
// headroom, then what waits for more workers. The sum of their allowances never exceeds it: an allowance counts until the
// pool itself reports a smaller one, as the reply that grants it may be lost.
class QuotaLedger
{
public:
    // Commands.
    // All pools that may run something: also those that no queue leads to any more.
    auto setPools(std::set<std::string> pools) -> void;
    // Only for reports that count: see ReportOrder.
    auto grant(const PoolReport &report, const Catalog &catalog) -> std::vector<TenantGrant>;

    // Queries.
    auto isComplete() const -> bool; // Every pool has reported. No allowance grows before.

private:
    struct Share {
        ResourceSet held;     // Allowance that the pool may have, or use of it if that is more.
        ResourceSet needed;   // Used, and needed by waiting tasks that have room.
        ResourceSet roomless; // Needed by those that lack room.
    };
    // What counts in the grant of one resource.
    struct Claim {
        std::int64_t maximum = 0;     // 0: no limit.
        std::int64_t others = 0;      // Held by other pools.
        std::int64_t spare = 0;       // What no pool needs.
        std::int64_t pools = 1;       // Those that report on the tenant.
        std::int64_t allRoomless = 0; // Needed in all pools by tasks that lack room.
        std::int64_t roomless = 0;    // Part of it in this pool.
        std::int64_t held = 0;
        std::int64_t used = 0;
        std::int64_t placeable = 0;
        std::int64_t least = 0;
    };

    static auto grantAmount(const Claim &claim, bool mayGrow) -> std::int64_t;
    static auto canUseMore(const Claim &claim, std::int64_t amount) -> bool;

    std::set<std::string>                               pools_;
    std::map<std::string, std::map<std::string, Share>> shares_; // By pool, then tenant.
    NewestMaxima                                        maxima_;
};

//-----------------------------------------------------------------------------
// [SECTION] Demand forecast
//-----------------------------------------------------------------------------

struct ForecastSettings {
    double burstThreshold = 0.2;  // Demand is high above this fraction of the last peak.
    TimeMs minQuietMs = 2'000;    // A burst begins when demand gets high after being low this long.
    TimeMs burstGrowthMs = 2'500; // How long a burst counts as rising.
};

// Detects when bursts of one pool's demand begin, and how high they get, in thousandths of a core.
class DemandForecast
{
public:
    explicit DemandForecast(const ForecastSettings &settings = {}) : settings_(settings) { }

    // Commands.
    // Demand below `leastCpu` is no burst.
    auto add(TimeMs now, std::int64_t demandCpu, std::int64_t leastCpu) -> void;

    // Queries.
    auto isRising(TimeMs now) const -> bool; // A burst has begun recently.
    auto peak() const -> std::int64_t;       // Highest demand of the last two bursts.

private:
    ForecastSettings settings_;
    TimeMs           lowSince_ = -1;    // -1: demand is high.
    TimeMs           burstAt_ = -1;     // Start of the last burst. -1: there was none.
    std::int64_t     peak_ = 0;         // Highest demand of the last burst.
    std::int64_t     previousPeak_ = 0; // Highest demand of the burst before it.
    bool             isHigh_ = false;
};

//-----------------------------------------------------------------------------
// [SECTION] Coordinator's record
//-----------------------------------------------------------------------------

// What a new coordinator needs from the previous one. Written to the journal before the calls that it
// names are sent.
struct CoordinatorRecord {
    std::map<std::string, std::set<std::string>> maintained; // Finished machines, by wave.
    std::set<std::string>                        called; // Machines called in the last few seconds.
    std::set<std::string> cordoned; // Workers of machines called a while ago, perhaps still listed.

    auto operator==(const CoordinatorRecord &) const -> bool = default;
};

auto encodeCoordinator(const CoordinatorRecord &record) -> KeyedRecord;

// Returns an empty record if none was written yet, and an error for a record that can't be decoded.
auto findCoordinator(const std::vector<KeyedRecord> &records) -> absl::StatusOr<CoordinatorRecord>;

//-----------------------------------------------------------------------------
// [SECTION] Machine division
//-----------------------------------------------------------------------------

// Machines that a pool needs, in stages. Each stage includes the ones before it.
struct PoolDemand {
    std::int64_t required = 0; // For unbounded tasks, and to be able to start anything.
    std::int64_t onTime = 0;   // For all work that can still be on time.
    std::int64_t late = 0;     // For late work that is still of use, too.
    std::int64_t expected = 0; // For a burst that has just begun to reach the last peak.
};

// Divides machines between pools that together need more than there are, as when several bursts meet:
// stage by stage, and within the stage that can't be met, the same part of each pool's need. Returns the
// machines of each pool, at most its need.
auto divideMachines(std::span<const PoolDemand> pools, std::int64_t machines)
    -> std::vector<std::int64_t>;

//-----------------------------------------------------------------------------
// [SECTION] Early demand
//-----------------------------------------------------------------------------

// Decides for one pool when the work that arrives counts as demand. It begins to count at 1.5 times the demand of
// runs and waiting tasks, and goes on until that demand has reached it, so that machines aren't given up in between.
class EarlyDemand
{
public:
    // Commands. All amounts in thousandths of a core; `workerCpu` is that of one worker.
    auto add(std::int64_t arrivingCpu, std::int64_t demandCpu, std::int64_t workerCpu) -> void;

    // Queries.
    auto cpu() const -> std::int64_t { return cpu_; } // 0: arrivals don't count.

private:
    std::int64_t cpu_ = 0;
    bool         isCounting_ = false;
};

// Returns whether demand has risen enough to be reported and planned for at once: by a quarter and by two workers.
auto hasDemandRisen(std::int64_t lastCpu, std::int64_t nowCpu, std::int64_t workerCpu) -> bool;

//-----------------------------------------------------------------------------
// [SECTION] Call pacing
//-----------------------------------------------------------------------------

// Keeps machine calls below the rate that the platform accepts: 0.9 times the rate, with a burst of a quarter of a
// second's calls.
class CallPacer
{
public:
    explicit CallPacer(double callsPerS); // 0 or less: the rate isn't known, and nothing is paced.

    // Commands.
    auto take(TimeMs now) -> bool; // Returns whether a call may be sent now, and counts it.
    auto onThrottled(TimeMs now)
        -> void; // The platform has rejected a call: it accepts no burst now.

    // Queries.
    auto isPaced() const -> bool { return callsPerMs_ > 0; }
    auto burst() const -> std::int64_t { return static_cast<std::int64_t>(burst_); }

private:
    auto refill(TimeMs now) -> void;

    double callsPerMs_ = 0;
    double burst_ = 0;
    double available_ = 0;
    TimeMs refilledAt_ = -1; // -1: never.
};

//-----------------------------------------------------------------------------
// [SECTION] Arrival of machines
//-----------------------------------------------------------------------------

// How long each stage of a move took, in ms. Times of workers are those of the reports that named them.
struct MachineArrival {
    std::string machine;
    std::string pool;
    std::string worker;
    TimeMs      choiceMs =
        0;             // From demand in excess of the pool's workers to the choice of the machine.
    TimeMs callMs = 0; // From the choice to the call.
    TimeMs answerMs = 0; // From the call to its answer.
    TimeMs workerMs = 0; // From the answer to the worker's first entry in the directory.
    TimeMs startMs = 0;  // From there to its first start.
};

// Measures moves to active pools. For logs and metrics only: no decision rests on it.
class ArrivalTracker
{
public:
    // Commands.
    auto setShort(TimeMs now, std::string_view pool, bool isShort) -> void;
    auto onChosen(TimeMs now, const std::string &machine, const std::string &pool) -> void;
    auto onCalled(TimeMs now, const std::string &machine, const std::string &worker) -> void;
    auto onAnswered(TimeMs now, const std::string &machine) -> void; // It moves, or may move.
    auto drop(const std::string &machine) -> void;                   // It doesn't move.
    auto onReport(TimeMs now, const PoolReport &report) -> void;
    // A list names the worker of a machine in a pool.
    auto onWorker(const std::string &machine, std::string_view pool, const std::string &worker)
        -> void;
    auto takeArrivals(TimeMs now) -> std::vector<MachineArrival>;

private:
    struct Move {
        std::string pool;
        std::string calledWorker; // Of the machine at the call.
        std::string worker;       // In the pool. Empty: none is known yet.
        TimeMs      neededAt = 0;
        TimeMs      chosenAt = 0;
        TimeMs      calledAt = -1;
        TimeMs      answeredAt = -1;
    };
    struct WorkerTimes {
        TimeMs listedAt = 0;   // First report that names it.
        TimeMs startedAt = -1; // First report with a run of it.
    };

    std::map<std::string, Move>                                            moves_; // By machine.
    std::map<std::string, TimeMs, std::less<>>                             shortSince_; // By pool.
    std::map<std::string, std::map<std::string, WorkerTimes>, std::less<>> workers_;    // By pool.
};

//-----------------------------------------------------------------------------
// [SECTION] Machine planner
//-----------------------------------------------------------------------------

struct PlannerSettings {
    // A new coordinator waits this long before it calls machines that the previous one called recently.
    TimeMs takeoverDelayMs = 3'000;
    TimeMs recentCallMs = 3'500;       // How long the record lists a machine after a call.
    TimeMs minMaintenanceMs = 2'000;   // Minimum time that a machine is down for maintenance.
    TimeMs maxMaintenanceMs = 10'000;  // Maximum time that one counts as down, if not back.
    TimeMs expectedDrainMs = 2'500;    // Usual time to drain a machine. Paces waves.
    TimeMs unlistedTimeoutMs = 10'000; // An unlisted machine counts as removed after this.
    TimeMs maxReportAgeMs = 700;       // Maximum age of a pool's report that is relied on.
    TimeMs listIntervalMs = 500;       // Between a list of machines and the next request.
    TimeMs callRetryMs = 500;          // Delay after a refused or unanswered call.
    TimeMs settleMs = 6'000;           // Called machines are unavailable this long, if not back.
    TimeMs calledCordonMs = 12'000;    // How long a called machine's worker stays cordoned.
    TimeMs idleBeforeMoveMs = 300;     // Minimum idle time before moves to pools in shortage.
    TimeMs idleBeforeStandbyMs = 900;  // Minimum idle time before a move to the standby pool.
    TimeMs blockedTimeoutMs = 500;     // A pool that lacks workers longer gets a machine.
    double headroomFactor = 1.03;      // Wanted capacity, as a multiple of demand.
    double burstGrowthFactor = 1.5;    // Minimum growth assumed of a burst that begins.
    double minBurstMachines = 2.0;     // Minimum demand of a burst, in machines.
    double yieldFactor = 1.15;     // A pool with more than that of its need gives busy machines up,
    TimeMs yieldAfterMs = 500;     // once it has had them for this long while another lacks some.
    double minBurstFraction = 0.1; // Minimum demand of a burst, of the highest peak of any pool.
    std::int64_t minMachines = 3;  // Minimum number of machines that a pool wants.
    std::int64_t maxFloorMachines = 40; // The minimum sizes below are at most this.
    // Minimum size of a pool, as a fraction of an even split of all machines between active pools.
    double       standbyFloorFraction = 0.42; // For moves to the standby pool.
    double       moveFloorFraction = 0.3;     // For moves to a pool in shortage.
    double       maxCordonedFraction = 0.34;  // Maximum fraction of a pool to drain at a time.
    bool         isMovingEnabled = true;      // Whether machines move between pools.
    TimeMs       throttledRetryMs = 100;      // Delay after a throttled call, if calls are paced.
    double       callsPerS = 0; // Calls to machines that the platform takes a second. 0: not known.
    bool         isDemandEarly =
        false; // Machines follow the work that arrives, not only the work that waits.
};

struct ListMachines {
};
struct MoveMachine {
    std::string machine;
    std::string pool;
};
struct MaintainMachine {
    std::string machine;
    std::string wave;
};
struct RecordCalls {
    std::int64_t      sequence = 0; // Number of the append: 1 for a coordinator's first.
    CoordinatorRecord record;
};
struct WriteWaveState {
    std::string wave;
    bool        isCompleted = false;
};
using PlannerAction =
    std::variant<ListMachines, RecordCalls, MoveMachine, MaintainMachine, WriteWaveState>;

class MachinePlanner
{
public:
    explicit MachinePlanner(const PlannerSettings &settings)
        : settings_(settings), pacer_(settings.callsPerS)
    {
    }

    // Commands.
    // To be called when this node has become the coordinator. `before` is the previous one's record.
    auto begin(TimeMs now, const CoordinatorRecord &before) -> void;
    auto setWaves(TimeMs now, const std::map<std::string, WaveOrder> &waves) -> void;
    auto setCatalog(const Catalog &catalog) -> void;
    auto setEvacuated(const std::set<std::string> &zones) -> void; // Their machines don't count.
    auto onReport(TimeMs now, const PoolReport &report) -> void;
    auto onListed(TimeMs now, const std::vector<MachineEntry> &machines) -> void;
    auto onListFailed(TimeMs now) -> void;
    // The journal has the record: releases the calls that it names.
    auto onRecorded(TimeMs now, std::int64_t sequence) -> void;
    auto onMoved(TimeMs now, const MoveMachine &call, const MachineReply &reply) -> void;
    auto onMaintained(TimeMs now, const MaintainMachine &call, const MachineReply &reply) -> void;
    auto onWaveWritten(const WriteWaveState &call, CallOutcome outcome) -> void;
    auto tick(TimeMs now) -> void;
    auto takeActions() -> std::vector<PlannerAction>;
    auto takeArrivals(TimeMs now) -> std::vector<MachineArrival>; // Moves that were completed.

    // Queries.
    // Returns whether demand has risen since the last tick, so that the next one shouldn't be waited for.
    auto isTickDue() const -> bool { return isTickDue_; }
    // Returns workers that get no new runs: the pool's own, and any whose machine was just called.
    auto cordonedWorkers(TimeMs now, std::string_view pool) const -> std::vector<std::string>;
    // Returns those of the pool's cordoned workers whose machines a pool in shortage waits for. Machines
    // that are drained for waves or for standby aren't among them, nor those that were called already.
    auto urgentWorkers(std::string_view pool) const -> std::vector<std::string>;

private:
    struct Wave {
        WaveOrder             order;
        TimeMs                learnedAt = 0; // When this coordinator learned of it.
        std::set<std::string> done;          // Maintained or removed machines.
        bool                  isRunningWritten = false;
        bool                  isCompletedWritten = false;
        bool                  isWriting = false;  // Its state is being written.
        bool                  isRestored = false; // Begun under a previous coordinator.
    };
    struct Machine {
        MachineEntry entry;                // As last listed.
        bool         isListed = false;     // In the last list.
        TimeMs       listedAt = -1;        // When a list last named it. -1: never.
        TimeMs       calledAt = -1;        // Last call, sent or queued. -1: none.
        TimeMs       maintainedAt = -1;    // Latest time of a stop for maintenance. -1: none.
        bool         isCalling = false;    // A call is queued or in flight.
        TimeMs       unavailableUntil = 0; // Counts as unavailable until then, if not back.
        TimeMs       answeredAt = -1;      // End of the last call. -1: there was none.
        bool         wasListedUnavailable = false; // Listed in another state than Up since a call.
        std::string  calledWorker;                 // Id of its worker at the last call.
        TimeMs       retryAt = 0;                  // No call before that.
        TimeMs       idleSince = -1;               // -1: not idle.
        std::string  wantedPool; // Being drained to move there. Empty: no move is planned.
        std::string  wantedWave; // Being drained for this wave. Empty: for none.
        std::string  movingTo; // Pool that it was called to move to, until it is back. Empty: none.
        std::set<std::string> refusedPools; // The platform refuses to move it there.
    };
    struct Pool {
        PoolReport                        report;
        std::map<std::string, WorkerLoad> workers; // By id.
        DemandForecast                    forecast;
        EarlyDemand                       early;
        std::int64_t                      highestCpu = 0; // Highest demand without arrivals.
        std::int64_t                      demandCpu = 0;  // With early demand: as last reported.
        std::int64_t                      plannedCpu = 0; // With early demand: as of the last tick.
        TimeMs                            blockedSince = -1;   // Tasks lack a worker. -1: none do.
        TimeMs                            reportedAt = -1;     // -1: never.
        TimeMs                            ownerSince = 0;      // First report of this owner.
        bool                              isFirstOwner = true; // The first that reported here.
        TimeMs                            overSince = -1;      // It has more than it needs. -1: no.
    };

    // Numbers of machines.
    struct Balance {
        std::int64_t have = 0;    // Usable ones, and those on their way.
        std::int64_t target = 0;  // The pool's part of all machines.
        std::int64_t missing = 0; // The pool's shortage.
        std::int64_t movable = 0; // May move to a pool in shortage.
        std::int64_t surplus = 0; // May move to the standby pool.
    };
    using Balances = std::map<std::string, Balance, std::less<>>;

    struct MachineCall {
        std::string machine;
        std::string pool; // Where to move it. Empty: it is maintained.
        std::string wave; // What it is maintained for. Empty: it is moved.
    };

    auto planWaves(TimeMs now) -> void;
    auto planWave(TimeMs now, Wave &wave) -> void;
    auto countUnavailable(TimeMs now, const Wave &wave) -> std::int64_t;
    auto neededAtOnce(TimeMs now, const Wave &wave) const -> std::int64_t;
    auto isSpare(TimeMs now, const Machine &machine) const -> bool; // No pool would miss it.
    auto loadOf(const Machine &machine) const -> const WorkerLoad *;
    auto drainOrder(const Machine &machine) const -> std::pair<std::int64_t, std::int64_t>;
    auto mayBeDown(TimeMs now, const Machine &machine) const -> bool; // In maintenance.
    auto isRemoved(TimeMs now, const Machine &machine) const -> bool;
    auto recordCalls(TimeMs now) -> void;
    auto planMoves(TimeMs now) -> void;
    auto updateShortages(const Balances &balances) -> void;
    auto mayPlanMoves(TimeMs now) -> bool;
    auto callDrainedMachines(TimeMs now) -> void;
    auto findDrainedMachines(TimeMs now) -> std::vector<std::pair<std::string, Machine *>>;
    auto sortByShortage(std::vector<std::pair<std::string, Machine *>> &calls) const -> void;
    auto sendCalls(TimeMs now) -> void;
    auto chooseMove(TimeMs now, Machine &machine, const std::string &pool) -> void;
    // Tracking costs a walk over all workers of each report, so it is on only with paced calls or early demand.
    auto isTrackingArrivals() const -> bool { return settings_.isDemandEarly || pacer_.isPaced(); }
    auto onCallRefused(TimeMs now, Machine &machine, const MachineReply &reply) -> void;
    auto hasNoRuns(TimeMs now, const Machine &machine) const -> bool;
    auto isMachineDrained(TimeMs now, const Machine &machine) const -> bool;
    auto isUnavailable(TimeMs now, const Machine &machine) const -> bool;
    auto isUncommitted(TimeMs now, const Machine &machine) const -> bool;
    auto isStandby(std::string_view pool) const -> bool;
    auto balancePools(TimeMs now) -> Balances;
    auto demandOf(TimeMs now, const Pool &pool, std::int64_t have) const -> PoolDemand;
    auto choosePoolInShortage(const Balances &balances, const Machine &machine) const
        -> std::string;
    auto highestPeak() const -> std::int64_t;
    auto maxEarlyCpu(std::int64_t demandCpu) const -> std::int64_t;
    auto findIdleMachines(TimeMs now) -> std::vector<Machine *>;
    auto moveIdleMachines(TimeMs now, Balances &balances) -> void;
    auto yieldBusyMachines(TimeMs now, Balances &balances) -> void;
    auto countOnStandby(TimeMs now) const -> std::int64_t;
    // Machines of a pool, for the limit of what may be drained at a time.
    struct DrainCount {
        std::int64_t machines = 0; // That it has or will get, without those to be drained.
        std::int64_t drained = 0;  // Being drained for a wave.
    };
    auto countDrained() const -> std::map<std::string, DrainCount, std::less<>>;
    auto countUsable(TimeMs now, std::string_view pool) const -> std::int64_t;
    auto callMachine(TimeMs now, const std::string &name, Machine &machine) -> void;
    auto markCalled(TimeMs now, Machine &machine) -> void;

    PlannerSettings                settings_;
    TimeMs                         coordinatorSince_ = -1; // -1: not the coordinator yet.
    CoordinatorRecord              previousRecord_;        // Of the previous coordinator.
    CoordinatorRecord              lastRecord_;            // Last written, or being written.
    std::int64_t                   sequence_ = 0;          // Number of the last record.
    bool                           isRecording_ = false;   // An append is in flight.
    std::vector<MachineCall>       callsToRecord_;         // Calls that wait for the next record.
    std::vector<MachineCall>       callsBeingRecorded_;    // Calls named in the record in flight.
    std::deque<MachineCall>        callsToSend_;           // Recorded calls that wait to be sent.
    CallPacer                      pacer_;
    ArrivalTracker                 arrivals_;
    TimeMs                         firstPlanAt_ = -1; // First planning of moves. -1: none.
    bool                           isTickDue_ = false;
    bool                           hasShortage_ = false; // A pool is in shortage of machines.
    TimeMs                         listAt_ = 0;          // When to request the next list.
    TimeMs                         listSentAt_ = 0;      // When a list was last requested.
    bool                           isListing_ = false;   // The request has no answer yet.
    bool                           hasList_ = false;     // A list has arrived since begin().
    std::map<std::string, Wave>    waves_;
    std::map<std::string, Machine> machines_;
    std::map<std::string, TimeMs>  cordonedUntil_; // End of a worker's cordon after a call.
    std::map<std::string, Pool, std::less<>> pools_;
    std::set<std::string, std::less<>>       standby_;   // Names of standby pools.
    std::set<std::string, std::less<>>       active_;    // Names of pools with queues.
    std::set<std::string>                    evacuated_; // Zones.
    std::map<std::string, std::int64_t, std::less<>>
        shortages_; // Machines that pools lack until those being drained for them have moved.
    std::vector<PlannerAction> actions_;
};

} // namespace peridotwalk
