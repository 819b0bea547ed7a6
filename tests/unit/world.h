// A simulated fleet: real engines under a simulated clock, with a fake log, fake connections
// between entries, and fake targets that record each run. A run is reproducible from its seed.
//
// Index of this file
// [SECTION] Options
// [SECTION] World

#pragma once

#include "engine/engine.h"

#include <queue>

namespace peridotwalk {

//-----------------------------------------------------------------------------
// [SECTION] Options
//-----------------------------------------------------------------------------

struct WorldOptions {
    std::uint64_t seed = 1;
    int           zones = 2;
    int           entriesPerZone = 3;
    int           runnersPerZone = 2;
    int           workersPerZone = 1;
    std::int64_t  limit = 5;             // Units of team "t".
    TimeMs        serviceMs = 60;        // Mean run time of a request at a runner.
    double        lostAnswers = 0;       // Fraction of target answers that are lost, 0 to 1.
    double        lostAppends = 0;       // Fraction of append confirmations that are lost, 0 to 1.
    std::size_t   keepRecords = 100'000; // Retention of the log, in records.
    std::size_t   snapshotEvery = 1'000; // Records between two snapshots.
};

//-----------------------------------------------------------------------------
// [SECTION] World
//-----------------------------------------------------------------------------

// One run of a request or of a task at a target.
struct Run {
    std::string id;
    std::string team;
    std::string target;
    TimeMs      startedAt = 0;
    TimeMs      endedAt = -1; // -1: still running.
};

class World
{
public:
    explicit World(const WorldOptions &options);

    // Commands: time.
    auto runFor(TimeMs ms) -> void;
    auto at(TimeMs delayMs, std::function<void()> action) -> void; // After a delay from now.

    // Commands: operators.
    auto publish(std::vector<RuleEdit> edits) -> std::string; // Returns the record id.
    auto setRule(const std::string &line) -> void;            // Edits the newest version.
    auto eraseRule(const std::string &key) -> void;

    // Commands: callers. Each returns the handle of the call. sendOnce() sends a request that must
    // not repeat, sendRepeatable() a repeatable one, submit() a long task.
    auto sendOnce(int entry, const std::string &id) -> CallerHandle;
    auto sendRepeatable(int entry, const std::string &key = "key") -> CallerHandle;
    auto submit(int entry, const std::string &id, TaskSpec spec) -> CallerHandle;
    auto makeId(int zone) -> std::string;

    // Commands: faults.
    auto crash(int entry) -> void;
    auto restart(int entry) -> void; // A new incarnation with the same name and address.
    auto setPaused(int entry, bool isPaused) -> void; // Its events are delayed until it resumes.
    auto setPartitioned(int left, int right, bool isPartitioned) -> void; // Partitions two entries.
    auto setLogIsolated(int entry, bool isIsolated) -> void; // Isolates an entry from the log.
    auto setLogDown(bool isDown) -> void { isLogDown_ = isDown; }
    auto setTargetDown(const std::string &target, bool isDown) -> void;
    auto setTargetFailing(const std::string &worker, bool isFailing) -> void;
    auto setLeaving(const std::string &target, bool isLeaving) -> void;
    auto healAll() -> void;

    // Queries.
    auto now() const -> TimeMs { return now_; }
    auto entries() const -> int { return static_cast<int>(nodes_.size()); }
    auto engine(int entry) -> Engine & { return *nodes_[static_cast<std::size_t>(entry)].engine; }
    auto isUp(int entry) const -> bool { return nodes_[static_cast<std::size_t>(entry)].isUp; }
    auto zoneOf(int entry) const -> std::string;
    auto reply(CallerHandle handle) const -> const Reply *;
    auto replyId(CallerHandle handle) const -> const std::string & { return calls_.at(handle); }
    auto replies() const -> const std::map<CallerHandle, Reply> & { return replies_; }
    auto runs() const -> const std::vector<Run> & { return runs_; }
    auto runsOf(std::string_view id) const -> std::int64_t;
    auto runningOf(std::string_view team) const -> std::int64_t;
    auto unitsOf(std::string_view team)
        -> std::int64_t; // Free and in use, summed over all entries that are up.
    auto peakRunning() const -> std::int64_t { return peakRunning_; } // Peak of team "t".
    auto resetPeakRunning() -> void { peakRunning_ = runningOf("t"); }
    auto random() -> Random & { return random_; }

private:
    struct Node {
        std::string                        name;
        std::string                        zone;
        std::unique_ptr<Engine>            engine;
        Incarnation                        incarnation;
        int                                incarnationNumber = 0;
        bool                               isUp = true;
        bool                               isPaused = false;
        bool                               isLogIsolated = false;
        std::vector<std::function<void()>> delayed; // Events of a paused entry.
        std::map<std::string, std::string> appends; // Unconfirmed records, by record id.
    };

