#include "fleet/fleet.h"

#include <fmt/format.h>

#include <algorithm>

namespace peridotwalk {

namespace {

auto rejected(std::string reason) -> ApplyResult
{
    return {false, std::move(reason)};
}

constexpr auto kApplied = true;

// The pool or zone of an instance changes only while it drains, so that no entry still sends it work of
// the old one.
auto isUnsafeMove(const RuleTable &table, const Rule &rule) -> bool
{
    const auto *wanted = std::get_if<InstanceRule>(&rule.body);
    const auto *present = wanted == nullptr ? nullptr : table.instance(wanted->name);
    if (present == nullptr || present->isDraining) {
        return false;
    }
    return present->pool != wanted->pool || present->zone != wanted->zone;
}

auto byRank(std::string_view key) -> auto
{
    return [key](const Member *left, const Member *right) {
        const auto leftScore = stableHash(left->incarnation, stableHash(key));
        const auto rightScore = stableHash(right->incarnation, stableHash(key));
        if (leftScore != rightScore) {
            return leftScore > rightScore;
        }
        return left->incarnation < right->incarnation;
    };
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Members
//-----------------------------------------------------------------------------

auto rankMembers(std::span<const Member> members, std::string_view key)
    -> std::vector<const Member *>
{
    auto ranked = std::vector<const Member *>();
    ranked.reserve(members.size());
    for (const auto &member : members) {
        ranked.push_back(&member);
    }
    std::ranges::sort(ranked, byRank(key));
    return ranked;
}

//-----------------------------------------------------------------------------
// [SECTION] Fleet state
//-----------------------------------------------------------------------------

auto FleetState::apply(Offset offset, const Record &record) -> ApplyResult
{
    if (offset <= applied_) {
        return rejected("the offset was applied before");
    }
    const auto id = recordId(record);
    if (findOutcome(id) != nullptr) {
        applied_ = offset;
        return rejected("the record id was seen before");
    }
    auto result = std::visit([&](const auto &body) { return applyBody(offset, body); }, record);
    applied_ = offset;
    rememberOutcome(id, result);
    return result;
}

auto FleetState::skip(Offset offset) -> void
{
    applied_ = std::max(applied_, offset);
}

auto FleetState::members() const -> std::vector<Member>
{
    auto found = std::vector<Member>();
    for (const auto &[incarnation, member] : members_) {
        found.push_back(member);
    }
    return found;
}

auto FleetState::membersOf(std::string_view zone) const -> std::vector<Member>
{
    auto found = members();
    std::erase_if(found, [&](const Member &member) { return member.zone != zone; });
    return found;
}

auto FleetState::member(std::string_view incarnation) const -> const Member *
{
    const auto found = members_.find(incarnation);
    return found == members_.end() ? nullptr : &found->second;
}

auto FleetState::isRemoved(std::string_view incarnation) const -> bool
{
    return removed_.contains(Incarnation(incarnation));
}

auto FleetState::zoneEpoch(std::string_view zone) const -> Offset
{
    const auto found = zoneEpochs_.find(zone);
    return found == zoneEpochs_.end() ? 0 : found->second;
}

auto FleetState::grantsOf(std::string_view team) const -> const TeamGrants *
{
    const auto found = teams_.find(team);
    return found == teams_.end() ? nullptr : &found->second;
}

auto FleetState::grant(std::string_view team, std::string_view incarnation) const -> std::int64_t
{
    const auto *grants = grantsOf(team);
    if (grants == nullptr) {
        return 0;
    }
    const auto found = grants->grants.find(Incarnation(incarnation));
    return found == grants->grants.end() ? 0 : found->second;
}

auto FleetState::task(std::string_view id) const -> const Task *
{
    const auto found = tasks_.find(id);
    return found == tasks_.end() ? nullptr : &found->second;
}

auto FleetState::findOutcome(std::string_view recordId) const -> const ApplyResult *
{
    const auto found = outcomes_.find(std::string(recordId));
    return found == outcomes_.end() ? nullptr : &found->second;
}

auto FleetState::rememberOutcome(std::string_view id, const ApplyResult &result) -> void
{
    outcomes_.emplace(id, result);
    outcomeOrder_.emplace_back(id);
    if (outcomeOrder_.size() > kMaxSeenRecordIds) {
        outcomes_.erase(outcomeOrder_.front());
        outcomeOrder_.pop_front();
    }
}

// Configuration

auto FleetState::checkEdits(std::span<const RuleEdit> edits, std::vector<Rule> &rules) const
    -> ApplyResult
{
    for (const auto &edit : edits) {
        const auto *present = rules_.find(edit.key);
        const auto  version = present == nullptr ? 0 : present->version;
        if (version != edit.base) {
            return rejected(fmt::format("conflict on '{}': made against version {}, in force is {}",
                                        edit.key, edit.base, version));
        }
        if (edit.line.empty()) {
            continue;
        }
        auto parsed = parseRule(edit.line, 1);
        if (const auto *error = std::get_if<RuleError>(&parsed)) {
            return rejected(formatRuleError(*error));
        }
        auto &rule = std::get<Rule>(parsed);
        if (rule.key != edit.key) {
            return rejected(fmt::format("the line sets '{}', not '{}'", rule.key, edit.key));
        }
        if (isUnsafeMove(rules_, rule)) {
            return rejected(fmt::format("'{}' has to drain before it moves", rule.key));
        }
        rules.push_back(std::move(rule));
    }
    return {kApplied};
}

auto FleetState::checkReferences(std::span<const RuleEdit> edits) const -> ApplyResult
{
    for (const auto &edit : edits) {
        const auto *present = rules_.find(edit.key);
        const auto  conflict =
            present == nullptr ? std::nullopt : findRuleConflict(rules_, present->rule);
        if (conflict) {
            return rejected(fmt::format("'{}': {}", edit.key, *conflict));
        }
        const auto referrer = present == nullptr ? findReferrer(rules_, edit.key) : std::nullopt;
        if (referrer) {
            return rejected(fmt::format("'{}' is still used by '{}'", edit.key, *referrer));
        }
    }
    return {kApplied};
}

// Erases all edited rules, then sets those that have a new line.
auto FleetState::setRules(std::span<const RuleEdit> edits, std::span<const Rule> rules,
                          Offset offset) -> void
{
    for (const auto &edit : edits) {
        rules_.erase(edit.key);
    }
    for (const auto &rule : rules) {
        rules_.set(rule, offset);
    }
}

auto FleetState::applyBody(Offset offset, const ConfigChange &change) -> ApplyResult
{
    auto rules = std::vector<Rule>();
    auto checked = checkEdits(change.edits, rules);
    if (!checked.isApplied) {
        return checked;
    }
    auto previous = std::vector<VersionedRule>();
    for (const auto &edit : change.edits) {
        if (const auto *present = rules_.find(edit.key)) {
            previous.push_back(*present);
        }
    }
    setRules(change.edits, rules, offset);
    checked = checkReferences(change.edits);
    if (!checked.isApplied) {
        setRules(change.edits, {}, offset);
        for (auto &rule : previous) {
            rules_.set(std::move(rule.rule), rule.version);
        }
        return checked;
    }
    for (const auto &edit : change.edits) {
        if (edit.key.starts_with("team/")) {
            const auto  name = edit.key.substr(std::string_view("team/").size());
            const auto *team = rules_.team(name);
            setLimit(name, team == nullptr ? 0 : team->limit, offset);
        }
    }
    return {kApplied};
}

// Membership

auto FleetState::applyBody(Offset offset, const MemberJoin &join) -> ApplyResult
{
    const auto &incarnation = join.member.incarnation;
    if (members_.contains(incarnation) || isRemoved(incarnation)) {
        return rejected("this incarnation was a member before");
    }
    auto member = join.member;
    member.joinedAt = offset;
    member.joinedAfter = zoneEpoch(member.zone);
    member.suspectedAt = 0;
    zoneEpochs_[member.zone] = offset;
    members_.emplace(incarnation, std::move(member));
    for (auto &[team, grants] : teams_) {
        distributePot(team, grants);
    }
    return {kApplied};
}

auto FleetState::applyBody(Offset offset, const MemberSuspect &suspect) -> ApplyResult
{
    const auto found = members_.find(suspect.incarnation);
    if (found == members_.end()) {
        return rejected("the suspected entry is no member");
    }
    if (found->second.suspectedAt != 0) {
        return rejected("the entry is suspected already");
    }
    found->second.suspectedAt = offset;
    return {kApplied};
}

auto FleetState::applyBody(Offset /*offset*/, const MemberRefute &refute) -> ApplyResult
{
    const auto found = members_.find(refute.incarnation);
    if (found == members_.end() || found->second.suspectedAt == 0) {
        return rejected("there is no suspicion to refute");
    }
    found->second.suspectedAt = 0;
    return {kApplied};
}

auto FleetState::applyBody(Offset offset, const MemberRemove &removal) -> ApplyResult
{
    const auto found = members_.find(removal.incarnation);
    if (found == members_.end()) {
        return rejected("the entry is no member");
    }
    const auto isUnsuspected =
        found->second.suspectedAt == 0 || found->second.suspectedAt != removal.suspicion;
    if (removal.reason == RemovalReason::Silent && isUnsuspected) {
        return rejected("the suspicion was refuted");
    }
    zoneEpochs_[found->second.zone] = offset;
    members_.erase(found);
    auto &entry = removed_[removal.incarnation];
    entry.incarnation = removal.incarnation;
    removalOrder_.push_back(removal.incarnation);
    for (const auto &[incarnation, member] : members_) {
        entry.awaiting.insert(incarnation);
    }
    for (auto &[incarnation, other] : removed_) {
        other.awaiting.erase(removal.incarnation);
    }
    requeueTasksOf(removal.incarnation);
    reclaimRemovedGrants();
    return {kApplied};
}

auto FleetState::applyBody(Offset /*offset*/, const MemberSettle &settle) -> ApplyResult
{
    const auto found = removed_.find(settle.gone);
    if (found == removed_.end() || !found->second.awaiting.contains(settle.by)) {
        return rejected("nothing is left to settle");
    }
    for (const auto &flow : settle.flows) {
        auto      &grants = teams_[flow.team].grants;
        const auto net = flow.received - flow.sent;
        grants[settle.by] += net;
        grants[settle.gone] -= net;
    }
    found->second.awaiting.erase(settle.by);
    reclaimRemovedGrants();
    return {kApplied};
}

// Limits

auto FleetState::setLimit(const std::string &team, std::int64_t limit, Offset offset) -> void
{
    auto &grants = teams_[team];
    if (limit < grants.limit) {
        grants.loweredAt = offset;
    }
    grants.pot += limit - grants.limit;
    grants.limit = limit;
    distributePot(team, grants);
}

// Distributes ungranted units evenly, and the remainder to the first members in the team's rank order.
auto FleetState::distributePot(const std::string &team, TeamGrants &grants) -> void
{
    if (members_.empty() || grants.pot == 0) {
        return;
    }
    const auto everyone = members();
    const auto ranked = rankMembers(everyone, team);
    const auto count = static_cast<std::int64_t>(ranked.size());
    const auto sign = grants.pot < 0 ? -1 : 1;
    const auto even = grants.pot / count;
    auto       remainder = (grants.pot % count) * sign;
    for (const auto *member : ranked) {
        grants.grants[member->incarnation] += even + (remainder > 0 ? sign : 0);
        --remainder;
    }
    grants.pot = 0;
}

// Reclaims the grants of removed members, all together: units may have moved between two of them.
auto FleetState::reclaimRemovedGrants() -> void
{
    const auto isSettled = std::ranges::all_of(
        removed_, [](const auto &entry) { return entry.second.awaiting.empty(); });
    if (!isSettled) {
        return;
    }
    for (auto &[team, grants] : teams_) {
        for (auto entry = grants.grants.begin(); entry != grants.grants.end();) {
            if (!isRemoved(entry->first)) {
                ++entry;
                continue;
            }
            grants.pot += entry->second;
            entry = grants.grants.erase(entry);
        }
        distributePot(team, grants);
    }
    pruneRemoved();
}

auto FleetState::pruneRemoved() -> void
{
    while (removalOrder_.size() > kMaxRemovedMembers) {
        removed_.erase(removalOrder_.front());
        removalOrder_.pop_front();
    }
}

// Long tasks

auto FleetState::applyBody(Offset offset, const TaskBatch &batch) -> ApplyResult
{
    if (!members_.contains(batch.by)) {
        return rejected("the writer is no member");
    }
    for (const auto &event : batch.events) {
        applyTaskEvent(offset, batch.by, event);
    }
    return {kApplied};
}

auto FleetState::applyTaskEvent(Offset offset, const Incarnation &by, const TaskEvent &event)
    -> void
{
    const auto found = tasks_.find(event.taskId);
    if (event.kind == TaskEventKind::Submitted) {
        if (found == tasks_.end() && tasks_.size() < kMaxWaitingTasks + kMaxEndedTasks) {
            auto &task = tasks_[event.taskId];
            task.id = event.taskId;
            task.spec = event.spec;
            task.submittedAt = offset;
            setPhase(task, TaskPhase::Waiting);
        }
        return;
    }
    if (found == tasks_.end() || found->second.phase == TaskPhase::Ended) {
        return;
    }
    auto      &task = found->second;
    const auto isHeld =
        task.phase == TaskPhase::Running && task.holder == by && task.attempt == event.attempt;
    const auto mayStart = task.phase == TaskPhase::Waiting && event.attempt == task.attempt + 1;
    if (event.kind == TaskEventKind::Started && mayStart && freeAt(event.worker).fits(task.spec)) {
        task.attempt = event.attempt;
        task.holder = by;
        task.worker = event.worker;
        setPhase(task, TaskPhase::Running);
    } else if (event.kind == TaskEventKind::Requeued && isHeld) {
        task.note = event.note.empty() ? task.note : event.note;
        setPhase(task, TaskPhase::Waiting);
    } else if (event.kind == TaskEventKind::Ended && (isHeld || task.phase == TaskPhase::Waiting)) {
        endTask(task, event.note);
    } else if (event.kind == TaskEventKind::Preempted) {
        task.isPreempted = task.phase == TaskPhase::Running;
    } else if (event.kind == TaskEventKind::Cancelled) {
        task.isCancelled = true;
    }
    if (task.isCancelled && task.phase == TaskPhase::Waiting) {
        endTask(task, "cancelled");
    }
}

// Also updates the indexes of waiting tasks and of resources in use on each worker.
auto FleetState::setPhase(Task &task, TaskPhase phase) -> void
{
    if (task.phase == TaskPhase::Running) {
        workerUse_[task.worker].add(task.spec, -1);
    }
    task.phase = phase;
    task.isPreempted = false;
    if (phase == TaskPhase::Running) {
        workerUse_[task.worker].add(task.spec, 1);
    } else {
        task.holder.clear();
    }
    if (phase == TaskPhase::Waiting) {
        waitingTasks_.insert(task.id);
    } else {
        waitingTasks_.erase(task.id);
    }
}

auto FleetState::endTask(Task &task, std::string note) -> void
{
    setPhase(task, TaskPhase::Ended);
    task.note = std::move(note);
    task.spec.payload.clear();
    endedTasks_.push_back(task.id);
    if (endedTasks_.size() > kMaxEndedTasks) {
        tasks_.erase(endedTasks_.front());
        endedTasks_.pop_front();
    }
}

auto FleetState::indexTasks() -> void
{
    for (const auto &[id, task] : tasks_) {
        if (task.phase == TaskPhase::Waiting) {
            waitingTasks_.insert(id);
        } else if (task.phase == TaskPhase::Running) {
            workerUse_[task.worker].add(task.spec, 1);
        }
    }
}

auto FleetState::freeAt(std::string_view worker) const -> Resources
{
    const auto *rule = rules_.instance(worker);
    if (rule == nullptr) {
        return {};
    }
    auto       free = Resources{rule->cpus, rule->memoryMb, rule->accelerators};
    const auto used = workerUse_.find(worker);
    if (used != workerUse_.end()) {
        free.cpus -= used->second.cpus;
        free.memoryMb -= used->second.memoryMb;
        free.accelerators -= used->second.accelerators;
    }
    return free;
}

auto Resources::fits(const TaskSpec &spec) const -> bool
{
    return spec.cpus <= cpus && spec.memoryMb <= memoryMb && spec.accelerators <= accelerators;
}

auto Resources::add(const TaskSpec &spec, std::int64_t times) -> void
{
    cpus += times * spec.cpus;
    memoryMb += times * spec.memoryMb;
    accelerators += times * spec.accelerators;
}

// The leases of a removed holder have expired, so its tasks have stopped at the workers. A task that
// must not be repeated ends as unknown; the others wait again.
auto FleetState::requeueTasksOf(const Incarnation &holder) -> void
{
    auto orphans = std::vector<std::string>();
    for (const auto &[id, task] : tasks_) {
        if (task.phase == TaskPhase::Running && task.holder == holder) {
            orphans.push_back(id);
        }
    }
    for (const auto &id : orphans) {
        auto &task = tasks_.at(id);
        setPhase(task, TaskPhase::Waiting);
        if (!task.spec.isRepeatable) {
            endTask(task, "unknown: its entry was lost");
        } else if (task.isCancelled) {
            endTask(task, "cancelled");
        }
    }
}

auto FleetState::applyBody(Offset offset, const Snapshot & /*snapshot*/) -> ApplyResult
{
    lastSnapshot_ = offset;
    return rejected("a snapshot only serves an entry that starts");
}

} // namespace peridotwalk
