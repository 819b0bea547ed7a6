#include "coordinator/coordinator.h"

#include <algorithm>

namespace peridotwalk {

//-----------------------------------------------------------------------------
// [SECTION] Demand forecast
//-----------------------------------------------------------------------------

auto DemandForecast::add(TimeMs now, std::int64_t demandCpu, std::int64_t leastCpu) -> void
{
    if (firstAt_ < 0) {
        firstAt_ = now;
        lastAt_ = now;
        lowSince_ = now;
    }
    // The mean over all time so far, weighted by how long each demand lasted.
    const auto total = static_cast<double>(std::max<TimeMs>(1, now - firstAt_));
    const auto step = static_cast<double>(now - lastAt_);
    mean_ += (static_cast<double>(demandCpu) - mean_) * std::min(1.0, step / total);
    lastAt_ = now;
    const auto isHigh = demandCpu >= leastCpu
        && static_cast<double>(demandCpu) > settings_.riseFactor * mean_;
    if (isHigh && !isHigh_ && lowSince_ >= 0 && now - lowSince_ >= settings_.quietMs) {
        burstBefore_ = burstAt_;
        burstAt_ = now;
        peakBefore_ = peak_;
        peak_ = 0;
    }
    if (isHigh) {
        peak_ = std::max(peak_, demandCpu);
        lowSince_ = -1;
    } else if (lowSince_ < 0) {
        lowSince_ = now;
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
