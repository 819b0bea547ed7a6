// Simulation of entries: real engines in virtual time, with simulated runners, callers and network.
//
// An engine's time unit is 0.1 ms here, since the delay between zones is 1.4 ms. The settings of
// engines are scaled to that. Members whose name ends in Ms are in ms.
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
    double      share = 1;  // Share of its team rule.
    double      demand = 1; // Fraction of the arrivals, 0 to 1.
};

struct Scenario {
    std::string           name;
    std::uint64_t         seed = 1;
    int                   zones = 3;
    int                   entriesPerZone = 3;
    std::vector<int>      runners = {8, 9, 10, 11, 12}; // Number for each service, over all zones.
    double                meanServiceMs = 40; // Service times are exponentially distributed.
    double                burstLoad = 1.15;   // Arrival rate in a burst, relative to capacity.
    TimeMs                burstMs = 2'000;    // Duration of a burst. One service at a time has one.
    TimeMs                runMs = 10'000;     // Arrivals stop then.
    TimeMs                deadlineMs = 2'000; // Of each request, from its arrival.
    double                entrySkew = 1;      // Load of the first entry, relative to another.
    std::vector<TeamLoad> teams = {{"t0", 40, 0.4}, {"t1", 20, 0.2}, {"t2", 15, 0.15},
                                   {"t3", 10, 0.1}, {"t4", 10, 0.1}, {"t5", 5, 0.05}};
    std::string           policy = "held-slots";
    bool                  sharesSlots = true; // False: entries request no slots from peers.
    std::int64_t          slotOvercommit = RoutingSettings{}.slotOvercommit;
    TimeMs                zoneOutAtMs = -1;  // The last zone is taken out then. -1: never.
    TimeMs                zoneBackAtMs = -1; // The last zone is put back then.
    int                   slowRunner = -1;   // Index of a runner 5 times as slow. -1: none.
    TimeMs                rackDeadAtMs = -1; // The first rack of zone 0 fails then. -1: never.
};

//-----------------------------------------------------------------------------
// [SECTION] Outcome
//-----------------------------------------------------------------------------

// One request that started at a runner.
struct Served {
    TimeMs      arrivedAt = 0;    // When it arrived at the entry, time units.
    TimeMs      startedAt = 0;    // When it got a slot at the runner, time units.
    TimeMs      serviceUnits = 0; // Service time, time units.
    int         team = 0;         // Index in Scenario::teams.
    std::string zone;             // The runner's zone. Empty in runIdeal().
};

// One request of a caller.
struct Arrival {
    TimeMs at = 0;           // From the start of the run, time units.
    int    service = 0;      // Index in Scenario::runners.
    int    team = 0;         // Index in Scenario::teams.
    TimeMs serviceUnits = 0; // Service time, time units.
    int    entry = 0;        // Index of the entry that receives it.
};

struct Result {
    std::vector<Served> served;
    std::int64_t        arrived = 0;  // Number of requests.
    std::int64_t        answered = 0; // Requests answered in time. In runIdeal(): started in time.
    std::int64_t        attempts = 0; // Number of connections to runners for a request.
    std::int64_t        messages = 0; // Number of messages between entries.
    std::int64_t        bytes = 0;    // Size of these messages.
};

//-----------------------------------------------------------------------------
// [SECTION] Policy world
//-----------------------------------------------------------------------------

// Returns the arrivals of a scenario. They don't depend on the policy.
auto makeArrivals(const Scenario &scenario) -> std::vector<Arrival>;

// Runs engines on the arrivals. Neglects the time that an engine's own computation takes.
auto runScenario(const Scenario &scenario, std::span<const Arrival> arrivals) -> Result;

// Runs one central queue per pool without network delay: the best result that a policy can reach.
auto runIdeal(const Scenario &scenario, std::span<const Arrival> arrivals) -> Result;

} // namespace peridotwalk
