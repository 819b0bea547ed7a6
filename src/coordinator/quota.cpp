#include "coordinator/coordinator.h"

#include <algorithm>

namespace peridotwalk {

namespace {

// A pool gets 1/16 of a tenant's maximum beyond its need, so that small increases don't wait for a round
// trip to the coordinator.
constexpr std::int64_t kHeadroomDivisor = 16;

auto grantAmount(std::int64_t maximum, std::int64_t others, std::int64_t held, std::int64_t used,
                 std::int64_t wanted, bool mayGrow) -> std::int64_t
{
    if (maximum == 0) {
        return 0; // The tenant has no limit, so the pool ignores the allowance.
    }
    // Less than what is used, if the maximum was lowered: a pool with a backlog would use all of it at all times.
    const auto desired = std::min(maximum, used + wanted + maximum / kHeadroomDivisor);
    return std::max<std::int64_t>(
        0, mayGrow ? std::min(desired, maximum - others) : std::min(desired, held));
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Reports and directions
//-----------------------------------------------------------------------------

auto NewestMaxima::learn(std::int64_t version, std::span<const TenantMaximum> maxima) -> void
{
    if (version <= version_ || maxima.empty()) {
        return;
    }
    version_ = version;
    maxima_.clear();
    for (const auto &row : maxima) {
        maxima_[row.tenant] = row.maximum;
    }
}

auto NewestMaxima::find(const Catalog &catalog, std::string_view tenant) const
    -> std::optional<ResourceSet>
{
    if (version_ > catalog.version()) {
        if (const auto found = maxima_.find(tenant); found != maxima_.end()) {
            return found->second;
        }
    }
    const auto *rule = catalog.tenant(tenant);
    return rule == nullptr ? std::nullopt : std::optional(rule->maximum);
}

auto maximaFor(const Catalog &catalog, std::int64_t receiversVersion) -> std::vector<TenantMaximum>
{
    auto maxima = std::vector<TenantMaximum>();
    if (receiversVersion < catalog.version()) {
        for (const auto &rule : catalog.rules().tenants) {
            maxima.push_back({rule.name, rule.maximum});
        }
    }
    return maxima;
}

//-----------------------------------------------------------------------------
// [SECTION] Order of reports
//-----------------------------------------------------------------------------

auto ReportOrder::accept(const PoolReport &report) -> bool
{
    const auto found = last_.find(report.pool);
    if (found == last_.end() && report.coordinator != coordinator_) {
        return false;
    }
    auto      &last = last_[report.pool];
    const auto isNewer =
        report.token == last.token ? report.sequence > last.sequence : report.token > last.token;
    if (isNewer) {
        last = {report.token, report.sequence};
    }
    return isNewer;
}

//-----------------------------------------------------------------------------
// [SECTION] Quota ledger
//-----------------------------------------------------------------------------

auto QuotaLedger::setPools(std::set<std::string> pools) -> void
{
    pools_ = std::move(pools);
}

auto QuotaLedger::isComplete() const -> bool
{
    return std::ranges::all_of(pools_, [&](const auto &pool) { return held_.contains(pool); });
}

auto QuotaLedger::grant(const PoolReport &report, const Catalog &catalog)
    -> std::vector<TenantGrant>
{
    maxima_.learn(report.rulesVersion, report.maxima);
    auto &poolHeld = held_[report.pool];
    for (const auto &tenant : report.tenants) {
        poolHeld[tenant.tenant] = {
            std::max(tenant.allowance.cpu, tenant.used.cpu),
            std::max(tenant.allowance.memoryMb, tenant.used.memoryMb),
            std::max(tenant.allowance.accelerators, tenant.used.accelerators)};
    }
    const auto mayGrow = isComplete();
    auto       grants = std::vector<TenantGrant>();
    for (const auto &tenant : report.tenants) {
        const auto maximum = maxima_.find(catalog, tenant.tenant);
        if (!maximum) {
            continue;
        }
        auto others = ResourceSet{};
        for (const auto &[pool, held] : held_) {
            const auto found = held.find(tenant.tenant);
            if (pool != report.pool && found != held.end()) {
                others += found->second;
            }
        }
        const auto &held = tenant.allowance;
        auto        amount = ResourceSet{};
        amount.cpu = grantAmount(maximum->cpu, others.cpu, held.cpu, tenant.used.cpu,
                                 tenant.wanted.cpu, mayGrow);
        amount.memoryMb = grantAmount(maximum->memoryMb, others.memoryMb, held.memoryMb,
                                      tenant.used.memoryMb, tenant.wanted.memoryMb, mayGrow);
        amount.accelerators =
            grantAmount(maximum->accelerators, others.accelerators, held.accelerators,
                        tenant.used.accelerators, tenant.wanted.accelerators, mayGrow);
        auto &counted = poolHeld[tenant.tenant];
        counted.cpu = std::max(counted.cpu, amount.cpu);
        counted.memoryMb = std::max(counted.memoryMb, amount.memoryMb);
        counted.accelerators = std::max(counted.accelerators, amount.accelerators);
        grants.push_back({tenant.tenant, amount});
    }
    return grants;
}

} // namespace peridotwalk