    struct Event {
        TimeMs                at = 0;
        std::int64_t          sequence = 0;
        std::function<void()> action;

        auto operator<(const Event &other) const -> bool
        {
            return at != other.at ? at > other.at : sequence > other.sequence;
        }
    };

    struct WorkerLease {
        std::size_t run = 0; // Index in `runs_`.
        TimeMs      endsAt = 0;
        TimeMs      doneAt = 0;        // When the task is done, if the lease lasts.
        std::string state = "running"; // "running", "done", "failed" or "stopped".
    };

    auto clock() const -> Now { return {now_, kWallStart + now_}; }
    auto settingsOf(const Node &node) const -> EngineSettings;
    auto start(Node &node) -> void;
    auto tick(std::size_t index, int incarnationNumber) -> void;
    auto pollLog(Node &node) -> void;
    auto deliver(std::size_t index, int incarnationNumber, std::function<void(Engine &)> event)
        -> void;
    auto disconnectPeer(std::size_t index, const Incarnation &peer) -> void;
    auto applyEffects(std::size_t index) -> void;
    auto sendPeer(std::size_t from, const SendPeer &message) -> void;
    auto append(Node &node) -> void;
    auto callTarget(std::size_t index, const CallTarget &call, const std::string &target) -> void;
    auto runRequest(std::size_t index, const CallTarget &call, const std::string &target) -> void;
    auto callWorker(const CallTarget &call, const std::string &worker) -> std::string;
    auto advanceLeases() -> void;
    auto beginRun(const std::string &id, const std::string &team, const std::string &target)
        -> std::size_t;
    auto chance(double fraction) -> bool;
    auto linkDelay() -> TimeMs { return 1 + static_cast<TimeMs>(random_(3)); }

    static constexpr WallMs kWallStart = 1'700'000'000'000;

    WorldOptions                                  options_;
    Random                                        random_;
    TimeMs                                        now_ = 1'000;
    std::int64_t                                  lastSequence_ = 0;
    std::priority_queue<Event>                    events_;
    std::vector<Node>                             nodes_;
    std::vector<std::string>                      log_;            // Offset is index + 1.
    FleetState                                    referenceState_; // After all records of the log.
    bool                                          isLogDown_ = false;
    std::set<std::pair<std::size_t, std::size_t>> partitionedLinks_;
    std::map<std::pair<std::size_t, std::size_t>, TimeMs>    lastDelivery_;
    std::map<std::string, ListedInstance>                    listed_;
    std::set<std::string>                                    removedInstances_;
    std::set<std::string>                                    downTargets_;
    std::set<std::string>                                    failingTargets_;
    std::map<std::pair<std::size_t, AttemptId>, std::string> attemptTargets_;
    std::vector<Run>                                         runs_;
    std::map<std::string, WorkerLease>                       leases_; // By lease key.
    std::map<CallerHandle, std::string>                      calls_;  // Ids of requests and tasks.
    std::map<CallerHandle, Reply>                            replies_;
    CallerHandle                                             lastHandle_ = 0;
    std::int64_t                                             lastChange_ = 0;
    std::int64_t                                             lastId_ = 0;
    std::int64_t                                             peakRunning_ = 0;
};

} // namespace peridotwalk
