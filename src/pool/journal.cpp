#include "pool/pool_internal.h"

namespace peridotwalk {

namespace {

constexpr TimeMs kAppendRetryMs = 100; // The store answers in a few ms; each retry costs a call.

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Batches
//-----------------------------------------------------------------------------

// Appends everything that changed since the last batch, or repeats a failed append.
auto PoolScheduler::State::flush(Moment now) -> void
{
    if (isFenced_ || handover_ == HandoverStage::Done) {
        return;
    }
    if (batch_) {
        if (!batch_->isInFlight && now.steadyMs >= batch_->retryAt) {
            batch_->isInFlight = true;
            actions_.push_back(AppendJournal{sequence_, batch_->records});
        }
        return;
    }
    const auto isRemovalDue = previousHandover_.has_value() && !isHandoverRemoved_;
    const auto isHandoverDue = handover_ == HandoverStage::Due;
    if (changed_.empty() && submitted_.empty() && changedHomes_.empty() && effects_.empty()
        && !isRemovalDue && !isHandoverDue) {
        return;
    }
    if (now.steadyMs - flushedAt_ < settings_.flushIntervalMs && !isHandoverDue) {
        return;
    }
    flushedAt_ = now.steadyMs;
    auto batch = Batch{};
    batch.startedAt = now.steadyMs;
    for (const auto &id : submitted_) {
        batch.records.push_back(encodeJob(jobs_.at(id).job));
        batch.states[id] = jobs_.at(id).job.state;
    }
    for (const auto &id : changed_) {
        batch.records.push_back(encodeProgress(jobs_.at(id).job));
        batch.states[id] = jobs_.at(id).job.state;
    }
    for (const auto &queue : changedHomes_) {
        batch.records.push_back(recordHome(queue));
    }
    batch.homes = std::exchange(changedHomes_, {});
    if (isHandoverDue) {
        handover_ = HandoverStage::Writing;
        batch.records.push_back(encodeHandover(identity_.pool, makeHandover(now)));
    } else if (isRemovalDue) {
        batch.records.push_back(encodeHandoverRemoval(identity_.pool));
    }
    submitted_.clear();
    changed_.clear();
    batch.effects = std::exchange(effects_, {});
    batch_ = std::move(batch);
    if (batch_->records.empty()) {
        onAppended(now, sequence_, CallOutcome::Done);
        return;
    }
    ++sequence_;
    batch_->isInFlight = true;
    actions_.push_back(AppendJournal{sequence_, batch_->records});
}

auto PoolScheduler::State::onAppended(Moment now, std::int64_t sequence, CallOutcome outcome)
    -> void
{
    if (!batch_ || sequence != sequence_) {
        return;
    }
    if (outcome == CallOutcome::Fenced) {
        isFenced_ = true;
        return;
    }
    if (outcome != CallOutcome::Done) {
        batch_->isInFlight = false; // Repeated with the same sequence, so it takes effect once.
        batch_->retryAt = now.steadyMs + kAppendRetryMs;
        return;
    }
    auto batch = *std::exchange(batch_, std::nullopt);
    isHandoverRemoved_ = true; // The owner's first batch removes or replaces it.
    if (handover_ == HandoverStage::Writing) {
        handover_ = HandoverStage::Done;
    }
    for (const auto &[id, state] : batch.states) {
        auto &entry = jobs_.at(id);
        entry.isRecorded = true;
        entry.recorded = state;
    }
    for (const auto &queue : batch.homes) {
        if (const auto home = homes_.find(queue); home != homes_.end()) {
            home->second.isRecorded = !changedHomes_.contains(queue);
        }
    }
    for (const auto &effect : batch.effects) {
        if (const auto *answer = std::get_if<AnswerEffect>(&effect)) {
            actions_.push_back(AnswerCaller{answer->handle, answer->verdict});
        } else if (const auto *start = std::get_if<StartEffect>(&effect)) {
            dispatch(now, *start);
        } else if (const auto *ack = std::get_if<AckEffect>(&effect)) {
            const auto worker = workers_.find(ack->worker);
            if (worker != workers_.end() && worker->second.startedAtMs == ack->startedAtMs) {
                worker->second.recordedEnd = std::max(worker->second.recordedEnd, ack->end);
                worker->second.nextHoldAt = now.steadyMs + endDelay();
                workersToTick_.insert(ack->worker);
            }
        }
    }
    needsSchedule_ = true;
}

auto PoolScheduler::State::recordHome(const std::string &queue) const -> KeyedRecord
{
    const auto home = homes_.find(queue);
    return home == homes_.end() ? encodeQueueHomeRemoval(identity_.pool, queue)
                                : encodeQueueHome(identity_.pool, queue, home->second.home);
}

// A worker that answers may run until its lease expires; the lease of a silent one isn't extended any
// more.
auto PoolScheduler::State::makeHandover(Moment now) const -> Handover
{
    auto handover = Handover{};
    for (const auto &[id, worker] : workers_) {
        if (!worker.runs.empty()) {
            handover.expiresInMs[id] = std::max<TimeMs>(0, leaseExpiry(worker) - now.steadyMs);
        }
    }
    return handover;
}

auto PoolScheduler::State::isStalled(Moment now) const -> bool
{
    return batch_ && now.steadyMs - batch_->startedAt > settings_.journalStallMs;
}

} // namespace peridotwalk
