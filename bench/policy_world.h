// Real engines in virtual time with small fakes: slots, service times, failures and message delay.
//
// One unit of an engine's time is 0.1 ms here, since zones are 1.4 ms apart. All settings are scaled.
//
// Index of this file
// [SECTION] Scenario
// [SECTION] Outcome
// [SECTION] Policy world

#pragma once

#include "engine/engine.h"

#include <queue>

namespace peridotwalk {

constexpr TimeMs kUnitsPerMs = 10; // Time units of the benchmark in 1 ms.

//-----------------------------------------------------------------------------
// [SECTION] Scenario
//-----------------------------------------------------------------------------

struct TeamLoad {
    std::string name;
    double      share = 1;  // In the rules.
    double      demand = 1; // Part of the arrivals.
};

struct Scenario {
    std::string           name;
    std::uint64_t         seed = 1;
    int                   zones = 3;
    int                   entriesPerZone = 3;
    std::vector<int>      runners = {8, 9, 10, 11, 12}; // Of each service, over all zones.
    double                meanServiceMs = 40;
    double                burstLoad = 1.15; // Arrivals in a burst by the pool's capacity.
    TimeMs                burstMs = 2'000;  // Each queue in its turn.
    TimeMs                runMs = 10'000;
    TimeMs                deadlineMs = 2'000;
    double                entrySkew = 1; // Load of the first entry by that of the others.
    std::vector<TeamLoad> teams = {{"t0", 40, 0.4}, {"t1", 20, 0.2}, {"t2", 15, 0.15},
                                   {"t3", 10, 0.1}, {"t4", 10, 0.1}, {"t5", 5, 0.05}};
    std::string           policy = "held-slots";
    bool                  sharesSlots = true; // False: slots stay where they were granted.
    std::int64_t          slotOvercommit = RoutingSettings{}.slotOvercommit;
    TimeMs                zoneOutAtMs = -1; // The last zone leaves, and returns after that:
    TimeMs                zoneBackAtMs = -1;
    int                   slowRunner = -1;   // Index of a runner that takes 5 times as long.
    TimeMs                rackDeadAtMs = -1; // The first rack of the first zone dies then.
};

//-----------------------------------------------------------------------------
// [SECTION] Outcome
//-----------------------------------------------------------------------------

// One request that started at a runner.
struct Served {
    TimeMs      arrivedAt = 0; // At the entry.
    TimeMs      startedAt = 0; // In a slot.
    TimeMs      serviceUnits = 0;
    int         team = 0;
    std::string zone;
};

struct Arrival {
    TimeMs at = 0;
    int    service = 0;
    int    team = 0;
    TimeMs takes = 0;
    int    entry = 0;
};

struct Result {
    std::vector<Served> served;
    std::int64_t        arrived = 0;
    std::int64_t        answered = 0; // In time.
    std::int64_t        attempts = 0;
    std::int64_t        messages = 0; // Between entries.
    std::int64_t        bytes = 0;
};

//-----------------------------------------------------------------------------
// [SECTION] Policy world
//-----------------------------------------------------------------------------

// Returns the arrivals of a scenario. They don't depend on the policy.
auto makeArrivals(const Scenario &scenario) -> std::vector<Arrival>;

// Runs engines on the arrivals.
auto runScenario(const Scenario &scenario, std::span<const Arrival> arrivals) -> Result;

// Runs one queue that knows all slots of each pool, with no delay. The limit to approach.
auto runIdeal(const Scenario &scenario, std::span<const Arrival> arrivals) -> Result;

} // namespace peridotwalk
