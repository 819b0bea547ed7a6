#include "catalog/catalog.h"

namespace peridotwalk {

namespace {

template <typename Rule>
auto findRule(const std::map<std::string, std::size_t, std::less<>> &index, std::string_view name,
              const std::vector<Rule> &rules) -> const Rule *
{
    const auto found = index.find(name);
    return found == index.end() ? nullptr : &rules[found->second];
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Catalog
//-----------------------------------------------------------------------------

Catalog::Catalog(CatalogRules rules) : rules_(std::move(rules))
{
    for (std::size_t index = 0; index < rules_.queues.size(); ++index) {
        const auto &queue = rules_.queues[index];
        queuesByPath_[queue.host + queue.pathPrefix] = index;
        queuesByName_[queue.name] = index;
        activePools_.insert(queue.pool);
    }
    for (std::size_t index = 0; index < rules_.tenants.size(); ++index) {
        tenantsByName_[rules_.tenants[index].name] = index;
        for (const auto &key : rules_.tenants[index].keys) {
            tenantsByKey_[key] = index;
        }
    }
    for (std::size_t index = 0; index < rules_.pools.size(); ++index) {
        poolsByName_[rules_.pools[index].name] = index;
    }
}

// Tries ever shorter prefixes, so that the cost depends on the length of the path, not on the number of
// queues.
auto Catalog::findQueue(std::string_view host, std::string_view path) const -> const QueueRule *
{
    auto text = std::string(host) + std::string(path);
    while (text.size() > host.size()) {
        if (const auto *queue = findRule(queuesByPath_, text, rules_.queues)) {
            return queue;
        }
        text.pop_back();
    }
    return nullptr;
}

auto Catalog::queue(std::string_view name) const -> const QueueRule *
{
    return findRule(queuesByName_, name, rules_.queues);
}

auto Catalog::tenantOfKey(std::string_view key) const -> const TenantRule *
{
    return findRule(tenantsByKey_, key, rules_.tenants);
}

auto Catalog::tenant(std::string_view name) const -> const TenantRule *
{
    return findRule(tenantsByName_, name, rules_.tenants);
}

auto Catalog::pool(std::string_view name) const -> const PoolDefinition *
{
    return findRule(poolsByName_, name, rules_.pools);
}

auto Catalog::activePools() const -> std::vector<std::string>
{
    return {activePools_.begin(), activePools_.end()};
}

auto Catalog::isActive(std::string_view pool) const -> bool
{
    return activePools_.contains(pool);
}

auto Catalog::declaredPools() const -> std::set<std::string>
{
    auto names = std::set<std::string>(activePools_.begin(), activePools_.end());
    for (const auto &pool : rules_.pools) {
        names.insert(pool.name);
    }
    return names;
}

} // namespace peridotwalk
