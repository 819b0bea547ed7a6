// Chooses the instances to maintain next, so that each is maintained in time and every pool keeps its
// availability budget. Failed instances count against the budget.
//
// Index of this file
// [SECTION] Input
// [SECTION] Wave planner

#pragma once

#include "config/config.h"

namespace peridotwalk {

//-----------------------------------------------------------------------------
// [SECTION] Input
//-----------------------------------------------------------------------------

using Hours = std::int64_t; // A duration, or the time since any fixed moment.

// State of one instance.
struct PlannedInstance {
    std::string name;
    std::string pool;
    std::string zone;
    std::string rack;
    bool        isLost = false;   // It failed, or its rack or zone did.
    bool        isOut = false;    // It drains or reboots for maintenance.
    Hours       maintainedAt = 0; // End of its last maintenance.
};

// Limits of a pool.
struct PlannedPool {
    std::string  name;
    double       budget = 0.9;         // Minimum fraction of instances that stay available.
    std::int64_t atOnce = 1;           // Maximum number out for maintenance at a time.
    Hours        everyHours = 42 * 24; // Maximum time between two maintenances of an instance.
};

//-----------------------------------------------------------------------------
// [SECTION] Wave planner
//-----------------------------------------------------------------------------

// A pool that has due instances but no budget left.
struct HeldPool {
    std::string pool;
    std::string reason; // Text for operators.
};

struct WavePlan {
    std::vector<std::string> toDrain; // Instances to drain now, grouped by pool.
    std::vector<HeldPool>    held;    // Pools that have to wait.
};

// Plans the next step. May be called at any time, as instances that are out or lost count.
//
// Instances become due after half of their interval, so that a late start or a pause for a lost rack
// doesn't leave many to the end. A pool's wave comes from one rack where possible, as a failure of that
// rack during the wave then costs fewer instances. Costs O(n log n) for n instances.
auto planWave(std::span<const PlannedInstance> instances, std::span<const PlannedPool> pools,
              Hours now) -> WavePlan;

// Returns how many more instances of a pool may go out for maintenance now.
auto remainingBudget(const PlannedPool &pool, std::int64_t total, std::int64_t lost,
                     std::int64_t out) -> std::int64_t;

} // namespace peridotwalk
