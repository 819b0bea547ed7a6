#include "pool/pool_internal.h"

#include <fmt/format.h>

#include <algorithm>

namespace peridotwalk {

namespace {

// Runs begin at different times, so on average half of each is left. A sum over all runs of what is left of each would
// cost more than the rest of a placement round.
constexpr double kRunLeftFraction = 0.5;

constexpr double       kCpuPerCore = 1'000;
// A sum over all workers of the fleet costs about as much as a small round.
constexpr TimeMs       kCapacityIntervalMs = 50;
// The pool is short once tasks wait for a quarter of its capacity.
constexpr std::int64_t kShortPart = 4;

// Jobs without a timed chain of steps have no completion that could be in time.
auto isTimed(const JobSpec &spec) -> bool
{
    return spec.occurrences == 0
        && std::ranges::none_of(spec.steps, [](const StepSpec &step) { return step.isUnbounded; });
}

auto firstStepsCpu(const JobSpec &spec) -> double
{
    auto cpu = 0.0;
    for (const auto &step : spec.steps) {
        if (step.after.empty()) {
            cpu += static_cast<double>(capacityNeed(step).cpu) * static_cast<double>(step.count);
        }
    }
    return cpu;
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Admission
//-----------------------------------------------------------------------------

auto PoolScheduler::State::expectedWork(const JobSpec &spec, const StepSpec &step) const -> double
{
    return static_cast<double>(capacityNeed(step).cpu) * static_cast<double>(step.estimateMs)
        * learnedRatio(spec.queue);
}

auto PoolScheduler::State::weightOf(const std::string &tenant) const -> double
{
    const auto *rule = view_.catalog.tenant(tenant);
    return rule == nullptr ? 1 : rule->weight;
}

// A worker that hasn't answered this owner yet was just started or is new to the owner, and will be usable soon.
auto PoolScheduler::State::mayTakeRuns(Moment now, const Worker &worker) const -> bool
{
    const auto isNew = worker.isListed && !worker.hasAnsweredHold && worker.holdFailures == 0
        && !worker.isCordoned && !worker.report.isDraining
        && !view_.evacuatedZones.contains(worker.report.zone);
    return isNew || isUsable(now, worker);
}

// Adds the waiting work of an occurrence to what later jobs wait for. Expired work gives way to all other.
auto PoolScheduler::State::noteWaiting(const JobEntry &entry, const OccurrenceSummary &summary,
                                       Timeliness timeliness) -> void
{
    if (timeliness == Timeliness::Expired) {
        return;
    }
    const auto &spec = entry.job.spec;
    const auto *queue = queueOf(entry);
    admission_.addWaiting(
        spec.tenant, weightOf(spec.tenant), queue == nullptr ? 0 : queue->priority,
        summary.waitingWork * learnedRatio(spec.queue), timeliness == Timeliness::Late);
}

auto PoolScheduler::State::beginAdmissionRound() -> void
{
    admission_.beginRound();
}

auto PoolScheduler::State::measureCapacity(Moment now) -> void
{
    capacityAt_ = now.steadyMs;
    capacity_ = {};
    auto isAnyUsable = false;
    for (const auto *worker : workerList_) {
        if (mayTakeRuns(now, *worker)) {
            capacity_.cpu += worker->report.capacity.cpu - worker->unboundedCpu;
            isAnyUsable = isAnyUsable || isUsable(now, *worker);
        }
    }
    if (!isAnyUsable) {
        capacity_.cpu = 0;
    }
    for (const auto &[id, report] : view_.workers) {
        capacity_.fleetCpu += report.capacity.cpu;
    }
}

auto PoolScheduler::State::finishAdmissionRound(Moment now) -> void
{
    if (!settings_.contention.hasAdmission) {
        return;
    }
    if (capacity_.cpu <= 0 || now.steadyMs - capacityAt_ >= kCapacityIntervalMs) {
        measureCapacity(now);
    }
    capacity_.runningWork = std::max(0.0, kRunLeftFraction * runningWork_);
    admittedCpu_ = 0;
    // Tasks that wait for a tenant's allowance or for one special worker are no shortage.
    const auto wantedCpu = wanted_.cpu + wantedLate_.cpu;
    admission_.endRound(now.steadyMs, capacity_, kShortPart * wantedCpu > capacity_.cpu);
}

auto PoolScheduler::State::makeArrival(const JobSpec &spec, const QueueRule &queue) const -> Arrival
{
    auto       arrival = Arrival{};
    const auto chain = estimatedChain(spec);
    arrival.id = spec.id;
    arrival.tenant = spec.tenant;
    arrival.weight = weightOf(spec.tenant);
    arrival.priority = queue.priority;
    arrival.chainMs = static_cast<TimeMs>(static_cast<double>(chain) * learnedRatio(spec.queue)
                                          + std::max(0.0, startDelayMs_));
    arrival.objectiveMs = objectiveOf(queue, chain);
    arrival.usefulMs = kLateObjectives * arrival.objectiveMs;
    for (const auto &step : spec.steps) {
        arrival.work += expectedWork(spec, step) * static_cast<double>(step.count);
    }
    return arrival;
}

// Returns whether all tasks of the largest first step would find a worker now, beside those of jobs that were accepted
// since the last round.
auto PoolScheduler::State::hasFreeCapacity(Moment now, const JobSpec &spec) const -> bool
{
    const StepSpec *largest = nullptr;
    for (const auto &step : spec.steps) {
        if (step.after.empty()
            && (largest == nullptr
                || capacityNeed(step).cpu * step.count
                    > capacityNeed(*largest).cpu * largest->count)) {
            largest = &step;
        }
    }
    if (largest == nullptr || firstStepsCpu(spec) <= 0) {
        return true; // It takes no capacity.
    }
    const auto need = capacityNeed(*largest);
    auto       missing = firstStepsCpu(spec) + admittedCpu_;
    for (const auto *worker : workerList_) {
        if (missing <= 0) {
            break;
        }
        if (!mayTakeRuns(now, *worker)) {
            continue;
        }
        missing -= static_cast<double>(countFitting(need, worker->freeCapacity()))
            * static_cast<double>(need.cpu);
    }
    return missing <= 0;
}

// Returns why admission would refuse the job now, or nothing. Changes nothing.
auto PoolScheduler::State::findAdmissionRefusal(Moment now, const JobSpec &spec) const
    -> std::optional<JobRefusal>
{
    const auto *queue = view_.catalog.queue(spec.queue);
    // A job that was cancelled before it arrived ends at once, and takes no capacity.
    if (!settings_.contention.hasAdmission || !hasRules() || queue == nullptr || !isTimed(spec)
        || earlyCancels_.contains(spec.id)) {
        return std::nullopt;
    }
    const auto arrival = makeArrival(spec, *queue);
    if (arrival.objectiveMs <= 0) {
        return std::nullopt;
    }
    auto refusal = admission_.decide(now.steadyMs, arrival);
    return refusal && !hasFreeCapacity(now, spec) ? refusal : std::nullopt;
}

// Returns whether the job is accepted. If not, its caller is answered: nothing is recorded, and it never runs.
auto PoolScheduler::State::admit(Moment now, std::int64_t handle, const JobSpec &spec) -> bool
{
    const auto refusal = findAdmissionRefusal(now, spec);
    if (!refusal) {
        return true;
    }
    const auto arrival = makeArrival(spec, *view_.catalog.queue(spec.queue));
    admission_.remember(now.steadyMs, arrival, *refusal);
    logRunEvent("job.refused", {spec.id, 0, 0, 0}, 0, "",
                fmt::format("queue {} tenant {} expected {} objective {} ahead {:.0f} retry_after "
                            "{} reason {}",
                            spec.queue, spec.tenant, refusal->expectedMs, arrival.objectiveMs,
                            refusal->workAhead / kCpuPerCore, refusal->retryAfterMs,
                            reasonText(refusal->reason)));
    actions_.push_back(AnswerCaller{handle, JobVerdict::Refused,
                                    std::string(reasonText(refusal->reason)),
                                    refusal->retryAfterMs});
    return false;
}

// Counts an accepted job with the waiting work until the next round does.
auto PoolScheduler::State::noteAdmitted(Moment now, JobEntry &entry) -> void
{
    const auto &spec = entry.job.spec;
    if (!settings_.contention.hasAdmission || !isTimed(spec)) {
        return;
    }
    const auto *queue = queueOf(entry);
    if (const auto first = admission_.takeFirstArrival(now.steadyMs, spec.id)) {
        entry.firstArrivalMs = now.wallMs - (now.steadyMs - *first);
    }
    admission_.addAccepted(makeArrival(spec, queue == nullptr ? QueueRule{} : *queue));
    admittedCpu_ += firstStepsCpu(spec);
}

} // namespace peridotwalk
