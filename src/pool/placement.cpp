#include "pool/pool_internal.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace peridotwalk {

namespace {

constexpr double kTimedMemoryFraction = 0.4; // Part of a worker's memory left for timed work.
constexpr double kPackWeight = 1.0; // Weight of packing against the balance of cpu and memory.
// Outweighs all other scores: far from its data, work takes a multiple of the time.
constexpr double kDataLocalityScore = 10;
constexpr TimeMs kExplainIntervalMs = 1'000; // Least time between log events on one waiting job.
constexpr int    kMaxExplanations = 4;       // Of one round. Each looks at all workers.
constexpr TimeMs kPlacementStallMs = 300;    // Nothing is placed while an append takes longer.
// Placement rounds are 1 ms further apart per this many active jobs. A round takes a few
// microseconds per job, and a node with 0.25 of a core should spend less than a tenth of its time on
// rounds.
constexpr std::int64_t kJobsPerIntervalMs = 10;
// Refills are 1 ms further apart per this many steps that wait.
constexpr std::int64_t kStepsPerRefillMs = 100;

// Estimated critical path of a job.
struct Chain {
    TimeMs       lengthMs = 0;
    std::int64_t steps = 0; // Steps along it.
};

// Returns the critical path of the whole job, or of its steps that aren't done yet if `progress` is given.
auto longestChain(const JobSpec &spec, const Occurrence *progress) -> Chain
{
    auto ends = std::vector<Chain>(spec.steps.size());
    auto longest = Chain{};
    for (std::size_t step = 0; step < spec.steps.size(); ++step) {
        auto begin = Chain{};
        for (const auto earlier : spec.steps[step].after) {
            const auto &end = ends[static_cast<std::size_t>(earlier)];
            begin = end.lengthMs > begin.lengthMs ? end : begin;
        }
        const auto isOver =
            progress != nullptr && isStepDone(*progress, static_cast<std::int64_t>(step));
        ends[step] =
            isOver ? begin : Chain{begin.lengthMs + spec.steps[step].estimateMs, begin.steps + 1};
        longest = ends[step].lengthMs > longest.lengthMs ? ends[step] : longest;
    }
    return longest;
}

// Returns the score of `worker` for a task; the highest wins. Timed tasks are packed, so that large
// tasks still fit somewhere. Unbounded tasks share few workers, so that the others can move to other
// pools, but leave memory free on each. Fillers avoid workers with serving tasks, as they slow each
// other down.
auto placementScore(const Worker &worker, const StepSpec &step) -> double
{
    const auto fraction = [](std::int64_t amount, std::int64_t of) {
        return static_cast<double>(amount) / static_cast<double>(std::max<std::int64_t>(1, of));
    };
    const auto &capacity = worker.report.capacity;
    const auto  need = capacityNeed(step);
    const auto  cpu = fraction(worker.freeCapacity().cpu - need.cpu, capacity.cpu);
    const auto memory = fraction(worker.freeCapacity().memoryMb - need.memoryMb, capacity.memoryMb);
    if (step.isFiller) {
        return cpu - static_cast<double>(worker.servingTasks);
    }
    if (step.isUnbounded) {
        const auto joins = worker.unboundedTasks > 0 && memory >= kTimedMemoryFraction;
        return std::min(cpu, memory) + (joins ? 1.0 : 0.0);
    }
    // Free cpu and memory should stay balanced, and in few large pieces.
    return -std::abs(cpu - memory) - kPackWeight * (cpu + memory);
}

// Counts runs of the same step. Runs are ordered by job, occurrence and step, so these are adjacent.
auto countSiblings(const Worker &worker, const TaskRef &ref) -> std::int64_t
{
    const auto first = worker.runs.lower_bound({ref.job, ref.occurrence, ref.step, 0});
    const auto last = worker.runs.lower_bound({ref.job, ref.occurrence, ref.step + 1, 0});
    return std::distance(first, last);
}

} // namespace

auto objectiveOf(const QueueRule &queue, TimeMs chainMs) -> TimeMs
{
    return queue.objectiveMs + static_cast<TimeMs>(queue.stretch * static_cast<double>(chainMs));
}

auto objectiveOf(const QueueRule &queue, const OccurrenceSummary &summary) -> TimeMs
{
    return objectiveOf(queue, summary.chainMs);
}

