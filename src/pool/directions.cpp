#include "pool/pool_internal.h"

#include <algorithm>

namespace peridotwalk {

namespace {

constexpr std::int64_t kReadyPercent = 100; // An unbounded task below that is still starting.

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Directions from the coordinator
//-----------------------------------------------------------------------------

auto PoolScheduler::State::applyDirection(Moment now, const PoolDirection &direction) -> void
{
    directedAt_ = now.steadyMs;
    coordinatorsRules_ = direction.rulesVersion;
    maxima_.learn(direction.rulesVersion, direction.maxima);
    for (const auto &grant : direction.grants) {
        auto &held = allowances_[grant.tenant];
        needsSchedule_ = needsSchedule_ || !(held == grant.allowance);
        held = grant.allowance;
    }
    const auto listed =
        std::set<std::string_view>(direction.cordoned.begin(), direction.cordoned.end());
    const auto setCordoned = [&](const std::string &id, bool isCordoned) {
        const auto worker = workers_.find(id);
        if (worker != workers_.end() && worker->second.isCordoned != isCordoned) {
            worker->second.isCordoned = isCordoned;
            needsSchedule_ = true;
        }
    };
    std::erase_if(cordoned_, [&](const auto &item) {
        const auto isOver = !listed.contains(item.first);
        if (isOver) {
            setCordoned(item.first, false);
        }
        return isOver;
    });
    for (const auto &id : direction.cordoned) {
        if (cordoned_.try_emplace(id, now.steadyMs).second) {
            setCordoned(id, true);
        }
    }
    setUrgent(now, direction.urgent);
}

auto PoolScheduler::State::report() const -> PoolReport
{
    auto report = PoolReport{};
    report.pool = identity_.pool;
    report.token = identity_.token;
    report.rulesVersion = view_.catalog.version();
    report.maxima = maximaFor(view_.catalog, coordinatorsRules_);
    report.arrivingCpu = arrivals_.cpu();
    report.wanted = wanted_;
    report.wantedLate = wantedLate_;
    if (areWorkersShort_) {
        report.wanted += ownerLimited_;
        report.wantedLate += ownerLimitedLate_;
    } else {
        report.ownerLimited = ownerLimited_;
        report.ownerLimited += ownerLimitedLate_;
    }
    auto names = std::set<std::string>();
    for (const auto &rule : view_.catalog.rules().tenants) {
        names.insert(rule.name);
    }
    // Of tenants that only newer rules name, too.
    for (const auto &[tenant, demand] : tenantDemand_) {
        names.insert(tenant);
    }
    for (const auto &[tenant, used] : tenantUsed_) {
        names.insert(tenant);
    }
    names.erase(""); // Queues that are open to all.
    const auto find = [](const auto &values, const std::string &tenant) {
        const auto found = values.find(tenant);
        return found == values.end() ? typename std::decay_t<decltype(values)>::mapped_type{}
                                     : found->second;
    };
    for (const auto &tenant : names) {
        const auto demand = find(tenantDemand_, tenant);
        report.tenants.push_back({tenant, find(allowances_, tenant), find(tenantUsed_, tenant),
                                  demand.waiting, demand.placeable, demand.least});
    }
    report.workers.reserve(workerList_.size());
    for (const auto *listed : workerList_) {
        const auto &worker = *listed;
        if (!worker.isListed) {
            continue;
        }
        auto load = WorkerLoad{};
        load.id = worker.peer.id;
        load.runs = std::ssize(worker.runs);
        load.unboundedRuns = worker.unboundedTasks;
        load.cpu = worker.used.cpu - worker.unboundedCpu;
        load.unboundedCpu = worker.unboundedCpu;
        load.expiredCpu = worker.expiredCpu;
        load.isCordoned = worker.isCordoned;
        load.isUsable = mayStartOn(worker) && worker.holdFailures == 0;
        report.workers.push_back(std::move(load));
        report.perWorker.cpu = std::max(report.perWorker.cpu, worker.report.capacity.cpu);
        report.perWorker.memoryMb =
            std::max(report.perWorker.memoryMb, worker.report.capacity.memoryMb);
    }
    return report;
}

// Returns what a report would show as demand, without the cost of a report.
auto PoolScheduler::State::demandCpu() const -> std::int64_t
{
    auto demand = wanted_.cpu + ownerLimited_.cpu;
    for (const auto *worker : workerList_) {
        if (worker->isListed) {
            demand += worker->used.cpu - worker->unboundedCpu - worker->expiredCpu;
        }
    }
    return std::max(demand, arrivals_.cpu());
}

// Drains cordoned workers: moves unbounded tasks elsewhere as far as the disruption budgets of their
// steps allow, and stops timed tasks that haven't ended within the grace period.
auto PoolScheduler::State::drainCordoned(Moment now) -> void
{
    reservedWorkers_.clear();
    if (cordoned_.empty() || isFenced_ || now.steadyMs >= termUntil_) {
        return;
    }
    for (auto *worker : workerList_) {
        if (worker->isCordoned && !worker->runs.empty()) {
            drainWorker(now, *worker);
        }
    }
    moveRuns(now);
}

auto PoolScheduler::State::drainWorker(Moment now, Worker &worker) -> void
{
    const auto since = cordoned_.find(worker.peer.id);
    if (since == cordoned_.end()) {
        return;
    }
    const auto isGraceOver = now.steadyMs - since->second > settings_.cordonGraceMs;
    auto       evicted = std::vector<TaskRef>();
    for (const auto &[ref, run] : worker.runs) {
        if (!run.isStopping && run.isConfirmed && (run.isUnbounded || isGraceOver)) {
            evicted.push_back(ref);
        }
    }
    for (const auto &ref : evicted) {
        if (worker.runs.contains(ref) && mayEvict(now, ref)) {
            logRunEvent("run.moved", ref, worker.runs.at(ref).run, worker.peer.id,
                        "the worker is drained");
            requestStop(now, worker, ref);
        }
    }
}

// A worker lists a run until it has stopped it. An earlier owner may have ordered stops on it until it first answered
// this one, which doesn't know of them.
auto PoolScheduler::State::mayBeStopping(Moment now, const Worker &worker) const -> bool
{
    return now.steadyMs - worker.answeredSince <= settings_.contention.stopMs;
}

// Returns whether a task may be evicted. Timed tasks always may. For an unbounded task, fewer others of
// its step than its budget must be unavailable, and another worker must have capacity for it; if none
// has, one is reserved.
auto PoolScheduler::State::mayEvict(Moment now, const TaskRef &ref) -> bool
{
    const auto &entry = jobs_.at(ref.job);
    const auto &step = stepOf(entry, ref);
    if (!step.isUnbounded) {
        return true;
    }
    const auto &tasks =
        entry.job.occurrences.at(ref.occurrence).steps[static_cast<std::size_t>(ref.step)];
    std::int64_t unavailable = 0;
    for (std::size_t index = 0; index < tasks.size(); ++index) {
        if (static_cast<std::int64_t>(index) == ref.index) {
            continue;
        }
        const auto &task = tasks[index];
        const auto  worker = workers_.find(task.worker);
        const auto  other =
            TaskRef{ref.job, ref.occurrence, ref.step, static_cast<std::int64_t>(index)};
        const auto isAvailable = task.phase == RunPhase::Running && worker != workers_.end()
            && worker->second.holdFailures == 0 && !mayBeStopping(now, worker->second)
            && worker->second.runs.contains(other)
            && worker->second.runs.at(other).percent >= kReadyPercent;
        unavailable += isAvailable ? 0 : 1;
    }
    const auto budget = std::max<std::int64_t>(1, step.maxUnavailable);
    if (unavailable >= budget) {
        return false;
    }
    if (chooseWorker(now, entry, ref) == nullptr) {
        reserveWorker(now, entry, ref);
        return false;
    }
    return true;
}

} // namespace peridotwalk
