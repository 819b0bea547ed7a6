#include "coordinator/coordinator.h"

#include <algorithm>

namespace peridotwalk {

namespace {

// Part of the platform's rate that is used. The remainder is a reserve for lists and for differences between clocks.
constexpr double kUsedFraction = 0.9;
// Calls that may be sent at once, as seconds of the used rate. In simulated runs the platform accepted about a
// quarter of a second's calls at once.
constexpr double kBurstS = 0.25;
constexpr double kMsPerSecond = 1'000;

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Call pacing
//-----------------------------------------------------------------------------

CallPacer::CallPacer(double callsPerS)
    : callsPerMs_(callsPerS > 0 ? callsPerS * kUsedFraction / kMsPerSecond : 0),
      burst_(std::max(1.0, callsPerMs_ * kMsPerSecond * kBurstS)), available_(burst_)
{
}

auto CallPacer::take(TimeMs now) -> bool
{
    if (!isPaced()) {
        return true;
    }
    refill(now);
    if (available_ < 1) {
        return false;
    }
    --available_;
    return true;
}

auto CallPacer::onThrottled(TimeMs now) -> void
{
    refill(now);
    available_ = std::min(available_, 0.0);
}

auto CallPacer::refill(TimeMs now) -> void
{
    if (refilledAt_ >= 0) {
        const auto passed = static_cast<double>(std::max<TimeMs>(0, now - refilledAt_));
        available_ = std::min(burst_, available_ + passed * callsPerMs_);
    }
    refilledAt_ = std::max(refilledAt_, now);
}

} // namespace peridotwalk
