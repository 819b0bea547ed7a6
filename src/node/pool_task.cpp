#include "node/node_internal.h"

#include <fmt/ranges.h>

#include <algorithm>

namespace peridotwalk {

namespace {

constexpr TimeMs kTakeoverRetryMs = 100;
// Time for other pools to release a queue. Shorter than a call to an owner, so that callers that wait for
// it are refused rather than left without an answer.
constexpr TimeMs kReleaseTimeoutMs = 600;

auto toStatus(JobVerdict verdict) -> PoolStatus
{
    switch (verdict) {
    case JobVerdict::Accepted:
    case JobVerdict::Cancelled:
        return PoolStatus::Ok;
    case JobVerdict::Missing:
        return PoolStatus::Missing;
    case JobVerdict::Refused:
        break;
    }
    return PoolStatus::Refused;
}

auto verbName(PoolVerb verb) -> std::string_view
{
    switch (verb) {
    case PoolVerb::Submit:
        return "submit";
    case PoolVerb::Cancel:
        return "cancel";
    case PoolVerb::Query:
        return "query";
    case PoolVerb::CountPending:
        return "count_pending";
    case PoolVerb::ReleaseQueue:
        break;
    }
    return "release_queue";
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Pool task
//-----------------------------------------------------------------------------

PoolTask::PoolTask(EventLoop &loop, PoolServices services, const NodeSettings &settings,
                   const FleetView &view, PoolIdentity identity, std::int64_t partition)
    : loop_(loop), services_(std::move(services)), settings_(settings), view_(view),
      identity_(std::move(identity)), partition_(partition), takeoverStartedAt_(bootMs())
{
    fence();
}

// Calls without an answer may have reached the journal, so their outcome is unknown.
PoolTask::~PoolTask()
{
    *isAlive_ = false;
    for (const auto &[queue, adoption] : adoptions_) {
        for (const auto &[call, slot] : adoption.waiting) {
            slot({PoolStatus::NotOwner, JobState::Queued, 0, "the pool moved to another node", 0});
        }
    }
    failPendingCalls();
}

auto PoolTask::failPendingCalls() -> void
{
    for (const auto &[handle, slot] : std::exchange(pendingCalls_, {})) {
        slot({PoolStatus::Unknown, JobState::Queued, 0, "the pool moved to another node", 0});
    }
}

// Makes the store refuse appends of the previous owner, and only then reads the journal.
auto PoolTask::fence() -> void
{
    services_.journal.fence({identity_.pool, partition_, identity_.token, 0},
                            [this, alive = isAlive_](CallOutcome outcome) {
                                if (!*alive) {
                                    return;
                                }
                                if (outcome == CallOutcome::Done) {
                                    readJournal();
                                } else if (outcome == CallOutcome::Fenced) {
                                    isFenced_ = true;
                                } else {
                                    loop_.post(
                                        [this, alive] {
                                            if (*alive) {
                                                fence();
                                            }
                                        },
                                        kTakeoverRetryMs);
                                }
                            });
}

auto PoolTask::readJournal() -> void
{
    services_.journal.readNewest(
        partition_, [this, alive = isAlive_](absl::StatusOr<std::vector<KeyedRecord>> records) {
            if (!*alive) {
                return;
            }
            if (records.ok()) {
                onJournal(*records);
                return;
            }
            loop_.post(
                [this, alive] {
                    if (*alive) {
                        readJournal();
                    }
                },
                kTakeoverRetryMs);
        });
}

auto PoolTask::onJournal(const std::vector<KeyedRecord> &records) -> void
{
    auto restored = restoreJobs(records);
    for (const auto &error : restored.errors) {
        logEvent(LogLevel::Error, "journal.bad_record", {{"error", error.ToString()}});
    }
    std::erase_if(restored.jobs,
                  [&](const auto &item) { return item.second.spec.pool != identity_.pool; });
    logEvent(LogLevel::Info, "pool.owned",
             {{"pool", identity_.pool},
              {"token", identity_.token},
              {"jobs", restored.jobs.size()},
              {"took_ms", bootMs() - takeoverStartedAt_}});
    if (services_.metrics != nullptr) {
        services_.metrics->addTakeover(bootMs() - takeoverStartedAt_);
    }
    scheduler_ = std::make_unique<PoolScheduler>(identity_, settings_.pool, view_);
    scheduler_->setTerm(termUntil_);
    scheduler_->restore(
        readMoment(), std::move(restored.jobs), findHandover(identity_.pool, records),
        findQueueHomes(identity_.pool, records), findEarlyCancels(identity_.pool, records));
    run();
}

auto PoolTask::setTerm(TimeMs untilMs) -> void
{
    termUntil_ = untilMs;
    if (scheduler_ && !isLeaving_) {
        scheduler_->setTerm(untilMs);
    }
}

auto PoolTask::makeReport() -> PoolReport
{
    auto report = scheduler_->report();
    report.sequence = ++lastReport_;
    report.coordinator = coordinator_;
    report.isDormant = isDormant();
    if (report.isDormant) {
        report.workers.clear();
    }
    return report;
}

auto PoolTask::applyDirection(const PoolDirection &direction) -> void
{
    coordinator_ = direction.token;
    if (scheduler_) {
        scheduler_->applyDirection(readMoment(), direction);
        run();
    }
}

auto PoolTask::beginHandover() -> void
{
    isLeaving_ = true;
    if (scheduler_) {
        scheduler_->beginHandover(readMoment());
        run();
    }
}

auto PoolTask::onViewChanged() -> void
{
    if (scheduler_) {
        scheduler_->onViewChanged(readMoment());
        run();
    }
}

auto PoolTask::handle(const PoolCall &call, PoolAnswerSlot slot) -> void
{
    if (answerIfSettled(call, slot)) {
        return;
    }
    if (!scheduler_ || isFenced() || isLeaving_) {
        slot({PoolStatus::NotOwner, JobState::Queued, 0, "the pool is being taken over", 0});
        return;
    }
    if (!isInTerm()) {
        slot({PoolStatus::NotOwner, JobState::Queued, 0, "the owner is out of its term", 0});
        return;
    }
    if (call.verb == PoolVerb::ReleaseQueue) {
        release(call, std::move(slot));
        return;
    }
    const auto isHeld = !call.job.empty() && scheduler_->holdsJob(call.job);
    if (call.scope == PoolScope::Held) {
        const auto isAboutJob = call.verb != PoolVerb::CountPending;
        const auto endsHere =
            call.verb == PoolVerb::Submit && scheduler_->isCancelledEarly(call.job);
        if (isAboutJob && !isHeld && !endsHere) {
            confirmMissing(call, std::move(slot));
            return;
        }
    } else if (!isHeld) {
        const auto *home = scheduler_->findHome(call.queue);
        if (home == nullptr) {
            adopt(call, std::move(slot));
            return;
        }
        if (!home->earlierPools.empty() && call.scope == PoolScope::All) {
            auto answer = PoolAnswer{PoolStatus::Elsewhere};
            answer.count = scheduler_->countPending(call.queue);
            answer.earlierPools = {home->earlierPools.begin(), home->earlierPools.end()};
            slot(answer);
            return;
        }
    }
    if (call.verb == PoolVerb::Query) {
        const auto state = scheduler_->jobState(call.job);
        if (state) {
            slot({PoolStatus::Ok, *state});
        } else {
            confirmMissing(call, std::move(slot));
        }
        return;
    }
    if (call.verb == PoolVerb::CountPending) {
        slot({PoolStatus::Ok, JobState::Queued, scheduler_->countPending(call.queue)});
        return;
    }
    if (call.verb == PoolVerb::Submit) {
        auto spec = call.spec;
        // The caller named another pool if the job ends at an earlier home, where it was cancelled.
        spec.pool = identity_.pool;
        scheduler_->submit(readMoment(), addPending(std::move(slot)), std::move(spec));
    } else {
        const auto handle =
            addPending([this, alive = isAlive_, call, slot](const PoolAnswer &answer) {
                if (*alive && answer.status == PoolStatus::Missing) {
                    logMissing(call);
                }
                slot(answer);
            });
        scheduler_->cancel(readMoment(), handle, call.job, call.queue);
    }
    run();
}

// That a job is recorded and how it ended never changes, so an owner that may have been replaced tells it too.
auto PoolTask::answerIfSettled(const PoolCall &call, const PoolAnswerSlot &slot) const -> bool
{
    const auto state =
        scheduler_ && !call.job.empty() ? scheduler_->jobState(call.job) : std::nullopt;
    const auto isSettled =
        state && (call.verb == PoolVerb::Submit || *state >= JobState::Completed);
    if (isSettled) {
        slot({PoolStatus::Ok, *state});
    }
    return isSettled;
}

// Says that there is no such job once it is certain that no newer owner had accepted it before this call.
auto PoolTask::confirmMissing(const PoolCall &call, PoolAnswerSlot slot) -> void
{
    const auto handle = addPending(
        [this, alive = isAlive_, call, slot = std::move(slot)](const PoolAnswer &answer) {
            if (!*alive || answer.status != PoolStatus::Ok) {
                slot(answer);
            } else if (scheduler_->holdsJob(call.job)) {
                this->handle(call, slot);
            } else {
                logMissing(call);
                slot({PoolStatus::Missing});
            }
        });
    scheduler_->confirmOwnership(readMoment(), handle);
    run();
}

auto PoolTask::logMissing(const PoolCall &call) const -> void
{
    logEvent(LogLevel::Info, "job.missing",
             {{"job", call.job},
              {"call", verbName(call.verb)},
              {"pool", identity_.pool},
              {"token", identity_.token},
              {"term_left_ms", termUntil_ - bootMs()}});
}

auto PoolTask::addPending(PoolAnswerSlot slot) -> std::int64_t
{
    pendingCalls_[++lastHandle_] = std::move(slot);
    return lastHandle_;
}

// Asks all other pools to release the queue, and records this pool as its home once they have. Only then no
// other pool can accept its jobs any more, and it is known which ones hold some.
auto PoolTask::adopt(const PoolCall &call, PoolAnswerSlot slot) -> void
{
    const auto *rule = view_.catalog.queue(call.queue);
    if (rule == nullptr || rule->pool != identity_.pool) {
        const auto isBehind =
            call.version > view_.catalog.version(); // Then the caller tries again.
        slot({isBehind ? PoolStatus::NotOwner : PoolStatus::Refused, JobState::Queued, 0,
              "the queue leads to another pool", settings_.retryAfterMs});
        return;
    }
    const auto [found, isNew] = adoptions_.try_emplace(call.queue);
    found->second.waiting.emplace_back(call, std::move(slot));
    if (!isNew) {
        return;
    }
    auto others = view_.pools;
    others.erase(identity_.pool);
    found->second.unanswered = others.size();
    for (const auto &pool : others) {
        services_.callPool(
            {PoolVerb::ReleaseQueue,
             pool,
             "",
             call.queue,
             {},
             PoolScope::All,
             view_.catalog.version()},
            bootMs() + kReleaseTimeoutMs,
            [this, alive = isAlive_, queue = call.queue, pool](const PoolAnswer &answer) {
                if (*alive) {
                    onReleased(queue, pool, answer);
                }
            });
    }
    if (others.empty()) {
        finishAdoption(call.queue);
    }
}

auto PoolTask::onReleased(const std::string &queue, const std::string &pool,
                          const PoolAnswer &answer) -> void
{
    auto &adoption = adoptions_.at(queue);
    if (answer.status != PoolStatus::Ok) {
        adoption.refusal = "the pool " + pool + " hasn't released the queue: " + answer.reason;
    } else if (answer.count > 0) {
        adoption.home.earlierPools.insert(pool);
    }
    if (--adoption.unanswered == 0) {
        finishAdoption(queue);
    }
}

auto PoolTask::finishAdoption(const std::string &queue) -> void
{
    auto adoption = std::move(adoptions_.extract(queue).mapped());
    logEvent(LogLevel::Info, "queue.adopted",
             {{"queue", queue},
              {"pool", identity_.pool},
              {"token", identity_.token},
              {"earlier", fmt::format("{}", fmt::join(adoption.home.earlierPools, " "))},
              {"refusal", adoption.refusal}});
    const auto isOver = isFenced() || isLeaving_;
    if (isOver || !adoption.refusal.empty()) {
        for (const auto &[call, slot] : adoption.waiting) {
            slot({isOver ? PoolStatus::NotOwner : PoolStatus::Refused, JobState::Queued, 0,
                  isOver ? "the pool is being taken over" : adoption.refusal,
                  settings_.retryAfterMs});
        }
        return;
    }
    const auto request = addPending(
        [this, alive = isAlive_, waiting = std::move(adoption.waiting)](const PoolAnswer &answer) {
            for (const auto &[call, slot] : waiting) {
                if (*alive && answer.status == PoolStatus::Ok) {
                    this->handle(call, slot);
                } else {
                    slot({PoolStatus::NotOwner, JobState::Queued, 0, answer.reason, 0});
                }
            }
        });
    scheduler_->adoptQueue(request, queue, std::move(adoption.home));
    run();
}

// Answered once the journal shows that this is still the owner: an earlier one can't know which jobs the
// pool holds.
auto PoolTask::release(const PoolCall &call, PoolAnswerSlot slot) -> void
{
    const auto *rule = view_.catalog.queue(call.queue);
    if (rule != nullptr && rule->pool == identity_.pool && view_.catalog.version() > call.version) {
        slot({PoolStatus::Refused, JobState::Queued, 0, "newer rules send the queue here",
              settings_.retryAfterMs});
        return;
    }
    if (const auto adoption = adoptions_.find(call.queue); adoption != adoptions_.end()) {
        adoption->second.refusal = "another pool adopts the queue";
    }
    const auto mayHold = scheduler_->holdsJobsOf(call.queue);
    const auto handle = addPending([slot = std::move(slot), mayHold](PoolAnswer answer) {
        answer.count = mayHold ? 1 : 0;
        slot(answer);
    });
    scheduler_->releaseQueue(handle, call.queue);
    run();
}

auto PoolTask::isDormant() const -> bool
{
    return scheduler_ && scheduler_->countJobs() == 0 && scheduler_->countRuns() == 0
        && !view_.catalog.isActive(identity_.pool);
}

// An answer may arrive while actions are performed. It must not start a nested round.
auto PoolTask::run() -> void
{
    if (!scheduler_ || isRunning_) {
        return;
    }
    isRunning_ = true;
    scheduler_->advance(readMoment());
    carryOut();
    isRunning_ = false;
}

// A busy owner gets dozens of answers in a round of the loop. Orders that an answer releases leave at once.
auto PoolTask::runSoon() -> void
{
    if (!isRunning_) {
        isRunning_ = true;
        carryOut();
        isRunning_ = false;
    }
    if (std::exchange(isRunDue_, true)) {
        return;
    }
    loop_.post([this, alive = isAlive_] {
        if (*alive) {
            isRunDue_ = false;
            run();
        }
    });
}

auto PoolTask::tick() -> void
{
    if (!scheduler_) {
        return;
    }
    if (isFenced()) {
        failPendingCalls();
    }
    if (isDormant()) {
        run(); // Appends what is due. Its workers aren't asked.
        return;
    }
    isRunning_ = true;
    scheduler_->tick(readMoment());
    carryOut();
    isRunning_ = false;
}

auto PoolTask::carryOut() -> void
{
    for (auto &action : scheduler_->takeActions()) {
        std::visit([this](auto &one) { perform(one); }, action);
    }
}

auto PoolTask::perform(AppendJournal &action) -> void
{
    services_.journal.append(
        {identity_.pool, partition_, identity_.token, action.sequence}, action.records,
        [this, alive = isAlive_, sequence = action.sequence](CallOutcome outcome) {
            if (*alive) {
                scheduler_->onAppended(readMoment(), sequence, outcome);
                runSoon();
            }
        });
}

auto PoolTask::perform(AnswerCaller &action) -> void
{
    const auto found = pendingCalls_.find(action.handle);
    if (found == pendingCalls_.end()) {
        return;
    }
    const auto slot = std::move(found->second);
    pendingCalls_.erase(found);
    if (action.verdict == JobVerdict::Refused && services_.metrics != nullptr) {
        services_.metrics->addRefusal(action.reason);
    }
    slot({toStatus(action.verdict), JobState::Queued, 0, action.reason, action.retryAfterMs});
}

auto PoolTask::perform(SendStart &action) -> void
{
    // The scheduler only needs to know which run was started where, and under which token.
    auto sent = SendStart{action.worker, {}};
    sent.order.task = action.order.task;
    sent.order.run = action.order.run;
    sent.order.token = action.order.token;
    services_.workers.start(action.worker, action.order,
                            [this, alive = isAlive_, sent](const OrderReply &reply) {
                                if (*alive) {
                                    scheduler_->onStarted(readMoment(), sent, reply);
                                    runSoon();
                                }
                            });
}

auto PoolTask::perform(SendStop &action) -> void
{
    services_.workers.stop(action.worker, action.order,
                           [this, alive = isAlive_, action](const OrderReply &reply) {
                               if (*alive) {
                                   scheduler_->onStopped(readMoment(), action, reply);
                                   runSoon();
                               }
                           });
}

auto PoolTask::perform(SendPace &action) -> void
{
    services_.workers.pace(action.worker, action.order, [](const OrderReply & /*reply*/) {
        // The next hold reply has the effective pace, and the scheduler corrects it then.
    });
}

auto PoolTask::perform(SendHold &action) -> void
{
    services_.workers.hold(action.worker, action.order,
                           [this, alive = isAlive_, action](const HoldReply &reply) {
                               if (*alive) {
                                   scheduler_->onHoldReply(readMoment(), action, reply);
                                   runSoon();
                               }
                           });
}

auto PoolTask::perform(LogRunEvent &action) -> void
{
    logEvent(LogLevel::Info, action.event,
             {{"job", action.task.job},
              {"occurrence", action.task.occurrence},
              {"step", action.task.step},
              {"index", action.task.index},
              {"run", action.run},
              {"worker", action.worker},
              {"pool", identity_.pool},
              {"token", identity_.token},
              {"detail", action.detail}});
}

} // namespace peridotwalk
