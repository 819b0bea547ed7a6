// What operators have put in force: queues, teams and pools, and zones taken out of service.
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

// A queue takes jobs for one pool. The longest path prefix of the host wins.
struct QueueRule {
    std::string  name;
    std::string  host;
    std::string  pathPrefix;
    std::string  pool;
    std::int64_t priority = 0;    // 0 comes first.
    std::int64_t maxAttempts = 1; // Runs of a task that may fail.
    double       stretch = 1;     // Latency objective, as a multiple of the longest chain of work.
    TimeMs       objectiveMs = 0; // Added to that.
    bool         isOpen = false;  // Takes jobs without a key.
    bool         needsAdvice = false;
};

struct TenantRule {
    std::string              name;
    std::vector<std::string> keys;
    double                   weight = 1; // Share of a full fleet.
    ResourceSet              maximum;    // Across all pools. 0 in a component: no limit.
};

struct PoolDefinition {
    std::string name;
    bool        hasAdmissionControl = false; // Workers refuse what doesn't fit.
    bool        isStandby = false;           // Its machines are off until they move.
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

// Rules with look-ups. Replaced whole by each newer version.
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
    auto activePools() const -> std::vector<std::string>; // Those that a queue names. Sorted.

private:
    CatalogRules                                    rules_;
    std::map<std::string, std::size_t, std::less<>> queuesByPath_; // Host, then prefix.
    std::map<std::string, std::size_t, std::less<>> queuesByName_;
    std::map<std::string, std::size_t, std::less<>> tenantsByKey_;
    std::map<std::string, std::size_t, std::less<>> tenantsByName_;
    std::map<std::string, std::size_t, std::less<>> poolsByName_;
};

} // namespace peridotwalk
