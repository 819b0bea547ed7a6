#include "engine/engine_internal.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace peridotwalk {

namespace {

using Json = nlohmann::json;

constexpr TimeMs kPlacementIntervalMs = 50;
constexpr TimeMs kSubmitTimeoutMs = 5'000;      // Timeout to read a submission back from the log.
constexpr TimeMs kUrgentReservationMs = 10'000; // Longest reservation of a pool for an urgent task.
constexpr TimeMs kPreemptionIntervalMs = 2'000; // Interval between preemptions for the same task.
constexpr TimeMs kMaxLogAgeMs = 3'000;          // Proposes no starts if the state is older.
constexpr std::size_t kMaxUnsentEvents = 5'000; // Submissions are refused above that.
constexpr int         kHttpOk = 200;
constexpr int         kHttpAccepted = 202;

auto leaseKey(std::string_view taskId, std::int64_t attempt) -> std::string
{
    return fmt::format("{}/{}", taskId, attempt);
}

auto phaseName(TaskPhase phase) -> std::string_view
{
    switch (phase) {
    case TaskPhase::Waiting:
        return "waiting";
    case TaskPhase::Running:
        return "running";
    case TaskPhase::Ended:
        break;
    }
    return "ended";
}

// A worker's answer to a call about a lease.
struct WorkerAnswer {
    std::string state;      // "running", "done", "failed", "stopped", "unknown"
    std::string checkpoint; // Empty: none.
    std::string result;     // Result, or error text if it failed.
};

auto parseWorkerAnswer(const AttemptEnd &end) -> WorkerAnswer
{
    const auto json = Json::parse(end.answer.body, nullptr, false);
    if (end.answer.status != kHttpOk || !json.is_object()) {
        return {"failed", "", fmt::format("status {}", end.answer.status)};
    }
    const auto text = [&](const char *name) {
        const auto found = json.find(name);
        return found != json.end() && found->is_string() ? found->get<std::string>()
                                                         : std::string();
    };
    return {text("state"), text("checkpoint"), text("result")};
}

} // namespace

auto describeTask(const Task &task) -> Answer
{
    const auto json = Json{{"id", task.id},           {"state", phaseName(task.phase)},
                           {"attempt", task.attempt}, {"worker", task.worker},
                           {"note", task.note},       {"cancelled", task.isCancelled}};
    return {task.phase == TaskPhase::Ended ? kHttpOk : kHttpAccepted, "application/json",
            json.dump(-1, ' ', false, Json::error_handler_t::replace)};
}

//-----------------------------------------------------------------------------
// [SECTION] Task part: long tasks on workers
//-----------------------------------------------------------------------------

auto TaskPart::checkSubmit(std::string_view taskId, std::string_view keyHash,
                           const TaskSpec &spec) const -> std::optional<Reply>
{
    const auto &shared = parts_.shared;
    const auto &rules = shared.state.rules();
    const auto *service = rules.service(spec.service);
    const auto *pool = service == nullptr ? nullptr : rules.pool(service->pool);
    if (pool == nullptr || pool->kind != InstanceKind::Worker) {
        return shared.refusal(Outcome::NotRun, "service", spec.service,
                              "there is no such service of workers");
    }
    if (rules.teamOfKeyHash(keyHash) == nullptr) {
        return shared.refusal(Outcome::NotRun, "key", spec.service, "the key isn't granted");
    }
    const auto id = parseRequestId(taskId);
    if (!id.ok()) {
        return shared.refusal(Outcome::NotRun, "request-id", taskId,
                              std::string(id.status().message()));
    }
    const auto age = shared.now.wall - id->generatedAt;
    if (shared.state.task(taskId) == nullptr && age > shared.settings.claims.windowMs) {
        return shared.refusal(Outcome::Unknown, "request-id", taskId, "the id is too old");
    }
    if (const auto *task = shared.state.task(taskId)) {
        if (rules.teamOfKeyHash(keyHash)->name != task->spec.team) {
            return shared.refusal(Outcome::Unknown, "request-id", taskId,
                                  "another team has a task with this id");
        }
    }
    if (shared.state.waitingTasks().size() >= kMaxWaitingTasks
        || batch_.size() >= kMaxUnsentEvents) {
        return shared.refusal(Outcome::NotRun, "queue", spec.service, "too many tasks wait");
    }
    return std::nullopt;
}

