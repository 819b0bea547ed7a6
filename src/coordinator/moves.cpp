#include "coordinator/coordinator.h"

#include <algorithm>
#include <cmath>

namespace peridotwalk {

namespace {

// A pool that lacks this part of its machines gets busy ones of other pools at once.
constexpr double kSevereShortage = 0.25;

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Machine planner: moves
//-----------------------------------------------------------------------------

// Pools whose bursts alternate have bursts of similar size, so a new burst is expected to reach the highest
// recent peak of any pool.
auto MachinePlanner::highestPeak() const -> std::int64_t
{
    std::int64_t peak = 0;
    for (const auto &[name, pool] : pools_) {
        peak = std::max(peak, pool.forecast.peak());
    }
    return peak;
}

auto MachinePlanner::demandOf(TimeMs now, const Pool &pool, std::int64_t have) const -> PoolDemand
{
    const auto &unit = pool.report.perWorker;
    if (unit.cpu <= 0 || unit.memoryMb <= 0) {
        const auto machines = std::max(have, settings_.minMachines);
        return {machines, machines, machines, machines};
    }
    auto         timedCpu = pool.report.wanted.cpu;
    std::int64_t unboundedCpu = 0;
    std::int64_t unboundedWorkers = 0;
    for (const auto &[id, worker] : pool.workers) {
        timedCpu += worker.cpu - worker.expiredCpu;
        unboundedCpu += worker.unboundedCpu;
        unboundedWorkers += worker.unboundedRuns > 0 ? 1 : 0;
    }
    const auto toMachines = [&](std::int64_t cpu) {
        return static_cast<std::int64_t>(std::ceil(
            static_cast<double>(cpu) * settings_.headroomFactor / static_cast<double>(unit.cpu)));
    };
    auto demand = PoolDemand{};
    demand.required = std::max({settings_.minMachines, unboundedWorkers, toMachines(unboundedCpu)});
    demand.onTime = std::max(demand.required, toMachines(unboundedCpu + timedCpu));
    const auto kept = toMachines(unboundedCpu + timedCpu + pool.report.ownerLimited.cpu);
    demand.onTime = std::max(demand.onTime, std::min(have, kept));
    demand.onTime = std::max(demand.onTime, toMachines(unboundedCpu + pool.early.cpu()));
    if (pool.blockedSince >= 0 && now - pool.blockedSince > settings_.blockedTimeoutMs) {
        demand.onTime = std::max(demand.onTime, have + 1);
    }
    demand.late =
        std::max(demand.onTime, toMachines(unboundedCpu + timedCpu + pool.report.wantedLate.cpu));
    demand.expected = demand.late;
    if (pool.forecast.isRising(now)) {
        const auto grown =
            static_cast<std::int64_t>(settings_.burstGrowthFactor * static_cast<double>(timedCpu));
        demand.expected =
            std::max(demand.late, toMachines(unboundedCpu + std::max(grown, highestPeak())));
    }
    return demand;
}

// Divides all machines that are usable. A pool keeps enough of them to work without a coordinator for a
// while.
auto MachinePlanner::balancePools(TimeMs now) -> Balances
{
    auto balances = Balances();
    auto demands = std::vector<PoolDemand>();
    auto machines = countOnStandby(now);
    for (const auto &[name, pool] : pools_) {
        if (active_.contains(name) && now - pool.reportedAt <= settings_.maxReportAgeMs) {
            auto &balance = balances[name];
            balance.have = countUsable(now, name);
            machines += balance.have;
            demands.push_back(demandOf(now, pool, balance.have));
        }
    }
    const auto targets = divideMachines(demands, machines);
    const auto even = static_cast<double>(machines_.size())
        / static_cast<double>(std::max<std::size_t>(1, active_.size()));
    const auto minSize = [&](double fraction) {
        return std::min(settings_.maxFloorMachines, static_cast<std::int64_t>(fraction * even));
    };
    std::size_t number = 0;
    for (auto &item : balances) {
        auto &balance = item.second;
        balance.target = targets[number++];
        balance.missing = std::max<std::int64_t>(0, balance.target - balance.have);
        const auto left = [&](double floorFraction) {
            const auto kept = std::max(balance.target, minSize(floorFraction));
            return std::max<std::int64_t>(0, balance.have - kept);
        };
        balance.movable = left(settings_.moveFloorFraction);
        balance.surplus = left(settings_.standbyFloorFraction);
    }
    return balances;
}

// Returns the pool with the largest shortage. Empty: no pool is in shortage that may get this machine.
auto MachinePlanner::choosePoolInShortage(const Balances &balances, const Machine &machine) const
    -> std::string
{
    auto         poolInShortage = std::string();
    std::int64_t most = 0;
    for (const auto &[name, balance] : balances) {
        if (balance.missing > most && !machine.refusedPools.contains(name)) {
            most = balance.missing;
            poolInShortage = name;
        }
    }
    return poolInShortage;
}

// Returns machines that may move to another pool, those of standby pools first.
auto MachinePlanner::findIdleMachines(TimeMs now) -> std::vector<Machine *>
{
    auto idle = std::vector<Machine *>();
    for (auto &[name, machine] : machines_) {
        const auto isFree = isUncommitted(now, machine) && now >= machine.retryAt;
        const auto isEvacuated = evacuated_.contains(machine.entry.zone);
        const auto isOnStandby = isStandby(machine.entry.pool);
        if (!isFree || (!isOnStandby && !hasNoRuns(now, machine))) {
            machine.idleSince = -1;
            continue;
        }
        if (machine.idleSince < 0) {
            machine.idleSince = now;
        }
        // The first planning after a takeover doesn't wait: the previous coordinator's pools waited already.
        const auto isIdleLongEnough = now - machine.idleSince >= settings_.idleBeforeMoveMs
            || (settings_.isDemandEarly && now == firstPlanAt_);
        if ((isOnStandby && !isEvacuated) || (!isOnStandby && isIdleLongEnough)) {
            idle.push_back(&machine);
        }
    }
    std::ranges::sort(idle, {},
                      [&](const Machine *machine) { return !isStandby(machine->entry.pool); });
    return idle;
}

// Returns whether moves can be planned. With early demand, a new coordinator waits a moment for the reports of all
// active pools: otherwise the first one that reports would get all machines of the standby pool.
auto MachinePlanner::mayPlanMoves(TimeMs now) -> bool
{
    if (!settings_.isDemandEarly || firstPlanAt_ >= 0) {
        return true;
    }
    const auto areAllKnown = std::ranges::all_of(active_, [&](const auto &name) {
        const auto pool = pools_.find(name);
        return pool != pools_.end() && now - pool->second.reportedAt <= settings_.maxReportAgeMs;
    });
    if (!areAllKnown && now - coordinatorSince_ < settings_.maxReportAgeMs) {
        return false;
    }
    firstPlanAt_ = now;
    return true;
}

auto MachinePlanner::chooseMove(TimeMs now, Machine &machine, const std::string &pool) -> void
{
    machine.wantedPool = pool;
    if (isTrackingArrivals()) {
        arrivals_.onChosen(now, machine.entry.name, pool);
    }
}

auto MachinePlanner::planMoves(TimeMs now) -> void
{
    if (!mayPlanMoves(now)) {
        return;
    }
    auto balances = balancePools(now);
    for (const auto &[name, balance] : balances) {
        arrivals_.setShort(now, name, balance.missing > 0);
    }
    moveIdleMachines(now, balances);
    yieldBusyMachines(now, balances);
    hasShortage_ =
        std::ranges::any_of(balances, [](const auto &item) { return item.second.missing > 0; });
    updateShortages(balances);
}

auto MachinePlanner::updateShortages(const Balances &balances) -> void
{
    shortages_.clear();
    for (const auto &[name, balance] : balances) {
        if (balance.missing > 0) {
            shortages_[name] = balance.missing;
        }
    }
    // A chosen machine no longer counts as missing, but its pool lacks it until it has moved. The pool may
    // have come to need less since it was chosen.
    for (const auto &[name, machine] : machines_) {
        const auto pool = balances.find(machine.wantedPool);
        if (pool != balances.end() && active_.contains(pool->first)
            && pool->second.have <= pool->second.target) {
            ++shortages_[machine.wantedPool];
        }
    }
}

auto MachinePlanner::urgentWorkers(std::string_view pool) const -> std::vector<std::string>
{
    auto workers = std::vector<std::string>();
    for (const auto &[name, machine] : machines_) {
        if (machine.entry.pool == pool && shortages_.contains(machine.wantedPool)
            && machine.wantedWave.empty() && !machine.isCalling && !machine.entry.worker.empty()) {
            workers.push_back(machine.entry.worker);
        }
    }
    return workers;
}

// Moves standby and idle machines to pools in shortage, and machines that no pool needs to standby.
auto MachinePlanner::moveIdleMachines(TimeMs now, Balances &balances) -> void
{
    for (auto *machine : findIdleMachines(now)) {
        auto      &from = balances[machine->entry.pool];
        const auto isOnStandby = isStandby(machine->entry.pool);
        const auto isEvacuated = evacuated_.contains(machine->entry.zone);
        const auto poolInShortage =
            isEvacuated ? std::string() : choosePoolInShortage(balances, *machine);
        const auto isIdleLongEnough = now - machine->idleSince >= settings_.idleBeforeStandbyMs;
        if (!poolInShortage.empty() && (isOnStandby || from.movable > 0)) {
            chooseMove(now, *machine, poolInShortage);
            --balances[poolInShortage].missing;
        } else if (!isOnStandby && isIdleLongEnough && (isEvacuated || from.surplus > 0)
                   && !standby_.empty() && !machine->refusedPools.contains(*standby_.begin())) {
            machine->wantedPool = *standby_.begin();
        } else {
            continue;
        }
        if (!isOnStandby && !isEvacuated) {
            --from.have;
            --from.movable;
            --from.surplus;
        }
    }
}

// Drains busy machines of pools that have clearly more than their part, while another pool lacks some.
// That happens when expired work fills a pool, or when bursts meet. Machines with unbounded tasks stay.
auto MachinePlanner::yieldBusyMachines(TimeMs now, Balances &balances) -> void
{
    const auto isOver = [&](const Balance &balance) {
        return static_cast<double>(balance.have)
            > settings_.yieldFactor * static_cast<double>(balance.target);
    };
    for (auto &[name, pool] : pools_) {
        const auto found = balances.find(name);
        if (found == balances.end() || !isOver(found->second)) {
            pool.overSince = -1;
        } else if (pool.overSince < 0) {
            pool.overSince = now;
        }
    }
    const auto isSevere =
        settings_.isDemandEarly && std::ranges::any_of(balances, [](const auto &item) {
            return item.second.missing > 0
                && static_cast<double>(item.second.missing)
                >= kSevereShortage * static_cast<double>(item.second.target);
        });
    auto busy = std::vector<std::pair<std::int64_t, Machine *>>(); // By cpu that is of use.
    for (auto &[name, machine] : machines_) {
        const auto pool = pools_.find(machine.entry.pool);
        const auto isOverLong = pool != pools_.end() && pool->second.overSince >= 0
            && (isSevere || now - pool->second.overSince >= settings_.yieldAfterMs);
        const auto *load = loadOf(machine);
        if (isOverLong && isUncommitted(now, machine) && now >= machine.retryAt && load != nullptr
            && load->runs > 0 && load->unboundedRuns == 0) {
            busy.emplace_back(load->cpu - load->expiredCpu, &machine);
        }
    }
    std::ranges::stable_sort(busy, {}, [](const auto &item) { return item.first; });
    for (const auto &[cpu, machine] : busy) {
        auto      &from = balances[machine->entry.pool];
        const auto poolInShortage = choosePoolInShortage(balances, *machine);
        if (poolInShortage.empty() || from.movable <= 0 || !isOver(from)) {
            continue;
        }
        chooseMove(now, *machine, poolInShortage);
        --balances[poolInShortage].missing;
        --from.have;
        --from.movable;
    }
}

} // namespace peridotwalk
