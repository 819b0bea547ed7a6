#include "pool/pool_internal.h"

#include <algorithm>

namespace peridotwalk {

namespace {

auto addPlaces(PoolActivity &totals, const PoolActivity &activity) -> void
{
    totals.runsMoved += activity.runsMoved;
    totals.freedCoreMs += activity.freedCoreMs;
    totals.placeWaits += activity.placeWaits;
    totals.placedNear += activity.placedNear;
    totals.placedFar += activity.placedFar;
    totals.placedByDeadline += activity.placedByDeadline;
}

} // namespace

PoolScheduler::State::State(PoolIdentity identity, const PoolSettings &settings,
                            const FleetView &view)
    : identity_(std::move(identity)), settings_(settings), view_(view)
{
}

//-----------------------------------------------------------------------------
// [SECTION] Fleet view
//-----------------------------------------------------------------------------

auto FleetView::addWorker(TimeMs now, const WorkerReport &report) -> void
{
    workers[report.id] = report;
    removed.erase(report.id);
    if (report.startedAtMs == 0) {
        return; // Not reported.
    }
    const auto [start, isNew] = startedAt.try_emplace(report.id, report.startedAtMs);
    if (!isNew && std::exchange(start->second, report.startedAtMs) != report.startedAtMs) {
        restarted[report.id] = now;
    }
}

auto FleetView::removeWorker(TimeMs now, const std::string &id) -> void
{
    workers.erase(id);
    removed[id] = now;
}

auto FleetView::forgetWorkers(TimeMs now) -> void
{
    // Longer than any lease: after that, a removed worker counts as one that was never seen.
    constexpr TimeMs kRemovedWorkersKeptMs = 120'000;
    std::erase_if(removed, [&](const auto &item) {
        const auto isOld = now - item.second > kRemovedWorkersKeptMs;
        if (isOld) {
            startedAt.erase(item.first);
        }
        return isOld;
    });
    std::erase_if(restarted,
                  [&](const auto &item) { return now - item.second > kRemovedWorkersKeptMs; });
}

auto FleetView::missingSince(const std::string &worker) const -> std::optional<TimeMs>
{
    const auto found = removed.find(worker);
    return found == removed.end() ? std::nullopt : std::optional(found->second);
}

//-----------------------------------------------------------------------------
// [SECTION] Scheduler
//-----------------------------------------------------------------------------

PoolScheduler::PoolScheduler(PoolIdentity identity, const PoolSettings &settings,
                             const FleetView &view)
    : state_(std::make_unique<State>(std::move(identity), settings, view))
{
}

PoolScheduler::~PoolScheduler() = default;

auto PoolScheduler::restore(Moment now, JobTable jobs, std::optional<Handover> previous,
                            const QueueHomes &homes, const EarlyCancels &cancels) -> void
{
    for (const auto &[job, cancel] : cancels) {
        state_->earlyCancels_[job] = {cancel, now.steadyMs};
    }
    state_->previousHandover_ = std::move(previous);
    for (const auto &[queue, home] : homes) {
        state_->homes_[queue] = {home, true};
    }
    state_->restore(now, std::move(jobs));
}

auto PoolScheduler::beginHandover(Moment now) -> void
{
    state_->termUntil_ = 0;
    state_->handover_ = HandoverStage::Due;
    state_->flush(now);
}

auto PoolScheduler::setTerm(TimeMs untilMs) -> void
{
    state_->termUntil_ = untilMs;
}

auto PoolScheduler::submit(Moment now, std::int64_t handle, JobSpec spec) -> void
{
    state_->submit(now, handle, std::move(spec));
}

auto PoolScheduler::cancel(Moment now, std::int64_t handle, std::string_view id,
                           std::string_view queue) -> void
{
    state_->cancel(now, handle, id, queue);
}

auto PoolScheduler::adoptQueue(std::int64_t handle, const std::string &queue, QueueHome home)
    -> void
{
    state_->homes_[queue] = {std::move(home), false};
    state_->changedHomes_.insert(queue);
    state_->afterAppend(AnswerEffect{handle, JobVerdict::Accepted});
}

auto PoolScheduler::releaseQueue(std::int64_t handle, const std::string &queue) -> void
{
    state_->homes_.erase(queue);
    state_->changedHomes_.insert(queue);
    state_->afterAppend(AnswerEffect{handle, JobVerdict::Accepted});
}

auto PoolScheduler::confirmOwnership(Moment now, std::int64_t handle) -> void
{
    state_->confirmOwnership(now, handle);
}

auto PoolScheduler::onViewChanged(Moment now) -> void
{
    state_->onViewChanged(now);
}

auto PoolScheduler::onAppended(Moment now, std::int64_t sequence, CallOutcome outcome) -> void
{
    state_->onAppended(now, sequence, outcome);
}

auto PoolScheduler::onStarted(Moment now, const SendStart &sent, const OrderReply &reply) -> void
{
    state_->workersToTick_.insert(sent.worker.id);
    state_->onStarted(now, sent, reply);
}

auto PoolScheduler::onStopped(Moment now, const SendStop &sent, const OrderReply &reply) -> void
{
    state_->workersToTick_.insert(sent.worker.id);
    state_->onStopped(now, sent, reply);
}

auto PoolScheduler::onHoldReply(Moment now, const SendHold &sent, const HoldReply &reply) -> void
{
    state_->workersToTick_.insert(sent.worker.id);
    state_->onHoldReply(now, sent, reply);
}

// Does what is due: retries, holds, lease expiry, placement, and the next append.
auto PoolScheduler::tick(Moment now) -> void
{
    if (state_->isFenced_) {
        return;
    }
    if (state_->handover_ != HandoverStage::None) {
        state_->flush(now);
        return;
    }
    state_->noteTick(now);
    state_->arrivals_.advance(now.steadyMs);
    state_->tickWorkers(now);
    state_->drainCordoned(now);
    state_->schedule(now);
    state_->flush(now);
}

// An owner gets hundreds of replies a second and has hundreds of workers, so only workers that have
// replied since the last call are ticked.
auto PoolScheduler::advance(Moment now) -> void
{
    if (state_->isFenced_) {
        return;
    }
    if (state_->handover_ == HandoverStage::None) {
        for (const auto &id : std::exchange(state_->workersToTick_, {})) {
            const auto worker = state_->workers_.find(id);
            if (worker != state_->workers_.end()) {
                state_->tickWorker(now, worker->second);
            }
        }
        state_->schedule(now);
    }
    state_->flush(now);
}

auto PoolScheduler::applyDirection(Moment now, const PoolDirection &direction) -> void
{
    state_->applyDirection(now, direction);
}

auto PoolScheduler::takeActions() -> std::vector<PoolAction>
{
    return std::exchange(state_->actions_, {});
}

auto PoolScheduler::takeActivity() -> PoolActivity
{
    auto activity = std::exchange(state_->activity_, {});
    addPlaces(state_->placeTotals_, activity);
    state_->activity_.waiting = activity.waiting;
    state_->activity_.ownerLimited = activity.ownerLimited;
    activity.unconfirmed = state_->pendingRuns_;
    activity.recording = state_->recordingRuns_;
    activity.waitingJobs = state_->waitingJobs_;
    return activity;
}

auto PoolScheduler::placeTotals() const -> PoolActivity
{
    auto totals = state_->placeTotals_;
    addPlaces(totals, state_->activity_);
    return totals;
}

auto PoolScheduler::identity() const -> const PoolIdentity &
{
    return state_->identity_;
}

auto PoolScheduler::jobState(std::string_view id) const -> std::optional<JobState>
{
    const auto found = state_->jobs_.find(id);
    if (found == state_->jobs_.end() || !found->second.isRecorded) {
        return std::nullopt;
    }
    return found->second.recorded;
}

auto PoolScheduler::countPending(std::string_view queue) const -> std::int64_t
{
    return std::ranges::count_if(state_->active_, [&](const auto &item) {
        const auto &entry = *item.second;
        return entry.isRecorded && !entry.hasBegun && entry.job.spec.queue == queue;
    });
}

auto PoolScheduler::holdsJob(std::string_view id) const -> bool
{
    return state_->jobs_.contains(id);
}

auto PoolScheduler::isCancelledEarly(std::string_view id) const -> bool
{
    return state_->earlyCancels_.contains(id);
}

auto PoolScheduler::holdsJobsOf(std::string_view queue) const -> bool
{
    const auto isCancelledEarly = std::ranges::any_of(
        state_->earlyCancels_, [&](const auto &item) { return item.second.cancel.queue == queue; });
    return isCancelledEarly || std::ranges::any_of(state_->jobs_, [&](const auto &item) {
               return item.second.job.spec.queue == queue
                   || state_->queueOf(item.second) == nullptr;
           });
}

auto PoolScheduler::isHomeOf(std::string_view queue) const -> bool
{
    return state_->homes_.contains(queue);
}

auto PoolScheduler::findHome(std::string_view queue) const -> const QueueHome *
{
    const auto found = state_->homes_.find(queue);
    return found == state_->homes_.end() || !found->second.isRecorded ? nullptr
                                                                      : &found->second.home;
}

auto PoolScheduler::isFenced() const -> bool
{
    return state_->isFenced_;
}

auto PoolScheduler::demandCpu() const -> std::int64_t
{
    return state_->demandCpu();
}

auto PoolScheduler::report() const -> PoolReport
{
    return state_->report();
}

auto PoolScheduler::countJobs() const -> std::size_t
{
    return state_->active_.size();
}

auto PoolScheduler::countRuns() const -> std::size_t
{
    return static_cast<std::size_t>(state_->liveRuns_);
}

auto PoolScheduler::countRecordingRuns() const -> std::int64_t
{
    return state_->recordingRuns_;
}

auto PoolScheduler::countWaitingJobs() const -> WaitingJobs
{
    return state_->waitingJobs_;
}

auto PoolScheduler::countPlacementRounds() const -> std::int64_t
{
    return state_->placementRounds_;
}

auto PoolScheduler::explain(Moment now, const JobSpec &spec) const -> JobExplanation
{
    return state_->explain(now, spec);
}

auto PoolScheduler::isHandoverDone() const -> bool
{
    return state_->isFenced_ || state_->handover_ == HandoverStage::Done;
}

} // namespace peridotwalk