auto TaskPart::submit(CallerHandle handle, std::string_view taskId, std::string_view keyHash,
                      TaskSpec spec) -> void
{
    auto &shared = parts_.shared;
    if (auto refused = checkSubmit(taskId, keyHash, spec)) {
        shared.emit(ReplyCaller{handle, *std::move(refused)});
        return;
    }
    spec.team = shared.state.rules().teamOfKeyHash(keyHash)->name;
    pending_.emplace(taskId, PendingReply{handle, shared.now.mono + kSubmitTimeoutMs, false});
    if (shared.state.task(taskId) == nullptr) {
        auto event = TaskEvent{};
        event.taskId = std::string(taskId);
        event.spec = std::move(spec);
        addEvent(std::move(event));
    }
    answerPending();
}

auto TaskPart::cancel(CallerHandle handle, std::string_view taskId, std::string_view keyHash)
    -> void
{
    auto       &shared = parts_.shared;
    const auto *task = shared.state.task(taskId);
    const auto *team = shared.state.rules().teamOfKeyHash(keyHash);
    if (task == nullptr || team == nullptr || team->name != task->spec.team) {
        shared.emit(ReplyCaller{
            handle,
            shared.refusal(Outcome::NotRun, "task", taskId, "there is no such task of this team")});
        return;
    }
    pending_.emplace(taskId, PendingReply{handle, shared.now.mono + kSubmitTimeoutMs, true});
    auto event = TaskEvent{};
    event.kind = TaskEventKind::Cancelled;
    event.taskId = std::string(taskId);
    addEvent(std::move(event));
    answerPending();
}

auto TaskPart::replyTask(CallerHandle handle, const Task &task) -> void
{
    auto reply = Reply{};
    reply.outcome = Outcome::Answered;
    reply.answer = describeTask(task);
    parts_.shared.emit(ReplyCaller{handle, std::move(reply)});
}

// Replies to callers whose submission or cancellation has been read back from the log.
auto TaskPart::answerPending() -> void
{
    auto &shared = parts_.shared;
    std::erase_if(pending_, [&](const auto &entry) {
        const auto &[taskId, pending] = entry;
        const auto *task = shared.state.task(taskId);
        const auto  isDone = task != nullptr
            && (!pending.isCancel || task->isCancelled || task->phase == TaskPhase::Ended);
        if (isDone) {
            replyTask(pending.handle, *task);
        } else if (shared.now.mono >= pending.deadline) {
            shared.emit(ReplyCaller{
                pending.handle,
                shared.refusal(Outcome::Unknown, "log", taskId, "the log hasn't taken it yet")});
        } else {
            return false;
        }
        return true;
    });
}

auto TaskPart::addEvent(TaskEvent event) -> void
{
    batch_.push_back(std::move(event));
}

auto TaskPart::flush() -> void
{
    auto      &shared = parts_.shared;
    const auto isDue = shared.now.mono - lastFlush_ >= shared.settings.tasks.batchMs;
    if (batch_.empty() || !isDue || shared.state.member(shared.self()) == nullptr) {
        return;
    }
    lastFlush_ = shared.now.mono;
    auto       batch = TaskBatch{batchId(++lastBatch_), shared.self(), {}};
    const auto count = std::min(batch_.size(), shared.settings.tasks.maxBatchEvents);
    const auto end = batch_.begin() + static_cast<std::ptrdiff_t>(count);
    batch.events.assign(std::make_move_iterator(batch_.begin()), std::make_move_iterator(end));
    batch_.erase(batch_.begin(), end);
    for (const auto &event : batch.events) {
        const auto proposal = proposed_.find(event.taskId);
        if (event.kind == TaskEventKind::Started && proposal != proposed_.end()) {
            proposal->second.batch = lastBatch_;
        }
    }
    shared.append(batch);
}

auto TaskPart::batchId(std::int64_t number) const -> std::string
{
    return fmt::format("tasks/{}/{}", parts_.shared.self(), number);
}

auto TaskPart::running() const -> std::size_t
{
    return leases_.size() + batch_.size();
}

auto TaskPart::onTick() -> void
{
    const auto now = parts_.shared.now.mono;
    if (now - lastPlacement_ >= kPlacementIntervalMs) {
        lastPlacement_ = now;
        placeTasks();
    }
    processLeases();
    answerPending();
    flush();
}