auto timelinessOf(const QueueRule &queue, const OccurrenceSummary &summary, TimeMs leftMs,
                  std::int64_t dueMs, std::int64_t nowMs) -> Timeliness
{
    const auto objective = objectiveOf(queue, summary);
    if (nowMs + leftMs <= dueMs + objective) {
        return Timeliness::OnTime;
    }
    return nowMs + leftMs <= dueMs + kLateObjectives * objective ? Timeliness::Late
                                                                 : Timeliness::Expired;
}

//-----------------------------------------------------------------------------
// [SECTION] Ready steps
//-----------------------------------------------------------------------------

auto estimatedChain(const JobSpec &spec) -> TimeMs
{
    return longestChain(spec, nullptr).lengthMs;
}

auto PoolScheduler::State::summarize(JobEntry &entry, std::int64_t number)
    -> const OccurrenceSummary &
{
    auto &summary = entry.summaries[number];
    if (std::exchange(summary.isCurrent, true)) {
        return summary;
    }
    const auto &spec = entry.job.spec;
    const auto [found, isNew] = entry.job.occurrences.try_emplace(number);
    if (isNew) {
        found->second = makeOccurrence(spec);
    }
    const auto &occurrence = found->second;
    summary.ready.clear();
    summary.waitingWork = 0;
    if (isOccurrenceDone(occurrence)) {
        return summary;
    }
    const auto chainLeft = longestChain(spec, &occurrence);
    summary.chainMs = longestChain(spec, nullptr).lengthMs;
    summary.chainLeftMs = chainLeft.lengthMs;
    summary.chainLeftSteps = chainLeft.steps;
    summary.remaining = remainingWork(spec, occurrence);
    for (std::int64_t step = 0; step < std::ssize(spec.steps); ++step) {
        const auto  mayStart = [](const JobTask &task) { return !task.isDone && !task.isLive(); };
        const auto &tasks = occurrence.steps[static_cast<std::size_t>(step)];
        const auto  waiting = std::ranges::count_if(tasks, mayStart);
        const auto &stepSpec = spec.steps[static_cast<std::size_t>(step)];
        if (!stepSpec.isUnbounded) {
            summary.waitingWork += static_cast<double>(waiting)
                * static_cast<double>(capacityNeed(stepSpec).cpu)
                * static_cast<double>(stepSpec.estimateMs);
        }
        if (waiting > 0 && isStepReady(spec, occurrence, step)) {
            summary.ready.push_back({step, waiting * stepSpec.need.cpu});
        }
    }
    return summary;
}

auto PoolScheduler::State::findReadySteps(Moment now) -> std::vector<ReadyStep>
{
    auto ready = std::vector<ReadyStep>();
    nextDueMs_ = 0;
    learnedRatios_.clear();
    for (const auto &[id, entry] : active_) {
        const auto &job = entry->job;
        if (!isTenantKnown(job.spec)) {
            explainUnknownTenant(now, *entry);
            continue;
        }
        for (std::int64_t number = 0; number < occurrenceCount(job.spec); ++number) {
            const auto due = occurrenceDueMs(job.spec, number);
            if (due > now.wallMs) {
                nextDueMs_ = nextDueMs_ == 0 ? due : std::min(nextDueMs_, due);
                break;
            }
            const auto &summary = summarize(*entry, number);
            const auto  isCounted = settings_.contention.hasAdmission && summary.waitingWork > 0;
            if (summary.ready.empty() && !isCounted) {
                continue;
            }
            auto step = makeReadyStep(*entry, number, summary, now);
            if (isCounted) {
                noteWaiting(*entry, summary, step.timeliness);
            }
            for (const auto &[index, waitingCpu] : summary.ready) {
                step.step = index;
                step.waitingCpu = waitingCpu;
                step.isUnbounded = job.spec.steps[static_cast<std::size_t>(index)].isUnbounded;
                ready.push_back(step);
            }
        }
    }
    rankReadySteps(now, ready);
    return ready;
}

