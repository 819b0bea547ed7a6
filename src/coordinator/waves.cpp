#include "coordinator/coordinator.h"

#include <algorithm>

namespace peridotwalk {

namespace {

// Fraction of a wave's time to plan for. The remainder is a reserve for machines that take longer to drain.
constexpr double kPlannedFraction = 0.8;

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

// Returns whether the machine may be down for maintenance. It counts as down until its pool reports the
// new worker: a list may show a crashed machine as up before the platform notices the crash.
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
    return machine.entry.worker == machine.calledWorker || loadOf(machine) == nullptr;
}

// A crashed machine may be missing from lists for a while, so only a longer absence means removal.
auto MachinePlanner::isRemoved(TimeMs now, const Machine &machine) const -> bool
{
    return !machine.isListed
        && now - std::max(machine.listedAt, coordinatorSince_) >= settings_.unlistedTimeoutMs;
}

// Counts the machines of a wave that are chosen for maintenance, or known to be down for any reason.
auto MachinePlanner::countUnavailable(TimeMs now, const Wave &wave) -> std::int64_t
{
    return std::ranges::count_if(wave.order.machines, [&](const auto &name) {
        const auto &machine = machines_[name];
        const auto  isChosen = machine.wantedWave == wave.order.name;
        const auto  isDown =
            machine.isListed ? machine.entry.state == MachineState::Down : !isRemoved(now, machine);
        return isChosen || isDown || isUnavailable(now, machine) || mayBeDown(now, machine);
    });
}

// Returns how many machines of a wave have to be out at a time for it to finish in time. The start of a
// restored wave isn't known.
auto MachinePlanner::neededAtOnce(TimeMs now, const Wave &wave) const -> std::int64_t
{
    if (wave.isRestored) {
        return wave.order.maxAtOnce;
    }
    const auto remaining = std::ssize(wave.order.machines) - std::ssize(wave.done);
    const auto msPerMachine = settings_.expectedDrainMs + settings_.minMaintenanceMs;
    const auto remainingMs =
        static_cast<TimeMs>(kPlannedFraction * static_cast<double>(wave.order.withinMs))
        - (now - wave.learnedAt);
    const auto needed = remainingMs <= msPerMachine
        ? wave.order.maxAtOnce
        : (remaining * msPerMachine + remainingMs - 1) / remainingMs;
    return std::min(needed, wave.order.maxAtOnce);
}

// Returns whether nothing runs on the machine, and no pool waits for machines.
auto MachinePlanner::isSpare(TimeMs now, const Machine &machine) const -> bool
{
    return !hasShortage_ && (isStandby(machine.entry.pool) || hasNoRuns(now, machine));
}

// Unbounded tasks leave a machine one by one, within the disruption budgets of their steps, so the machines
// with most of them go first. The others follow by their runs.
auto MachinePlanner::drainOrder(const Machine &machine) const
    -> std::pair<std::int64_t, std::int64_t>
{
    const auto *load = loadOf(machine);
    return load == nullptr ? std::pair<std::int64_t, std::int64_t>(0, -1)
                           : std::pair(-load->unboundedRuns, load->runs);
}

// Chooses machines to drain next, within the limit of each pool. Spare ones go up to the wave's limit, others
// only as fast as the wave needs.
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
        if (machine.wantedWave.empty() && now >= machine.retryAt && !isUnavailable(now, machine)
            && (machine.isListed || isRemoved(now, machine))) {
            waiting.push_back(&machine);
        }
    }
    if (isDone && !wave.isWriting) {
        wave.isWriting = true;
        actions_.emplace_back(std::in_place_type<WriteWaveState>,
                              WriteWaveState{wave.order.name, true});
        return;
    }
    if (!wave.isRunningWritten && !wave.isWriting) {
        wave.isWriting = true;
        actions_.emplace_back(std::in_place_type<WriteWaveState>,
                              WriteWaveState{wave.order.name, false});
    }
    std::ranges::sort(waiting, {}, [&](const Machine *machine) { return drainOrder(*machine); });
    auto       unavailable = countUnavailable(now, wave);
    auto       draining = std::ranges::count_if(wave.order.machines, [&](const auto &name) {
        const auto &machine = machines_[name];
        return machine.wantedWave == wave.order.name && !machine.isCalling
            && !hasNoRuns(now, machine) && !isStandby(machine.entry.pool);
    });
    const auto needed = neededAtOnce(now, wave);
    auto       counts = countDrained();
    for (auto *machine : waiting) {
        if (unavailable >= wave.order.maxAtOnce) {
            return;
        }
        const auto isFree = isSpare(now, *machine);
        if (draining >= needed && !isFree) {
            continue;
        }
        auto      &count = counts[machine->entry.pool];
        const auto maxDrained = std::max<std::int64_t>(
            1,
            static_cast<std::int64_t>(settings_.maxCordonedFraction
                                      * static_cast<double>(count.machines + count.drained)));
        if (machine->isListed && count.drained >= maxDrained) {
            continue;
        }
        machine->wantedWave = wave.order.name;
        machine->wantedPool.clear();
        ++unavailable;
        draining += isFree ? 0 : 1;
        ++count.drained;
        --count.machines;
    }
}

} // namespace peridotwalk
