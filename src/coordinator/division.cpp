#include "coordinator/coordinator.h"

#include <algorithm>
#include <numeric>

namespace peridotwalk {

namespace {

using Amounts = std::vector<std::int64_t>;

auto sum(const Amounts &amounts) -> std::int64_t
{
    return std::accumulate(amounts.begin(), amounts.end(), std::int64_t{0});
}

// Raises `given` towards `wanted`. If `machines` don't suffice, each gets the same part of what it lacks;
// what rounding leaves goes to those that lack most.
auto raise(Amounts &given, const Amounts &wanted, std::int64_t machines) -> void
{
    auto lacks = Amounts(given.size());
    for (std::size_t pool = 0; pool < given.size(); ++pool) {
        lacks[pool] = std::max<std::int64_t>(0, wanted[pool] - given[pool]);
    }
    const auto total = sum(lacks);
    const auto left = std::max<std::int64_t>(0, machines - sum(given));
    if (total == 0) {
        return;
    }
    const auto part = std::min(1.0, static_cast<double>(left) / static_cast<double>(total));
    auto       rest = std::min(left, total);
    for (std::size_t pool = 0; pool < given.size(); ++pool) {
        const auto more = static_cast<std::int64_t>(part * static_cast<double>(lacks[pool]));
        given[pool] += more;
        lacks[pool] -= more;
        rest -= more;
    }
    for (; rest > 0; --rest) {
        const auto most = std::ranges::max_element(lacks);
        --*most;
        ++given[static_cast<std::size_t>(std::distance(lacks.begin(), most))];
    }
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Machine division
//-----------------------------------------------------------------------------

auto divideMachines(std::span<const PoolDemand> pools, std::int64_t machines)
    -> std::vector<std::int64_t>
{
    auto given = Amounts(pools.size());
    for (const auto stage :
         {&PoolDemand::required, &PoolDemand::onTime, &PoolDemand::late, &PoolDemand::expected}) {
        auto wanted = Amounts();
        std::ranges::transform(pools, std::back_inserter(wanted),
                               [&](const PoolDemand &pool) { return pool.*stage; });
        raise(given, wanted, machines);
    }
    return given;
}

} // namespace peridotwalk
