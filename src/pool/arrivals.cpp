#include "pool/arrivals.h"

#include <algorithm>
#include <cmath>

namespace peridotwalk {

namespace {

constexpr TimeMs kWindowMs = 500;
constexpr TimeMs kSliceMs = 10;
constexpr double kCpuPerCore = 1'000;
// Bounds what wrong estimates report. No deployment has that many cores.
constexpr double kMaxCores = 1'000'000;

} // namespace

auto estimatedWork(const JobSpec &spec) -> double
{
    if (spec.occurrences > 0) {
        return 0; // It runs when its occurrences are due, not when it arrives.
    }
    auto coreMs = 0.0;
    for (const auto &step : spec.steps) {
        if (step.isUnbounded || step.isFiller) {
            continue;
        }
        coreMs += static_cast<double>(std::max<std::int64_t>(0, step.count))
            * static_cast<double>(std::max<std::int64_t>(0, step.need.cpu)) / kCpuPerCore
            * static_cast<double>(std::max<TimeMs>(0, step.estimateMs));
    }
    return coreMs;
}

auto ArrivalRate::add(TimeMs now, double coreMs) -> void
{
    advance(now);
    if (slices_.empty() || now - slices_.back().startedAt >= kSliceMs) {
        slices_.push_back({now, 0, 0});
    }
    slices_.back().coreMs += coreMs;
    ++slices_.back().jobs;
}

auto ArrivalRate::advance(TimeMs now) -> void
{
    while (!slices_.empty() && now - slices_.front().startedAt >= kWindowMs) {
        slices_.pop_front();
    }
}

// Few arrivals tell little of the rate: their number varies by its square root. A single large job in a quiet time would
// otherwise look like the start of a burst.
auto ArrivalRate::cpu() const -> std::int64_t
{
    auto   coreMs = 0.0;
    double jobs = 0;
    for (const auto &slice : slices_) {
        coreMs += slice.coreMs;
        jobs += static_cast<double>(slice.jobs);
    }
    if (jobs < 2) {
        return 0;
    }
    const auto certain = 1 - 1 / std::sqrt(jobs);
    const auto cores = std::min(kMaxCores, certain * coreMs / static_cast<double>(kWindowMs));
    return static_cast<std::int64_t>(cores * kCpuPerCore);
}

} // namespace peridotwalk
