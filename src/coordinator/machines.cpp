#include "coordinator/coordinator.h"

#include <algorithm>

namespace peridotwalk {

//-----------------------------------------------------------------------------
// [SECTION] Machine planner
//-----------------------------------------------------------------------------

// The previous coordinator recorded each call before it sent it, so it can have called only the machines
// that its record names. Those calls may still be in flight.
auto MachinePlanner::begin(TimeMs now, const CoordinatorRecord &before) -> void
{
    coordinatorSince_ = now;
    firstPlanAt_ = -1;
    hasList_ = false;
    previousRecord_ = before;
    for (const auto &name : before.called) {
        auto &machine = machines_[name];
        machine.retryAt = now + settings_.takeoverDelayMs;
        machine.maintainedAt = now;
    }
    for (const auto &worker : before.cordoned) {
        cordonedUntil_[worker] = now + settings_.calledCordonMs;
    }
}

auto MachinePlanner::setWaves(TimeMs now, const std::map<std::string, WaveOrder> &waves) -> void
{
    std::erase_if(waves_, [&](const auto &item) { return !waves.contains(item.first); });
    for (const auto &[name, order] : waves) {
        auto [found, isNew] = waves_.try_emplace(name);
        if (isNew) {
            const auto previous = previousRecord_.maintained.find(name);
            found->second.learnedAt = now;
            found->second.isRestored = previous != previousRecord_.maintained.end();
            if (found->second.isRestored) {
                found->second.done = previous->second;
            }
        }
        if (isNew || found->second.order.machines != order.machines) {
            found->second.isCompletedWritten = false;
        }
        found->second.order = order;
    }
}

auto MachinePlanner::setCatalog(const Catalog &catalog) -> void
{
    standby_.clear();
    active_.clear();
    for (const auto &pool : catalog.rules().pools) {
        if (pool.isStandby) {
            standby_.insert(pool.name);
        }
    }
    for (auto &pool : catalog.activePools()) {
        active_.insert(pool);
    }
}

auto MachinePlanner::setEvacuated(const std::set<std::string> &zones) -> void
{
    evacuated_ = zones;
}

auto MachinePlanner::onReport(TimeMs now, const PoolReport &report) -> void
{
    auto &pool = pools_[report.pool];
    if (pool.report.token != report.token) {
        pool.isFirstOwner = pool.reportedAt < 0;
        pool.ownerSince = now;
    }
    if (isTrackingArrivals()) {
        arrivals_.onReport(now, report);
    }
    pool.report = report;
    pool.reportedAt = now;
    pool.workers.clear();
    auto demand = report.wanted.cpu + report.ownerLimited.cpu;
    for (const auto &worker : report.workers) {
        pool.workers[worker.id] = worker;
        demand += worker.cpu - worker.expiredCpu;
    }
    if (settings_.isDemandEarly) {
        pool.highestCpu = std::max(pool.highestCpu, demand);
        pool.early.add(std::min(report.arrivingCpu, maxEarlyCpu(demand)), demand,
                       report.perWorker.cpu);
        demand = std::max(demand, pool.early.cpu());
        isTickDue_ = isTickDue_ || hasDemandRisen(pool.plannedCpu, demand, report.perWorker.cpu);
        pool.demandCpu = demand;
    }
    // A few jobs of a pool in a trough are no burst, if a burst is hundreds of jobs elsewhere.
    const auto leastBurst =
        std::max(settings_.minBurstMachines * static_cast<double>(report.perWorker.cpu),
                 settings_.minBurstFraction * static_cast<double>(highestPeak()));
    pool.forecast.add(now, demand, static_cast<std::int64_t>(leastBurst));
    if (report.wanted == ResourceSet{}) {
        pool.blockedSince = -1;
    } else if (pool.blockedSince < 0) {
        pool.blockedSince = now;
    }
}

// Returns the most that arrivals may count as. They are computed from callers' estimates: if these are wrong by a
// factor of ten, one pool would otherwise request most machines of the others.
auto MachinePlanner::maxEarlyCpu(std::int64_t demandCpu) const -> std::int64_t
{
    std::int64_t highest = 0;
    for (const auto &[name, pool] : pools_) {
        highest = std::max(highest, pool.highestCpu);
    }
    return std::max(
        static_cast<std::int64_t>(settings_.burstGrowthFactor * static_cast<double>(highest)),
        2 * demandCpu);
}

auto MachinePlanner::onListed(TimeMs now, const std::vector<MachineEntry> &machines) -> void
{
    isListing_ = false;
    isTickDue_ = isTickDue_ || (settings_.isDemandEarly && !hasList_);
    hasList_ = true;
    listAt_ = now + settings_.listIntervalMs;
    for (auto &[name, machine] : machines_) {
        machine.isListed = false;
    }
    for (const auto &entry : machines) {
        auto &machine = machines_[entry.name];
        machine.isListed = true;
        machine.listedAt = now;
        if (machine.isCalling || machine.answeredAt >= listSentAt_) {
            continue; // The list may be older than the change that the call made.
        }
        machine.entry = entry;
        if (isTrackingArrivals()) {
            arrivals_.onWorker(entry.name, entry.pool, entry.worker);
        }
        if (entry.state != MachineState::Up) {
            machine.wasListedUnavailable = true;
        }
        const auto isNewIncarnation = !entry.worker.empty() && entry.worker != machine.calledWorker;
        const auto isBack =
            entry.state == MachineState::Up && (machine.wasListedUnavailable || isNewIncarnation);
        if (isBack) {
            machine.unavailableUntil = 0;
        }
        if (!isUnavailable(now, machine)) {
            machine.movingTo.clear();
        }
    }
}

auto MachinePlanner::onListFailed(TimeMs now) -> void
{
    isListing_ = false;
    listAt_ = now + settings_.listIntervalMs;
}

auto MachinePlanner::onMoved(TimeMs now, const MoveMachine &call, const MachineReply &reply) -> void
{
    auto &machine = machines_[call.machine];
    machine.isCalling = false;
    machine.answeredAt = now;
    if (reply.outcome == CallOutcome::Done || reply.outcome == CallOutcome::Unknown) {
        machine.unavailableUntil = now + settings_.settleMs;
        machine.wantedPool.clear();
        machine.movingTo = call.pool;
        arrivals_.onAnswered(now, call.machine);
        listAt_ = std::min(listAt_, now + settings_.listIntervalMs);
        return;
    }
    onCallRefused(now, machine, reply);
    // A throttled call keeps its target, unless the pool has come to need no machines meanwhile.
    const auto isKept = pacer_.isPaced() && reply.refusal == MachineRefusal::Throttled
        && (isStandby(call.pool) || shortages_.contains(call.pool));
    if (!isKept) {
        machine.wantedPool.clear();
        arrivals_.drop(call.machine);
    }
    if (reply.refusal == MachineRefusal::Invalid) {
        machine.refusedPools.insert(call.pool);
    }
}

auto MachinePlanner::onCallRefused(TimeMs now, Machine &machine, const MachineReply &reply) -> void
{
    machine.unavailableUntil = 0;
    cordonedUntil_.erase(machine.calledWorker);
    const auto isThrottled = pacer_.isPaced() && reply.refusal == MachineRefusal::Throttled;
    machine.retryAt = now + (isThrottled ? settings_.throttledRetryMs : settings_.callRetryMs);
    if (isThrottled) {
        pacer_.onThrottled(now);
    }
}

auto MachinePlanner::onMaintained(TimeMs now, const MaintainMachine &call,
                                  const MachineReply &reply) -> void
{
    auto &machine = machines_[call.machine];
    machine.isCalling = false;
    machine.answeredAt = now;
    const auto found = waves_.find(call.wave);
    if (reply.outcome == CallOutcome::Refused) {
        onCallRefused(now, machine, reply);
    } else {
        machine.unavailableUntil = now + settings_.settleMs;
        machine.retryAt = now + settings_.callRetryMs;
        machine.maintainedAt = now;
    }
    const auto isObsolete = reply.outcome == CallOutcome::Refused
        && (reply.refusal == MachineRefusal::Invalid || reply.refusal == MachineRefusal::WrongWave);
    if (reply.outcome == CallOutcome::Done || isObsolete) {
        machine.wantedWave.clear();
        if (found != waves_.end()) {
            found->second.done.insert(call.machine);
        }
    }
}

auto MachinePlanner::onWaveWritten(const WriteWaveState &call, CallOutcome outcome) -> void
{
    const auto found = waves_.find(call.wave);
    if (found == waves_.end()) {
        return;
    }
    found->second.isWriting = false;
    if (outcome == CallOutcome::Done) {
        found->second.isRunningWritten = true;
        found->second.isCompletedWritten = call.isCompleted;
    }
}

auto MachinePlanner::takeArrivals(TimeMs now) -> std::vector<MachineArrival>
{
    return arrivals_.takeArrivals(now);
}

auto MachinePlanner::takeActions() -> std::vector<PlannerAction>
{
    return std::exchange(actions_, {});
}

auto MachinePlanner::tick(TimeMs now) -> void
{
    isTickDue_ = false;
    for (auto &[name, pool] : pools_) {
        pool.plannedCpu = pool.demandCpu;
    }
    const auto isNeeded = settings_.isMovingEnabled
        || std::ranges::any_of(waves_,
                               [](const auto &item) { return !item.second.isCompletedWritten; });
    if (!isListing_ && isNeeded && now >= listAt_) {
        isListing_ = true;
        listSentAt_ = now;
        actions_.emplace_back(std::in_place_type<ListMachines>, ListMachines{});
    }
    if (!hasList_ || coordinatorSince_ < 0) {
        return;
    }
    planWaves(now);
    if (settings_.isMovingEnabled) {
        planMoves(now);
    }
    callDrainedMachines(now);
    recordCalls(now);
    sendCalls(now);
}

//-----------------------------------------------------------------------------
// [SECTION] Machine planner: state of machines
//-----------------------------------------------------------------------------

// Returns whether nothing runs on the machine and nothing can start there.
auto MachinePlanner::isMachineDrained(TimeMs now, const Machine &machine) const -> bool
{
    if (!machine.isListed) {
        return isRemoved(now, machine);
    }
    if (isStandby(machine.entry.pool) || machine.entry.state != MachineState::Up) {
        return true;
    }
    if (!hasNoRuns(now, machine)) {
        return false;
    }
    return pools_.at(machine.entry.pool).workers.at(machine.entry.worker).isCordoned;
}

// Returns whether a recent report shows no runs there. Reports of a new owner don't count at first: it may not have
// received the cordon yet. The first reports after a takeover count with early demand, as ReportOrder accepts them
// only from an owner that has had a direction of this coordinator.
auto MachinePlanner::hasNoRuns(TimeMs now, const Machine &machine) const -> bool
{
    const auto pool = pools_.find(machine.entry.pool);
    if (pool == pools_.end() || now - pool->second.reportedAt > settings_.maxReportAgeMs) {
        return false;
    }
    const auto isTrusted = settings_.isDemandEarly && pool->second.isFirstOwner;
    if (!isTrusted && now - pool->second.ownerSince < settings_.maxReportAgeMs) {
        return false;
    }
    const auto *load = loadOf(machine);
    return load != nullptr && load->runs == 0;
}

// Returns the load of the machine's worker. Nothing: no worker is reported.
auto MachinePlanner::loadOf(const Machine &machine) const -> const WorkerLoad *
{
    const auto pool = pools_.find(machine.entry.pool);
    if (pool == pools_.end()) {
        return nullptr;
    }
    const auto worker = pool->second.workers.find(machine.entry.worker);
    return worker == pool->second.workers.end() ? nullptr : &worker->second;
}

// Returns whether the machine is up and nothing is planned for it.
auto MachinePlanner::isUncommitted(TimeMs now, const Machine &machine) const -> bool
{
    return machine.isListed && machine.entry.state == MachineState::Up && !machine.isCalling
        && machine.wantedWave.empty() && machine.wantedPool.empty() && !isUnavailable(now, machine);
}

auto MachinePlanner::isUnavailable(TimeMs now, const Machine &machine) const -> bool
{
    return now < machine.unavailableUntil || machine.entry.state == MachineState::Maintenance
        || machine.entry.state == MachineState::Moving;
}

auto MachinePlanner::isStandby(std::string_view pool) const -> bool
{
    return standby_.contains(pool);
}

auto MachinePlanner::countOnStandby(TimeMs now) const -> std::int64_t
{
    return std::ranges::count_if(machines_, [&](const auto &item) {
        const auto &machine = item.second;
        return isStandby(machine.entry.pool) && isUncommitted(now, machine)
            && !evacuated_.contains(machine.entry.zone);
    });
}

// Counts machines that the pool can use now, and those that are moving to it.
auto MachinePlanner::countUsable(TimeMs now, std::string_view pool) const -> std::int64_t
{
    return std::ranges::count_if(machines_, [&](const auto &item) {
        const auto &machine = item.second;
        if (evacuated_.contains(machine.entry.zone)) {
            return false;
        }
        if (machine.wantedPool == pool || machine.movingTo == pool) {
            return true;
        }
        if (!machine.isListed || machine.entry.pool != pool || !machine.wantedPool.empty()
            || !machine.wantedWave.empty() || isUnavailable(now, machine)) {
            return false;
        }
        const auto *load = loadOf(machine);
        return load != nullptr && load->isUsable;
    });
}

auto MachinePlanner::countDrained() const -> std::map<std::string, DrainCount, std::less<>>
{
    auto counts = std::map<std::string, DrainCount, std::less<>>();
    for (const auto &[name, machine] : machines_) {
        const auto isHere = machine.isListed && machine.entry.state != MachineState::Down
            && machine.wantedPool.empty() && machine.wantedWave.empty();
        if (!machine.wantedPool.empty()) {
            ++counts[machine.wantedPool].machines;
        } else if (isHere) {
            ++counts[machine.entry.pool].machines;
        }
        if (!machine.wantedWave.empty()) {
            ++counts[machine.entry.pool].drained;
        }
    }
    return counts;
}

auto MachinePlanner::cordonedWorkers(TimeMs now, std::string_view pool) const
    -> std::vector<std::string>
{
    auto workers = std::vector<std::string>();
    for (const auto &[name, machine] : machines_) {
        const auto isWanted = !machine.wantedPool.empty() || !machine.wantedWave.empty();
        if (machine.entry.pool == pool && isWanted && !machine.entry.worker.empty()) {
            workers.push_back(machine.entry.worker);
        }
    }
    // The worker of a called machine may be listed as ready for a while after it has stopped.
    for (const auto &[worker, until] : cordonedUntil_) {
        if (now < until) {
            workers.push_back(worker);
        }
    }
    return workers;
}

} // namespace peridotwalk