// Returns what all ready steps of the occurrence have in common.
auto PoolScheduler::State::makeReadyStep(JobEntry &entry, std::int64_t number,
                                         const OccurrenceSummary &summary, Moment now) const
    -> ReadyStep
{
    auto step = ReadyStep{};
    step.entry = &entry;
    step.occurrence = number;
    step.dueMs = std::max(entry.job.acceptedAtMs, occurrenceDueMs(entry.job.spec, number));
    step.remaining = summary.remaining;
    step.hasBegun = settings_.contention.isShareByWeight && entry.hasBegun;
    if (const auto *queue = queueOf(entry)) {
        step.priority = queue->priority;
        step.timeliness =
            timelinessOf(*queue, summary, timeLeft(entry, summary), step.dueMs, now.wallMs);
    }
    if (entry.firstArrivalMs > 0) {
        step.dueMs = entry.firstArrivalMs;
    }
    return step;
}

//-----------------------------------------------------------------------------
// [SECTION] Placement
//-----------------------------------------------------------------------------

auto PoolScheduler::State::noteTick(Moment now) -> void
{
    const auto gap = tickedAt_ > 0 ? now.steadyMs - tickedAt_ : 0;
    activity_.maxTickGapMs = std::max(activity_.maxTickGapMs, gap);
    isOverloaded_ = gap > settings_.maxTickGapMs;
    tickedAt_ = now.steadyMs;
}

auto PoolScheduler::State::mayPlace(Moment now) const -> bool
{
    const auto isBlocked = batch_ && now.steadyMs - batch_->startedAt > kPlacementStallMs;
    return !isFenced_ && !isBlocked && !isOverloaded_ && maySendStarts(now) && hasRules();
}

auto PoolScheduler::State::hasRules() const -> bool
{
    return view_.catalog.version() > 0;
}

// A job that was accepted under newer rules, which this node hasn't read yet, may be of a tenant that they have added.
// Its maximum isn't known then.
auto PoolScheduler::State::isTenantKnown(const JobSpec &spec) const -> bool
{
    return spec.tenant.empty() || spec.rulesVersion <= view_.catalog.version()
        || maxima_.find(view_.catalog, spec.tenant).has_value();
}

// A round ranks all ready steps and places what it can. Rounds are spaced by their cost, which grows with the
// jobs; in between, refills use capacity that becomes free, in the order of the last round.
auto PoolScheduler::State::schedule(Moment now) -> void
{
    const auto isDue = nextDueMs_ > 0 && now.wallMs >= nextDueMs_;
    // The end of a backoff is no event, and without a round no task is placed on its worker.
    if (backoffEndAt_ > 0 && now.steadyMs >= backoffEndAt_) {
        backoffEndAt_ = nextBackoffEnd(now);
        needsSchedule_ = true;
    }
    if (!mayPlace(now)) {
        return;
    }
    const auto isWaitOver = waitEndAt_ > 0 && now.steadyMs >= waitEndAt_;
    if ((!needsSchedule_ && !isDue && !isWaitOver) || now.steadyMs < scheduleAt_) {
        refill(now);
        return;
    }
    needsSchedule_ = false;
    roundAt_ = now.steadyMs;
    waitEndAt_ = 0;
    ++placementRounds_;
    ++activity_.rounds;
    wasOwnerLimited_ = activity_.ownerLimited > 0;
    activity_.waiting = 0;
    activity_.ownerLimited = 0;
    scheduleAt_ =
        now.steadyMs + settings_.scheduleIntervalMs + std::ssize(active_) / kJobsPerIntervalMs;
    tenantDemand_.clear();
    wanted_ = {};
    wantedLate_ = {};
    ownerLimited_ = {};
    ownerLimitedLate_ = {};
    explanations_ = 0;
    beginAdmissionRound();
    ready_ = findReadySteps(now);
    placeReadySteps(now, false);
    finishAdmissionRound(now);
}

auto PoolScheduler::State::refill(Moment now) -> void
{
    if (needsRefill_ && now.steadyMs >= refillAt_ && !ready_.empty() && !isOwnerBusy()) {
        placeReadySteps(now, true);
    }
}

