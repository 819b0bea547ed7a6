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
        const auto *rule = catalog.tenant(tenant.tenant);
        if (rule == nullptr) {
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
        amount.cpu = grantAmount(rule->maximum.cpu, others.cpu, held.cpu, tenant.used.cpu,
                                 tenant.wanted.cpu, mayGrow);
        amount.memoryMb = grantAmount(rule->maximum.memoryMb, others.memoryMb, held.memoryMb,
                                      tenant.used.memoryMb, tenant.wanted.memoryMb, mayGrow);
        amount.accelerators =
            grantAmount(rule->maximum.accelerators, others.accelerators, held.accelerators,
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
