#include "pool/pool_internal.h"

#include <fmt/format.h>

#include <algorithm>
#include <limits>

namespace peridotwalk {

namespace {

// A gang's wait looks at the runs of all workers, so it is decided anew only after this time.
constexpr TimeMs kGangDecisionMs = 100;
// Least time until a decision is made again without other events, as runs near their end often overrun a little.
constexpr TimeMs kMinDecisionMs = 50;
constexpr TimeMs kNoObjectiveMs = std::numeric_limits<TimeMs>::max() / 4;

auto specOf(const ReadyStep &step) -> const StepSpec &
{
    return step.entry->job.spec.steps[static_cast<std::size_t>(step.step)];
}

auto keyOf(const ReadyStep &step) -> std::pair<std::int64_t, std::int64_t>
{
    return {step.occurrence, step.step};
}

auto isWaitingFor(const ReadyStep &step) -> bool
{
    const auto found = step.entry->placeWaits.find(keyOf(step));
    return found != step.entry->placeWaits.end() && found->second.tasks > 0;
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Racks
//-----------------------------------------------------------------------------

auto PoolScheduler::State::beginPlaces() -> void
{
    rackWorkers_.clear();
    forecasts_.clear();
}

auto PoolScheduler::State::mayWaitForPlace(const StepSpec &step) const -> bool
{
    return settings_.contention.isWaitForPlace && !step.isUnbounded && !step.isFiller;
}

// Tasks without a preference leave a rack to the tasks that wait for it, in the round of the wait and the next one.
auto PoolScheduler::State::isAwaited(const Worker &worker) const -> bool
{
    return worker.awaitedRound >= 0 && worker.awaitedRound + 1 >= placementRounds_;
}

auto PoolScheduler::State::workersIn(Moment now, const std::string &rack)
    -> const std::vector<Worker *> &
{
    if (rackWorkers_.empty()) {
        for (auto *worker : workerList_) {
            if (isUsable(now, *worker)) {
                rackWorkers_[worker->report.rack].push_back(worker);
            }
        }
    }
    return rackWorkers_[rack];
}

// Returns the worker of the rack that a task fits on most tightly.
auto PoolScheduler::State::findInRack(Moment now, const JobEntry &entry, const TaskRef &ref,
                                      const std::string &rack) -> Worker *
{
    const auto need = capacityNeed(stepOf(entry, ref));
    Worker    *best = nullptr;
    for (auto *worker : workersIn(now, rack)) {
        const auto free = worker->freeCapacity();
        if (need.fits(free) && (best == nullptr || free.cpu < best->freeCapacity().cpu)
            && isAllowed(now, *worker, entry, ref)) {
            best = worker;
        }
    }
    return best;
}

auto PoolScheduler::State::forecastOf(Moment now, const StepSpec &step, const std::string &rack)
    -> RackForecast &
{
    const auto [found, isNew] = forecasts_.try_emplace({rack, step.requiredLabel});
    if (isNew) {
        found->second = makeForecast(now, step, workersIn(now, rack));
    }
    return found->second;
}

auto PoolScheduler::State::makeForecast(Moment now, const StepSpec &step,
                                        std::span<Worker *const> workers) const -> RackForecast
{
    auto forecast = RackForecast();
    for (const auto *worker : workers) {
        const auto isLabelled =
            step.requiredLabel.empty() || worker->report.labels.contains(step.requiredLabel);
        if (!isLabelled || reservedWorkers_.contains(worker->peer.id)) {
            continue;
        }
        const auto number = forecast.addWorker(worker->freeCapacity());
        for (const auto &[ref, run] : worker->runs) {
            if (!run.isUnbounded || run.isStopping) {
                forecast.addRun(number, run.need, remainingOf(now, *worker, ref, run));
            }
        }
    }
    return forecast;
}

auto PoolScheduler::State::estimateOn(const Worker &worker, const TaskRef &ref) const -> TimeMs
{
    const auto &entry = jobs_.at(ref.job);
    const auto &step = stepOf(entry, ref);
    auto        isFar = !step.preferredRack.empty() && worker.report.rack != step.preferredRack;
    if (step.isGang && step.isSameRack) {
        const auto &tasks =
            entry.job.occurrences.at(ref.occurrence).steps[static_cast<std::size_t>(ref.step)];
        isFar =
            isFar || std::ranges::any_of(tasks, [&](const JobTask &task) {
                const auto other = workers_.find(task.worker);
                return other != workers_.end() && other->second.report.rack != worker.report.rack;
            });
    }
    return isFar
        ? static_cast<TimeMs>(static_cast<double>(step.estimateMs) * settings_.contention.farFactor)
        : step.estimateMs;
}

//-----------------------------------------------------------------------------
// [SECTION] Waits
//-----------------------------------------------------------------------------

// Returns what a decision on the step needs, apart from the time until there is room near.
auto PoolScheduler::State::questionOf(Moment now, ReadyStep &step) const -> PlaceQuestion
{
    const auto &entry = *step.entry;
    const auto &job = entry.job.spec;
    auto        question = PlaceQuestion{};
    question.runMs = runTimes_.expected(job.queue, specOf(step).estimateMs);
    question.isWorkWaiting = isWorkWaiting_;
    question.onTimeMs = kNoObjectiveMs;
    if (const auto *queue = queueOf(entry)) {
        const auto startDelay = static_cast<TimeMs>(startDelayMs_);
        const auto objective = objectiveOf(*queue, entry.summaries.at(step.occurrence));
        if (!step.followingMs) {
            step.followingMs = chainAfter(job, step.step);
        }
        question.onTimeMs = step.dueMs + objective - now.wallMs - startDelay - endOverheadMs()
            - runTimes_.expected(job.queue, *step.followingMs);
    }
    return question;
}

// Returns whether a task waits for a worker near its data although `far` has room. `before`: tasks of its step that wait
// for one already in this round.
auto PoolScheduler::State::waitsForPlace(Moment now, ReadyStep &step, const TaskRef &ref,
                                         const Worker &far, std::int64_t before) -> bool
{
    const auto &spec = stepOf(*step.entry, ref);
    if (!mayWaitForPlace(spec) || spec.preferredRack.empty()
        || far.report.rack == spec.preferredRack || spec.isGang) {
        return false;
    }
    const auto wait = step.entry->placeWaits.find(keyOf(step));
    const auto hasBegun = wait != step.entry->placeWaits.end() && before < wait->second.tasks;
    if (hasBegun && isRefilling_ && keepsWaiting(now, step, kNoObjectiveMs)) {
        return true; // Until the next round.
    }
    auto &forecast = forecastOf(now, spec, spec.preferredRack);
    auto  question = questionOf(now, step);
    question.hasBegun = hasBegun;
    question.waitMs = forecast.timeUntilRoom(capacityNeed(spec), 1, question.runMs);
    return decideWait(now, step, spec.preferredRack, 1, question);
}

// Decides whether tasks of a step wait for a rack, and keeps the rack for them if they do. The longest wait is that of
// the step's first decision, so that each wait ends.
auto PoolScheduler::State::decideWait(Moment now, ReadyStep &step, const std::string &rack,
                                      std::int64_t tasks, const PlaceQuestion &question) -> bool
{
    auto      &entry = *step.entry;
    const auto decision = decidePlace({.farFactor = settings_.contention.farFactor}, question);
    auto       found = entry.placeWaits.find(keyOf(step));
    if (!decision.isWait) {
        return false;
    }
    if (found == entry.placeWaits.end()) {
        auto wait = PlaceWait{};
        wait.untilMs = now.steadyMs + decision.longestMs;
        if (entry.isRestored) {
            // An earlier owner may have begun the wait, at the earliest when the steps before could be done.
            const auto &summary = entry.summaries.at(step.occurrence);
            const auto  readyAt = step.dueMs + summary.chainMs - summary.chainLeftMs;
            wait.untilMs = std::min(wait.untilMs, wait.untilMs + readyAt - now.wallMs);
        }
        found = entry.placeWaits.emplace(keyOf(step), wait).first;
        if (now.steadyMs < wait.untilMs) {
            logRunEvent(
                "task.waits_for_place", {entry.job.spec.id, step.occurrence, step.step, 0}, 0, "",
                fmt::format("rack {}; expected near in {} ms, far in {}; at most {} ms", rack,
                            decision.nearMs, decision.farMs, wait.untilMs - now.steadyMs));
        }
    }
    auto &wait = found->second;
    if (now.steadyMs >= wait.untilMs) {
        return false;
    }
    // When the room is expected, the decision is due again: the runs there may take longer.
    const auto due = now.steadyMs + std::max(kMinDecisionMs, question.waitMs.value_or(0));
    wait.decidedAt = now.steadyMs;
    wait.dueAt = std::min(wait.untilMs, due);
    wait.rack = rack;
    const auto need = capacityNeed(specOf(step));
    forecastOf(now, specOf(step), rack).addWaiting(need * tasks);
    keepRack(now, wait);
    return true;
}

// Keeps other tasks off the rack while there is room elsewhere, and makes sure that the wait is decided again in time.
auto PoolScheduler::State::keepRack(Moment now, const PlaceWait &wait) -> void
{
    waitEndAt_ = waitEndAt_ == 0 ? wait.dueAt : std::min(waitEndAt_, wait.dueAt);
    for (auto *worker : workersIn(now, wait.rack)) {
        if (std::exchange(worker->awaitedRound, placementRounds_) == placementRounds_) {
            break; // Done for another task.
        }
    }
}

// Returns whether a step waits for a place by a decision that is younger than `intervalMs` and isn't due again.
auto PoolScheduler::State::keepsWaiting(Moment now, ReadyStep &step, TimeMs intervalMs) -> bool
{
    if (!isWaitingFor(step)) {
        return false;
    }
    const auto &wait = step.entry->placeWaits.at(keyOf(step));
    if (now.steadyMs >= wait.dueAt || now.steadyMs - wait.decidedAt >= intervalMs) {
        return false;
    }
    keepRack(now, wait);
    return true;
}

// Counts tasks of the step that wait for a place now.
auto PoolScheduler::State::noteWaits(ReadyStep &step, std::int64_t tasks) -> void
{
    const auto found = step.entry->placeWaits.find(keyOf(step));
    if (found != step.entry->placeWaits.end() && tasks > found->second.tasks) {
        activity_.placeWaits += tasks - found->second.tasks;
        found->second.tasks = tasks;
    }
}

// Counts how the wait of a task, or of a gang, has ended that is placed now. Returns whether it had waited.
auto PoolScheduler::State::endWait(Moment now, ReadyStep &step, const TaskRef &ref,
                                   const Worker &worker, bool isNear) -> bool
{
    if (!isWaitingFor(step)) {
        return false;
    }
    auto &wait = step.entry->placeWaits.at(keyOf(step));
    --wait.tasks;
    if (isNear) {
        ++activity_.placedNear;
        return true;
    }
    const auto isDeadline = now.steadyMs >= wait.untilMs;
    ++(isDeadline ? activity_.placedByDeadline : activity_.placedFar);
    logRunEvent("place.given_up", ref, 0, worker.peer.id,
                isDeadline ? "the longest wait is over" : "a place near isn't sooner any more");
    return true;
}

//-----------------------------------------------------------------------------
// [SECTION] Gangs
//-----------------------------------------------------------------------------

// Returns workers for all members of a gang, of one rack if `rack` isn't empty. If one finds no worker: fewer.
auto PoolScheduler::State::findGangPlaces(Moment now, ReadyStep &step, const std::string &rack)
    -> GangPlaces
{
    auto       &entry = *step.entry;
    const auto &spec = specOf(step);
    const auto &tasks =
        entry.job.occurrences.at(step.occurrence).steps[static_cast<std::size_t>(step.step)];
    // Capacity is occupied member by member in the recorded state, and freed again.
    auto places = GangPlaces();
    for (std::size_t index = 0; index < tasks.size(); ++index) {
        const auto ref = TaskRef{entry.job.spec.id, step.occurrence, step.step,
                                 static_cast<std::int64_t>(index)};
        if (!isWithinAllowance(entry.job.spec.tenant, spec.need)) {
            break;
        }
        auto *worker =
            rack.empty() ? chooseWorker(now, entry, ref) : findInRack(now, entry, ref, rack);
        if (worker == nullptr) {
            break;
        }
        auto state = RunState{};
        state.run = tasks[index].run + 1;
        state.need = capacityNeed(spec);
        allocate(*worker, ref, state);
        places.emplace_back(worker, ref);
    }
    for (const auto &[worker, ref] : places) {
        release(*worker, ref);
    }
    return places;
}

// Returns workers for all members of a gang, or fewer. `isLeftOut`: room on several racks was left for a place in one.
auto PoolScheduler::State::chooseGangPlaces(Moment now, ReadyStep &step, bool &isLeftOut)
    -> GangPlaces
{
    const auto &spec = specOf(step);
    if (!mayWaitForPlace(spec) || !spec.isSameRack) {
        return findGangPlaces(now, step, "");
    }
    const auto count = static_cast<std::size_t>(spec.count);
    const auto need = capacityNeed(spec);
    workersIn(now, spec.preferredRack); // Lists the racks.
    auto racks = std::vector<std::string>();
    for (const auto &[rack, workers] : rackWorkers_) {
        std::int64_t fitting = 0;
        for (const auto *worker : workers) {
            fitting += countFitting(need, worker->freeCapacity());
        }
        if (fitting >= spec.count) {
            racks.push_back(rack);
        }
    }
    std::stable_partition(racks.begin(), racks.end(),
                          [&](const auto &rack) { return rack == spec.preferredRack; });
    const auto ref = TaskRef{step.entry->job.spec.id, step.occurrence, step.step, 0};
    for (const auto &rack : racks) {
        auto places = findGangPlaces(now, step, rack);
        if (places.size() == count) {
            endWait(now, step, ref, *places.front().first, true);
            return places;
        }
    }
    // Whether it fits on several racks isn't looked up again in between, as that takes a search per member.
    if (keepsWaiting(now, step, isRefilling_ ? kNoObjectiveMs : kGangDecisionMs)) {
        isLeftOut = true;
        return {};
    }
    auto places = findGangPlaces(now, step, "");
    if (places.size() != count) {
        return places;
    }
    if (gangWaits(now, step)) {
        isLeftOut = true;
        noteWaits(step, 1);
        return {};
    }
    endWait(now, step, ref, *places.front().first, false);
    return places;
}

// Returns whether a gang that fits on several racks now waits for the one in which it fits soonest.
auto PoolScheduler::State::gangWaits(Moment now, ReadyStep &step) -> bool
{
    const auto &spec = specOf(step);
    const auto  need = capacityNeed(spec);
    auto        question = questionOf(now, step);
    question.hasBegun = isWaitingFor(step);
    auto soonest = std::string();
    auto racks = std::vector<std::string>();
    for (const auto &[rack, workers] : rackWorkers_) {
        racks.push_back(rack);
    }
    for (const auto &rack : racks) {
        const auto wait =
            forecastOf(now, spec, rack).timeUntilRoom(need, spec.count, question.runMs);
        if (wait && (!question.waitMs || *wait < *question.waitMs)) {
            question.waitMs = wait;
            soonest = rack;
        }
    }
    return decideWait(now, step, soonest, spec.count, question);
}

} // namespace peridotwalk