auto PoolScheduler::State::placeReadySteps(Moment now, bool isRefill) -> void
{
    refillAt_ = now.steadyMs + settings_.refillIntervalMs + std::ssize(ready_) / kStepsPerRefillMs;
    isRefilling_ = isRefill;
    unplaceable_.clear();
    roomyNeeds_.clear();
    beginPlaces();
    if (ready_.empty()) {
        needsRefill_ = false;
        areWorkersShort_ = false;
        waitingJobs_ = {};
        return;
    }
    roundRoom_ = {};
    for (auto *worker : workerList_) {
        if (isUsable(now, *worker)) {
            capacityIndex_.add(*worker);
            roundRoom_ += worker->freeCapacity();
        }
    }
    capacityIndex_.sort();
    for (auto &step : ready_) {
        if (isRefill && isOwnerBusy()) {
            break;
        }
        if (step.entry->job.isOver()) {
            continue;
        }
        const auto &spec = step.entry->job.spec.steps[static_cast<std::size_t>(step.step)];
        if (spec.isGang) {
            placeGang(now, step);
        } else {
            placeStep(now, step);
        }
    }
    if (!isRefill) {
        checkFreeCapacity();
        // Right after a takeover the workers haven't answered yet: tasks lack those only.
        isWorkWaiting_ =
            now.steadyMs - ownedSince_ > settings_.holdWaitMs && wanted_.cpu + wantedLate_.cpu > 0;
    }
    capacityIndex_.clear();
    std::erase_if(ready_, [](const ReadyStep &step) { return step.isPlaced; });
    if (!isRefill) {
        countWaitingJobs();
    }
    needsRefill_ = false;
}

// Tasks that wait for the owner need more workers only if the free ones can't take as many as the owner may
// have unconfirmed: otherwise it can't use more.
auto PoolScheduler::State::checkFreeCapacity() -> void
{
    std::int64_t freeCpu = 0;
    for (const auto &entry : capacityIndex_.workersWith(0)) {
        freeCpu += entry.freeCpu;
    }
    const auto limitedCpu = ownerLimited_.cpu + ownerLimitedLate_.cpu;
    areWorkersShort_ =
        activity_.ownerLimited > 0 && freeCpu / startLimit() < limitedCpu / activity_.ownerLimited;
}

// Returns how many of these tasks the tenant's allowance covers, beyond what it uses and `planned`.
auto PoolScheduler::State::countWithinAllowance(const std::string &tenant, const ResourceSet &need,
                                                std::int64_t       tasks,
                                                const ResourceSet &planned) const -> std::int64_t
{
    const auto maximum = maxima_.find(view_.catalog, tenant);
    if (!maximum) {
        return tasks; // A queue that is open to all has no tenant.
    }
    const auto find = [&](const std::map<std::string, ResourceSet> &amounts) {
        const auto found = amounts.find(tenant);
        return found == amounts.end() ? ResourceSet{} : found->second;
    };
    // The allowance may be of a time when the maximum was higher.
    auto remaining = find(allowances_);
    remaining.cpu = std::min(remaining.cpu, maximum->cpu);
    remaining.memoryMb = std::min(remaining.memoryMb, maximum->memoryMb);
    remaining.accelerators = std::min(remaining.accelerators, maximum->accelerators);
    remaining -= find(tenantUsed_);
    remaining -= planned;
    const auto within = [&](std::int64_t most, std::int64_t left, std::int64_t each) {
        if (most == 0) {
            return tasks;
        }
        if (left < 0) {
            return std::int64_t{0};
        }
        return each == 0 ? tasks : std::min(tasks, left / each);
    };
    return std::min({within(maximum->cpu, remaining.cpu, need.cpu),
                     within(maximum->memoryMb, remaining.memoryMb, need.memoryMb),
                     within(maximum->accelerators, remaining.accelerators, need.accelerators)});
}

auto PoolScheduler::State::isWithinAllowance(const std::string &tenant,
                                             const ResourceSet &need) const -> bool
{
    return countWithinAllowance(tenant, need, 1, {}) > 0;
}

// Returns the sum that the waiting tasks of a step belong to. Those of expired jobs request no workers: they
// take what is left, as workers that go to them are missing where a job can still be in time.
auto PoolScheduler::State::demandOf(const ReadyStep &step) -> ResourceSet *
{
    if (step.isUnbounded || step.timeliness == Timeliness::OnTime) {
        return isOwnerBusy() ? &ownerLimited_ : &wanted_;
    }
    if (step.timeliness == Timeliness::Late) {
        return isOwnerBusy() ? &ownerLimitedLate_ : &wantedLate_;
    }
    return nullptr;
}

