#include "coordinator/coordinator.h"

namespace peridotwalk {

namespace {

constexpr std::int64_t kMinMachines = 2;   // One job more or less moves no machine.
constexpr double       kStartFactor = 1.5; // Arrivals begin to count above this multiple of demand.
constexpr double       kRiseFactor = 1.25; // Demand above this multiple of the last is a rise.

// Returns whether an amount of cpu is at least two workers' worth.
auto isWorthMoving(std::int64_t cpu, std::int64_t workerCpu) -> bool
{
    return workerCpu > 0 && cpu / workerCpu >= kMinMachines;
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Early demand
//-----------------------------------------------------------------------------

auto EarlyDemand::add(std::int64_t arrivingCpu, std::int64_t demandCpu, std::int64_t workerCpu)
    -> void
{
    const auto isAbove = static_cast<double>(arrivingCpu)
        >= (isCounting_ ? 1.0 : kStartFactor) * static_cast<double>(demandCpu);
    isCounting_ = isAbove && isWorthMoving(arrivingCpu, workerCpu);
    cpu_ = isCounting_ ? arrivingCpu : 0;
}

auto hasDemandRisen(std::int64_t lastCpu, std::int64_t nowCpu, std::int64_t workerCpu) -> bool
{
    return isWorthMoving(nowCpu - lastCpu, workerCpu)
        && static_cast<double>(nowCpu) >= kRiseFactor * static_cast<double>(lastCpu);
}

} // namespace peridotwalk
