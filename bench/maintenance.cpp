// Maintenance of 15,000 instances in 62 pools, the size to design for. Each instance is maintained
// once in 6 weeks, while 170 instances fail a day and one rack fails a week. Compares planWave()
// with fixed batches that ignore lost instances.

#include "maintenance/maintenance.h"

#include <fmt/format.h>
#include <pcg_random.hpp>

#include <algorithm>
#include <chrono>

namespace {

using namespace peridotwalk;

constexpr int    kInstances = 15'000;
constexpr int    kPools = 62;
constexpr int    kPerRack = 4;
constexpr Hours  kRebootHours = 1;
constexpr Hours  kRepairHours = 6;
constexpr Hours  kRackRepairHours = 24;
constexpr Hours  kRunHours = 2 * 42 * 24;
constexpr Hours  kIntervalHours = 42 * 24;
constexpr int    kFailuresADay = 170;
constexpr double kBudget = 0.97;

struct Outcome {
    Hours        longestInterval = 0; // Longest time between two maintenances of one instance.
    double       leastAvailable = 1;  // Smallest available fraction of any pool at any hour.
    std::int64_t breaches = 0;        // Pool-hours below the budget while the pool had maintenance.
    Hours        rollOutHours = 0;    // From the start until each was maintained once, hours.
    double       planMs = 0;          // Average time of one call of planWave().
};

auto run(bool usesPlanner, std::uint64_t seed) -> Outcome
{
    auto random = pcg32(seed);
    auto instances = std::vector<PlannedInstance>();
    auto pools = std::vector<PlannedPool>();
    for (auto pool = 0; pool < kPools; ++pool) {
        pools.push_back({fmt::format("p{}", pool), kBudget, 6, kIntervalHours});
    }
    for (auto index = 0; index < kInstances; ++index) {
        instances.push_back(
            {fmt::format("i{}", index), fmt::format("p{}", index % kPools), "z",
             fmt::format("k{}", index / kPools / kPerRack * kPools + index % kPools), false, false,
             -static_cast<Hours>(random(kIntervalHours))});
    }
    auto maintenanceEndsAt = std::vector<Hours>(kInstances);
    auto repairedAt = std::vector<Hours>(kInstances);
    auto wasMaintained = std::vector<bool>(kInstances);
    auto notYetMaintained = kInstances;
    auto outcome = Outcome{};
    auto planningTime = std::chrono::nanoseconds(0);
    for (Hours now = 0; now < kRunHours; ++now) {
        for (auto failure = 0;
             failure < kFailuresADay / 24 + (now % 24 < kFailuresADay % 24 ? 1 : 0); ++failure) {
            repairedAt[random(kInstances)] = now + kRepairHours;
        }
        if (now % (7 * 24) == 50) {
            const auto rack = instances[random(kInstances)].rack;
            for (auto index = 0; index < kInstances; ++index) {
                if (instances[static_cast<std::size_t>(index)].rack == rack) {
                    repairedAt[static_cast<std::size_t>(index)] = now + kRackRepairHours;
                }
            }
        }
        auto total = std::map<std::string_view, std::int64_t>();
        auto unavailable = std::map<std::string_view, std::int64_t>();
        auto inMaintenance = std::map<std::string_view, std::int64_t>();
        for (std::size_t index = 0; index < instances.size(); ++index) {
            auto &instance = instances[index];
            instance.isLost = repairedAt[index] > now;
            if (instance.isOut && maintenanceEndsAt[index] <= now) {
                instance.isOut = false;
                outcome.longestInterval =
                    std::max(outcome.longestInterval, now - instance.maintainedAt);
                instance.maintainedAt = now;
                notYetMaintained -= wasMaintained[index] ? 0 : 1;
                wasMaintained[index] = true;
            }
            ++total[instance.pool];
            unavailable[instance.pool] += instance.isLost || instance.isOut ? 1 : 0;
            inMaintenance[instance.pool] += instance.isOut ? 1 : 0;
        }
        outcome.rollOutHours += notYetMaintained > 0 ? 1 : 0;
        auto       toDrain = std::vector<std::string>();
        const auto begin = std::chrono::steady_clock::now();
        if (usesPlanner) {
            toDrain = planWave(instances, pools, now).toDrain;
        } else { // The same order and batch size, but without regard to lost instances.
            auto withoutLosses = instances;
            auto withoutBudget = pools;
            std::ranges::for_each(withoutLosses,
                                  [](PlannedInstance &instance) { instance.isLost = false; });
            std::ranges::for_each(withoutBudget, [](PlannedPool &pool) { pool.budget = 0; });
            toDrain = planWave(withoutLosses, withoutBudget, now).toDrain;
        }
        planningTime += std::chrono::steady_clock::now() - begin;
        for (const auto &name : toDrain) {
            const auto index = static_cast<std::size_t>(*parseInteger(name.substr(1)));
            instances[index].isOut = true;
            maintenanceEndsAt[index] = now + kRebootHours;
            ++unavailable[instances[index].pool];
            ++inMaintenance[instances[index].pool];
        }
        for (const auto &[pool, count] : total) {
            const auto available =
                1 - static_cast<double>(unavailable[pool]) / static_cast<double>(count);
            outcome.leastAvailable = std::min(outcome.leastAvailable, available);
            outcome.breaches += available < kBudget && inMaintenance[pool] > 0 ? 1 : 0;
        }
    }
    outcome.planMs = static_cast<double>(planningTime.count()) / 1e6 / kRunHours;
    return outcome;
}

} // namespace

auto main() -> int
{
    fmt::print("{:<16}{:>6}{:>18}{:>16}{:>10}{:>14}{:>10}\n", "waves", "seed", "longest interval",
               "least available", "breaches", "roll-out", "plan");
    for (const auto usesPlanner : {true, false}) {
        for (std::uint64_t seed = 1; seed <= 2; ++seed) {
            const auto outcome = run(usesPlanner, seed);
            fmt::print("{:<16}{:>6}{:>14.1f} days{:>16.3f}{:>10}{:>11.1f} days{:>7.2f} ms\n",
                       usesPlanner ? "planWave" : "fixed batches", seed,
                       static_cast<double>(outcome.longestInterval) / 24, outcome.leastAvailable,
                       outcome.breaches, static_cast<double>(outcome.rollOutHours) / 24,
                       outcome.planMs);
        }
    }
    return 0;
}