// Adds waiting tasks of a step to the demand. Tasks beyond their tenant's allowance count towards a
// larger allowance, but not towards more workers.
auto PoolScheduler::State::addDemand(ReadyStep &step, std::int64_t tasks, std::int64_t leftOut)
    -> void
{
    if (tasks == 0) {
        return;
    }
    const auto &spec = step.entry->job.spec.steps[static_cast<std::size_t>(step.step)];
    const auto &tenant = step.entry->job.spec.tenant;
    auto       &tenantDemand = tenantDemand_[tenant];
    tenantDemand.waiting += spec.need * tasks;
    addPlaceable(step, tasks, tenantDemand);
    activity_.waiting += tasks;
    activity_.ownerLimited += isOwnerBusy() ? tasks - leftOut : 0;
    auto &planned = tenantDemand.covered;
    planned += spec.need * leftOut;
    step.counted = countWithinAllowance(tenant, spec.need, tasks - leftOut, planned);
    planned += spec.need * step.counted;
    step.demand = demandOf(step);
    if (step.demand != nullptr) {
        *step.demand += capacityNeed(spec) * step.counted;
    }
}

// Adds waiting tasks of a step, as many as workers have room for, to what their tenant's allowance could be used for.
auto PoolScheduler::State::addPlaceable(const ReadyStep &step, std::int64_t tasks,
                                        TenantDemand &demand) -> void
{
    if (step.lacksWorker) {
        return;
    }
    const auto &spec = step.entry->job.spec.steps[static_cast<std::size_t>(step.step)];
    if (!std::exchange(demand.isRoomKnown, true)) {
        demand.room = roundRoom_;
    }
    const auto need = capacityNeed(spec);
    const auto placeable = std::min(tasks, countFitting(need, demand.room));
    if (placeable == 0 || (spec.isGang && placeable < tasks)) {
        return;
    }
    demand.room -= need * placeable;
    demand.placeable += spec.need * placeable;
    const auto each = spec.isGang ? spec.need * tasks : spec.need;
    const auto isFirst = demand.least == ResourceSet{};
    demand.least.cpu = isFirst ? each.cpu : std::min(demand.least.cpu, each.cpu);
    demand.least.memoryMb =
        isFirst ? each.memoryMb : std::min(demand.least.memoryMb, each.memoryMb);
    demand.least.accelerators =
        isFirst ? each.accelerators : std::min(demand.least.accelerators, each.accelerators);
}

// Returns whether a worker has room for the task, which its tenant's allowance doesn't cover now. Searched once in a
// round for all tasks that need no more than this one, and may run anywhere.
auto PoolScheduler::State::findsWorker(Moment now, const JobEntry &entry, const TaskRef &ref)
    -> bool
{
    const auto &step = stepOf(entry, ref);
    const auto  need = capacityNeed(step);
    const auto  isPlain = !step.isUnbounded && step.requiredLabel.empty() && step.maxPerWorker == 0;
    if (isKnownUnplaceable(entry, ref)) {
        return false;
    }
    const auto isKnown = std::ranges::any_of(
        roomyNeeds_, [&](const ResourceSet &other) { return need.fits(other); });
    if (isPlain && isKnown) {
        return true;
    }
    const auto isFound = chooseWorker(now, entry, ref) != nullptr;
    if (isPlain && isFound) {
        std::erase_if(roomyNeeds_, [&](const ResourceSet &other) { return other.fits(need); });
        roomyNeeds_.push_back(need);
    } else if (isPlain) {
        addUnplaceable(need);
    }
    return isFound;
}

// Removes tasks from the demand that a refill has placed.
auto PoolScheduler::State::removeDemand(ReadyStep &step, std::int64_t tasks) -> void
{
    const auto &spec = step.entry->job.spec.steps[static_cast<std::size_t>(step.step)];
    const auto  removed = std::min(tasks, step.counted);
    step.counted -= removed;
    if (step.demand != nullptr) {
        *step.demand -= capacityNeed(spec) * removed;
    }
}

