#include "coordinator/coordinator.h"

#include <algorithm>
#include <cmath>

namespace peridotwalk {

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

auto MachinePlanner::desiredMachines(TimeMs now, const Pool &pool, std::int64_t have) const
    -> std::int64_t
{
    const auto &unit = pool.report.perWorker;
    if (unit.cpu <= 0 || unit.memoryMb <= 0) {
        return std::max(have, settings_.minMachines);
    }
    auto         timedDemand = pool.report.wanted.cpu;
    std::int64_t unboundedDemand = 0;
    std::int64_t unboundedWorkers = 0;
    for (const auto &[id, worker] : pool.workers) {
        timedDemand += worker.cpu;
        unboundedDemand += worker.unboundedCpu;
        unboundedWorkers += worker.unboundedRuns > 0 ? 1 : 0;
    }
    if (pool.forecast.isRising(now)) {
        const auto grown = static_cast<std::int64_t>(settings_.burstGrowthFactor
                                                     * static_cast<double>(timedDemand));
        timedDemand = std::max(grown, highestPeak());
    }
    const auto toMachines = [&](std::int64_t amount, std::int64_t of) {
        return static_cast<std::int64_t>(std::ceil(
            static_cast<double>(amount) * settings_.headroomFactor / static_cast<double>(of)));
    };
    auto desired = std::max({settings_.minMachines, unboundedWorkers,
                             toMachines(timedDemand + unboundedDemand, unit.cpu)});
    if (pool.blockedSince >= 0 && now - pool.blockedSince > settings_.blockedTimeoutMs) {
        desired = std::max(desired, have + 1);
    }
    return desired;
}

// A pool keeps enough machines to work without a coordinator for a while.
auto MachinePlanner::balanceOf(TimeMs now, const std::string &name, const Pool &pool) const
    -> Balance
{
    const auto even = static_cast<double>(machines_.size())
        / static_cast<double>(std::max<std::size_t>(1, active_.size()));
    const auto minSize = [&](double of) { return static_cast<std::int64_t>(of * even); };
    const auto have = countUsable(now, name);
    const auto desired = desiredMachines(now, pool, have);
    auto       balance = Balance{};
    balance.missing = std::max<std::int64_t>(0, desired - have);
    balance.movable =
        std::max<std::int64_t>(0, have - std::max(desired, minSize(settings_.moveFloorFraction)));
    balance.surplus = std::max<std::int64_t>(
        0, have - std::max(desired, minSize(settings_.standbyFloorFraction)));
    return balance;
}

// Returns the pool with the largest shortage. Empty: no pool is in shortage that may get this machine.
auto MachinePlanner::choosePoolInShortage(const std::map<std::string, Balance> &balances,
                                          const Machine &machine) const -> std::string
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
        const auto isFree = machine.isListed && machine.entry.state == MachineState::Up
            && !machine.isCalling && machine.wantedWave.empty() && machine.wantedPool.empty()
            && now >= machine.retryAt && !isUnavailable(now, machine);
        const auto isEvacuated = evacuated_.contains(machine.entry.zone);
        const auto isOnStandby = isStandby(machine.entry.pool);
        if (!isFree || (!isOnStandby && !hasNoRuns(now, machine))) {
            machine.idleSince = -1;
            continue;
        }
        if (machine.idleSince < 0) {
            machine.idleSince = now;
        }
        const auto isIdleLongEnough = now - machine.idleSince >= settings_.idleBeforeMoveMs;
        if ((isOnStandby && !isEvacuated) || (!isOnStandby && isIdleLongEnough)) {
            idle.push_back(&machine);
        }
    }
    std::ranges::sort(idle, {},
                      [&](const Machine *machine) { return !isStandby(machine->entry.pool); });
    return idle;
}

// Moves standby and idle machines to pools in shortage, and machines that no pool needs to standby.
auto MachinePlanner::planMoves(TimeMs now) -> void
{
    auto balances = std::map<std::string, Balance>();
    for (const auto &[name, pool] : pools_) {
        if (active_.contains(name) && now - pool.reportedAt <= settings_.maxReportAgeMs) {
            balances[name] = balanceOf(now, name, pool);
        }
    }
    for (auto *machine : findIdleMachines(now)) {
        auto      &from = balances[machine->entry.pool];
        const auto isOnStandby = isStandby(machine->entry.pool);
        const auto isEvacuated = evacuated_.contains(machine->entry.zone);
        const auto poolInShortage =
            isEvacuated ? std::string() : choosePoolInShortage(balances, *machine);
        const auto isIdleLongEnough = now - machine->idleSince >= settings_.idleBeforeStandbyMs;
        if (!poolInShortage.empty() && (isOnStandby || from.movable > 0)) {
            machine->wantedPool = poolInShortage;
            --balances[poolInShortage].missing;
        } else if (!isOnStandby && isIdleLongEnough && (isEvacuated || from.surplus > 0)
                   && !standby_.empty() && !machine->refusedPools.contains(*standby_.begin())) {
            machine->wantedPool = *standby_.begin();
        } else {
            continue;
        }
        if (!isOnStandby && !isEvacuated) {
            --from.movable;
            --from.surplus;
        }
    }
    hasShortage_ =
        std::ranges::any_of(balances, [](const auto &item) { return item.second.missing > 0; });
}

} // namespace peridotwalk
