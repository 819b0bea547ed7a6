#include "maintenance/maintenance.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace peridotwalk {

namespace {

// The instances of one pool.
struct PoolView {
    std::vector<const PlannedInstance *> ready; // Neither lost nor out, longest unmaintained first.
    std::int64_t                         total = 0;
    std::int64_t                         lost = 0;
    std::int64_t                         out = 0;
};

auto viewOf(std::span<const PlannedInstance> instances) -> std::map<std::string_view, PoolView>
{
    auto views = std::map<std::string_view, PoolView>();
    for (const auto &instance : instances) {
        auto &view = views[instance.pool];
        ++view.total;
        view.lost += instance.isLost ? 1 : 0;
        view.out += instance.isOut && !instance.isLost ? 1 : 0;
        if (!instance.isLost && !instance.isOut) {
            view.ready.push_back(&instance);
        }
    }
    for (auto &[name, view] : views) {
        std::stable_sort(view.ready.begin(), view.ready.end(),
                         [](const PlannedInstance *left, const PlannedInstance *right) {
                             return left->maintainedAt < right->maintainedAt;
                         });
    }
    return views;
}

// Instances are due from half of their interval on, to leave time for delays.
auto isDue(const PlannedInstance &instance, const PlannedPool &pool, Hours now) -> bool
{
    return now - instance.maintainedAt >= pool.everyHours / 2;
}

// Moves the instances that share the rack of the first one to the front.
auto orderByRack(std::vector<const PlannedInstance *> &due) -> void
{
    if (due.empty()) {
        return;
    }
    const auto *first = due.front();
    std::stable_partition(due.begin(), due.end(), [&](const PlannedInstance *instance) {
        return instance->rack == first->rack && instance->zone == first->zone;
    });
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Wave planner
//-----------------------------------------------------------------------------

auto remainingBudget(const PlannedPool &pool, std::int64_t total, std::int64_t lost,
                     std::int64_t out) -> std::int64_t
{
    const auto needed =
        static_cast<std::int64_t>(std::ceil(pool.budget * static_cast<double>(total)));
    const auto headroom = total - lost - out - needed;
    return std::max<std::int64_t>(0, std::min(headroom, pool.atOnce - out));
}

auto planWave(std::span<const PlannedInstance> instances, std::span<const PlannedPool> pools,
              Hours now) -> WavePlan
{
    auto plan = WavePlan{};
    auto views = viewOf(instances);
    for (const auto &pool : pools) {
        auto &view = views[pool.name];
        auto  due = view.ready;
        std::erase_if(
            due, [&](const PlannedInstance *instance) { return !isDue(*instance, pool, now); });
        if (due.empty()) {
            continue;
        }
        const auto headroom = remainingBudget(pool, view.total, view.lost, view.out);
        if (headroom == 0) {
            plan.held.push_back({pool.name,
                                 fmt::format("{} of {} are lost and {} out; the budget is {}",
                                             view.lost, view.total, view.out, pool.budget)});
            continue;
        }
        orderByRack(due);
        const auto count = std::min(static_cast<std::size_t>(headroom), due.size());
        for (std::size_t index = 0; index < count; ++index) {
            plan.toDrain.push_back(due[index]->name);
        }
    }
    return plan;
}

} // namespace peridotwalk