auto PoolScheduler::State::placeStep(Moment now, ReadyStep &step) -> void
{
    auto       &entry = *step.entry;
    const auto &spec = entry.job.spec.steps[static_cast<std::size_t>(step.step)];
    const auto &tenant = entry.job.spec.tenant;
    auto       &tasks =
        entry.job.occurrences.at(step.occurrence).steps[static_cast<std::size_t>(step.step)];
    auto         isBlocked = false; // Tasks of a step are alike: if one finds no worker, none does.
    std::int64_t waiting = 0;
    std::int64_t placed = 0;
    std::int64_t leftOut = 0; // Part of those that wait, for a place near their data.
    const auto   lackedWorker = std::exchange(step.lacksWorker, false);
    Worker *far = nullptr; // Has room for the task before, which waits, and so for the next one.
    for (std::size_t index = 0; index < tasks.size(); ++index) {
        if (tasks[index].isDone || tasks[index].isLive()) {
            continue;
        }
        const auto ref = TaskRef{entry.job.spec.id, step.occurrence, step.step,
                                 static_cast<std::int64_t>(index)};
        if (tasks[index].failures > 0 && !hasAttemptsLeft(entry, ref)) {
            finishJob(now, entry, JobState::Failed);
            step.isPlaced = true;
            return;
        }
        if (!isBlocked && !isOwnerBusy() && isWithinAllowance(tenant, spec.need)) {
            auto *worker = far;
            if (worker == nullptr && !isKnownUnplaceable(entry, ref)) {
                worker = chooseWorker(now, entry, ref);
            }
            far = nullptr;
            if (worker != nullptr && waitsForPlace(now, step, ref, *worker, leftOut)) {
                far = worker;
                ++waiting;
                ++leftOut;
                continue;
            }
            if (worker != nullptr) {
                const auto isNear = worker->report.rack == spec.preferredRack;
                placed += endWait(now, step, ref, *worker, isNear) ? 0 : 1;
                placeTask(now, step, ref, *worker);
                continue;
            }
            if (!spec.isUnbounded && spec.requiredLabel.empty() && spec.maxPerWorker == 0) {
                addUnplaceable(capacityNeed(spec));
            }
            if (spec.isUnbounded) {
                reserveWorker(now, entry, ref);
            }
            explainWait(now, entry, ref);
            step.lacksWorker = true;
        } else if (!isBlocked && !isOwnerBusy()) {
            step.lacksWorker = !findsWorker(now, entry, ref);
            // What the tenant could use has grown, which only a round counts.
            needsSchedule_ = needsSchedule_ || (isRefilling_ && lackedWorker && !step.lacksWorker);
        }
        isBlocked = true;
        ++waiting;
    }
    step.isPlaced = waiting == 0;
    noteWaits(step, leftOut);
    if (isRefilling_) {
        removeDemand(step, placed);
    } else {
        addDemand(step, waiting, leftOut);
    }
}

// Places all members of a gang, or none.
auto PoolScheduler::State::placeGang(Moment now, ReadyStep &step) -> void
{
    auto &entry = *step.entry;
    auto &tasks =
        entry.job.occurrences.at(step.occurrence).steps[static_cast<std::size_t>(step.step)];
    const auto isAnyLive = std::ranges::any_of(tasks, &JobTask::isLive);
    step.isPlaced = isAnyLive || std::ranges::all_of(tasks, &JobTask::isDone);
    if (step.isPlaced) {
        return;
    }
    if (!hasAttemptsLeft(entry, {entry.job.spec.id, step.occurrence, step.step, 0})) {
        finishJob(now, entry, JobState::Failed);
        step.isPlaced = true;
        return;
    }
    if (isOwnerBusy()) {
        if (!isRefilling_) {
            addDemand(step, std::ssize(tasks));
        }
        return;
    }
    auto       isLeftOut = false;
    const auto places = chooseGangPlaces(now, step, isLeftOut);
    step.isPlaced = places.size() == tasks.size();
    if (!step.isPlaced) {
        const auto &spec = entry.job.spec.steps[static_cast<std::size_t>(step.step)];
        const auto  size = std::ssize(tasks);
        const auto  lackedWorker = step.lacksWorker;
        step.lacksWorker = !isLeftOut
            && (countWithinAllowance(entry.job.spec.tenant, spec.need, size, {}) == size
                || countFitting(capacityNeed(spec), roundRoom_) < size);
        if (!isRefilling_) {
            addDemand(step, size, isLeftOut ? size : 0);
        }
        needsSchedule_ = needsSchedule_ || (isRefilling_ && lackedWorker && !step.lacksWorker);
        return;
    }
    removeDemand(step, std::ssize(tasks));
    const auto run = std::ranges::max(tasks, {}, &JobTask::run).run;
    for (const auto &[worker, ref] : places) {
        auto &task = tasks[static_cast<std::size_t>(ref.index)];
        task.run = run;
        placeTask(now, step, ref, *worker);
    }
}