// Placement

// The owner is the first reachable member, by rank, of the zone in the task's id, or of the fleet
// if that zone has none. Two entries may both consider themselves the owner for a while. The log
// accepts only one of their starts.
auto TaskPart::ownsTask(const Task &task) const -> bool
{
    const auto &shared = parts_.shared;
    const auto  zone = task.id.substr(0, task.id.find('/'));
    for (auto members : {shared.state.membersOf(zone), shared.state.members()}) {
        std::erase_if(members, [&](const Member &member) {
            return member.incarnation != shared.self()
                && !shared.membership.isReachable(member.incarnation, shared.now.mono);
        });
        if (!members.empty()) {
            return rankMembers(members, task.id).front()->incarnation == shared.self();
        }
    }
    return false;
}

// Urgent tasks first, then by the team's running processors divided by its share, then the oldest.
auto TaskPart::sortedWaitingTasks() const -> std::vector<const Task *>
{
    const auto &shared = parts_.shared;
    auto        usage = std::map<std::string_view, double>();
    for (const auto &[id, task] : shared.state.tasks()) {
        const auto *team = shared.state.rules().team(task.spec.team);
        if (task.phase == TaskPhase::Running && team != nullptr) {
            usage[task.spec.team] += static_cast<double>(task.spec.cpus) / team->share;
        }
    }
    auto waiting = std::vector<const Task *>();
    for (const auto &id : shared.state.waitingTasks()) {
        const auto *task = shared.state.task(id);
        if (!proposed_.contains(id) && ownsTask(*task)) {
            waiting.push_back(task);
        }
    }
    std::ranges::sort(waiting, [&](const Task *left, const Task *right) {
        const auto key = [&](const Task *task) {
            return std::tuple(!task->spec.isUrgent, usage[task->spec.team], task->submittedAt);
        };
        return key(left) < key(right);
    });
    return waiting;
}

auto TaskPart::placeTasks() -> void
{
    auto &shared = parts_.shared;
    if (shared.isStopping || shared.membership.logAgeMs(shared.now.mono) > kMaxLogAgeMs) {
        return;
    }
    const auto isOver = [&](const auto &entry) {
        return !shared.state.waitingTasks().contains(entry.first);
    };
    std::erase_if(firstSeenAt_, isOver);
    std::erase_if(nextPreemptionAt_, isOver);
    const auto reservedPools = poolsReservedForUrgent();
    for (const auto *task : sortedWaitingTasks()) {
        firstSeenAt_.try_emplace(task->id, shared.now.mono);
        if (!task->spec.isUrgent && reservedPools.contains(poolOf(*task))) {
            continue;
        }
        if (!parts_.units.mayUseTeam(task->spec.team)) {
            parts_.units.requestUnits(task->spec.team, 1);
            continue;
        }
        const auto now = shared.now.mono;
        const auto isDue = now - firstSeenAt_[task->id] >= shared.settings.tasks.urgentWaitMs
            && now >= nextPreemptionAt_[task->id];
        if (!placeTask(*task) && task->spec.isUrgent && isDue) {
            // Gives this preemption time to take effect.
            nextPreemptionAt_[task->id] = now + kPreemptionIntervalMs;
            preemptFor(*task);
        }
    }
}

auto TaskPart::freeFor(std::string_view worker) const -> Resources
{
    const auto &state = parts_.shared.state;
    auto        free = state.freeAt(worker);
    for (const auto &[taskId, proposal] : proposed_) {
        const auto *task = proposal.worker == worker ? state.task(taskId) : nullptr;
        if (task != nullptr && task->phase == TaskPhase::Waiting) {
            free.add(task->spec, -1);
        }
    }
    return free;
}

auto TaskPart::poolOf(const Task &task) const -> std::string
{
    const auto *service = parts_.shared.state.rules().service(task.spec.service);
    return service == nullptr ? std::string() : service->pool;
}

// While an urgent task waits, free capacity in its pool is reserved for urgent tasks, whichever
// entry owns the task. One that fits nowhere reserves the pool for kUrgentReservationMs only.
auto TaskPart::poolsReservedForUrgent() -> std::set<std::string>
{
    const auto &shared = parts_.shared;
    auto        pools = std::set<std::string>();
    for (const auto &id : shared.state.waitingTasks()) {
        const auto *task = shared.state.task(id);
        if (!task->spec.isUrgent) {
            continue;
        }
        const auto seenAt = firstSeenAt_.try_emplace(id, shared.now.mono).first->second;
        if (shared.now.mono - seenAt < kUrgentReservationMs) {
            pools.insert(poolOf(*task));
        }
    }
    return pools;
}

