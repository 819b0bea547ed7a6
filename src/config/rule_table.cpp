#include "config/config.h"

#include <fmt/format.h>

namespace peridotwalk {

namespace {

// A reference from one rule to another, by kind and name.
struct Reference {
    std::string_view kind;
    std::string_view name;
};

auto referencesOf(const RuleBody &body) -> std::vector<Reference>
{
    if (const auto *service = std::get_if<ServiceRule>(&body)) {
        return {{"pool", service->pool}};
    }
    if (const auto *key = std::get_if<KeyRule>(&body)) {
        return {{"team", key->team}};
    }
    if (const auto *instance = std::get_if<InstanceRule>(&body)) {
        return {{"zone", instance->zone}, {"pool", instance->pool}};
    }
    if (const auto *plan = std::get_if<PlanRule>(&body)) {
        return {{"pool", plan->pool}};
    }
    return {};
}

template <typename Body>
auto bodyOf(const RuleTable &table, std::string_view kind, std::string_view name) -> const Body *
{
    const auto *found = table.find(fmt::format("{}/{}", kind, name));
    return found == nullptr ? nullptr : std::get_if<Body>(&found->rule.body);
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Rule table
//-----------------------------------------------------------------------------

auto RuleTable::set(Rule rule, Offset version) -> void
{
    erase(rule.key);
    if (const auto *key = std::get_if<KeyRule>(&rule.body)) {
        keyRuleByHash_.try_emplace(key->sha256, rule.key); // The first rule with a hash counts.
    }
    auto ruleKey = rule.key;
    rules_.insert_or_assign(std::move(ruleKey), VersionedRule{std::move(rule), version});
}

auto RuleTable::erase(std::string_view key) -> void
{
    const auto found = rules_.find(key);
    if (found == rules_.end()) {
        return;
    }
    if (const auto *rule = std::get_if<KeyRule>(&found->second.rule.body)) {
        const auto hash = keyRuleByHash_.find(rule->sha256);
        if (hash != keyRuleByHash_.end() && hash->second == key) {
            keyRuleByHash_.erase(hash);
        }
    }
    rules_.erase(found);
}

auto RuleTable::find(std::string_view key) const -> const VersionedRule *
{
    const auto found = rules_.find(key);
    return found == rules_.end() ? nullptr : &found->second;
}

auto RuleTable::zone(std::string_view name) const -> const ZoneRule *
{
    return bodyOf<ZoneRule>(*this, "zone", name);
}

auto RuleTable::pool(std::string_view name) const -> const PoolRule *
{
    return bodyOf<PoolRule>(*this, "pool", name);
}

auto RuleTable::service(std::string_view name) const -> const ServiceRule *
{
    return bodyOf<ServiceRule>(*this, "service", name);
}

auto RuleTable::team(std::string_view name) const -> const TeamRule *
{
    return bodyOf<TeamRule>(*this, "team", name);
}

auto RuleTable::instance(std::string_view name) const -> const InstanceRule *
{
    return bodyOf<InstanceRule>(*this, "instance", name);
}

auto RuleTable::keyRuleOfHash(std::string_view sha256) const -> std::string_view
{
    const auto found = keyRuleByHash_.find(sha256);
    return found == keyRuleByHash_.end() ? std::string_view() : std::string_view(found->second);
}

auto RuleTable::teamOfKeyHash(std::string_view sha256) const -> const TeamRule *
{
    const auto found = keyRuleByHash_.find(sha256);
    if (found == keyRuleByHash_.end()) {
        return nullptr;
    }
    const auto &rule = std::get<KeyRule>(find(found->second)->rule.body);
    return equalsConstantTime(rule.sha256, sha256) ? team(rule.team) : nullptr;
}

auto findRuleConflict(const RuleTable &table, const Rule &rule) -> std::optional<std::string>
{
    if (const auto *key = std::get_if<KeyRule>(&rule.body)) {
        const auto existing = table.keyRuleOfHash(key->sha256);
        if (!existing.empty() && existing != rule.key) {
            return fmt::format("'{}' has this sha256 already", existing);
        }
    }
    for (const auto &reference : referencesOf(rule.body)) {
        if (table.find(fmt::format("{}/{}", reference.kind, reference.name)) == nullptr) {
            return fmt::format("there is no {} '{}'", reference.kind, reference.name);
        }
    }
    return std::nullopt;
}

auto findReferrer(const RuleTable &table, std::string_view key) -> std::optional<std::string>
{
    const auto slash = key.find('/');
    const auto kind = key.substr(0, slash);
    const auto name = key.substr(slash + 1);
    for (const auto &[otherKey, other] : table.all()) {
        for (const auto &reference : referencesOf(other.rule.body)) {
            if (reference.kind == kind && reference.name == name) {
                return otherKey;
            }
        }
    }
    return std::nullopt;
}

//-----------------------------------------------------------------------------
// [SECTION] Differences
//-----------------------------------------------------------------------------

auto diffRules(const RuleTable &table, std::span<const Rule> wanted) -> std::vector<RuleEdit>
{
    auto edits = std::vector<RuleEdit>();
    auto wantedKeys = std::map<std::string_view, bool>();
    for (const auto &rule : wanted) {
        wantedKeys[rule.key] = true;
        const auto *current = table.find(rule.key);
        if (current == nullptr || current->rule.text != rule.text) {
            edits.push_back({rule.key, rule.text, current == nullptr ? 0 : current->version});
        }
    }
    for (const auto &[key, current] : table.all()) {
        if (!wantedKeys.contains(key)) {
            edits.push_back({key, "", current.version});
        }
    }
    return edits;
}

} // namespace peridotwalk
