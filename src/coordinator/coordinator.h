// What has to be decided across pools, by one node at a time: how much of each tenant's maximum a pool
// may use, which machines are maintained now, and which move between pools. Pure.
//
// Owners of pools report to it a few times a second and get directions back. What a pool may use stays in
// force while the coordinator is away, so a lost coordinator stops nothing but growth and machine work.
//
// Index of this file
// [SECTION] Reports and directions
// [SECTION] Quota ledger
// [SECTION] Demand forecast
// [SECTION] Coordinator's record
// [SECTION] Machine planner

#pragma once

#include "services/services.h"

#include <optional>

namespace peridotwalk {

//-----------------------------------------------------------------------------
// [SECTION] Reports and directions
//-----------------------------------------------------------------------------

struct TenantReport {
    std::string tenant;
    ResourceSet allowance; // In force at the pool.
    ResourceSet used;
    ResourceSet wanted; // Of tasks that could start now.
};

struct WorkerLoad {
    std::string  id;
    std::int64_t runs = 0;
    std::int64_t unboundedRuns = 0; // Of them, those that have to be moved elsewhere.
    std::int64_t cpu = 0;           // In use by timed tasks.
    std::int64_t unboundedCpu = 0;  // In use by lasting tasks.
    bool         isCordoned = false;
    bool         isUsable = false; // Takes new runs, apart from a cordon.
};

struct PoolReport {
    std::string               pool;
    std::int64_t              token = 0; // Fencing token of the pool's owner.
    std::vector<TenantReport> tenants;
    std::vector<WorkerLoad>   workers;
    ResourceSet               wanted;    // Of ready tasks that wait for a worker with room alone.
    ResourceSet               perWorker; // Capacity of a typical worker.
};

struct TenantGrant {
    std::string tenant;
    ResourceSet allowance;
};

struct PoolDirection {
    std::int64_t             token = 0;
    std::vector<TenantGrant> grants;
    std::vector<std::string> cordoned; // All workers that get no new runs.
};

//-----------------------------------------------------------------------------
// [SECTION] Quota ledger
//-----------------------------------------------------------------------------

// Splits each tenant's maximum between pools. The sum of what pools may hold never exceeds it: a pool's
// part counts until the pool itself reports less.
class QuotaLedger
{
public:
    // Commands.
    auto setPools(std::set<std::string> pools) -> void; // All that may use anything.
    auto grant(const PoolReport &report, const Catalog &catalog) -> std::vector<TenantGrant>;

    // Queries.
    auto isComplete() const -> bool; // Every pool has reported: what is left over is known.

private:
    std::set<std::string>                                     pools_;
    std::map<std::string, std::map<std::string, ResourceSet>> held_; // By pool and tenant.
};

//-----------------------------------------------------------------------------
// [SECTION] Demand forecast
//-----------------------------------------------------------------------------

struct ForecastSettings {
    double burstThreshold = 0.2;  // Of the last peak: a burst begins where demand exceeds it.
    TimeMs minQuietMs = 2'000;    // Demand was below that before, for at least this long.
    TimeMs burstGrowthMs = 2'500; // So long a burst is expected to grow.
};

// Sees when bursts of one pool's demand begin, and how high they get.
class DemandForecast
{
public:
    explicit DemandForecast(const ForecastSettings &settings = {}) : settings_(settings) { }

    // Commands.
    auto add(TimeMs now, std::int64_t demandCpu, std::int64_t leastCpu) -> void; // Of a burst.

    // Queries.
    auto isRising(TimeMs now) const -> bool; // A burst has just begun.
    auto peak() const -> std::int64_t;       // Highest demand of the last bursts.

private:
    ForecastSettings settings_;
    TimeMs           lowSince_ = -1;
    TimeMs           burstAt_ = -1; // Start of the last burst.
    std::int64_t     peak_ = 0;     // Of the last burst.
    std::int64_t     peakBefore_ = 0;
    bool             isHigh_ = false;
};

//-----------------------------------------------------------------------------
// [SECTION] Coordinator's record
//-----------------------------------------------------------------------------

// What the next coordinator has to know. Written before the calls that it names leave.
struct CoordinatorRecord {
    std::map<std::string, std::set<std::string>> maintained; // Machines that are done, by wave.
    std::set<std::string>                        called;     // In the last few seconds.

