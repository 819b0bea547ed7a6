#include "pool/fair_share.h"

#include <algorithm>
#include <cmath>

namespace peridotwalk {

namespace {

// Time constant of the decay. Tasks take 0.5 to 2 s, so a tenant is charged for about its last runs, and a surge
// of seconds is forgotten as soon after it.
constexpr double kDecayMs = 2'000;
constexpr double kForgottenCpu = 1; // An average below a thousandth of a core is dropped.

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Fair share
//-----------------------------------------------------------------------------

auto FairShare::setWeights(std::map<std::string, double, std::less<>> weights) -> void
{
    const auto isValid = [](double weight) { return std::isfinite(weight) && weight > 0; };
    auto       smallest = 0.0; // 0: no weight is valid.
    for (const auto &[tenant, weight] : weights) {
        if (isValid(weight)) {
            smallest = smallest > 0 ? std::min(smallest, weight) : weight;
        }
    }
    for (auto &[tenant, weight] : weights) {
        if (!isValid(weight)) {
            weight = smallest > 0 ? smallest : 1;
        }
    }
    weights_ = std::move(weights);
}

auto FairShare::setUsage(TimeMs nowMs, const std::map<std::string, std::int64_t> &cpu) -> void
{
    const auto passedMs = static_cast<double>(std::max<TimeMs>(0, nowMs - updatedAt_));
    const auto part = 1 - std::exp(-passedMs / kDecayMs);
    updatedAt_ = nowMs;
    for (auto &[tenant, usage] : usages_) {
        usage.average += part * (usage.now - usage.average);
        usage.now = 0;
    }
    for (const auto &[tenant, amount] : cpu) {
        if (amount > 0) {
            usages_[tenant].now = static_cast<double>(amount);
        }
    }
    std::erase_if(usages_, [](const auto &item) {
        return item.second.now <= 0 && item.second.average < kForgottenCpu;
    });
}

auto FairShare::weight(std::string_view tenant) const -> double
{
    const auto found = weights_.find(tenant);
    return found == weights_.end() ? 1 : found->second;
}

auto FairShare::usage(std::string_view tenant) const -> double
{
    const auto found = usages_.find(tenant);
    return found == usages_.end() ? 0 : std::max(found->second.now, found->second.average);
}

auto FairShare::findOverShare(std::span<const ShareClaim> claims, std::int64_t capacityCpu) const
    -> std::vector<bool>
{
    auto used = std::map<std::string_view, double>(); // Of tenants that use or claim some.
    for (const auto &[tenant, amount] : usages_) {
        used[tenant] = usage(tenant);
    }
    for (const auto &claim : claims) {
        used.try_emplace(claim.tenant, 0);
    }
    auto weights = 0.0;
    for (const auto &[tenant, amount] : used) {
        weights += weight(tenant);
    }
    auto isOver = std::vector<bool>();
    isOver.reserve(claims.size());
    for (const auto &claim : claims) {
        auto      &amount = used[claim.tenant];
        const auto share = static_cast<double>(capacityCpu) * weight(claim.tenant) / weights;
        isOver.push_back(amount >= share);
        amount += static_cast<double>(std::max<std::int64_t>(0, claim.cpu));
    }
    return isOver;
}

} // namespace peridotwalk
