// The active configuration from the operators: queues, tenants and pools.
//
// Index of this file
// [SECTION] Rules
// [SECTION] Catalog

#pragma once

#include "jobs/jobs.h"

#include <set>

namespace peridotwalk {

//-----------------------------------------------------------------------------
// [SECTION] Rules
//-----------------------------------------------------------------------------

// A queue accepts jobs for one pool. If several match a request, the longest path prefix wins.
struct QueueRule {
    std::string  name;
    std::string  host;
    std::string  pathPrefix;
    std::string  pool;
    std::int64_t priority = 0;    // 0 is the highest; larger numbers come later.
    std::int64_t maxAttempts = 1; // A task has failed for good after that many failed runs.
    double stretch = 1; // Latency objective: stretch * critical path of the job + objectiveMs.
    TimeMs objectiveMs = 0;
    bool   isOpen = false;      // Accepts jobs without a key.
    bool   needsAdvice = false; // The platform has advice on starts. Not used.
};

struct TenantRule {
    std::string              name;
    std::vector<std::string> keys;       // API keys, in clear text.
    double                   weight = 1; // Relative share of a full pool.
    ResourceSet              maximum; // In use at a time, across all pools. Component 0: no limit.
};

struct PoolDefinition {
    std::string name;
    bool        hasAdmissionControl = false; // Its workers refuse what doesn't fit. Not used.
    bool        isStandby = false; // Its machines are off until they are moved to another pool.
};

struct CatalogRules {
    std::int64_t                version = 0;
    std::vector<QueueRule>      queues;
    std::vector<TenantRule>     tenants;
    std::vector<PoolDefinition> pools;
};

//-----------------------------------------------------------------------------
// [SECTION] Catalog
//-----------------------------------------------------------------------------

// Immutable index of the rules. A newer version replaces the whole object.
class Catalog
{
public:
    Catalog() = default;
    explicit Catalog(CatalogRules rules);

    // Queries.
    auto rules() const -> const CatalogRules & { return rules_; }
    auto version() const -> std::int64_t { return rules_.version; }
    auto findQueue(std::string_view host, std::string_view path) const -> const QueueRule *;
    auto queue(std::string_view name) const -> const QueueRule *;
    auto tenantOfKey(std::string_view key) const -> const TenantRule *;
    auto tenant(std::string_view name) const -> const TenantRule *;
    auto pool(std::string_view name) const -> const PoolDefinition *;
    auto activePools() const -> std::vector<std::string>; // Pools that have a queue, sorted.
    auto isActive(std::string_view pool) const -> bool;   // The pool has a queue.
    auto declaredPools() const -> std::set<std::string>;  // Also those that have no queue.

private:
    CatalogRules                                    rules_;
    std::map<std::string, std::size_t, std::less<>> queuesByPath_; // Key: host and path prefix.
    std::map<std::string, std::size_t, std::less<>> queuesByName_;
    std::map<std::string, std::size_t, std::less<>> tenantsByKey_;
    std::map<std::string, std::size_t, std::less<>> tenantsByName_;
    std::map<std::string, std::size_t, std::less<>> poolsByName_;
    std::set<std::string, std::less<>>              activePools_;
};

} // namespace peridotwalk
