#include "routing/routing.h"

#include <fmt/format.h>

#include <algorithm>

namespace peridotwalk {

//-----------------------------------------------------------------------------
// [SECTION] Target table
//-----------------------------------------------------------------------------

TargetTable::TargetTable(std::string zone, const RoutingSettings &settings)
    : zone_(std::move(zone)), settings_(settings), policy_(makePolicy(settings.policy))
{
    if (policy_ == nullptr) {
        policy_ = makeHeldSlotPolicy();
    }
}

auto TargetTable::setRules(const RuleTable &rules) -> void
{
    constexpr std::string_view kPrefix = "instance/";
    const auto                &all = rules.all();
    for (auto rule = all.lower_bound(kPrefix); rule != all.end(); ++rule) {
        const auto *instance = std::get_if<InstanceRule>(&rule->second.rule.body);
        if (instance == nullptr) {
            break;
        }
        auto &target = targets_[instance->name];
        target.name = instance->name;
        target.slotName = slotResource(instance->name);
        target.zone = instance->zone;
        target.rack = instance->rack;
        target.pool = instance->pool;
        target.slots = instance->slots;
    }
    std::erase_if(targets_, [&](const auto &entry) {
        return rules.instance(entry.first) == nullptr && entry.second.outstanding == 0;
    });
}

auto TargetTable::setList(std::span<const ListedInstance> list, TimeMs now) -> void
{
    auto listed = std::set<std::string_view>();
    for (const auto &instance : list) {
        listed.insert(instance.name);
        const auto found = targets_.find(instance.name);
        if (found == targets_.end()) {
            continue;
        }
        auto      &target = found->second;
        const auto isNew = !target.isListed || target.address != instance.address;
        if (isNew) {
            target.address = instance.address;
            target.failureRate = 0;
            target.ejectedUntil = 0;
            target.slowStartUntil = now + settings_.slowStartMs;
            announcedLeaving_.erase(target.name);
        }
        target.isListed = true;
        target.isLeaving = instance.isLeaving || announcedLeaving_.contains(target.name);
    }
    for (auto &[name, target] : targets_) {
        target.isListed = target.isListed && listed.contains(name);
    }
}

auto TargetTable::markLeaving(std::string_view target) -> void
{
    const auto found = targets_.find(target);
    if (found != targets_.end()) {
        found->second.isLeaving = true;
        announcedLeaving_.insert(found->first);
    }
}

auto TargetTable::setPeerOutstanding(std::string_view target, std::int64_t outstanding) -> void
{
    const auto found = targets_.find(target);
    if (found != targets_.end()) {
        found->second.peerOutstanding = outstanding;
    }
}

auto TargetTable::noteStart(std::string_view target) -> void
{
    const auto found = targets_.find(target);
    if (found != targets_.end()) {
        ++found->second.outstanding;
    }
}

auto TargetTable::noteEnd(std::string_view target, AttemptResult result, TimeMs latencyMs,
                          TimeMs now) -> void
{
    const auto found = targets_.find(target);
    if (found == targets_.end()) {
        return;
    }
    auto &entry = found->second;
    entry.outstanding = std::max<std::int64_t>(0, entry.outstanding - 1);
    const auto weight = settings_.averageWeight;
    const auto failure = result == AttemptResult::Failed ? 1.0 : 0.0;
    entry.failureRate += weight * (failure - entry.failureRate);
    if (result == AttemptResult::Answered) {
        const auto sample = static_cast<double>(latencyMs);
        entry.latencyMs += entry.latencyMs == 0 ? sample : weight * (sample - entry.latencyMs);
        entry.ejections = now >= entry.slowStartUntil ? 0 : entry.ejections;
        return;
    }
    considerEjection(entry, now);
}

auto TargetTable::noteTaskFailure(std::string_view target, TimeMs now) -> void
{
    const auto found = targets_.find(target);
    if (found != targets_.end()) {
        found->second.failureRate += settings_.averageWeight * (1 - found->second.failureRate);
        considerEjection(found->second, now);
    }
}

auto TargetTable::noteTaskSuccess(std::string_view target) -> void
{
    const auto found = targets_.find(target);
    if (found != targets_.end()) {
        found->second.failureRate -= settings_.averageWeight * found->second.failureRate;
    }
}

// Ejects a target that fails more often than its pool. If all fail alike, the cause is elsewhere.
auto TargetTable::considerEjection(Target &target, TimeMs now) -> void
{
    const auto limit = std::max(settings_.ejectFailureRate, 2 * poolFailureRate(target.pool));
    if (target.failureRate < limit || now < target.ejectedUntil
        || !mayEjectOneMore(target.pool, now)) {
        return;
    }
    const auto doublings = std::min<std::int64_t>(target.ejections, 10);
    const auto durationMs = std::min(settings_.ejectMaxMs, settings_.ejectMs << doublings);
    target.ejectedUntil = now + durationMs;
    target.slowStartUntil = target.ejectedUntil + settings_.slowStartMs;
    target.failureRate = 0;
    ++target.ejections;
}

auto TargetTable::poolFailureRate(std::string_view pool) const -> double
{
    auto sum = 0.0;
    auto count = 0;
    for (const auto &[name, target] : targets_) {
        if (target.pool == pool && target.isListed) {
            sum += target.failureRate;
            ++count;
        }
    }
    return count == 0 ? 0 : sum / count;
}

auto TargetTable::mayEjectOneMore(std::string_view pool, TimeMs now) const -> bool
{
    auto total = 0;
    auto out = 0;
    for (const auto &[name, target] : targets_) {
        if (target.pool == pool && target.isListed) {
            ++total;
            out += now < target.ejectedUntil ? 1 : 0;
        }
    }
    return out + 1 <= total * settings_.ejectMaxFraction;
}

auto TargetTable::usableSlots(const Target &target, TimeMs now) const -> std::int64_t
{
    if (now >= target.slowStartUntil || settings_.slowStartMs <= 0) {
        return target.slots;
    }
    const auto passed = settings_.slowStartMs - (target.slowStartUntil - now);
    return std::clamp<std::int64_t>(target.slots * passed / settings_.slowStartMs, 1, target.slots);
}

auto TargetTable::mayStart(const RuleTable &rules, std::string_view target) const -> bool
{
    const auto *found = find(target);
    const auto *rule = rules.instance(target);
    if (found == nullptr || rule == nullptr || rule->pool != found->pool) {
        return false;
    }
    const auto *zone = rules.zone(rule->zone);
    return found->isListed && !found->isLeaving && !rule->isDraining && zone != nullptr
        && !zone->isOut;
}

auto TargetTable::isUsable(const RuleTable &rules, const Target &target, TimeMs now) const -> bool
{
    return mayStart(rules, target.name) && now >= target.ejectedUntil;
}

auto TargetTable::choose(const RuleTable &rules, std::string_view pool, const UnitLedger &slots,
                         std::span<const std::string> exclude, TimeMs now, Random &random)
    -> std::optional<Choice>
{
    auto candidates = std::vector<Target *>();
    auto slotsFree = std::vector<std::int64_t>();
    for (auto &[name, target] : targets_) {
        const auto isExcluded = std::ranges::find(exclude, name) != exclude.end();
        if (target.pool != pool || isExcluded || !isUsable(rules, target, now)) {
            continue;
        }
        candidates.push_back(&target);
        const auto unusable = target.slots - usableSlots(target, now);
        slotsFree.push_back(slots.free(target.slotName) - unusable);
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    const auto index = policy_->pick({candidates, slotsFree, zone_, random});
    if (!index) {
        return std::nullopt;
    }
    return Choice{candidates[*index]->name, candidates[*index]->address, candidates.size()};
}

auto TargetTable::find(std::string_view target) const -> const Target *
{
    const auto found = targets_.find(target);
    return found == targets_.end() ? nullptr : &found->second;
}

auto TargetTable::leaving() const -> std::vector<std::string>
{
    auto names = std::vector<std::string>();
    for (const auto &[name, target] : targets_) {
        if (target.isLeaving) {
            names.push_back(name);
        }
    }
    return names;
}

auto slotResource(std::string_view target) -> std::string
{
    return fmt::format("slot/{}", target);
}

//-----------------------------------------------------------------------------
// [SECTION] Retry budget
//-----------------------------------------------------------------------------

auto RetryBudget::noteFirstAttempt() -> void
{
    balance_ = std::min(kMaxBalance, balance_ + kRetriesPerAttempt);
}

auto RetryBudget::takeRetry() -> bool
{
    if (balance_ < 1) {
        return false;
    }
    balance_ -= 1;
    return true;
}

} // namespace peridotwalk
