#include "pool/pool_internal.h"

#include <fmt/format.h>

#include <algorithm>
#include <limits>

namespace peridotwalk {

namespace {

// A worker is considered again after this time. Remaining times and free capacity change little in between, and an
// owner may have hundreds of such workers.
constexpr TimeMs kMoveIntervalMs = 200;

} // namespace

auto chainAfter(const JobSpec &spec, std::int64_t step) -> TimeMs
{
    auto chains = std::vector<TimeMs>(spec.steps.size());
    for (auto later = std::ssize(spec.steps) - 1; later > step; --later) {
        const auto &laterSpec = spec.steps[static_cast<std::size_t>(later)];
        const auto  chain = laterSpec.estimateMs + chains[static_cast<std::size_t>(later)];
        for (const auto earlier : laterSpec.after) {
            auto &known = chains[static_cast<std::size_t>(earlier)];
            known = std::max(known, chain);
        }
    }
    return chains[static_cast<std::size_t>(step)];
}

//-----------------------------------------------------------------------------
// [SECTION] Remaining times
//-----------------------------------------------------------------------------

// Returns how long a confirmed run has run, with what its task keeps of earlier runs.
auto PoolScheduler::State::ranFor(Moment now, const Worker &worker, const TaskRef &ref,
                                  const RunState &run) const -> TimeMs
{
    auto       ran = now.steadyMs - run.confirmedAt;
    const auto before = ranBefore_.find(ref);
    if (before != ranBefore_.end()) {
        ran += before->second;
    } else if (run.attempts == 0) {
        // Started by an earlier owner, at a time that isn't recorded: on average it had half of its time behind it.
        const auto &entry = jobs_.at(ref.job);
        ran += runTimes_.expected(entry.job.spec.queue, estimateOn(worker, ref)) / 2;
    }
    return ran;
}

// Returns the time until the end of a run is expected to be read. Unbounded runs don't.
auto PoolScheduler::State::remainingOf(Moment now, const Worker &worker, const TaskRef &ref,
                                       const RunState &run) const -> TimeMs
{
    if (run.isStopping) {
        return settings_.contention.stopMs;
    }
    if (run.isUnbounded) {
        return std::numeric_limits<TimeMs>::max() / 2;
    }
    const auto &entry = jobs_.at(ref.job);
    const auto  ran = run.isConfirmed ? ranFor(now, worker, ref, run) - endOverheadMs() : 0;
    return runTimes_.remaining(entry.job.spec.queue, estimateOn(worker, ref),
                               std::max<TimeMs>(0, ran))
        + std::max<TimeMs>(0, -ran);
}

// Returns the time until the end of a run is read. A run isn't past its estimate before.
auto PoolScheduler::State::endOverheadMs() const -> TimeMs
{
    return static_cast<TimeMs>(std::max(0.0, runOverheadMs_));
}

//-----------------------------------------------------------------------------
// [SECTION] Moves
//-----------------------------------------------------------------------------

auto PoolScheduler::State::moveSettings() const -> MoveSettings
{
    return {.stopMs = settings_.contention.stopMs,
            .restoreMs = settings_.contention.restoreMs,
            .startDelayMs = static_cast<TimeMs>(startDelayMs_)};
}

auto PoolScheduler::State::setUrgent(Moment now, std::span<const std::string> urgent) -> void
{
    if (!settings_.contention.mayMoveRuns) {
        return;
    }
    auto next = std::map<std::string, TimeMs>();
    for (const auto &id : urgent) {
        const auto known = urgent_.find(id);
        if (cordoned_.contains(id)) {
            next[id] = known == urgent_.end() ? now.steadyMs : known->second;
        }
    }
    urgent_ = std::move(next);
}

// Moves runs off workers whose machines another pool waits for. While tasks wait for the owner, moved ones would wait
// for it, too.
auto PoolScheduler::State::moveRuns(Moment now) -> void
{
    if (urgent_.empty() || !mayPlace(now) || isOwnerBusy() || activity_.ownerLimited > 0) {
        return;
    }
    auto due = std::vector<Worker *>();
    for (auto &[id, decideAt] : urgent_) {
        const auto worker = workers_.find(id);
        if (now.steadyMs >= decideAt && worker != workers_.end() && !worker->second.runs.empty()) {
            decideAt = now.steadyMs + kMoveIntervalMs;
            due.push_back(&worker->second);
        }
    }
    if (due.empty()) {
        return;
    }
    std::erase_if(pendingMoves_, [&](const auto &item) {
        const auto  entry = active_.find(item.first.job);
        const auto *task =
            entry == active_.end() ? nullptr : findTask(entry->second->job, item.first);
        return task == nullptr || task->run != item.second.run || !task->isLive();
    });
    std::erase_if(ranBefore_, [&](const auto &item) { return !active_.contains(item.first.job); });
    auto spare = listSpareRoom(now);
    for (auto *worker : due) {
        moveRunsOff(now, *worker, spare);
    }
}

auto PoolScheduler::State::listSpareRoom(Moment now) const -> std::vector<SpareRoom>
{
    auto spare = std::vector<SpareRoom>();
    for (auto *worker : workerList_) {
        if (isUsable(now, *worker)) {
            spare.push_back({worker, worker->freeCapacity()});
        }
    }
    for (const auto &item : pendingMoves_) {
        const auto &move = item.second;
        const auto  found = std::ranges::find_if(
             spare, [&](const SpareRoom &room) { return room.worker->peer.id == move.target; });
        if (found != spare.end()) {
            found->free -= move.need;
        }
    }
    return spare;
}

// Returns whether the job of a run that needs `leftMs` more is as timely if the run is moved.
auto PoolScheduler::State::isTimelyAfterMove(Moment now, const TaskRef &ref, TimeMs leftMs) -> bool
{
    auto       &entry = jobs_.at(ref.job);
    const auto *queue = queueOf(entry);
    if (queue == nullptr) {
        return true; // It has no objective.
    }
    const auto &spec = entry.job.spec;
    const auto &summary = summarize(entry, ref.occurrence);
    const auto  due = std::max(entry.job.acceptedAtMs, occurrenceDueMs(spec, ref.occurrence));
    const auto  left = leftMs + runTimes_.expected(spec.queue, chainAfter(spec, ref.step));
    return timelinessOf(*queue, summary, left + moveCostMs(moveSettings()), due, now.wallMs)
        <= timelinessOf(*queue, summary, left, due, now.wallMs);
}

// Takes the room that the run would have elsewhere from `spare` if it can be moved.
auto PoolScheduler::State::makeMoveCandidate(Moment now, const Worker &worker, const TaskRef &ref,
                                             const RunState &run, std::vector<SpareRoom> &spare)
    -> MoveCandidate
{
    const auto &entry = jobs_.at(ref.job);
    const auto &step = stepOf(entry, ref);
    const auto  remaining = remainingOf(now, worker, ref, run);
    const auto  graceEnd = cordoned_.at(worker.peer.id) + settings_.cordonGraceMs;
    const auto  untilStop =
        std::max<TimeMs>(0, graceEnd - now.steadyMs) + settings_.contention.stopMs;
    auto candidate = MoveCandidate{};
    candidate.cpu = run.need.cpu;
    // Timed runs are stopped at the end of the grace period anyway.
    candidate.remainingMs = run.isUnbounded ? remaining : std::min(remaining, untilStop);
    if (run.isStopping || !run.isConfirmed || run.isUnbounded || !step.isCheckpointing
        || step.isGang || entry.job.isOver()
        || candidate.remainingMs <= settings_.contention.stopMs + settings_.contention.restoreMs
        || !isTimelyAfterMove(now, ref, remaining)) {
        return candidate;
    }
    // A task near its data stays near it.
    const auto isNear = !step.preferredRack.empty() && worker.report.rack == step.preferredRack;
    SpareRoom *best = nullptr;
    for (auto &room : spare) {
        if (run.need.fits(room.free) && (best == nullptr || room.free.cpu < best->free.cpu)
            && (!isNear || room.worker->report.rack == step.preferredRack)
            && isAllowed(now, *room.worker, entry, ref)) {
            best = &room;
        }
    }
    if (best != nullptr) {
        best->free -= run.need;
        pendingMoves_[ref] = {run.run, best->worker->peer.id, run.need};
        candidate.isMovable = true;
    }
    return candidate;
}

auto PoolScheduler::State::moveRunsOff(Moment now, Worker &worker, std::vector<SpareRoom> &spare)
    -> void
{
    auto refs = std::vector<TaskRef>();
    auto candidates = std::vector<MoveCandidate>();
    for (const auto &[ref, run] : worker.runs) {
        refs.push_back(ref);
        candidates.push_back(makeMoveCandidate(now, worker, ref, run, spare));
    }
    const auto decision = decideMoves(moveSettings(), worker.report.capacity.cpu, candidates);
    for (std::size_t index = 0; index < refs.size(); ++index) {
        const auto &ref = refs[index];
        if (std::ranges::find(decision.moved, index) != decision.moved.end()) {
            const auto &run = worker.runs.at(ref);
            ranBefore_[ref] = ranFor(now, worker, ref, run);
            logRunEvent("run.moved", ref, run.run, worker.peer.id,
                        fmt::format("another pool waits for the machine: empty in {} ms instead of "
                                    "{}; frees {:.0f} core-ms, costs {:.0f}; room on {}",
                                    decision.freeAfterMs, decision.emptyAfterMs,
                                    decision.freedCoreMs, decision.costCoreMs,
                                    pendingMoves_.at(ref).target));
            ++activity_.runsMoved;
            requestStop(now, worker, ref);
        } else if (candidates[index].isMovable) {
            const auto move = pendingMoves_.extract(ref);
            const auto room = std::ranges::find_if(spare, [&](const SpareRoom &one) {
                return one.worker->peer.id == move.mapped().target;
            });
            room->free += move.mapped().need;
        }
    }
    activity_.freedCoreMs +=
        decision.moved.empty() ? 0 : static_cast<std::int64_t>(decision.freedCoreMs);
}

} // namespace peridotwalk
