#include "coordinator/coordinator.h"

#include <algorithm>

namespace peridotwalk {

//-----------------------------------------------------------------------------
// [SECTION] Demand forecast
//-----------------------------------------------------------------------------

auto DemandForecast::add(TimeMs now, std::int64_t demandCpu, std::int64_t leastCpu) -> void
{
    const auto isHigh = demandCpu >= leastCpu
        && static_cast<double>(demandCpu) > settings_.risePart * static_cast<double>(peak());
    if (lowSince_ < 0 && !isHigh_) {
        lowSince_ = now;
    }
    if (isHigh && !isHigh_ && now - lowSince_ >= settings_.quietMs) {
        burstBefore_ = burstAt_;
        burstAt_ = now;
        peakBefore_ = peak_;
        peak_ = 0;
    }
    if (isHigh) {
        peak_ = std::max(peak_, demandCpu);
        lowSince_ = -1;
    }
    isHigh_ = isHigh;
}

auto DemandForecast::period() const -> std::optional<TimeMs>
{
    if (burstBefore_ < 0 || burstAt_ - burstBefore_ < settings_.minPeriodMs) {
        return std::nullopt;
    }
    return burstAt_ - burstBefore_;
}

auto DemandForecast::isRising(TimeMs now) const -> bool
{
    return isHigh_ && burstAt_ >= 0 && now - burstAt_ <= settings_.risingMs;
}

auto DemandForecast::peak() const -> std::int64_t
{
    return std::max(peak_, peakBefore_);
}

auto DemandForecast::expected(TimeMs now, std::optional<TimeMs> period) const -> std::int64_t
{
    if (burstAt_ < 0 || !period) {
        return 0;
    }
    const auto next = burstAt_ + *period;
    const auto isNear = now >= next - settings_.leadMs && now <= next + settings_.overdueMs;
    return isNear ? peak() : 0;
}

} // namespace peridotwalk
