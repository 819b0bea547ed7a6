#include "coordinator/coordinator.h"

#include <algorithm>

namespace peridotwalk {

//-----------------------------------------------------------------------------
// [SECTION] Demand forecast
//-----------------------------------------------------------------------------

auto DemandForecast::add(TimeMs now, std::int64_t demandCpu, std::int64_t leastCpu) -> void
{
    const auto isHigh = demandCpu >= leastCpu
        && static_cast<double>(demandCpu) > settings_.burstThreshold * static_cast<double>(peak());
    if (lowSince_ < 0 && !isHigh_) {
        lowSince_ = now;
    }
    if (isHigh && !isHigh_ && now - lowSince_ >= settings_.minQuietMs) {
        burstAt_ = now;
        previousPeak_ = peak_;
        peak_ = 0;
    }
    if (isHigh) {
        peak_ = std::max(peak_, demandCpu);
        lowSince_ = -1;
    }
    isHigh_ = isHigh;
}

auto DemandForecast::isRising(TimeMs now) const -> bool
{
    return isHigh_ && burstAt_ >= 0 && now - burstAt_ <= settings_.burstGrowthMs;
}

auto DemandForecast::peak() const -> std::int64_t
{
    return std::max(peak_, previousPeak_);
}

} // namespace peridotwalk