// Chooses the worker with the fewest free processors that fits the task (best fit), so that large
// tasks find workers with much free capacity.
auto TaskPart::placeTask(const Task &task) -> bool
{
    auto       &shared = parts_.shared;
    const auto *service = shared.state.rules().service(task.spec.service);
    if (service == nullptr) {
        return false;
    }
    const Target *best = nullptr;
    std::int64_t  bestFree = 0;
    std::size_t   considered = 0;
    const auto    failed = failedOn_.find(task.id);
    for (const auto &[name, target] : shared.targets.all()) {
        const auto hasFailed = failed != failedOn_.end() && failed->second.contains(name);
        const auto isUsable = target.pool == service->pool && !hasFailed
            && shared.targets.isUsable(shared.state.rules(), target, shared.now.mono);
        const auto free = freeFor(name);
        if (!isUsable || !free.fits(task.spec)) {
            continue;
        }
        ++considered;
        if (best == nullptr || free.cpus < bestFree) {
            best = &target;
            bestFree = free.cpus;
        }
    }
    if (best == nullptr || !parts_.units.acquireTeamUnit(task.spec.team)) {
        return false;
    }
    proposed_[task.id] = {best->name, task.spec.team, 0};
    auto event = TaskEvent{};
    event.kind = TaskEventKind::Started;
    event.taskId = task.id;
    event.attempt = task.attempt + 1;
    event.worker = best->name;
    addEvent(std::move(event));
    shared.emit(Decision{task.id, task.spec.team, task.spec.service, "place", best->name,
                         "worker with the least free capacity that fits", considered});
    return true;
}

// Preempts repeatable tasks that aren't urgent, on the worker where fewest have to be preempted.
auto TaskPart::preemptFor(const Task &task) -> void
{
    auto       &shared = parts_.shared;
    const auto *service = shared.state.rules().service(task.spec.service);
    auto        byWorker = std::map<std::string_view, std::vector<const Task *>>();
    for (const auto &[id, other] : shared.state.tasks()) {
        const auto *target = shared.targets.find(other.worker);
        const auto  isVictim = other.phase == TaskPhase::Running && !other.spec.isUrgent
            && other.spec.isRepeatable && service != nullptr && target != nullptr
            && target->pool == service->pool
            && shared.targets.mayStart(shared.state.rules(), target->name);
        if (isVictim) {
            byWorker[other.worker].push_back(&other);
        }
    }
    auto best = std::vector<const Task *>();
    for (auto &[worker, victims] : byWorker) {
        std::ranges::sort(victims, std::greater(),
                          [](const Task *victim) { return victim->spec.cpus; });
        auto free = shared.state.freeAt(worker);
        auto chosen = std::vector<const Task *>();
        for (const auto *victim : victims) {
            if (free.fits(task.spec)) {
                break;
            }
            free.add(victim->spec, 1);
            chosen.push_back(victim);
        }
        if (free.fits(task.spec) && (best.empty() || chosen.size() < best.size())) {
            best = std::move(chosen);
        }
    }
    for (const auto *victim : best) {
        if (victim->isPreempted) {
            return; // An earlier preemption is still in progress.
        }
    }
    for (const auto *victim : best) {
        auto event = TaskEvent{};
        event.kind = TaskEventKind::Preempted;
        event.taskId = victim->id;
        addEvent(std::move(event));
        shared.emit(Decision{victim->id, victim->spec.team, victim->spec.service, "preempt",
                             victim->worker, fmt::format("capacity for {}", task.id),
                             byWorker.size()});
    }
}

// Leases

