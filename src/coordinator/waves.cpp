#include "coordinator/coordinator.h"

#include <algorithm>

namespace peridotwalk {

namespace {

constexpr double kWavePart = 0.8; // Of the time of a wave: the rest is for machines that are late.

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Machine planner: maintenance
//-----------------------------------------------------------------------------

auto MachinePlanner::planWaves(TimeMs now) -> void
{
    for (auto &[name, wave] : waves_) {
        if (!wave.isCompletedWritten) {
            planWave(now, wave);
        }
    }
}

// A machine counts until it is seen back on a new life of its worker: a list may show it as up while the
// platform hasn't noticed that it crashed.
auto MachinePlanner::mayBeDown(TimeMs now, const Machine &machine) const -> bool
{
    if (machine.maintainedAt < 0 || now - machine.maintainedAt >= settings_.maxMaintenanceMs) {
        return false;
    }
    if (now - machine.maintainedAt < settings_.minMaintenanceMs || !machine.isListed
        || machine.entry.state != MachineState::Up) {
        return true;
    }
    if (isStandby(machine.entry.pool)) {
        return false;
    }
    const auto pool = pools_.find(machine.entry.pool);
    return machine.entry.worker == machine.calledWorker || pool == pools_.end()
        || !pool->second.workers.contains(machine.entry.worker);
}

// A machine that crashed may be missing in lists for a while.
auto MachinePlanner::isRemoved(TimeMs now, const Machine &machine) const -> bool
{
    return !machine.isListed
        && now - std::max(machine.listedAt, heldSince_) >= settings_.unlistedTimeoutMs;
}

// Counts the machines of a wave that are taken, or down for any reason that is known.
auto MachinePlanner::countUnavailable(TimeMs now, const Wave &wave) -> std::int64_t
{
    return std::ranges::count_if(wave.order.machines, [&](const auto &name) {
        const auto &machine = machines_[name];
        const auto  isTaken = machine.wantedWave == wave.order.name;
        const auto  isDown =
            machine.isListed ? machine.entry.state == MachineState::Down : !isRemoved(now, machine);
        return isTaken || isDown || isAway(now, machine) || mayBeDown(now, machine);
    });
}

// A wave goes at full speed while no pool misses machines, and otherwise as fast as it must to be done
// in time.
auto MachinePlanner::allowedAtOnce(TimeMs now, const Wave &wave) const -> std::int64_t
{
    if (!hasShortage_ || wave.isRestored) { // How long ago a former holder began isn't known.
        return wave.order.maxAtOnce;
    }
    const auto left = std::ssize(wave.order.machines) - std::ssize(wave.done);
    const auto each = settings_.expectedDrainMs + settings_.minMaintenanceMs;
    const auto time = static_cast<TimeMs>(kWavePart * static_cast<double>(wave.order.withinMs))
        - (now - wave.seenAt);
    const auto needed = time <= each ? wave.order.maxAtOnce : (left * each + time - 1) / time;
    return std::min(needed, wave.order.maxAtOnce);
}

// Chooses machines to empty next: those without runs first, and never too many of one pool.
auto MachinePlanner::planWave(TimeMs now, Wave &wave) -> void
{
    auto waiting = std::vector<Machine *>();
    auto isDone = true;
    for (const auto &name : wave.order.machines) {
        auto &machine = machines_[name];
        if (wave.done.contains(name)) {
            continue;
        }
        isDone = false;
        machine.entry.name = name;
        if (machine.wantedWave.empty() && now >= machine.retryAt && !isAway(now, machine)
            && (machine.isListed || isRemoved(now, machine))) {
            waiting.push_back(&machine);
        }
    }
    if (isDone && !wave.isWriting) {
        wave.isWriting = true;
        actions_.push_back(WriteWaveState{wave.order.name, true});
        return;
    }
    if (!wave.isRunningWritten && !wave.isWriting) {
        wave.isWriting = true;
        actions_.push_back(WriteWaveState{wave.order.name, false});
    }
    auto       busy = countUnavailable(now, wave);
    const auto allowed = allowedAtOnce(now, wave);
    const auto runsOf = [&](const Machine *machine) {
        const auto pool = pools_.find(machine->entry.pool);
        if (pool == pools_.end()) {
            return std::int64_t{-1};
        }
        const auto worker = pool->second.workers.find(machine->entry.worker);
        return worker == pool->second.workers.end() ? -1 : worker->second.runs;
    };
    std::ranges::sort(waiting, {}, runsOf);
    for (auto *machine : waiting) {
        if (busy >= allowed) {
            return;
        }
        const auto &pool = machine->entry.pool;
        const auto  most = std::max<std::int64_t>(
            1,
            static_cast<std::int64_t>(settings_.maxCordonedFraction
                                      * static_cast<double>(countMachines(pool))));
        if (!isStandby(pool) && machine->isListed && countCordoned(pool) >= most) {
            continue;
        }
        machine->wantedWave = wave.order.name;
        machine->wantedPool.clear();
        ++busy;
    }
}

} // namespace peridotwalk
