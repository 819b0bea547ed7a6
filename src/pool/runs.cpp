#include "pool/pool_internal.h"

#include <fmt/format.h>

#include <algorithm>

namespace peridotwalk {

namespace {

constexpr std::size_t  kFullPage = 500;        // A listing of that many ends may be incomplete.
constexpr TimeMs       kStalledHoldMs = 1'000; // Hold interval while ends wait for the journal.
constexpr TimeMs       kStartBackoffMs = 500;  // Backoff after a failed start.
constexpr double       kPaceDownAt = 0.8;      // Fillers slow down above this part of the target,
constexpr double       kPaceUpAt = 0.5;        // and speed up below this one.
constexpr std::int64_t kPaceStep = 20;         // Percent that a speed-up adds.
constexpr std::int64_t kFullPace = 100;
constexpr TimeMs       kPacedHoldMs = 500; // Hold wait on workers with fillers.

} // namespace

auto Worker::freeCapacity() const -> ResourceSet
{
    auto free = report.capacity;
    free -= used;
    return free;
}

//-----------------------------------------------------------------------------
// [SECTION] Workers
//-----------------------------------------------------------------------------

auto PoolScheduler::State::onViewChanged(Moment now) -> void
{
    const auto version = view_.catalog.version();
    if (std::exchange(rulesVersion_, version) != version) {
        for (const auto &[id, entry] : active_) {
            applyRules(*entry);
        }
    }
    for (auto &[id, worker] : workers_) {
        worker.isListed = false;
    }
    for (const auto &[id, report] : view_.workers) {
        if (report.pool != identity_.pool) {
            continue;
        }
        const auto isNew = !workers_.contains(id);
        auto      &worker = addWorker(id);
        if (isNew || worker.report != report) {
            worker.report = report;
            worker.peer = {id, report.address};
        }
        worker.isListed = true;
        worker.isCordoned = cordoned_.contains(id);
        if (isNew) {
            worker.nextHoldAt = now.steadyMs;
        }
    }
    std::erase_if(workers_, [](const auto &item) {
        return !item.second.isListed && item.second.runs.empty() && !item.second.isHoldInFlight;
    });
    workerList_.clear();
    for (auto &[id, worker] : workers_) {
        workerList_.push_back(&worker);
    }
    needsSchedule_ = true;
}

auto PoolScheduler::State::addWorker(const std::string &id) -> Worker &
{
    const auto [found, isNew] = workers_.try_emplace(id);
    if (isNew) {
        found->second.token = nextOrderToken();
    }
    return found->second;
}

// Returns a fencing token above all that this owner or an earlier one has used, and below those of the next.
auto PoolScheduler::State::nextOrderToken() -> std::int64_t
{
    constexpr int  kOrderTokenBits = 20;
    constexpr auto kMaxOrderTokens = (std::int64_t{1} << kOrderTokenBits) - 1;
    orderTokens_ = std::min(orderTokens_ + 1, kMaxOrderTokens);
    return (identity_.token << kOrderTokenBits) + orderTokens_;
}

// Makes the worker refuse all starts that were sent to it so far, once a hold has told it the new token. Its later
// incarnations would carry them out.
auto PoolScheduler::State::renewToken(Worker &worker) -> void
{
    if (worker.startToken == worker.token) {
        worker.token = nextOrderToken();
    }
}

// Returns whether a refusal of the token shows a newer owner. Otherwise the worker has restarted since the order left.
auto PoolScheduler::State::isReplaced(const Worker &worker, std::int64_t token) -> bool
{
    return token >= worker.token;
}

// Returns whether the worker's entry is of a later incarnation than the one that answered last.
auto PoolScheduler::State::hasRestarted(const Worker &worker) -> bool
{
    return worker.startedAtMs > 0 && worker.report.startedAtMs > worker.startedAtMs;
}

auto PoolScheduler::State::tickWorkers(Moment now) -> void
{
    workersToTick_.clear();
    for (auto *worker : workerList_) {
        tickWorker(now, *worker);
    }
}

auto PoolScheduler::State::isUsable(Moment now, const Worker &worker) const -> bool
{
    return mayStartOn(worker) && worker.holdFailures == 0 && !worker.isCordoned
        && now.steadyMs >= worker.backoffUntil;
}

auto PoolScheduler::State::backOff(Worker &worker, TimeMs until) -> void
{
    worker.backoffUntil = std::max(worker.backoffUntil, until);
    backoffEndAt_ =
        backoffEndAt_ == 0 ? worker.backoffUntil : std::min(backoffEndAt_, worker.backoffUntil);
}

auto PoolScheduler::State::nextBackoffEnd(Moment now) const -> TimeMs
{
    TimeMs next = 0;
    for (const auto *worker : workerList_) {
        if (worker->backoffUntil > now.steadyMs) {
            next = next == 0 ? worker->backoffUntil : std::min(next, worker->backoffUntil);
        }
    }
    return next;
}

// A run whose start order was sent before its worker was cordoned may still start; draining the worker covers it.
auto PoolScheduler::State::mayStartOn(const Worker &worker) const -> bool
{
    // A new incarnation may be of another kind than the entry of the one before says.
    const auto isEntryOld =
        worker.report.startedAtMs > 0 && worker.report.startedAtMs < worker.startedAtMs;
    return worker.isListed && worker.hasAnsweredHold && !worker.report.isDraining && !isEntryOld
        && !view_.evacuatedZones.contains(worker.report.zone);
}

// Only an owner within its term starts runs, and only with a view fresh enough to show removed workers.
auto PoolScheduler::State::maySendStarts(Moment now) const -> bool
{
    return now.steadyMs < termUntil_ && isViewFresh(now);
}

auto PoolScheduler::State::isViewFresh(Moment now) const -> bool
{
    return now.steadyMs - view_.readAt < settings_.maxViewAgeMs;
}

// Adds a run to its worker and to the usage of its tenant. release() is the inverse.
auto PoolScheduler::State::allocate(Worker &worker, const TaskRef &ref, const RunState &run) -> void
{
    const auto &entry = jobs_.at(ref.job);
    const auto &step = stepOf(entry, ref);
    const auto  freeBefore = worker.freeCapacity().cpu;
    worker.used += run.need;
    worker.unboundedTasks += step.isUnbounded ? 1 : 0;
    worker.unboundedCpu += step.isUnbounded ? run.need.cpu : 0;
    worker.expiredCpu += run.isExpired ? run.need.cpu : 0;
    worker.servingTasks += isServing(step) ? 1 : 0;
    worker.fillerTasks += step.isFiller ? 1 : 0;
    worker.mayOweOrders = true;
    tenantUsed_[entry.job.spec.tenant] += step.need;
    auto &added = worker.runs[ref];
    added = run;
    added.isUnbounded = step.isUnbounded;
    if (settings_.contention.hasAdmission && !step.isUnbounded) {
        added.work = expectedWork(entry.job.spec, step);
        runningWork_ += added.work;
    }
    ++liveRuns_;
    capacityIndex_.update(worker, freeBefore);
}

auto PoolScheduler::State::release(Worker &worker, const TaskRef &ref) -> void
{
    const auto  held = worker.runs.find(ref);
    const auto &entry = jobs_.at(ref.job);
    const auto &step = stepOf(entry, ref);
    const auto &run = held->second;
    const auto  freeBefore = worker.freeCapacity().cpu;
    worker.used -= run.need;
    worker.unboundedTasks -= step.isUnbounded ? 1 : 0;
    worker.unboundedCpu -= step.isUnbounded ? run.need.cpu : 0;
    worker.expiredCpu -= run.isExpired ? run.need.cpu : 0;
    worker.servingTasks -= isServing(step) ? 1 : 0;
    worker.fillerTasks -= step.isFiller ? 1 : 0;
    tenantUsed_[entry.job.spec.tenant] -= step.need;
    settleStart(held->second);
    needsRefill_ = true;
    runningWork_ -= run.work;
    worker.runs.erase(held);
    --liveRuns_;
    capacityIndex_.update(worker, freeBefore);
}

// Ends a run that the worker doesn't have and can't get any more.
auto PoolScheduler::State::abandon(Moment now, Worker &worker, const TaskRef &ref,
                                   std::string_view why) -> void
{
    const auto run = worker.runs.at(ref).run;
    logRunEvent("run.abandoned", ref, run, worker.peer.id, std::string(why));
    endRun(now, worker, ref, run, RunEnd::Stopped, "");
}

auto PoolScheduler::State::markRunsLost(Moment now, Worker &worker, std::string_view why) -> void
{
    while (!worker.runs.empty()) {
        const auto ref = worker.runs.begin()->first;
        const auto run = worker.runs.begin()->second.run;
        logRunEvent("run.lost", ref, run, worker.peer.id, std::string(why));
        endRun(now, worker, ref, run, RunEnd::LeaseExpired, "");
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Starts and stops
//-----------------------------------------------------------------------------

// Sends the start order of a run that is now in the journal, unless it may not start any more.
auto PoolScheduler::State::dispatch(Moment now, const StartEffect &effect) -> void
{
    const auto found = workers_.find(effect.worker);
    if (found == workers_.end() || !found->second.runs.contains(effect.task)) {
        return;
    }
    auto &worker = found->second;
    auto &run = worker.runs.at(effect.task);
    if (run.run != effect.run || run.isSent) {
        return;
    }
    markRecorded(run);
    startRecorded(now, worker, effect.task);
}

// Sends the first start order of a run in the journal once its worker has answered. A run that may not
// start any more, or whose worker doesn't answer, is given up: no order has left, so it needs no stop.
auto PoolScheduler::State::startRecorded(Moment now, Worker &worker, const TaskRef &ref) -> void
{
    auto &run = worker.runs.at(ref);
    if (run.isStopping || !mayStartOn(worker) || worker.isCordoned || !maySendStarts(now)) {
        abandon(now, worker, ref, "may not start any more");
    } else if (worker.holdFailures > 0) {
        abandon(now, worker, ref, "the worker doesn't answer");
    } else if (hasJustAnswered(now, worker)
               && worker.startsInFlight < settings_.maxStartsInFlight) {
        sendStart(now, worker, ref, run);
    }
}

auto PoolScheduler::State::sendStart(Moment now, Worker &worker, const TaskRef &ref, RunState &run)
    -> void
{
    auto &entry = jobs_.at(ref.job);
    auto &task = *findTask(entry.job, ref);
    auto  order = StartOrder{};
    order.task = ref;
    order.run = run.run;
    order.payload = entry.job.spec.payload;
    order.checkpoint = task.checkpoint;
    order.leaseUntilMs = extendLease(now, worker);
    order.token = worker.token;
    order.sendBy = termUntil_;
    worker.startToken = order.token;
    run.isSent = true;
    run.isOrderInFlight = true;
    run.isResumed = run.isResumed || !task.checkpoint.empty();
    ++run.attempts;
    ++worker.startsInFlight;
    task.phase = RunPhase::Starting;
    actions_.push_back(SendStart{worker.peer, std::move(order)});
}

// Handles what all replies to orders have in common. Returns the worker, or nullptr if the owner is
// fenced or the run isn't on it any more.
auto PoolScheduler::State::handleReply(Moment now, const std::string &id, const TaskRef &ref,
                                       std::int64_t run, std::int64_t token,
                                       const OrderReply &reply) -> Worker *
{
    const auto found = workers_.find(id);
    if (found == workers_.end()) {
        return nullptr;
    }
    auto &worker = found->second;
    if (reply.outcome == CallOutcome::Fenced && isReplaced(worker, token)) {
        isFenced_ = true;
        return nullptr;
    }
    setClock(now, worker, reply.clockMs);
    if (reply.outcome == CallOutcome::Refused && reply.refusal == StartRefusal::OtherIncarnation) {
        worker.isListed = false;
        markRunsLost(now, worker, "another incarnation answers at its address");
        return nullptr;
    }
    const auto held = worker.runs.find(ref);
    if (held == worker.runs.end() || held->second.run != run) {
        return nullptr;
    }
    held->second.isOrderInFlight = false;
    settleStart(held->second);
    return &worker;
}

auto PoolScheduler::State::onStarted(Moment now, const SendStart &sent, const OrderReply &reply)
    -> void
{
    if (const auto found = workers_.find(sent.worker.id); found != workers_.end()) {
        auto &worker = found->second;
        worker.startsInFlight = std::max(0, worker.startsInFlight - 1);
        if (reply.outcome == CallOutcome::Unknown) {
            worker.lateOrdersUntil = now.steadyMs + kLateOrderMs;
        }
    }
    auto *worker =
        handleReply(now, sent.worker.id, sent.order.task, sent.order.run, sent.order.token, reply);
    if (worker == nullptr) {
        return;
    }
    auto &run = worker->runs.at(sent.order.task);
    if (reply.outcome == CallOutcome::Done) {
        run.isConfirmed = true;
        run.confirmedAt = now.steadyMs;
        auto &entry = jobs_.at(sent.order.task.job);
        entry.hasBegun = true;
        auto *task = findTask(entry.job, sent.order.task);
        if (!run.isStopping) {
            startDelayMs_ += (static_cast<double>(now.steadyMs - task->changedAt) - startDelayMs_)
                / kRunsAveraged;
            task->phase = RunPhase::Running;
            task->changedAt = now.steadyMs;
            run.fullRunSince = run.isResumed ? 0 : now.steadyMs;
        }
        worker->nextHoldAt = std::min(worker->nextHoldAt, now.steadyMs + endDelay());
        logRunEvent("run.started", sent.order.task, run.run, worker->peer.id, "");
        return;
    }
    const auto isRefused =
        reply.outcome == CallOutcome::Refused || reply.outcome == CallOutcome::Fenced;
    if (isRefused && run.attempts == 1 && !run.isStopping) {
        backOff(*worker, now.steadyMs + kStartBackoffMs);
        abandon(now, *worker, sent.order.task,
                fmt::format("refused, reason {}", static_cast<int>(reply.refusal)));
        return;
    }
    logRunEvent("run.unanswered", sent.order.task, run.run, worker->peer.id,
                fmt::format("attempt {} outcome {} refusal {} listed {} hold failures {}",
                            run.attempts, static_cast<int>(reply.outcome),
                            static_cast<int>(reply.refusal), worker->isListed,
                            worker->holdFailures));
    // An earlier start order of this run may still arrive later. Only a stop voids it.
    if (run.attempts >= settings_.maxStartAttempts || isRefused) {
        requestStop(now, *worker, sent.order.task);
        return;
    }
    backOff(*worker, now.steadyMs + kStartBackoffMs);
    run.retryAt = now.steadyMs + settings_.orderRetryMs;
}

auto PoolScheduler::State::requestStop(Moment now, Worker &worker, const TaskRef &ref) -> void
{
    auto &run = worker.runs.at(ref);
    if (!run.isSent) {
        run.isStopping = true;
        abandon(now, worker, ref, "stopped before its start order was sent");
        return;
    }
    if (auto *task = findTask(jobs_.at(ref.job).job, ref)) {
        task->phase = RunPhase::Stopping;
    }
    run.isStopping = true;
    worker.mayOweOrders = true;
    sendStop(worker, ref, run);
}

auto PoolScheduler::State::sendStop(Worker &worker, const TaskRef &ref, RunState &run) -> void
{
    run.isOrderInFlight = true;
    actions_.push_back(SendStop{worker.peer, {ref, run.run, worker.token}});
}

auto PoolScheduler::State::onStopped(Moment now, const SendStop &sent, const OrderReply &reply)
    -> void
{
    auto *worker =
        handleReply(now, sent.worker.id, sent.order.task, sent.order.run, sent.order.token, reply);
    if (worker == nullptr) {
        return;
    }
    auto &run = worker->runs.at(sent.order.task);
    if (reply.outcome == CallOutcome::Done) {
        run.isStopConfirmed = true;
        run.stopConfirmedAt = now.steadyMs;
        worker->nextHoldAt = std::min(worker->nextHoldAt, now.steadyMs);
        return;
    }
    run.retryAt = now.steadyMs + settings_.orderRetryMs;
}

//-----------------------------------------------------------------------------
// [SECTION] Holds
//-----------------------------------------------------------------------------

auto PoolScheduler::State::sendHold(Moment now, Worker &worker) -> void
{
    auto hold = SendHold{};
    hold.worker = worker.peer;
    hold.sentAt = now.steadyMs;
    hold.order.token = worker.token;
    const auto hasUnrecorded = worker.seenEnd > worker.recordedEnd;
    const auto isFresh = worker.hasAnsweredHold && worker.holdFailures == 0
        && now.steadyMs - worker.lastHeldAt < kMinRestartMs + settings_.holdWaitMs;
    const auto mayRun =
        std::ranges::any_of(worker.runs, [](const auto &item) { return item.second.isSent; });
    const auto isWatched = mayRun || now.steadyMs < worker.lateOrdersUntil;
    // If the worker may have restarted, its ends have new numbers: acknowledging old ones would drop
    // ends that were never read.
    hold.order.acknowledgedEnd = isFresh ? worker.recordedEnd : 0;
    if (isFresh && !hasUnrecorded && isWatched && worker.answeredToken == worker.token) {
        const auto isPaced = std::ranges::any_of(
            worker.runs, [](const auto &item) { return item.second.need.cpu == 0; });
        hold.order.waitMs = isPaced ? kPacedHoldMs : settings_.holdWaitMs;
    }
    const auto mayExtend = !previousHandover_ || isHandoverRemoved_;
    if (mayExtend && mayRun && worker.clockAt > 0 && worker.holdFailures == 0 && worker.isListed
        && isViewFresh(now) && now.steadyMs < termUntil_ + settings_.offlineExtensionMs) {
        hold.order.leaseUntilMs = extendLease(now, worker);
    }
    worker.isHoldInFlight = true;
    actions_.push_back(std::move(hold));
}

auto PoolScheduler::State::onHoldReply(Moment now, const SendHold &sent, const HoldReply &reply)
    -> void
{
    const auto found = workers_.find(sent.worker.id);
    if (found == workers_.end()) {
        return;
    }
    auto &worker = found->second;
    worker.isHoldInFlight = false;
    if (reply.outcome == CallOutcome::Fenced) {
        isFenced_ = isFenced_ || isReplaced(worker, sent.order.token);
        return;
    }
    if (reply.isOtherIncarnation) {
        worker.isListed = false;
        markRunsLost(now, worker, "another incarnation answers at its address");
        return;
    }
    if (reply.outcome != CallOutcome::Done) {
        if (++worker.holdFailures == 1) {
            renewToken(worker); // It may have restarted.
        }
        const auto mayGetLateOrders = now.steadyMs < worker.lateOrdersUntil;
        worker.nextHoldAt =
            now.steadyMs + (mayGetLateOrders ? settings_.urgentHoldRetryMs : settings_.holdRetryMs);
        return;
    }
    if (worker.holdFailures > 0 || !worker.hasAnsweredHold) {
        needsSchedule_ = true;
    }
    setClock(now, worker, reply.clockMs);
    if (worker.startedAtMs != reply.startedAtMs) {
        renewToken(worker); // It refuses late orders to earlier ones from the next hold on.
        worker.leaseUntilMs = reply.clockMs + earlierLease(now, worker);
        worker.grantedUntilMs = reply.clockMs;
        worker.startedAtMs = reply.startedAtMs;
        worker.seenEnd = 0;
        worker.recordedEnd = 0;
    }
    worker.answeredSince = worker.hasAnsweredHold ? worker.answeredSince : now.steadyMs;
    worker.hasAnsweredHold = true;
    worker.holdFailures = 0;
    worker.lastHeldAt = now.steadyMs;
    worker.answeredToken = sent.order.token;
    readEnds(now, worker, reply);
    readRunning(now, worker, reply);
    if (reply.ended.size() < kFullPage && worker.answeredToken == worker.token) {
        auto missing = std::vector<TaskRef>();
        for (const auto &[ref, run] : worker.runs) {
            const auto wasConfirmed = run.isConfirmed && run.confirmedAt < sent.sentAt;
            const auto isVoided = run.isStopConfirmed && run.stopConfirmedAt < sent.sentAt;
            if (run.listing != worker.listings && (wasConfirmed || isVoided || run.isRestored)) {
                missing.push_back(ref);
            }
        }
        for (const auto &ref : missing) {
            const auto run = worker.runs.at(ref).run;
            if (worker.runs.at(ref).isRestored) {
                // The previous owner's orders may have been left without an answer.
                worker.lateOrdersUntil = now.steadyMs + kLateOrderMs;
            }
            logRunEvent("run.lost", ref, run, worker.peer.id, "the worker doesn't list it");
            endRun(now, worker, ref, run, RunEnd::LeaseExpired, "");
        }
    }
    controlPace(worker);
    const auto hasUnrecorded = worker.seenEnd > worker.recordedEnd;
    worker.nextHoldAt = now.steadyMs + (hasUnrecorded ? kStalledHoldMs : 0);
    if (hasRestarted(worker)) {
        worker.nextHoldAt = now.steadyMs + settings_.holdRetryMs;
    }
}

auto PoolScheduler::State::endDelay() const -> TimeMs
{
    return std::min<TimeMs>(settings_.maxEndDelayMs, liveRuns_ / settings_.runsPerEndDelayMs);
}

auto PoolScheduler::State::readEnds(Moment now, Worker &worker, const HoldReply &reply) -> void
{
    auto last = worker.seenEnd;
    for (const auto &ended : reply.ended) {
        if (ended.number <= worker.seenEnd) {
            continue;
        }
        logRunEvent("run.ended", ended.task, ended.run, worker.peer.id,
                    fmt::format("end {} number {}", static_cast<int>(ended.end), ended.number));
        endRun(now, worker, ended.task, ended.run, ended.end, ended.checkpoint);
        last = std::max(last, ended.number);
        ++activity_.ended;
    }
    if (last > worker.seenEnd) {
        worker.seenEnd = last;
        afterAppend(AckEffect{worker.peer.id, worker.startedAtMs, last});
    }
}

// Updates runs from a worker's listing and stops unexpected ones.
auto PoolScheduler::State::readRunning(Moment now, Worker &worker, const HoldReply &reply) -> void
{
    ++worker.listings;
    for (const auto &row : reply.running) {
        const auto held = worker.runs.find(row.task);
        if (held == worker.runs.end() || held->second.run != row.run) {
            logRunEvent("run.unexpected", row.task, row.run, worker.peer.id, "stopped");
            actions_.push_back(SendStop{worker.peer, {row.task, row.run, worker.token}});
            continue;
        }
        auto &run = held->second;
        run.listing = worker.listings;
        run.percent = row.percent;
        run.usage = row.usage;
        if (run.isConfirmed && !run.isRestored && row.checkpoint.empty()) {
            continue; // Nothing about its job is new.
        }
        auto &entry = jobs_.at(row.task.job);
        entry.hasBegun = true;
        auto *task = findTask(entry.job, row.task);
        keepCheckpoint(*task, row.checkpoint);
        if (!run.isConfirmed) {
            run.isConfirmed = true;
            run.confirmedAt = now.steadyMs;
            settleStart(run);
        }
        if (std::exchange(run.isRestored, false) && !run.isStopping) {
            task->phase = RunPhase::Running;
            if (entry.job.isOver()) {
                requestStop(now, worker, row.task);
            }
        }
    }
}

// Slows fillers down while the latency of a serving task on the worker is near its target, and speeds
// them up once it is far below.
auto PoolScheduler::State::controlPace(Worker &worker) -> void
{
    if (worker.fillerTasks == 0) {
        return;
    }
    auto load = 0.0; // Latency of the worst serving task, as a part of its target.
    for (const auto &[ref, run] : worker.runs) {
        const auto &step = stepOf(jobs_.at(ref.job), ref);
        if (isServing(step)) {
            load = std::max(
                load, static_cast<double>(run.usage) / static_cast<double>(step.latencyTargetMs));
        }
    }
    for (auto &[ref, run] : worker.runs) {
        if (!stepOf(jobs_.at(ref.job), ref).isFiller || run.isStopping || !run.isConfirmed) {
            continue;
        }
        auto pace = run.pace;
        if (load > 1.0) {
            pace = 0;
        } else if (load > kPaceDownAt) {
            pace /= 2;
        } else if (load < kPaceUpAt) {
            pace = std::min(kFullPace, pace + kPaceStep);
        }
        if (pace != run.pace) {
            run.pace = pace;
            actions_.push_back(SendPace{worker.peer, {ref, run.run, pace, worker.token}});
        }
    }
}

auto PoolScheduler::State::tickWorker(Moment now, Worker &worker) -> void
{
    const auto isSilent = worker.holdFailures > 0 || (!worker.isListed && !worker.hasAnsweredHold);
    if (!worker.runs.empty() && isSilent && now.steadyMs > leaseExpiry(worker)) {
        markRunsLost(now, worker, "its lease expired");
    }
    if (worker.peer.address.empty()) {
        return;
    }
    if (worker.mayOweOrders) {
        sendDueOrders(now, worker);
    }
    const auto mayGetLateOrders =
        worker.answeredToken != worker.token || now.steadyMs < worker.lateOrdersUntil;
    const auto needsHold = !worker.runs.empty() || (worker.isListed && !worker.hasAnsweredHold)
        || worker.seenEnd > worker.recordedEnd || worker.holdFailures > 0
        || (worker.isListed && (mayGetLateOrders || hasRestarted(worker)));
    if (!worker.isHoldInFlight && needsHold && now.steadyMs >= worker.nextHoldAt) {
        sendHold(now, worker);
    }
}

auto PoolScheduler::State::sendDueOrders(Moment now, Worker &worker) -> void
{
    worker.mayOweOrders = false;
    auto due = std::vector<TaskRef>();
    auto unsent = std::vector<TaskRef>();
    for (const auto &[ref, run] : worker.runs) {
        const auto needsOrder =
            run.isStopping ? !run.isStopConfirmed : !run.isSent || !run.isConfirmed;
        worker.mayOweOrders = worker.mayOweOrders || needsOrder;
        if (run.isRecorded && !run.isSent) {
            unsent.push_back(ref);
            continue;
        }
        if (!run.isSent) {
            continue;
        }
        if (needsOrder && !run.isOrderInFlight && !run.isRestored && now.steadyMs >= run.retryAt) {
            due.push_back(ref);
        }
    }
    for (const auto &ref : due) {
        auto &run = worker.runs.at(ref);
        if (run.isStopping) {
            sendStop(worker, ref, run);
        } else if (!mayStartOn(worker)) {
            requestStop(now, worker, ref);
        } else if (maySendStarts(now) && worker.holdFailures == 0
                   && worker.startsInFlight < settings_.maxStartsInFlight) {
            // A silent worker may have restarted, and a start carries a lease on the clock of before.
            sendStart(now, worker, ref, run);
        }
    }
    for (const auto &ref : unsent) {
        startRecorded(now, worker, ref);
    }
}

} // namespace peridotwalk