// Turns proposals that the log accepted into leases, and drops the others.
auto TaskPart::onRecordApplied() -> void
{
    auto &shared = parts_.shared;
    for (auto entry = proposed_.begin(); entry != proposed_.end();) {
        const auto &proposal = entry->second;
        const auto *task = shared.state.task(entry->first);
        const auto  isDecided =
            proposal.batch != 0 && shared.state.findOutcome(batchId(proposal.batch)) != nullptr;
        const auto isWaiting = task != nullptr && task->phase == TaskPhase::Waiting;
        if (isWaiting && !isDecided) {
            ++entry;
            continue;
        }
        const auto isOwnStart =
            task != nullptr && task->phase == TaskPhase::Running && task->holder == shared.self();
        if (isOwnStart) {
            auto &lease = leases_[leaseKey(task->id, task->attempt)];
            lease.taskId = task->id;
            lease.attempt = task->attempt;
            lease.team = task->spec.team;
            lease.worker = task->worker;
            lease.checkpoint = task->note;
        } else {
            parts_.units.releaseTeamUnit(proposal.team);
        }
        entry = proposed_.erase(entry);
    }
    answerPending();
}

auto TaskPart::nextCall(const Lease &lease) const -> Call
{
    const auto *task = parts_.shared.state.task(lease.taskId);
    if (!lease.hasStarted) {
        return Call::Start;
    }
    if (task == nullptr || task->isCancelled) {
        return Call::Stop;
    }
    return task->isPreempted || parts_.shared.isStopping ? Call::Checkpoint : Call::Renew;
}

auto TaskPart::processLeases() -> void
{
    auto &shared = parts_.shared;
    auto  expired = std::vector<std::string>();
    for (auto &[key, lease] : leases_) {
        const auto *target = shared.targets.find(lease.worker);
        const auto  hasExpired =
            lease.hasStarted && shared.now.mono >= lease.endsAt + kLateDeliveryMs;
        const auto mayCall =
            shared.mayStartForTeams() && target != nullptr && !target->address.empty();
        const auto wasNeverSent = !lease.hasStarted && !mayCall;
        if (lease.isCalling) {
            continue;
        }
        if (hasExpired || wasNeverSent) {
            expired.push_back(key);
        } else if (mayCall && shared.now.mono >= lease.nextCallAt) {
            startCall(key, lease, nextCall(lease));
        }
    }
    for (const auto &key : expired) {
        failLease(key, "the lease lapsed");
    }
}

auto TaskPart::startCall(const std::string &key, Lease &lease, Call call) -> void
{
    auto &shared = parts_.shared;
    lease.isCalling = true;
    const auto attempt = ++shared.lastAttempt;
    calls_[attempt] = {key, call, lease.worker};
    shared.emit(ConnectTarget{attempt, lease.worker, shared.targets.find(lease.worker)->address});
}

auto TaskPart::onAttemptReady(AttemptId attempt) -> bool
{
    auto      &shared = parts_.shared;
    const auto found = calls_.find(attempt);
    if (found == calls_.end()) {
        return false;
    }
    const auto  key = found->second.leaseKey;
    const auto  call = found->second.call;
    auto       &lease = leases_.at(key);
    const auto *task = shared.state.task(lease.taskId);
    const auto  isStart = call == Call::Start;
    const auto  isLive = task != nullptr && task->phase == TaskPhase::Running
        && task->holder == shared.self() && task->attempt == lease.attempt;
    const auto *team = shared.state.rules().team(lease.team);
    const auto  mayStart = isLive && !task->isCancelled && !shared.isStopping && team != nullptr
        && shared.targets.mayStart(shared.state.rules(), lease.worker);
    if (!shared.mayStartForTeams() || (isStart && !mayStart)) {
        calls_.erase(found);
        lease.isCalling = false;
        shared.emit(DropAttempt{attempt});
        if (isStart) {
            const auto isCancelled = task != nullptr && task->isCancelled;
            endLease(key, isCancelled ? TaskEventKind::Ended : TaskEventKind::Requeued,
                     isCancelled ? "cancelled" : "");
        }
        return true;
    }
    const auto &settings = shared.settings.tasks;
    auto        body = Json{{"lease_ms", settings.leaseMs}};
    if (isStart) {
        body["payload"] = task->spec.payload;
        body["team"] = lease.team;
        body["cpus"] = task->spec.cpus;
        body["memory_mb"] = task->spec.memoryMb;
        body["accelerators"] = task->spec.accelerators;
        body["checkpoint"] = task->note;
        lease.hasStarted = true;
        emitDecision(lease, "lease", "last check passed");
    }
    if (isStart || call == Call::Renew) {
        lease.endsAt = shared.now.mono + settings.leaseMs;
    }
    constexpr std::string_view kSuffix[] = {"", "/renew", "/checkpoint", "/stop"};
    shared.emit(CallTarget{
        attempt, "POST", fmt::format("/leases/{}{}", key, kSuffix[static_cast<std::size_t>(call)]),
        key, "application/json", body.dump(-1, ' ', false, Json::error_handler_t::replace),
        settings.callTimeoutMs});
    return true;
}

