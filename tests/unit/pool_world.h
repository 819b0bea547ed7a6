// Owners of one pool against fakes of the journal and of workers, on a clock of the test's own.
// Breaks of a promise are collected while it runs.

#pragma once

#include "pool/pool.h"

#include <pcg_random.hpp>

#include <deque>

namespace peridotwalk {

// How unkind the world is.
struct WorldFaults {
    int lostAnswers = 0; // Percent of orders that are carried out and not answered.
    int lateOrders = 0;  // Percent of unanswered orders that are carried out seconds later.
    int lostAppends = 0; // Percent of appends that are done and not answered.
    int failingRuns = 0; // Percent of runs that end as failed.
    int crashes = 0;     // Workers that crash per 1,000 steps.
    int takeovers = 0;   // Owners that are replaced per 1,000 steps.
};

// A worker that follows the platform's contract: fencing, leases, ends until they are acknowledged.
struct FakeWorker {
    struct Run {
        TaskRef      task;
        std::int64_t run = 0;
        TimeMs       endsAt = 0; // 0: lasts.
    };

    WorkerReport                    report;
    bool                            isUp = true;
    bool                            isIsolated = false; // Runs on, and no owner reaches it.
    TimeMs                          bornAt = 0;
    std::int64_t                    token = 0;
    TimeMs                          leaseUntil = 0; // On its own clock.
    std::vector<Run>                running;
    std::map<TaskRef, std::int64_t> voided; // Highest run stopped or ended here.
    std::deque<EndedRow>            ended;
    std::int64_t                    lastEnd = 0;
};

class PoolWorld
{
public:
    PoolWorld(std::uint64_t seed, WorldFaults faults, int workers);

    // Commands.
    auto submit(JobSpec spec) -> void;
    auto cancel(const std::string &id) -> void;
    auto crash(const std::string &worker)
        -> void;             // Its entry goes 4.5 s later; it doesn't come back.
    auto takeOver() -> void; // A new owner, from the journal alone.
    auto handOver() -> void; // The owner gives the pool up as planned, and a new one follows.
    auto run(TimeMs ms) -> void;
    auto applyDirection(const PoolDirection &direction) -> void;
    auto cut(const std::string &worker) -> void { workers_.at(worker).isIsolated = true; }
    auto setViewStale(bool isStale) -> void { isViewStale_ = isStale; }
    auto setStoreDown(bool isDown) -> void { isStoreDown_ = isDown; }
    auto changeView(const std::function<void(FleetView &)> &change) -> void;

    // Queries.
    auto owner() -> PoolScheduler & { return *owner_; }
    auto workers() -> std::map<std::string, FakeWorker> & { return workers_; }
    auto now() const -> Moment { return now_; }
    auto broken() const -> const std::vector<std::string> & { return broken_; }
    auto accepted() const -> const std::set<std::string> & { return accepted_; }
    auto doneEnds(const TaskRef &task) const -> int;
    auto starts(const TaskRef &task) const -> int;
    auto isRunning(const TaskRef &task) const -> bool;
    auto isRunningOn(const TaskRef &task) const -> std::string; // Empty: nowhere.

    std::function<std::string(const StartOrder &)>
        startGuard; // A text refuses, as a broken promise.

private:
    auto step() -> void;
    auto drain() -> void;
    auto later(TimeMs delay, std::function<void()> action) -> void;
    auto chance(int percent) -> bool
    {
        return std::uniform_int_distribution(1, 100)(random_) <= percent;
    }
    auto clockOf(const FakeWorker &worker) const -> TimeMs { return now_.steadyMs - worker.bornAt; }
    auto finish(FakeWorker &worker, std::size_t index, RunEnd end) -> void;
    auto applyStart(FakeWorker &worker, const StartOrder &order) -> OrderReply;
    auto applyStop(FakeWorker &worker, const StopOrder &order) -> OrderReply;
    auto applyHold(FakeWorker &worker, const HoldOrder &order) -> HoldReply;
    auto perform(const AppendJournal &action) -> void;
    auto perform(const AnswerCaller &action) -> void;
    auto perform(const SendStart &action) -> void;
    auto perform(const SendStop &action) -> void;
    auto perform(const SendPace &action) -> void;
    auto perform(const SendHold &action) -> void;
    auto perform(const LogRunEvent &action) -> void;
    auto fail(std::string what) -> void { broken_.push_back(std::move(what)); }

    pcg32                                        random_;
    WorldFaults                                  faults_;
    Moment                                       now_ = {1'000, 1'700'000'000'000};
    FleetView                                    view_;
    PoolSettings                                 settings_;
    std::map<std::string, FakeWorker>            workers_;
    std::map<std::string, std::string>           journal_;
    std::int64_t                                 epoch_ = 0;
    std::int64_t                                 sequence_ = 0; // Last append done in this epoch.
    std::unique_ptr<PoolScheduler>               owner_;
    std::multimap<TimeMs, std::function<void()>> events_;
    std::map<std::int64_t, std::string>          handles_;
    std::int64_t                                 lastHandle_ = 0;
    std::set<std::string>                        accepted_;
    std::map<std::string, JobSpec>               specs_;
    std::map<TaskRef, int>   done_;   // Ends that an owner can still read, or has.
    std::map<TaskRef, int>   failed_; // The same.
    std::set<TaskRef>        everDone_;
    std::map<TaskRef, int>   starts_;
    std::vector<std::string> broken_;
    bool                     isStoreDown_ = false;
    bool                     isViewStale_ = false; // Workers' entries aren't read.
};

// A step of `count` tasks that take `estimateMs` on one core each.
auto makeStep(std::int64_t count, TimeMs estimateMs) -> StepSpec;
auto makeJob(std::string id, std::vector<StepSpec> steps) -> JobSpec;

} // namespace peridotwalk
