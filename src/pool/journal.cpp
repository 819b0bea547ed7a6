#include "pool/pool_internal.h"

namespace peridotwalk {

namespace {

constexpr TimeMs kAppendRetryMs = 100; // The store answers in a few ms; each retry costs a call.
constexpr std::int64_t kRecordOverhead = 8; // Bytes that the store's format adds to key and value.

auto sizeOf(const KeyedRecord &record) -> std::int64_t
{
    return std::ssize(record.key) + std::ssize(record.value) + kRecordOverhead;
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Batches
//-----------------------------------------------------------------------------

auto PoolScheduler::State::markChanged(const TaskRef &task) -> void
{
    changed_[task.job].insert(progressRecordOf(jobs_.at(task.job).job.spec, task));
}

// A task resumes from its last checkpoint that fits into its record.
auto PoolScheduler::State::keepCheckpoint(JobTask &task, const std::string &checkpoint) const
    -> void
{
    if (!checkpoint.empty() && checkpoint.size() <= maxCheckpointBytes(settings_.maxRecordBytes)) {
        task.checkpoint = checkpoint;
    }
}

// Appends everything that changed since the last batch, or repeats a failed append.
auto PoolScheduler::State::flush(Moment now) -> void
{
    if (isFenced_ || handover_ == HandoverStage::Done) {
        return;
    }
    if (batch_) {
        if (!batch_->isInFlight && now.steadyMs >= batch_->retryAt) {
            batch_->isInFlight = true;
            const auto first =
                batch_->records.begin() + static_cast<std::ptrdiff_t>(batch_->appended);
            const auto last = first + static_cast<std::ptrdiff_t>(batch_->appending);
            actions_.push_back(AppendJournal{sequence_, {first, last}});
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
    for (const auto &[id, numbers] : changed_) {
        for (const auto number : numbers) {
            batch.records.push_back(encodeProgress(jobs_.at(id).job, number));
        }
        batch.states[id] = jobs_.at(id).job.state;
    }
    for (const auto &queue : changedHomes_) {
        batch.records.push_back(recordHome(queue));
    }
    batch.homes = std::exchange(changedHomes_, {});
    for (const auto &job : std::exchange(changedCancels_, {})) {
        const auto cancel = earlyCancels_.find(job);
        batch.records.push_back(
            cancel == earlyCancels_.end()
                ? encodeEarlyCancelRemoval(identity_.pool, job)
                : encodeEarlyCancel(identity_.pool, job, cancel->second.cancel));
    }
    if (isHandoverDue) {
        handover_ = HandoverStage::Writing;
        auto record = encodeHandover(identity_.pool, makeHandover(now));
        // Without a record the next owner waits until all leases have expired.
        batch.records.push_back(sizeOf(record) <= settings_.maxRecordBytes
                                    ? std::move(record)
                                    : encodeHandoverRemoval(identity_.pool));
    } else if (isRemovalDue) {
        batch.records.push_back(encodeHandoverRemoval(identity_.pool));
    }
    if (std::exchange(isConfirmationDue_, false) && batch.records.empty()) {
        // Any append tells whether this still is the owner. This one changes nothing: the handover record has been
        // removed with the owner's first batch.
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
    appendNext(now);
}

// Appends the next records of the batch, as many as one append may have.
auto PoolScheduler::State::appendNext(Moment now) -> void
{
    auto append = AppendJournal{++sequence_, {}};
    auto bytes = std::int64_t{0};
    for (auto index = batch_->appended; index < batch_->records.size(); ++index) {
        const auto &record = batch_->records[index];
        bytes += sizeOf(record);
        if (bytes > settings_.maxAppendBytes && !append.records.empty()) {
            break;
        }
        append.records.push_back(record);
    }
    batch_->appending = append.records.size();
    batch_->startedAt = now.steadyMs;
    batch_->isInFlight = true;
    actions_.push_back(std::move(append));
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
    batch_->appended += batch_->appending;
    batch_->appending = 0;
    if (batch_->appended < batch_->records.size()) {
        appendNext(now);
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