    auto operator==(const CoordinatorRecord &) const -> bool = default;
};

auto encodeCoordinator(const CoordinatorRecord &record) -> KeyedRecord;

// Returns an empty record if none was written yet; an error names what can't be read.
auto findCoordinator(const std::vector<KeyedRecord> &records) -> absl::StatusOr<CoordinatorRecord>;

//-----------------------------------------------------------------------------
// [SECTION] Machine planner
//-----------------------------------------------------------------------------

struct PlannerSettings {
    TimeMs holderGapMs = 3'000;        // A new holder leaves machines that were just called alone.
    TimeMs recentCallMs = 3'500;       // A call is named in the record that long.
    TimeMs minMaintenanceMs = 2'000;   // A machine is down for maintenance at least that long,
    TimeMs maxMaintenanceMs = 10'000;  // and at most that long if it isn't seen to return.
    TimeMs expectedDrainMs = 2'500;    // Of a machine, before its maintenance: as a rule.
    TimeMs unlistedTimeoutMs = 10'000; // A machine that isn't listed for longer is gone.
    TimeMs maxReportAgeMs = 700;       // Older reports don't show that a worker is vacant.
    TimeMs listIntervalMs = 500;       // Between two listings.
    TimeMs callRetryMs = 500;          // After a call without an answer, or a refusal.
    TimeMs settleMs = 6'000;        // A machine that was called counts as away until listed again.
    TimeMs calledCordonMs = 12'000; // The worker of a machine that was called gets no new runs.
    TimeMs idleBeforeMoveMs = 300;  // A machine is idle that long before another pool gets it,
    TimeMs idleBeforeStandbyMs = 900; // and that long before it is set aside.
    TimeMs blockedTimeoutMs = 500;    // Ready tasks that wait that long get another machine.
    double headroomFactor = 1.03;     // Room kept over what a pool asks for.
    double burstGrowthFactor = 1.5;   // A burst that begins is taken to grow so much at least.
    double minBurstMachines = 2.0;    // Less demand than of that many machines is no burst.
    std::int64_t minMachines = 3;     // Of each pool.
    double       standbyFloorFraction =
        0.42;                          // Of an even split of all machines: none is set aside below.
    double moveFloorFraction = 0.3;    // The same: none is lent to another pool below.
    double maxCordonedFraction = 0.34; // Part of a pool that maintenance takes at once.
    bool   isMovingEnabled = true;     // Moves machines between pools.
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
    std::int64_t      sequence = 0; // Rises by one.
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
    explicit MachinePlanner(const PlannerSettings &settings) : settings_(settings) { }

    // Commands.
    // This node has become the holder, and read what the former one recorded.
    auto begin(TimeMs now, const CoordinatorRecord &before) -> void;
    auto setWaves(TimeMs now, const std::map<std::string, WaveOrder> &waves) -> void;
    auto setCatalog(const Catalog &catalog) -> void;
    auto setEvacuated(const std::set<std::string> &zones) -> void; // Their machines are no use.
    auto onReport(TimeMs now, const PoolReport &report) -> void;
    auto onListed(TimeMs now, const std::vector<MachineEntry> &machines) -> void;
    auto onListFailed(TimeMs now) -> void;
    auto onRecorded(TimeMs now, std::int64_t sequence)
        -> void; // The journal has it: its calls leave.
    auto onMoved(TimeMs now, const MoveMachine &call, const MachineReply &reply) -> void;
    auto onMaintained(TimeMs now, const MaintainMachine &call, const MachineReply &reply) -> void;
    auto onWaveWritten(const WriteWaveState &call, CallOutcome outcome) -> void;
    auto tick(TimeMs now) -> void;
    auto takeActions() -> std::vector<PlannerAction>;