auto TaskPart::onAttemptEnd(AttemptId attempt, const AttemptEnd &end) -> bool
{
    auto      &shared = parts_.shared;
    const auto found = calls_.find(attempt);
    if (found == calls_.end()) {
        return false;
    }
    const auto call = found->second;
    calls_.erase(found);
    const auto lease = leases_.find(call.leaseKey);
    if (lease == leases_.end()) {
        return true;
    }
    lease->second.isCalling = false;
    lease->second.nextCallAt = shared.now.mono + shared.settings.tasks.renewMs;
    if (end.kind == AttemptEndKind::Answered) {
        onAnswer(call.leaseKey, call.call, end);
    } else if (call.call == Call::Start && end.kind == AttemptEndKind::NotWritten) {
        shared.targets.noteTaskFailure(call.target, shared.now.mono);
        lease->second.hasStarted = false;
        failLease(call.leaseKey, end.reason);
    } else {
        // Retried until the lease has expired at the worker.
        lease->second.nextCallAt = shared.now.mono + shared.settings.tasks.renewMs / 4;
    }
    return true;
}

auto TaskPart::onAnswer(const std::string &key, Call call, const AttemptEnd &end) -> void
{
    auto      &shared = parts_.shared;
    auto      &lease = leases_.at(key);
    const auto answer = parseWorkerAnswer(end);
    if (!answer.checkpoint.empty()) {
        lease.checkpoint = answer.checkpoint;
    }
    if (answer.state == "done") {
        shared.targets.noteTaskSuccess(lease.worker);
        failedOn_.erase(lease.taskId);
        endLease(key, TaskEventKind::Ended, fmt::format("done: {}", answer.result));
    } else if (answer.state == "stopped" && call == Call::Stop) {
        endLease(key, TaskEventKind::Ended, "cancelled");
    } else if (answer.state == "stopped" && call == Call::Checkpoint) {
        endLease(key, TaskEventKind::Requeued, lease.checkpoint);
    } else if (answer.state != "running") {
        shared.targets.noteTaskFailure(lease.worker, shared.now.mono);
        failedOn_[lease.taskId].insert(lease.worker);
        failLease(key, answer.result.empty() ? answer.state : answer.result);
    } else if (call == Call::Start) {
        emitDecision(lease, "lease", "the worker accepted it");
    }
}

// The attempt ended without a result. Requeues the task, or ends it if it failed on too many
// workers or may have run and must not repeat.
auto TaskPart::failLease(const std::string &key, std::string_view reason) -> void
{
    const auto &lease = leases_.at(key);
    const auto *task = parts_.shared.state.task(lease.taskId);
    const auto  failures = static_cast<std::int64_t>(failedOn_[lease.taskId].size());
    if (failures >= parts_.shared.settings.tasks.maxWorkerFails) {
        failedOn_.erase(lease.taskId);
        endLease(key, TaskEventKind::Ended,
                 fmt::format("failed on {} workers: {}", failures, reason));
    } else if (task != nullptr && !task->spec.isRepeatable && lease.hasStarted) {
        endLease(key, TaskEventKind::Ended, fmt::format("unknown: {}", reason));
    } else {
        endLease(key, TaskEventKind::Requeued, lease.checkpoint);
    }
}

auto TaskPart::endLease(const std::string &key, TaskEventKind kind, std::string note) -> void
{
    const auto lease = leases_.at(key);
    leases_.erase(key);
    parts_.units.releaseTeamUnit(lease.team);
    emitDecision(lease, kind == TaskEventKind::Ended ? "end" : "requeue", note);
    auto event = TaskEvent{};
    event.kind = kind;
    event.taskId = lease.taskId;
    event.attempt = lease.attempt;
    event.note = std::move(note);
    addEvent(std::move(event));
}

auto TaskPart::emitDecision(const Lease &lease, std::string_view step, std::string_view reason)
    -> void
{
    parts_.shared.emit(Decision{lease.taskId, lease.team, "", std::string(step), lease.worker,
                                std::string(reason), 0});
}

} // namespace peridotwalk
