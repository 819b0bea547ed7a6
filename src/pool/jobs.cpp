#include "pool/pool_internal.h"

#include <fmt/format.h>

#include <algorithm>

namespace peridotwalk {

namespace {

constexpr TimeMs kStalledRetryMs = 1'000; // Outages of the store last seconds.
// Copies of a submission arrive seconds after its caller gave up at most.
constexpr TimeMs kEarlyCancelKeptMs = 120'000;

auto countFailures(const std::vector<JobTask> &tasks) -> std::int64_t
{
    std::int64_t failures = 0;
    for (const auto &task : tasks) {
        failures += task.failures;
    }
    return failures;
}

// Returns a summary of the steps' requirements for the log.
auto describe(const JobSpec &spec) -> std::string
{
    auto text =
        fmt::format("queue {} tenant {} occurrences {}", spec.queue, spec.tenant, spec.occurrences);
    for (const auto &step : spec.steps) {
        text += fmt::format("; {} x cpu {} mem {} estimate {} max/worker {}{}{}{}{}{} target {} "
                            "budget {} image {}",
                            step.count, step.need.cpu, step.need.memoryMb, step.estimateMs,
                            step.maxPerWorker, step.isGang ? " gang" : "",
                            step.isUnbounded ? " lasting" : "", step.isFiller ? " filler" : "",
                            step.isSpeculative ? " speculative" : "",
                            step.isCheckpointing ? " checkpointing" : "", step.latencyTargetMs,
                            step.maxUnavailable, step.image);
    }
    return text;
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Jobs
//-----------------------------------------------------------------------------

auto capacityNeed(const StepSpec &step) -> ResourceSet
{
    auto need = step.need;
    if (step.isFiller) {
        need.cpu = 0;
    }
    return need;
}

auto stepOf(const JobEntry &entry, const TaskRef &ref) -> const StepSpec &
{
    return entry.job.spec.steps[static_cast<std::size_t>(ref.step)];
}

auto hasAttemptsLeft(const JobEntry &entry, const TaskRef &ref) -> bool
{
    const auto &tasks =
        entry.job.occurrences.at(ref.occurrence).steps[static_cast<std::size_t>(ref.step)];
    const auto &step = stepOf(entry, ref);
    if (step.isUnbounded || entry.job.spec.maxAttempts == 0) {
        return true;
    }
    // A gang fails as a whole, but each failed run is counted at one member only.
    const auto failures =
        step.isGang ? countFailures(tasks) : tasks[static_cast<std::size_t>(ref.index)].failures;
    return failures < entry.job.spec.maxAttempts;
}

// Keeps what the rules say of the job's queue, for when they don't any more. Those that it was accepted under may be
// newer than what this node has read.
auto PoolScheduler::State::applyRules(JobEntry &entry) const -> void
{
    const auto *queue = queueOf(entry);
    if (queue != nullptr && entry.job.spec.rulesVersion <= view_.catalog.version()) {
        entry.job.spec.maxAttempts = queue->maxAttempts;
    }
}

auto PoolScheduler::State::queueOf(const JobEntry &entry) const -> const QueueRule *
{
    return view_.catalog.queue(entry.job.spec.queue);
}

auto PoolScheduler::State::restore(Moment now, JobTable &&jobs) -> void
{
    ownedSince_ = now.steadyMs;
    for (auto &[id, job] : jobs) {
        auto &entry = jobs_[id];
        entry.job = std::move(job);
        entry.recorded = entry.job.state;
        entry.isRecorded = true;
        entry.isRestored = true;
        if (!entry.job.isOver()) {
            active_[id] = &entry;
        }
        if (std::exchange(entry.job.isUnsplit, false)) {
            markChanged(id);
            forEachTask(entry.job,
                        [&](const TaskRef &ref, const JobTask & /*task*/) { markChanged(ref); });
        }
        forEachTask(entry.job, [&](const TaskRef &ref, const JobTask &task) {
            entry.hasBegun = entry.hasBegun || task.isDone || task.failures > 0;
            if (!task.isLive()) {
                return;
            }
            auto &worker = addWorker(task.worker);
            worker.peer.id = task.worker;
            auto run = RunState{};
            run.run = task.run;
            run.need = capacityNeed(stepOf(entry, ref));
            run.isSent = true;
            run.isRestored = true;
            allocate(worker, ref, run);
        });
    }
    // The previous owner may have ended after the record of such a job, and before that of its end.
    for (const auto &[id, cancel] : earlyCancels_) {
        if (active_.contains(id)) {
            finishJob(now, jobs_.at(id), JobState::Cancelled);
        }
    }
    onViewChanged(now);
}

auto PoolScheduler::State::submit(Moment now, std::int64_t handle, JobSpec spec) -> void
{
    const auto found = jobs_.find(spec.id);
    if (found != jobs_.end()) {
        if (found->second.isRecorded) {
            actions_.push_back(AnswerCaller{handle, JobVerdict::Accepted});
        } else {
            afterAppend(AnswerEffect{handle, JobVerdict::Accepted});
        }
        return;
    }
    if (refuseUnrecorded(now, handle) || !admit(now, handle, spec)) {
        return;
    }
    const auto id = spec.id;
    auto      &entry = jobs_[id];
    entry.job.spec = std::move(spec);
    entry.job.acceptedAtMs = now.wallMs;
    applyRules(entry);
    // An append that the store refuses for its size would be repeated without end.
    if (recordBytes(encodeJob(entry.job)) > settings_.maxRecordBytes) {
        jobs_.erase(id);
        actions_.push_back(AnswerCaller{handle, JobVerdict::Refused,
                                        "the job doesn't fit into a record of the store", 0});
        return;
    }
    noteAdmitted(now, entry);
    active_[id] = &entry;
    submitted_.insert(id);
    afterAppend(AnswerEffect{handle, JobVerdict::Accepted});
    logRunEvent("job.accepted", {id, 0, 0, 0}, 0, "", describe(entry.job.spec));
    needsSchedule_ = true;
    if (earlyCancels_.contains(id)) {
        finishJob(now, entry, JobState::Cancelled);
    } else {
        arrivals_.add(now.steadyMs, estimatedWork(entry.job.spec));
    }
}

auto PoolScheduler::State::cancel(Moment now, std::int64_t handle, std::string_view id,
                                  std::string_view queue) -> void
{
    const auto found = jobs_.find(id);
    if (found == jobs_.end()) {
        cancelEarly(now, handle, id, queue);
        return;
    }
    auto &entry = found->second;
    if (entry.job.isOver() && entry.recorded == entry.job.state) {
        actions_.push_back(AnswerCaller{handle, JobVerdict::Cancelled});
        return;
    }
    if (!entry.job.isOver()) {
        finishJob(now, entry, JobState::Cancelled);
    }
    afterAppend(AnswerEffect{handle, JobVerdict::Cancelled});
}

// Cancels a job whose submission may still be on its way. The record also shows that this still is the owner,
// and so that no newer one had accepted the job before this call.
auto PoolScheduler::State::cancelEarly(Moment now, std::int64_t handle, std::string_view id,
                                       std::string_view queue) -> void
{
    if (refuseUnrecorded(now, handle)) {
        return;
    }
    std::erase_if(earlyCancels_, [&](const auto &item) {
        const auto isExpired = now.steadyMs - item.second.since > kEarlyCancelKeptMs;
        if (isExpired) {
            changedCancels_.insert(item.first);
        }
        return isExpired;
    });
    const auto job = std::string(id);
    earlyCancels_[job] = {{std::string(queue)}, now.steadyMs};
    changedCancels_.insert(job);
    afterAppend(AnswerEffect{handle, JobVerdict::Missing});
}

auto PoolScheduler::State::confirmOwnership(Moment now, std::int64_t handle) -> void
{
    if (!refuseUnrecorded(now, handle)) {
        isConfirmationDue_ = true;
        afterAppend(AnswerEffect{handle, JobVerdict::Accepted});
    }
}

// Returns the answer to a call that needs a record while none can be written, without its handle.
auto PoolScheduler::State::findRefusal(Moment now) const -> std::optional<AnswerCaller>
{
    if (!isStalled(now) && now.steadyMs < termUntil_) {
        return std::nullopt;
    }
    return AnswerCaller{0, JobVerdict::Refused, "the journal can't be written now",
                        kStalledRetryMs};
}

// Refuses a call that needs a record while none can be written. Returns whether it did.
auto PoolScheduler::State::refuseUnrecorded(Moment now, std::int64_t handle) -> bool
{
    auto refusal = findRefusal(now);
    if (refusal) {
        refusal->handle = handle;
        actions_.push_back(*std::move(refusal));
        return true;
    }
    return false;
}

auto PoolScheduler::State::finishJob(Moment now, JobEntry &entry, JobState state) -> void
{
    const auto &id = entry.job.spec.id;
    entry.job.state = state;
    active_.erase(id);
    markChanged(id);
    logRunEvent("job.over", {id, 0, 0, 0}, 0, "", std::string(stateName(state)));
    stopRuns(now, entry);
    needsSchedule_ = true;
}

auto PoolScheduler::State::stopRuns(Moment now, JobEntry &entry) -> void
{
    forEachTask(entry.job, [&](const TaskRef &ref, const JobTask &task) {
        const auto worker = workers_.find(task.worker);
        if (worker != workers_.end() && worker->second.runs.contains(ref)
            && !worker->second.runs.at(ref).isStopping) {
            requestStop(now, worker->second, ref);
        }
    });
}

// Records the end of a run and frees the capacity that it occupied. Repeated and outdated ends are
// ignored.
auto PoolScheduler::State::endRun(Moment now, Worker &worker, const TaskRef &ref, std::int64_t run,
                                  RunEnd end, const std::string &checkpoint) -> void
{
    const auto held = worker.runs.find(ref);
    TimeMs     fullRunSince = 0;
    if (held != worker.runs.end() && held->second.run == run) {
        fullRunSince = held->second.fullRunSince;
        release(worker, ref);
    }
    const auto found = jobs_.find(ref.job);
    auto      *task = found == jobs_.end() ? nullptr : findTask(found->second.job, ref);
    if (task == nullptr) {
        return;
    }
    auto      &entry = found->second;
    const auto isNewEnd = run > task->endedRun || (end == RunEnd::Done && !task->isDone);
    if (!isNewEnd) {
        return;
    }
    markChanged(ref);
    needsSchedule_ = true;
    entry.summaries[ref.occurrence].isCurrent = false;
    task->endedRun = std::max(task->endedRun, run);
    keepCheckpoint(*task, checkpoint);
    if (end == RunEnd::Done && task->phase == RunPhase::Running && task->changedAt > 0
        && !settings_.contention.isOrderLearned) {
        const auto took = now.steadyMs - task->changedAt - estimateOn(worker, ref);
        runOverheadMs_ += (static_cast<double>(took) - runOverheadMs_) / kRunsAveraged;
    }
    if (end == RunEnd::Done && fullRunSince > 0 && !stepOf(entry, ref).isUnbounded) {
        learnRunTime(entry, estimateOn(worker, ref), now.steadyMs - fullRunSince);
    }
    if (run == task->run) {
        task->worker.clear();
        task->phase = RunPhase::None;
    }
    entry.hasBegun = entry.hasBegun || end == RunEnd::Done || end == RunEnd::Failed;
    if (end == RunEnd::Done && !stepOf(entry, ref).isUnbounded) {
        worker.consecutiveFailures = 0;
        task->isDone = true;
        if (stepOf(entry, ref).isGang) {
            auto member = TaskRef{ref.job, ref.occurrence, ref.step, 0};
            for (auto &state : entry.job.occurrences.at(ref.occurrence)
                                   .steps[static_cast<std::size_t>(ref.step)]) {
                state.isDone = true;
                markChanged(member);
                ++member.index;
            }
        }
    }
    if (end == RunEnd::Failed) {
        ++task->failures;
        ++worker.consecutiveFailures;
        if (worker.consecutiveFailures >= settings_.maxConsecutiveFailures) {
            backOff(worker, now.steadyMs + settings_.workerBackoffMs);
        }
    }
    if (!entry.job.isOver() && end == RunEnd::Failed && !hasAttemptsLeft(entry, ref)) {
        finishJob(now, entry, JobState::Failed);
        return;
    }
    checkCompletion(now, entry);
}

// Completes the job once every task of every occurrence is done.
auto PoolScheduler::State::checkCompletion(Moment now, JobEntry &entry) -> void
{
    auto &job = entry.job;
    if (job.isOver()) {
        return;
    }
    const auto total = occurrenceCount(job.spec);
    if (std::ssize(job.occurrences) < total) {
        return;
    }
    const auto isDone = std::ranges::all_of(
        job.occurrences, [](const auto &item) { return isOccurrenceDone(item.second); });
    if (isDone) {
        finishJob(now, entry, JobState::Completed);
    }
}

auto PoolScheduler::State::logRunEvent(std::string_view event, const TaskRef &task,
                                       std::int64_t run, const std::string &worker,
                                       std::string detail) -> void
{
    actions_.push_back(LogRunEvent{event, task, run, worker, std::move(detail)});
}

} // namespace peridotwalk