    // Queries.
    auto cordonedWorkers(TimeMs now, std::string_view pool) const -> std::vector<std::string>;

private:
    struct Wave {
        WaveOrder             order;
        TimeMs                seenAt = 0;
        std::set<std::string> done; // Maintained, or gone.
        bool                  isRunningWritten = false;
        bool                  isCompletedWritten = false;
        bool                  isWriting = false;
        bool                  isRestored = false; // Begun by a former holder.
    };
    struct Machine {
        MachineEntry          entry;
        bool                  isListed = false;
        TimeMs                listedAt = -1;        // Last, in a list.
        TimeMs                calledAt = -1;        // Last, by us: the call left then, or waits.
        TimeMs                maintainedAt = -1;    // It may have gone down for maintenance then.
        bool                  isCalling = false;    // A call is under way.
        TimeMs                unavailableUntil = 0; // It was called, and isn't known to be back.
        TimeMs                answeredAt = -1;      // The last call was answered then, or given up.
        bool                  wasListedUnavailable = false; // Listed as away since it was called.
        std::string           calledWorker;                 // Its worker at the time of the call.
        TimeMs                retryAt = 0;
        TimeMs                idleSince = -1;
        std::string           wantedPool; // It is being emptied to move there.
        std::string           wantedWave; // It is being emptied for maintenance.
        std::string           movingTo;   // It was called to move there, and isn't back yet.
        std::set<std::string> refusedPools;
    };
    struct Pool {
        PoolReport                        report;
        std::map<std::string, WorkerLoad> workers;
        DemandForecast                    forecast;
        TimeMs                            blockedSince = -1; // Ready tasks find no worker.
        TimeMs                            reportedAt = -1;
        TimeMs                            ownerSince = 0;
    };

    auto planWaves(TimeMs now) -> void;
    auto planWave(TimeMs now, Wave &wave) -> void;
    auto countUnavailable(TimeMs now, const Wave &wave) -> std::int64_t;
    auto allowedAtOnce(TimeMs now, const Wave &wave) const -> std::int64_t;
    auto mayBeDown(TimeMs now, const Machine &machine) const -> bool; // For maintenance.
    auto isRemoved(TimeMs now, const Machine &machine) const -> bool;
    auto recordCalls(TimeMs now) -> void;
    auto planMoves(TimeMs now) -> void;
    auto callDrainedMachines(TimeMs now) -> void;
    auto isVacant(TimeMs now, const Machine &machine) const -> bool;
    auto isMachineDrained(TimeMs now, const Machine &machine) const -> bool;
    auto isAway(TimeMs now, const Machine &machine) const -> bool;
    auto isStandby(std::string_view pool) const -> bool;
    // How many machines a pool has, wants, and gives away.
    struct Balance {
        std::int64_t missing = 0;
        std::int64_t movable = 0; // To a pool that misses some.
        std::int64_t surplus = 0; // Better set aside.
    };

    auto balanceOf(TimeMs now, const std::string &name, const Pool &pool) const -> Balance;
    auto desiredMachines(TimeMs now, const Pool &pool, std::int64_t have) const -> std::int64_t;
    auto choosePoolInShortage(const std::map<std::string, Balance> &balances,
                              const Machine                        &machine) const -> std::string;
    auto sharedPeak() const -> std::int64_t;
    auto findIdle(TimeMs now) -> std::vector<Machine *>;
    auto countCordoned(std::string_view pool) const -> std::int64_t;
    auto countMachines(std::string_view pool) const -> std::int64_t;
    auto countUsable(TimeMs now, std::string_view pool) const -> std::int64_t;
    auto callMachine(TimeMs now, const std::string &name, Machine &machine) -> void;
    auto markCalled(TimeMs now, Machine &machine) -> void;

    PlannerSettings                          settings_;
    TimeMs                                   heldSince_ = -1; // Not the holder yet.
    CoordinatorRecord                        before_;         // Of the former holder.
    CoordinatorRecord                        recorded_;       // Last written, or being written.
    std::int64_t                             sequence_ = 0;   // Of the record.
    bool                                     isRecording_ = false;
    std::vector<PlannerAction>               unrecorded_; // Calls that wait for the next record.
    std::vector<PlannerAction>               recording_;  // Calls that wait for this one.
    bool                                     hasShortage_ = false; // A pool misses machines.
    TimeMs                                   listAt_ = 0;
    TimeMs                                   listSentAt_ = 0;
    bool                                     isListing_ = false;
    bool                                     hasList_ = false;
    std::map<std::string, Wave>              waves_;
    std::map<std::string, Machine>           machines_;
    std::map<std::string, TimeMs>            called_; // Workers of called machines, until when.
    std::map<std::string, Pool, std::less<>> pools_;
    std::set<std::string, std::less<>>       standby_;
    std::set<std::string, std::less<>>       active_;
    std::set<std::string>                    evacuated_;
    std::vector<PlannerAction>               actions_;
};

} // namespace peridotwalk
