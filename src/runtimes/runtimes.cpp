#include "runtimes/runtimes.h"

#include <algorithm>
#include <cmath>

namespace peridotwalk {

//-----------------------------------------------------------------------------
// [SECTION] Run times
//-----------------------------------------------------------------------------

auto RunTimes::classOf(double ratio) -> std::size_t
{
    const auto exponent = std::log2(std::max(ratio, 1e-6)) - kFirstDoubling;
    const auto number = std::lround(exponent * kClassesPerDoubling);
    return static_cast<std::size_t>(std::clamp<long>(number, 0, kClasses - 1));
}

auto RunTimes::ratioOf(std::size_t number) -> double
{
    return std::exp2(static_cast<double>(number) / kClassesPerDoubling + kFirstDoubling);
}

// Until runs have ended, the estimates are taken as they are.
auto RunTimes::makeDistribution() const -> Distribution
{
    auto distribution = Distribution{};
    distribution.weights[classOf(1)] = settings_.priorWeight;
    distribution.total = settings_.priorWeight;
    return distribution;
}

auto RunTimes::find(std::string_view queue) const -> const Distribution *
{
    const auto found = queues_.find(queue);
    return found == queues_.end() ? nullptr : &found->second;
}

auto RunTimes::observe(std::string_view queue, TimeMs estimateMs, TimeMs tookMs) -> void
{
    if (estimateMs <= 0 || tookMs < 0) {
        return;
    }
    auto found = queues_.find(queue);
    if (found == queues_.end()) {
        if (queues_.size() >= settings_.maxQueues) {
            return;
        }
        found = queues_.emplace(queue, makeDistribution()).first;
    }
    auto &distribution = found->second;
    if (distribution.total >= settings_.maxWeight) {
        for (auto &weight : distribution.weights) {
            weight /= 2;
        }
        distribution.total /= 2;
    }
    const auto ratio = static_cast<double>(tookMs) / static_cast<double>(estimateMs);
    distribution.weights[classOf(ratio)] += 1;
    distribution.total += 1;
}

auto RunTimes::expected(std::string_view queue, TimeMs estimateMs) const -> TimeMs
{
    return remaining(queue, estimateMs, 0);
}

auto RunTimes::quantile(std::string_view queue, TimeMs estimateMs, double part) const -> TimeMs
{
    const auto *distribution = find(queue);
    if (distribution == nullptr || estimateMs <= 0) {
        return std::max<TimeMs>(0, estimateMs);
    }
    auto sum = 0.0;
    for (std::size_t number = 0; number < kClasses; ++number) {
        sum += distribution->weights[number];
        if (sum >= part * distribution->total) {
            return std::llround(ratioOf(number) * static_cast<double>(estimateMs));
        }
    }
    return std::llround(ratioOf(kClasses - 1) * static_cast<double>(estimateMs));
}

auto RunTimes::remaining(std::string_view queue, TimeMs estimateMs, TimeMs ranMs) const -> TimeMs
{
    if (estimateMs <= 0) {
        return 0;
    }
    const auto *distribution = find(queue);
    if (distribution == nullptr) {
        return ranMs < estimateMs ? estimateMs - ranMs : ranMs;
    }
    const auto ran = static_cast<double>(std::max<TimeMs>(0, ranMs));
    const auto estimate = static_cast<double>(estimateMs);
    auto       weight = 0.0;
    auto       sum = 0.0;
    for (std::size_t number = 0; number < kClasses; ++number) {
        const auto length = ratioOf(number) * estimate;
        if (length > ran) {
            weight += distribution->weights[number];
            sum += distribution->weights[number] * (length - ran);
        }
    }
    return weight > 0 ? std::llround(sum / weight) : ranMs;
}

} // namespace peridotwalk
