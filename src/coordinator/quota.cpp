#include "coordinator/coordinator.h"

#include <algorithm>

namespace peridotwalk {

namespace {

// A pool gets at most 1/16 of a tenant's maximum beyond its need, so that small increases don't wait for a round
// trip to the coordinator. Together they get at most half of what no pool needs.
constexpr std::int64_t kHeadroomDivisor = 16;
constexpr std::int64_t kSpareDivisor = 2;

constexpr auto kResources =
    std::to_array({&ResourceSet::cpu, &ResourceSet::memoryMb, &ResourceSet::accelerators});

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
    return std::ranges::all_of(pools_, [&](const auto &pool) { return shares_.contains(pool); });
}

auto QuotaLedger::grantAmount(const Claim &claim, bool mayGrow) -> std::int64_t
{
    if (claim.maximum == 0) {
        return 0; // The tenant has no limit, so the pool ignores the allowance.
    }
    const auto headroom =
        std::min(claim.maximum / kHeadroomDivisor, claim.spare / (kSpareDivisor * claim.pools));
    // Tasks that lack room get the same part of their need in each pool. Pools request workers for them.
    const auto rest = claim.spare - headroom * claim.pools;
    const auto part = claim.allRoomless <= rest
        ? 1.0
        : static_cast<double>(rest) / static_cast<double>(claim.allRoomless);
    const auto forRoomless = static_cast<std::int64_t>(part * static_cast<double>(claim.roomless));
    // Less than what is used, if the maximum was lowered: a pool with a backlog would use all of it at all times.
    const auto desired =
        std::min(claim.maximum, claim.used + claim.placeable + headroom + forRoomless);
    return std::max<std::int64_t>(0,
                                  mayGrow ? std::min(desired, claim.maximum - claim.others)
                                          : std::min(desired, claim.held));
}

// Returns whether the amount allows another task to start, as far as this resource limits it.
auto QuotaLedger::canUseMore(const Claim &claim, std::int64_t amount) -> bool
{
    return claim.maximum == 0 || claim.placeable == 0 || amount - claim.used >= claim.least;
}

auto QuotaLedger::grant(const PoolReport &report, const Catalog &catalog)
    -> std::vector<TenantGrant>
{
    maxima_.learn(report.rulesVersion, report.maxima);
    auto &shares = shares_[report.pool];
    for (const auto &tenant : report.tenants) {
        auto &share = shares[tenant.tenant];
        for (const auto resource : kResources) {
            share.held.*resource = std::max(tenant.allowance.*resource, tenant.used.*resource);
            share.needed.*resource = tenant.used.*resource + tenant.placeable.*resource;
            share.roomless.*resource = tenant.wanted.*resource - tenant.placeable.*resource;
        }
    }
    const auto mayGrow = isComplete();
    auto       grants = std::vector<TenantGrant>();
    for (const auto &tenant : report.tenants) {
        const auto maximum = maxima_.find(catalog, tenant.tenant);
        if (!maximum) {
            continue;
        }
        auto others = ResourceSet{};
        auto needed = ResourceSet{};
        auto roomless = ResourceSet{};
        auto pools = std::int64_t{0};
        for (const auto &[pool, tenants] : shares_) {
            const auto found = tenants.find(tenant.tenant);
            if (found == tenants.end()) {
                continue;
            }
            ++pools;
            needed += found->second.needed;
            roomless += found->second.roomless;
            if (pool != report.pool) {
                others += found->second.held;
            }
        }
        auto amount = ResourceSet{};
        auto isOfUse = true;
        for (const auto resource : kResources) {
            auto claim = Claim{};
            claim.maximum = (*maximum).*resource;
            claim.others = others.*resource;
            claim.spare = std::max<std::int64_t>(0, claim.maximum - needed.*resource);
            claim.pools = pools;
            claim.allRoomless = roomless.*resource;
            claim.roomless = shares.at(tenant.tenant).roomless.*resource;
            claim.held = tenant.allowance.*resource;
            claim.used = tenant.used.*resource;
            claim.placeable = tenant.placeable.*resource;
            claim.least = tenant.least.*resource;
            amount.*resource = grantAmount(claim, mayGrow);
            isOfUse = isOfUse && canUseMore(claim, amount.*resource);
        }
        auto &held = shares[tenant.tenant].held;
        for (const auto resource : kResources) {
            // What isn't enough for a task is left to other pools.
            amount.*resource =
                isOfUse ? amount.*resource : std::min(amount.*resource, tenant.used.*resource);
            held.*resource = std::max(held.*resource, amount.*resource);
        }
        grants.push_back({tenant.tenant, amount});
    }
    return grants;
}

} // namespace peridotwalk
