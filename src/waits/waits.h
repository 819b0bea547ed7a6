// Decisions on how long waiting is worthwhile. Pure: no clock; times are relative to now, in ms.
//
// Tasks run faster near their data, and members of a gang faster in one rack, but waiting for such a place takes
// time. Moving runs off a machine that another pool waits for saves that pool time, but the moved runs are stopped
// and restored. Both decisions compare expected times.
//
//   auto forecast = RackForecast();
//   forecast.addRun(forecast.addWorker(free), need, 400); // Ends in about 400 ms.
//   auto wait = forecast.timeUntilRoom(need, 1, 1'000);
//   auto decision = decidePlace({.farFactor = 3}, {.runMs = 1'000, .waitMs = wait});
//
// Index of this file
// [SECTION] Moves
// [SECTION] Racks
// [SECTION] Places

#pragma once

#include "jobs/jobs.h"

#include <optional>
#include <span>

namespace peridotwalk {

//-----------------------------------------------------------------------------
// [SECTION] Moves
//-----------------------------------------------------------------------------

struct MoveSettings {
    TimeMs stopMs = 1'000;   // Until a run that is stopped has left its worker.
    TimeMs restoreMs = 500;  // From the start of a run with a checkpoint to its first progress.
    TimeMs startDelayMs = 0; // From a placement to the start of the run.
    double minGain = 2;      // Core time freed, as a multiple of the core time that the moves cost.
};

// A run on a worker whose machine another pool waits for.
struct MoveCandidate {
    std::int64_t cpu = 0;           // Thousandths of a core that it occupies.
    TimeMs       remainingMs = 0;   // Until it has left the worker by itself.
    bool         isMovable = false; // It keeps its progress, and has a place elsewhere.
};

struct MoveDecision {
    std::vector<std::size_t> moved;           // Indexes of the candidates to be moved. Empty: none.
    TimeMs                   freeAfterMs = 0; // Until the worker is empty: with the moves,
    TimeMs                   emptyAfterMs = 0; // and without them.
    double                   freedCoreMs = 0;  // Core time of the worker that the moves free.
    double                   costCoreMs = 0;   // Core time that the moves take.
};

auto moveCostMs(const MoveSettings &settings) -> TimeMs; // Delay of each run that is moved.

// Returns which runs are to leave a worker with `workerCpu` thousandths of a core. Runs that end within the time of
// a move stay, and so do runs that end before the worker can be empty anyway.
auto decideMoves(const MoveSettings &settings, std::int64_t workerCpu,
                 std::span<const MoveCandidate> runs) -> MoveDecision;

//-----------------------------------------------------------------------------
// [SECTION] Racks
//-----------------------------------------------------------------------------

// Returns how many tasks of a need fit into `free`, at most kMaxTasksPerStep.
auto countFitting(const ResourceSet &need, const ResourceSet &free) -> std::int64_t;

// When the workers of one rack are expected to have room. Made once a placement round; tasks that wait for the rack
// are added in their order, so that each is told the time behind the others.
class RackForecast
{
public:
    // Commands.
    // Returns the number of the worker. `free`: its capacity that isn't in use.
    auto addWorker(const ResourceSet &free) -> std::size_t;
    auto addRun(std::size_t worker, const ResourceSet &need, TimeMs remainingMs) -> void;
    auto addWaiting(const ResourceSet &need)
        -> void; // A task that will take room before later ones.

    // Queries.
    auto isEmpty() const -> bool { return workers_.empty(); }
    // Returns when `count` tasks of this need fit at once, behind those that wait. Each of those occupies its room
    // for `runMs`. Nothing: the rack never has room for that many.
    auto timeUntilRoom(const ResourceSet &need, std::int64_t count, TimeMs runMs) const
        -> std::optional<TimeMs>;

private:
    struct Release {
        TimeMs      afterMs = 0;
        ResourceSet amount;
    };
    struct Room {
        ResourceSet          free;
        std::vector<Release> releases;
    };
    // Times at which another task of one need fits somewhere in the rack, rising.
    struct Slots {
        ResourceSet         need;
        std::vector<TimeMs> times;
    };

    auto slotsFor(const ResourceSet &need) const -> const std::vector<TimeMs> &;

    std::vector<Room>          workers_;
    ResourceSet                waiting_; // Needs of the tasks that wait.
    mutable std::vector<Slots> slots_;   // By need, made when first asked for.
};

//-----------------------------------------------------------------------------
// [SECTION] Places
//-----------------------------------------------------------------------------

struct PlaceSettings {
    double farFactor = 1; // Run time far from the data or on several racks, as a multiple.
    // The platform takes a job as lost that runs nothing for 3 s though there is room for it.
    TimeMs maxWaitMs = 2'000;
};

// A task, or a gang, that could start far now and has no room near.
struct PlaceQuestion {
    TimeMs                runMs = 0; // Expected run time near.
    std::optional<TimeMs> waitMs;    // Until there is room near. Nothing: never.
    // From now until its job is no longer on time, without the steps that follow this one.
    TimeMs                onTimeMs = 0;
    bool                  isWorkWaiting = false; // Other tasks wait for workers.
    bool                  hasBegun = false;      // It waits already.
};

struct PlaceDecision {
    bool   isWait = false;
    TimeMs nearMs = 0;    // Expected finish near,
    TimeMs farMs = 0;     // and far.
    TimeMs longestMs = 0; // Longest wait that can be worthwhile.
};

// A wait is worthwhile while the expected finish near is sooner, unless only the far one is on time. While other tasks
// wait for workers, the finish far counts as later by the additional time that a far run keeps its worker from them.
// A wait is begun only if it saves at least what it takes, or if other tasks wait.
auto decidePlace(const PlaceSettings &settings, const PlaceQuestion &question) -> PlaceDecision;

} // namespace peridotwalk
