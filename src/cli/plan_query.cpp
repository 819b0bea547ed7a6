#include "cli/cli.h"
#include "maintenance/maintenance.h"

#include <fmt/format.h>

#include <iostream>

namespace peridotwalk {

namespace {

using Json = nlohmann::json;

constexpr Hours  kHoursPerDay = 24;
constexpr TimeMs kMsPerHour = 3'600'000;

// Returns the pools that have a plan. If a pool has several, the shortest interval and the smallest
// at_once count.
auto plannedPools(const RuleTable &rules) -> std::vector<PlannedPool>
{
    auto pools = std::vector<PlannedPool>();
    for (const auto &[key, versioned] : rules.all()) {
        const auto *plan = std::get_if<PlanRule>(&versioned.rule.body);
        const auto *pool = plan == nullptr ? nullptr : rules.pool(plan->pool);
        if (pool == nullptr) {
            continue;
        }
        const auto found = std::ranges::find(pools, pool->name, &PlannedPool::name);
        if (found == pools.end()) {
            pools.push_back(
                {pool->name, pool->budget, plan->atOnce, plan->everyDays * kHoursPerDay});
        } else {
            found->atOnce = std::min(found->atOnce, plan->atOnce);
            found->everyHours = std::min(found->everyHours, plan->everyDays * kHoursPerDay);
        }
    }
    return pools;
}

auto plannedInstances(const RuleTable &rules, const Json &status) -> std::vector<PlannedInstance>
{
    auto instances = std::vector<PlannedInstance>();
    for (const auto &target : status.at("targets")) {
        const auto *rule = rules.instance(target.at("name").get<std::string>());
        if (rule == nullptr) {
            continue;
        }
        const auto *zone = rules.zone(rule->zone);
        const auto  isLost = !target.at("listed").get<bool>() || zone == nullptr || zone->isOut;
        const auto  isOut = rule->isDraining || target.at("leaving").get<bool>();
        instances.push_back({rule->name, rule->pool, rule->zone, rule->rack, isLost, isOut,
                             rule->maintainedDay * kHoursPerDay});
    }
    return instances;
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Queries
//-----------------------------------------------------------------------------

auto printPlan(OperatorClient &client, bool isJson) -> int
{
    const auto rules = client.fetchRules();
    const auto status = client.get("/v1/status");
    if (!rules.ok() || !status.ok()) {
        std::cerr << (rules.ok() ? status.status() : rules.status()).message() << '\n';
        return kExitNoEntry;
    }
    const auto plan =
        planWave(plannedInstances(*rules, *status), plannedPools(*rules), wallMs() / kMsPerHour);
    auto json = Json{{"take", plan.toDrain}, {"held", Json::array()}};
    for (const auto &held : plan.held) {
        json["held"].push_back({{"pool", held.pool}, {"reason", held.reason}});
    }
    if (isJson) {
        std::cout << json.dump(2) << '\n';
        return kExitDone;
    }
    for (const auto &instance : plan.toDrain) {
        std::cout << "take " << instance << '\n';
    }
    for (const auto &held : plan.held) {
        std::cout << fmt::format("hold pool {}: {}\n", held.pool, held.reason);
    }
    if (plan.toDrain.empty() && plan.held.empty()) {
        std::cout << "nothing is due\n";
    }
    return kExitDone;
}

} // namespace peridotwalk