// Returns whether a task may run on a worker, free capacity aside.
auto PoolScheduler::State::isAllowed(Moment now, const Worker &worker, const JobEntry &entry,
                                     const TaskRef &ref) const -> bool
{
    const auto &step = stepOf(entry, ref);
    if (!isUsable(now, worker)) {
        return false;
    }
    if (!step.requiredLabel.empty() && !worker.report.labels.contains(step.requiredLabel)) {
        return false;
    }
    if (!step.isUnbounded && reservedWorkers_.contains(worker.peer.id)) {
        return false;
    }
    return step.maxPerWorker == 0 || countSiblings(worker, ref) < step.maxPerWorker;
}

auto PoolScheduler::State::scoreOn(const Worker &worker, const StepSpec &step) -> double
{
    const auto isNear = !step.preferredRack.empty() && worker.report.rack == step.preferredRack;
    return placementScore(worker, step) + (isNear ? kDataLocalityScore : 0);
}

auto PoolScheduler::State::chooseWorker(Moment now, const JobEntry &entry, const TaskRef &ref)
    -> Worker *
{
    const auto &step = stepOf(entry, ref);
    const auto  isPacked = !step.isUnbounded && !step.isFiller && step.preferredRack.empty();
    if (isPacked && !capacityIndex_.isEmpty()) {
        return findTightestFit(now, entry, ref);
    }
    if (mayWaitForPlace(step) && !step.preferredRack.empty() && !capacityIndex_.isEmpty()) {
        auto *near = findInRack(now, entry, ref, step.preferredRack);
        return near != nullptr ? near : findTightestFit(now, entry, ref);
    }
    const auto need = capacityNeed(step);
    Worker    *best = nullptr;
    auto       bestScore = 0.0;
    for (auto &[id, worker] : workers_) {
        if (!need.fits(worker.freeCapacity()) || !isAllowed(now, worker, entry, ref)) {
            continue;
        }
        const auto score = scoreOn(worker, step);
        if (best == nullptr || score > bestScore) {
            best = &worker;
            bestScore = score;
        }
    }
    return best;
}

// Returns the worker with the highest score for a timed task that is packed. The score is at most
// -2 * the part of cpu that stays free, so the search ends where no worker with more free cpu can win.
auto PoolScheduler::State::findTightestFit(Moment now, const JobEntry &entry, const TaskRef &ref)
    -> Worker *
{
    const auto &step = stepOf(entry, ref);
    const auto  need = capacityNeed(step);
    const auto  largestCpu = static_cast<double>(capacityIndex_.largestCpu());
    Worker     *best = nullptr;
    Worker     *awaited = nullptr; // In a rack that other tasks wait for: only if none else fits.
    auto        bestScore = 0.0;
    for (const auto &candidate : capacityIndex_.workersWith(need.cpu)) {
        const auto bound = -2 * static_cast<double>(candidate.freeCpu - need.cpu) / largestCpu;
        if (best != nullptr && bound <= bestScore) {
            break;
        }
        auto &worker = *candidate.worker;
        if (!need.fits(worker.freeCapacity()) || !isAllowed(now, worker, entry, ref)) {
            continue;
        }
        if (isAwaited(worker)) {
            awaited = awaited == nullptr ? &worker : awaited;
            continue;
        }
        const auto score = placementScore(worker, step);
        if (best == nullptr || score > bestScore) {
            best = &worker;
            bestScore = score;
        }
    }
    return best != nullptr ? best : awaited;
}

// Remembers a need that fits nowhere, in place of larger ones.
auto PoolScheduler::State::addUnplaceable(const ResourceSet &need) -> void
{
    std::erase_if(unplaceable_, [&](const ResourceSet &other) { return need.fits(other); });
    unplaceable_.push_back(need);
}

// Returns whether a task that needs no more than this one, and may run anywhere, found no worker in
// this round.
auto PoolScheduler::State::isKnownUnplaceable(const JobEntry &entry, const TaskRef &ref) const
    -> bool
{
    const auto need = capacityNeed(stepOf(entry, ref));
    return !stepOf(entry, ref).isUnbounded
        && std::ranges::any_of(unplaceable_,
                               [&](const ResourceSet &missing) { return missing.fits(need); });
}

