// Which instances go into maintenance next, so that each is maintained in time and every pool keeps its
// availability budget, counted with what is lost already.
//
// Index of this file
// [SECTION] What is known
// [SECTION] Wave planner

#pragma once

#include "config/config.h"

namespace peridotwalk {

//-----------------------------------------------------------------------------
// [SECTION] What is known
//-----------------------------------------------------------------------------

using Hours = std::int64_t; // Since any fixed moment.

// One instance as the planner sees it.
struct PlannedInstance {
    std::string name;
    std::string pool;
    std::string zone;
    std::string rack;
    bool        isLost = false;   // Failed, or its rack or zone is.
    bool        isOut = false;    // Drains or reboots.
    Hours       maintainedAt = 0; // End of its last maintenance.
};

// What a pool allows.
struct PlannedPool {
    std::string  name;
    double       budget = 0.9;         // Smallest available part, 0 to 1.
    std::int64_t atOnce = 1;           // Most out for maintenance at a time.
    Hours        everyHours = 42 * 24; // Each instance once in that time.
};

//-----------------------------------------------------------------------------
// [SECTION] Wave planner
//-----------------------------------------------------------------------------

// Why a pool gets no further instance now.
struct HeldPool {
    std::string pool;
    std::string reason;
};

struct WavePlan {
    std::vector<std::string> take; // Instances to drain now, most overdue first.
    std::vector<HeldPool>    held;
};

// Plans the next step. Safe to call again at any time: what is out and lost counts.
//
// The spread rule takes about the same number each day, so that a late start or a stop for a lost
// rack doesn't end in a rush. All of one pool's wave comes from one rack where that is possible: a
// rack that fails during the wave then costs less. Costs O(n log n) for n instances.
auto planWave(std::span<const PlannedInstance> instances, std::span<const PlannedPool> pools,
              Hours now) -> WavePlan;

// Returns how many more instances of a pool may be out now.
auto remainingBudget(const PlannedPool &pool, std::int64_t total, std::int64_t lost,
                     std::int64_t out) -> std::int64_t;

} // namespace peridotwalk
