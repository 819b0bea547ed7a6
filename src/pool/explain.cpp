// Explains where a job would be placed, for operators. Reads the scheduler's state and changes nothing.

#include "pool/pool_internal.h"

#include <fmt/format.h>

#include <algorithm>

namespace peridotwalk {

namespace {

constexpr std::size_t kMaxExplainedSteps = 16; // Explained of one job. Each looks at all workers.
constexpr std::size_t kMaxCandidates = 10;     // Listed of one step.
constexpr std::size_t kMaxExamples = 3;        // Workers named for one reason.

auto nameOf(Timeliness timeliness) -> std::string_view
{
    switch (timeliness) {
    case Timeliness::OnTime:
        return "on time";
    case Timeliness::Late:
        return "late";
    case Timeliness::Expired:
        break;
    }
    return "expired";
}

auto describe(const ResourceSet &amount) -> std::string
{
    return fmt::format("cpu {} memory {} accelerators {}", amount.cpu, amount.memoryMb,
                       amount.accelerators);
}

// Returns the tasks of a step that have no run yet.
auto countWaiting(const ReadyStep &step) -> std::int64_t
{
    const auto &occurrence = step.entry->job.occurrences.at(step.occurrence);
    const auto &tasks = occurrence.steps[static_cast<std::size_t>(step.step)];
    return std::ranges::count_if(
        tasks, [](const JobTask &task) { return !task.isDone && !task.isLive(); });
}

auto addExclusion(std::vector<ExclusionExplanation> &exclusions, const std::string &reason,
                  const std::string &worker) -> void
{
    auto found = std::ranges::find(exclusions, reason, &ExclusionExplanation::reason);
    if (found == exclusions.end()) {
        found = exclusions.insert(exclusions.end(), {reason});
    }
    ++found->workers;
    if (found->examples.size() < kMaxExamples) {
        found->examples.push_back(worker);
    }
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Explanations
//-----------------------------------------------------------------------------

auto PoolScheduler::State::explain(Moment now, const JobSpec &spec) const -> JobExplanation
{
    auto explanation = JobExplanation{};
    explanation.pool = identity_.pool;
    explanation.token = identity_.token;
    explanation.jobs = std::ssize(active_);
    explanation.runs = liveRuns_;
    explanation.workers = std::ranges::count_if(workerList_, &Worker::isListed);
    explanation.rulesVersion = view_.catalog.version();
    explanation.blockedBy = explainBlock(now);
    explanation.termLeftMs = termUntil_ - now.steadyMs;
    explanation.workersAgeMs = now.steadyMs - view_.readAt;
    if (roundAt_) {
        explanation.roundAgeMs = now.steadyMs - *roundAt_;
    }
    if (directedAt_) {
        explanation.directionAgeMs = now.steadyMs - *directedAt_;
    }
    auto entry = JobEntry{};
    entry.job.spec = spec;
    entry.job.acceptedAtMs = now.wallMs;
    applyRules(entry);
    const auto &summary = summarize(entry, 0);
    explanation.laterSteps = std::ssize(spec.steps);
    if (summary.ready.empty()) {
        return explanation;
    }
    auto first = makeReadyStep(entry, 0, summary, now);
    first.step = summary.ready.front().step;
    first.isUnbounded = spec.steps[static_cast<std::size_t>(first.step)].isUnbounded;
    explanation.order = explainOrder(first);
    explanation.admission = explainAdmission(now, entry, first, explanation.order);
    for (const auto &[step, cpu] : summary.ready) {
        if (explanation.steps.size() < kMaxExplainedSteps) {
            explanation.steps.push_back(explainStep(now, first, step));
            --explanation.laterSteps;
        }
    }
    return explanation;
}

auto PoolScheduler::State::explainAdmission(Moment now, const JobEntry &entry,
                                            const ReadyStep        &first,
                                            const OrderExplanation &order) const
    -> AdmissionExplanation
{
    auto        admission = AdmissionExplanation{};
    const auto &summary = entry.summaries.at(first.occurrence);
    admission.chainMs = summary.chainMs;
    if (const auto *queue = queueOf(entry)) {
        admission.objectiveMs = queue->objectiveMs
            + static_cast<TimeMs>(queue->stretch * static_cast<double>(summary.chainMs));
    }
    admission.workAhead = order.workAhead;
    for (const auto *worker : workerList_) {
        admission.usableCpu += isUsable(now, *worker) ? worker->report.capacity.cpu : 0;
    }
    if (const auto refusal = findRefusal(now)) {
        admission.isAccepted = false;
        admission.reason = refusal->reason;
        admission.retryAfterMs = refusal->retryAfterMs;
    } else if (const auto tooLate = findAdmissionRefusal(now, entry.job.spec)) {
        admission.isAccepted = false;
        admission.reason = reasonText(tooLate->reason);
        admission.retryAfterMs = tooLate->retryAfterMs;
        admission.expectedMs = tooLate->expectedMs;
    }
    return admission;
}

auto PoolScheduler::State::explainOrder(const ReadyStep &first) const -> OrderExplanation
{
    auto order = OrderExplanation{};
    order.timeliness = nameOf(first.timeliness);
    order.priority = first.priority;
    for (const auto &other : ready_) {
        const auto waiting = countWaiting(other);
        if (other.isPlaced || other.entry->job.isOver() || waiting == 0) {
            continue;
        }
        if (isPlacedBefore(first, other)) {
            ++order.stepsBehind;
            continue;
        }
        const auto &spec = other.entry->job.spec.steps[static_cast<std::size_t>(other.step)];
        ++order.stepsAhead;
        order.tasksAhead += waiting;
        order.workAhead += waiting * (spec.need.cpu * spec.estimateMs / 1'000);
    }
    return order;
}

auto PoolScheduler::State::explainStep(Moment now, const ReadyStep &first, std::int64_t step) const
    -> StepExplanation
{
    const auto &entry = *first.entry;
    const auto  ref = TaskRef{entry.job.spec.id, 0, step, 0};
    const auto &spec = stepOf(entry, ref);
    auto        explanation = StepExplanation{};
    explanation.step = step;
    explanation.tasks = spec.count;
    explanation.need = capacityNeed(spec);
    std::int64_t fitting = 0;
    for (const auto *worker : workerList_) {
        if (!explanation.need.fits(worker->freeCapacity())
            || !isAllowed(now, *worker, entry, ref)) {
            addExclusion(explanation.exclusions, findExclusion(now, *worker, entry, ref),
                         worker->peer.id);
            continue;
        }
        const auto limit =
            spec.maxPerWorker == 0 ? spec.count : std::min(spec.count, spec.maxPerWorker);
        const auto tasks = std::min(limit, countFitting(explanation.need, worker->freeCapacity()));
        fitting += tasks;
        explanation.candidates.push_back({worker->peer.id, worker->report.zone, worker->report.rack,
                                          scoreOn(*worker, spec), worker->freeCapacity(), tasks,
                                          now.steadyMs - worker->lastHeldAt});
    }
    std::ranges::stable_sort(explanation.candidates, std::greater<>(),
                             &CandidateExplanation::score);
    std::ranges::stable_sort(explanation.exclusions, std::greater<>(),
                             &ExclusionExplanation::workers);
    explanation.candidateCount = std::ssize(explanation.candidates);
    explanation.place = explainPlace(now, first, explanation);
    explanation.waitsFor = findCause(now, entry, explanation, fitting);
    const auto isDue = occurrenceDueMs(entry.job.spec, 0) <= now.wallMs;
    const auto covered = countWithinAllowance(entry.job.spec.tenant, spec.need, spec.count, {});
    if (isDue && explainBlock(now).empty() && isTenantKnown(entry.job.spec)
        && !explanation.place.waits) {
        explanation.placeable = std::min({spec.count, fitting, covered, startsLeft()});
    }
    if (spec.isGang && explanation.placeable < spec.count) {
        explanation.placeable = 0;
    }
    explanation.placeable = std::max<std::int64_t>(0, explanation.placeable);
    if (explanation.candidates.size() > kMaxCandidates) {
        explanation.candidates.resize(kMaxCandidates);
    }
    return explanation;
}

// Asks the decision that placement asks, without the tasks that wait for the rack already.
auto PoolScheduler::State::explainPlace(Moment now, const ReadyStep &first,
                                        const StepExplanation &step) const -> PlaceExplanation
{
    const auto &spec = first.entry->job.spec.steps[static_cast<std::size_t>(step.step)];
    auto        place = PlaceExplanation{};
    place.rack = spec.preferredRack;
    place.isNear = std::ranges::any_of(step.candidates, [&](const CandidateExplanation &one) {
        return !place.rack.empty() && one.rack == place.rack;
    });
    if (!mayWaitForPlace(spec) || place.rack.empty() || place.isNear || step.candidates.empty()
        || spec.isGang) {
        return place;
    }
    auto workers = std::vector<Worker *>();
    std::ranges::copy_if(workerList_, std::back_inserter(workers), [&](const Worker *worker) {
        return isUsable(now, *worker) && worker->report.rack == place.rack;
    });
    auto ready = first;
    ready.step = step.step;
    ready.followingMs.reset();
    auto question = questionOf(now, ready);
    question.waitMs = makeForecast(now, spec, workers).timeUntilRoom(step.need, 1, question.runMs);
    const auto decision = decidePlace({.farFactor = settings_.contention.farFactor}, question);
    place.waits = decision.isWait;
    place.farMs = decision.farMs;
    if (question.waitMs) {
        place.nearMs = decision.nearMs;
    }
    if (decision.isWait) {
        place.untilMs = decision.longestMs;
    }
    return place;
}

// Returns why the owner places nothing now, or nothing. mayPlace() decides; this names the reason.
auto PoolScheduler::State::explainBlock(Moment now) const -> std::string
{
    if (handover_ != HandoverStage::None) {
        return "the pool is being handed over";
    }
    if (mayPlace(now)) {
        return {};
    }
    if (isFenced_) {
        return "a newer owner is active";
    }
    if (now.steadyMs >= termUntil_) {
        return "the owner is out of its term";
    }
    if (!hasRules()) {
        return "the owner hasn't read the rules yet";
    }
    if (!isViewFresh(now)) {
        return "the owner can't read workers' entries";
    }
    return isOverloaded_ ? "the owner is overloaded" : "the journal is slow";
}

// Returns what tasks of the step wait for that can't be placed now, or nothing.
auto PoolScheduler::State::findCause(Moment now, const JobEntry &entry, const StepExplanation &step,
                                     std::int64_t fitting) const -> std::string
{
    const auto &job = entry.job.spec;
    const auto &spec = job.steps[static_cast<std::size_t>(step.step)];
    if (const auto due = occurrenceDueMs(job, 0); due > now.wallMs) {
        return fmt::format("its start time, in {} ms", due - now.wallMs);
    }
    if (auto block = explainBlock(now); !block.empty()) {
        return "the owner: " + block;
    }
    if (!isTenantKnown(job)) {
        return fmt::format("rules that name the tenant {}", job.tenant);
    }
    if (step.place.waits) {
        return "a worker in rack " + step.place.rack;
    }
    const auto free = startsLeft();
    if (free <= 0) {
        return fmt::format("the owner: {} runs are unconfirmed, the limit is {}", pendingRuns_,
                           settings_.maxUnconfirmedRuns);
    }
    const auto covered = countWithinAllowance(job.tenant, spec.need, spec.count, {});
    if (covered < spec.count && covered <= fitting) {
        const auto find = [&](const std::map<std::string, ResourceSet> &amounts) {
            const auto found = amounts.find(job.tenant);
            return found == amounts.end() ? ResourceSet{} : found->second;
        };
        return fmt::format("the allowance of tenant {}: {}; in use {}", job.tenant,
                           describe(find(allowances_)), describe(find(tenantUsed_)));
    }
    if (fitting >= spec.count) {
        return free < spec.count ? "the owner's limit on unconfirmed runs" : "";
    }
    const auto isLargeEnough = std::ranges::any_of(workerList_, [&](const Worker *worker) {
        return worker->isListed && step.need.fits(worker->report.capacity)
            && (spec.requiredLabel.empty() || worker->report.labels.contains(spec.requiredLabel));
    });
    if (!isLargeEnough) {
        return "a worker that is large enough and has its label: the pool has none";
    }
    return spec.isGang ? "capacity for all members of the gang at once" : "free capacity";
}

// Returns why a task can't be placed on the worker. isAllowed() and the free capacity decide; this names the
// reason.
auto PoolScheduler::State::findExclusion(Moment now, const Worker &worker, const JobEntry &entry,
                                         const TaskRef &ref) const -> std::string
{
    const auto &step = stepOf(entry, ref);
    const auto  need = capacityNeed(step);
    const auto  free = worker.freeCapacity();
    const auto  reasons = std::vector<std::pair<bool, std::string_view>>{
         {!worker.isListed, "not listed any more"},
         {!worker.hasAnsweredHold, "hasn't answered this owner yet"},
         {worker.report.isDraining, "draining"},
         {view_.evacuatedZones.contains(worker.report.zone), "its zone is evacuated"},
         {worker.holdFailures > 0, "doesn't answer"},
         {worker.isCordoned, "cordoned by the coordinator"},
         {now.steadyMs < worker.backoffUntil, "backs off after failures"},
         {!step.requiredLabel.empty() && !worker.report.labels.contains(step.requiredLabel),
          "lacks the label"},
         {!need.fits(worker.report.capacity), "too small"},
         {!step.isUnbounded && reservedWorkers_.contains(worker.peer.id),
          "reserved for unbounded tasks"},
         {need.cpu > free.cpu, "too little free cpu"},
         {need.memoryMb > free.memoryMb, "too little free memory"},
         {need.accelerators > free.accelerators, "too few free accelerators"},
    };
    const auto found = std::ranges::find(reasons, true, &std::pair<bool, std::string_view>::first);
    return std::string(found == reasons.end() ? "runs as many of its tasks as allowed"
                                              : found->second);
}

} // namespace peridotwalk