// Logs why a task of a job finds no worker, at most once per kExplainIntervalMs and job.
auto PoolScheduler::State::explainWait(Moment now, JobEntry &entry, const TaskRef &ref) -> void
{
    if (now.steadyMs < entry.nextExplainAt || explanations_ >= kMaxExplanations) {
        return;
    }
    ++explanations_;
    entry.nextExplainAt = now.steadyMs + kExplainIntervalMs;
    const auto   need = capacityNeed(stepOf(entry, ref));
    std::int64_t usable = 0;
    std::int64_t allowed = 0;
    std::int64_t fitting = 0;
    auto         most = ResourceSet{};
    for (const auto &[id, worker] : workers_) {
        usable += isUsable(now, worker) ? 1 : 0;
        if (!isAllowed(now, worker, entry, ref)) {
            continue;
        }
        ++allowed;
        fitting += need.fits(worker.freeCapacity()) ? 1 : 0;
        most.cpu = std::max(most.cpu, worker.freeCapacity().cpu);
        most.memoryMb = std::max(most.memoryMb, worker.freeCapacity().memoryMb);
    }
    logRunEvent(
        "task.waits", ref, 0, "",
        fmt::format(
            "workers {} usable {} allowed {} with room {}; needs cpu {} memory {}; most free "
            "cpu {} memory {}",
            workers_.size(), usable, allowed, fitting, need.cpu, need.memoryMb, most.cpu,
            most.memoryMb));
}

auto PoolScheduler::State::explainUnknownTenant(Moment now, JobEntry &entry) -> void
{
    if (now.steadyMs >= entry.nextExplainAt) {
        entry.nextExplainAt = now.steadyMs + kExplainIntervalMs;
        const auto &spec = entry.job.spec;
        logRunEvent("task.waits", {spec.id, 0, 0, 0}, 0, "",
                    fmt::format("tenant {} of rules {}; these are {}", spec.tenant,
                                spec.rulesVersion, view_.catalog.version()));
    }
}

// Keeps timed tasks off the worker with the most free memory, where an unbounded task will fit soonest.
// Small timed tasks would otherwise use each bit of capacity before there is enough.
auto PoolScheduler::State::reserveWorker(Moment now, const JobEntry &entry, const TaskRef &ref)
    -> void
{
    const auto    need = capacityNeed(stepOf(entry, ref));
    const Worker *best = nullptr;
    for (const auto &[id, worker] : workers_) {
        if (!need.fits(worker.report.capacity) || !isAllowed(now, worker, entry, ref)) {
            continue;
        }
        if (reservedWorkers_.contains(id)) {
            return; // One suitable worker is enough.
        }
        if (best == nullptr || worker.freeCapacity().memoryMb > best->freeCapacity().memoryMb) {
            best = &worker;
        }
    }
    if (best != nullptr) {
        reservedWorkers_.insert(best->peer.id);
    }
}

auto PoolScheduler::State::placeTask(Moment now, const ReadyStep &step, const TaskRef &ref,
                                     Worker &worker) -> void
{
    auto &entry = *step.entry;
    auto &task = *findTask(entry.job, ref);
    ++task.run;
    task.worker = worker.peer.id;
    task.phase = RunPhase::Recording;
    task.changedAt = now.steadyMs;
    entry.summaries[ref.occurrence].isCurrent = false;
    auto run = RunState{};
    run.run = task.run;
    run.need = capacityNeed(stepOf(entry, ref));
    run.isExpired = !step.isUnbounded && step.timeliness == Timeliness::Expired;
    addPending(run);
    allocate(worker, ref, run);
    if (entry.job.state == JobState::Queued) {
        entry.job.state = JobState::Running;
        markChanged(entry.job.spec.id);
    }
    logRunEvent("run.placed", ref, run.run, worker.peer.id, "");
    ++activity_.placed;
    markChanged(ref);
    afterAppend(StartEffect{ref, task.run, worker.peer.id});
    // An idle worker isn't held, so it may have ended or restarted. It is asked while the journal is written.
    if (!hasJustAnswered(now, worker) && !worker.isHoldInFlight) {
        sendHold(now, worker);
    }
}

} // namespace peridotwalk
