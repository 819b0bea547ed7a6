// Schedules the jobs of one pool under one fencing token. Pure: it is told what happened, and gives out
// actions. One owner of a pool runs one of these; a new owner makes a new one from the journal.
//
//   auto pool = PoolScheduler(identity, settings, view);
//   pool.restore(now, restoreJobs(records).jobs);
//   pool.submit(now, handle, spec);
//   for (auto &action : pool.takeActions()) { ... }
//
// Every change that must last goes into the journal first: a job before its caller is told, a run before
// its order leaves, an end before the worker may forget it. One append is under way at a time and
// carries all that changed meanwhile.
//
// Index of this file
// [SECTION] Settings
// [SECTION] Fleet view
// [SECTION] Actions
// [SECTION] Scheduler

#pragma once

#include "coordinator/coordinator.h"
#include "journal/journal.h"

namespace peridotwalk {

//-----------------------------------------------------------------------------
// [SECTION] Settings
//-----------------------------------------------------------------------------

// Both clocks at one moment.
struct Moment {
    TimeMs       steadyMs = 0; // Counts suspended time.
    std::int64_t wallMs = 0;
};

struct PoolSettings {
    TimeMs leaseMs = 6'000;     // What holds and starts give. Bounds work lost to silent workers.
    TimeMs maxLeaseMs = 10'000; // Workers shorten longer leases to this.
    TimeMs holdWaitMs = 1'000;  // A hold waits that long for an end.
    TimeMs holdRetryMs = 250;   // After a hold without an answer.
    TimeMs orderRetryMs = 300;  // After an order without an answer.
    TimeMs offlineExtensionMs =
        3'000;                    // An owner without the store extends leases that much longer.
    TimeMs cordonGraceMs = 5'000; // Timed tasks on a worker that is emptied may go on that long.
    // An owner that hasn't read workers' entries for that long extends no leases: a term and caretaking.
    TimeMs maxViewAgeMs = 5'500;
    TimeMs flushIntervalMs = 10;    // Least time between appends. Batches changes.
    TimeMs scheduleIntervalMs = 5;  // Least time between rounds of placement, with no jobs.
    TimeMs journalStallMs = 600;    // New jobs are refused while an append is older than that.
    TimeMs workerBackoffMs = 3'000; // A worker that failed several runs in a row rests that long.
    int    maxConsecutiveFailures = 3; // Of one worker before it rests.
    int    maxStartAttempts = 4;       // Unanswered starts before the run is stopped.
};

//-----------------------------------------------------------------------------
// [SECTION] Fleet view
//-----------------------------------------------------------------------------

// What an entry knows of operators' rules and of workers. Shared by all schedulers of a process.
struct FleetView {
    Catalog                             catalog;
    std::set<std::string>               evacuatedZones;
    std::map<std::string, WaveOrder>    waves;
    std::map<std::string, WorkerReport> workers;    // By id.
    std::map<std::string, TimeMs>       removed;    // Workers whose entry went, and when.
    TimeMs                              readAt = 0; // All of their entries were, last.

    // Returns since when a worker isn't listed. Nothing: its entry was never seen here, perhaps because
    // this node lags behind.
    auto missingSince(const std::string &worker) const -> std::optional<TimeMs>;
};

//-----------------------------------------------------------------------------
// [SECTION] Actions
//-----------------------------------------------------------------------------

enum class JobVerdict {
    Accepted,  // Recorded.
    Cancelled, // Recorded, or over before.
    Missing,   // There is no such job.
    Refused,   // Not taken, and never will be under this call.
};

struct AppendJournal {
    std::int64_t             sequence = 0;
    std::vector<KeyedRecord> records;
};
struct AnswerCaller {
    std::int64_t handle = 0;
    JobVerdict   verdict = JobVerdict::Refused;
    std::string  reason = {};
    TimeMs       retryAfterMs = 0;
};
struct SendStart {
    WorkerPeer worker;
    StartOrder order;
};
struct SendStop {
    WorkerPeer worker;
    StopOrder  order;
};
struct SendPace {
    WorkerPeer worker;
    PaceOrder  order;
};
struct SendHold {
    WorkerPeer worker;
    HoldOrder  order;
    TimeMs     sentAt = 0;
};
// For the log: a decision about a run, with what it was based on.
struct LogRunEvent {
    std::string_view event;
    TaskRef          task;
    std::int64_t     run = 0;
    std::string      worker;
    std::string      detail;
};

using PoolAction =
    std::variant<AppendJournal, AnswerCaller, SendStart, SendStop, SendPace, SendHold, LogRunEvent>;

//-----------------------------------------------------------------------------
// [SECTION] Scheduler
//-----------------------------------------------------------------------------

struct PoolIdentity {
    std::string  pool;
    std::int64_t token = 0; // Fencing token of this owner.
};

class PoolScheduler
{
public:
    PoolScheduler(PoolIdentity identity, const PoolSettings &settings, const FleetView &view);
    ~PoolScheduler();
    PoolScheduler(const PoolScheduler &) = delete;
    auto operator=(const PoolScheduler &) -> PoolScheduler & = delete;

    // Commands.
    auto restore(Moment now, JobTable jobs, std::optional<HandOver> note = std::nullopt) -> void;
    auto beginHandOver(Moment now) -> void; // Decides nothing more; the journal gets a last record.
    auto setTerm(TimeMs untilMs) -> void;   // Nothing starts after that, on the steady clock.
    auto submit(Moment now, std::int64_t handle, JobSpec spec) -> void;
    auto cancel(Moment now, std::int64_t handle, std::string_view id) -> void;
    auto onViewChanged(Moment now) -> void;
    auto onAppended(Moment now, std::int64_t sequence, CallOutcome outcome) -> void;
    auto onStarted(Moment now, const SendStart &sent, const OrderReply &reply) -> void;
    auto onStopped(Moment now, const SendStop &sent, const OrderReply &reply) -> void;
    auto onHoldReply(Moment now, const SendHold &sent, const HoldReply &reply) -> void;
    auto tick(Moment now) -> void;    // Looks at everything that may be due.
    auto advance(Moment now) -> void; // The same after an event, for what the event touched.
    auto applyDirection(Moment now, const PoolDirection &direction) -> void; // Of the coordinator.
    auto takeActions() -> std::vector<PoolAction>;

    // Queries.
    auto identity() const -> const PoolIdentity &;
    auto jobState(std::string_view id) const -> std::optional<JobState>; // As recorded.
    auto countPending(std::string_view queue) const -> std::int64_t;
    auto isFenced() const -> bool;     // A newer owner is at work.
    auto report() const -> PoolReport; // To the coordinator.
    auto countJobs() const -> std::size_t;
    auto countRuns() const -> std::size_t;
    auto countPlacementRounds() const -> std::int64_t; // Rounds of placement so far.
    auto isHandedOver() const -> bool;                 // The last record is in the journal.

private:
    class State;
    std::unique_ptr<State> state_;
};

} // namespace peridotwalk
