// Maintenance waves: the budget counts lost instances, and instances are chosen in the right order.

#include "maintenance/maintenance.h"

#include <criterion/criterion.h>

using namespace peridotwalk;

namespace {

auto makePool(int count, Hours maintainedAt) -> std::vector<PlannedInstance>
{
    auto instances = std::vector<PlannedInstance>();
    for (auto index = 0; index < count; ++index) {
        instances.push_back({"i" + std::to_string(index), "p", "z", "k" + std::to_string(index / 4),
                             false, false, maintainedAt});
    }
    return instances;
}

} // namespace

Test(maintenance, a_wave_stays_within_the_budget_and_counts_what_is_lost)
{
    auto       instances = makePool(20, 0);
    const auto pool = PlannedPool{"p", 0.8, 4, 1'008};
    cr_assert_eq(planWave(instances, std::span(&pool, 1), 1'000).toDrain.size(), 4U);
    instances[0].isLost = true;
    instances[1].isLost = true;
    cr_assert_eq(planWave(instances, std::span(&pool, 1), 1'000).toDrain.size(), 2U);
    instances[2].isLost = true;
    instances[3].isLost = true;
    const auto held = planWave(instances, std::span(&pool, 1), 1'000);
    cr_assert(held.toDrain.empty());
    cr_assert_eq(held.held.size(), 1U);
}

Test(maintenance, a_rack_lost_in_the_middle_of_a_wave_stops_the_wave)
{
    auto       instances = makePool(20, 0);
    const auto pool = PlannedPool{"p", 0.8, 4, 1'008};
    for (const auto &name : planWave(instances, std::span(&pool, 1), 1'000).toDrain) {
        std::ranges::find(instances, name, &PlannedInstance::name)->isOut = true;
    }
    cr_assert(planWave(instances, std::span(&pool, 1), 1'000).toDrain.empty());
    for (auto index = 8; index < 12; ++index) {
        instances[static_cast<std::size_t>(index)].isLost = true;
    }
    for (auto &instance : instances) {
        instance.isOut = false; // The wave's instances are back, the rack isn't.
    }
    cr_assert(planWave(instances, std::span(&pool, 1), 1'000).toDrain.empty());
}

Test(maintenance, a_wave_starts_with_the_longest_unmaintained_and_its_rack)
{
    auto instances = makePool(20, 100);
    instances[13].maintainedAt = 0;
    const auto pool = PlannedPool{"p", 0.5, 4, 1'008};
    const auto plan = planWave(instances, std::span(&pool, 1), 1'000);
    cr_assert_eq(plan.toDrain.size(), 4U);
    cr_assert_eq(plan.toDrain[0], "i13");
    for (const auto &name : plan.toDrain) {
        cr_assert_eq(std::ranges::find(instances, name, &PlannedInstance::name)->rack, "k3");
    }
}

Test(maintenance, nothing_is_due_before_half_of_its_interval)
{
    const auto instances = makePool(20, 900);
    const auto pool = PlannedPool{"p", 0.5, 4, 1'008};
    cr_assert(planWave(instances, std::span(&pool, 1), 1'000).toDrain.empty());
}
