// Decides whether a pool accepts a new job, by when the job is expected to complete. Pure: no clock; times
// are passed in.
//
// The pool's owner reports the work that waits after each placement round, and the capacity of its workers.
// A decision costs one pass over the tenants that have waiting work. Cpu is in thousandths of a core, and work is cpu times
// ms.
//
//   auto admission = AdmissionControl();
//   admission.beginRound();
//   admission.addWaiting("counter", 1, 0, 4e6, false); // For each job, here of 4 s on one core.
//   admission.endRound(now, {64'000, 64'000, 20e6}, true);
//   if (auto refusal = admission.decide(now, arrival)) { ... }
//
// Index of this file
// [SECTION] Settings
// [SECTION] Input
// [SECTION] Decisions
// [SECTION] Admission

#pragma once

#include "base/base.h"

#include <map>
#include <set>

namespace peridotwalk {

//-----------------------------------------------------------------------------
// [SECTION] Settings
//-----------------------------------------------------------------------------

struct AdmissionSettings {
    std::size_t maxRemembered = 10'000; // Refused ids that are remembered; those due first go.
    TimeMs      minRetryMs = 1'000;     // Least Retry-After.
    TimeMs      rateWindowMs = 2'000;   // Accepted work counts towards the rate for that long.
    // A job is refused only if it is expected to take this multiple of the time in which its result is of use. Estimates and
    // the capacity to come are rough, and a late result is better for a caller than a refusal that wasn't needed.
    double      certainty = 2;
    // Arrivals are expected to go on at their rate that long: half of a burst. Expected without end, all work that can't be
    // on time would be refused as soon as a burst exceeds the capacity.
    TimeMs      arrivalsLastMs = 2'000;
    double      latePart = 0.5;        // Of the capacity: left to late jobs, while there are any.
    TimeMs      shortageEndMs = 1'000; // A shortage is over once nothing has waited for that long.
    // From the beginning of a shortage until the machines that the coordinator chooses have arrived: 1.2 s until
    // its first calls, 1.5 s for a move, and the first answer of the new worker.
    TimeMs      machinesArriveMs = 3'500;
};

//-----------------------------------------------------------------------------
// [SECTION] Input
//-----------------------------------------------------------------------------

// Capacity for timed tasks, in thousandths of a core.
struct PoolCapacity {
    std::int64_t cpu = 0;         // Of usable workers and those yet to answer. 0: none is usable.
    std::int64_t fleetCpu = 0;    // Of the workers of all pools.
    double       runningWork = 0; // Expected rest of the runs.
};

// A new job with an objective.
struct Arrival {
    std::string_view id;
    std::string_view tenant;
    double           weight = 1; // Of the tenant. 0 and less count as the smallest positive weight.
    std::int64_t     priority = 0;    // Of the queue. 0 goes first.
    TimeMs           chainMs = 0;     // Expected length of its longest chain of steps.
    TimeMs           objectiveMs = 0; // It is on time if it completes within this.
    TimeMs           usefulMs = 0;    // Its result is of use if it completes within this.
    double           work = 0;        // Expected. Doesn't count in the decision on this job.
};

//-----------------------------------------------------------------------------
// [SECTION] Decisions
//-----------------------------------------------------------------------------

enum class RefusalReason {
    PoolFull,        // It can't complete while its result is of use.
    TenantOverShare, // The same, but it could if its tenant had less than its share of the capacity.
};

struct JobRefusal {
    RefusalReason reason = RefusalReason::PoolFull;
    TimeMs        expectedMs = 0;   // From its first arrival to its completion.
    double        workAhead = 0;    // Waiting work and runs.
    TimeMs        retryAfterMs = 0; // Whole seconds.
};

auto reasonText(RefusalReason reason) -> std::string_view; // For callers, and as a label.

//-----------------------------------------------------------------------------
// [SECTION] Admission
//-----------------------------------------------------------------------------

class AdmissionControl
{
public:
    explicit AdmissionControl(const AdmissionSettings &settings = {}) : settings_(settings) { }

    // Commands.
    // A round reports all waiting work anew: beginRound(), addWaiting() for each job, endRound().
    auto beginRound() -> void;
    // Adds work that waits for workers. `isLate`: its job misses its objective. Work that is of no use any more isn't
    // reported, as other work precedes it.
    auto addWaiting(std::string_view tenant, double weight, std::int64_t priority, double work,
                    bool isLate) -> void;
    // Adds the work of a job accepted between two rounds.
    auto addAccepted(const Arrival &arrival) -> void;
    // `isShort`: more tasks wait for workers than the pool serves within moments.
    auto endRound(TimeMs now, const PoolCapacity &capacity, bool isShort) -> void;
    // Returns nothing if the job is expected to complete while its result is of use, or if no worker is usable.
    auto decide(TimeMs now, const Arrival &arrival) const -> std::optional<JobRefusal>;
    // Remembers a refused id and when it first arrived, until twice its Retry-After has passed.
    auto remember(TimeMs now, const Arrival &arrival, const JobRefusal &refusal) -> void;
    // Forgets an id that was accepted. Returns when it first arrived. Nothing: it isn't remembered.
    auto takeFirstArrival(TimeMs now, std::string_view id) -> std::optional<TimeMs>;

    // Queries.
    auto countRemembered() const -> std::size_t { return refused_.size(); }

private:
    struct Work {
        double onTime = 0;
        double late = 0;
    };
    struct TenantWork {
        double                       weight = 1;
        double                       accepted = 0; // Of the last seconds, decaying.
        std::map<std::int64_t, Work> waiting;      // By priority.
    };
    struct Ahead {
        double onTime = 0; // Work, that of runs included.
        double late = 0;
        double arriving = 0; // Accepted work per ms.
    };
    struct Refused {
        TimeMs firstArrival = 0;
        TimeMs until = 0;
        double work = 0;
    };

    auto workAhead(const Arrival &arrival, bool isUnderShareOnly) const -> Ahead;
    auto rateOf(const TenantWork &tenant) const -> double; // Of accepted work, in cpu.
    auto isUnderShare(const TenantWork &tenant, double weights) const -> bool;
    auto isArrivalUnderShare(const Arrival &arrival) const -> bool;
    auto totalWeight() const -> double;
    // Returns the time until the work is done, in ms. `arriving`: rate of work that precedes it.
    auto waitFor(TimeMs now, double work, double arriving) const -> double;
    auto findTenant(std::string_view tenant, double weight) -> TenantWork &;
    auto retryAfter(TimeMs now, const Arrival &arrival, double missingMs, double elapsedMs) const
        -> TimeMs;
    auto forget(std::map<std::string, Refused, std::less<>>::iterator entry) -> void;
    auto forgetExpired(TimeMs now) -> void;

    AdmissionSettings                              settings_;
    PoolCapacity                                   capacity_;
    std::map<std::string, TenantWork, std::less<>> tenants_; // Those with waiting or recent work.
    TimeMs                                         shortSince_ = 0; // 0: no shortage.
    TimeMs                                         lastShortAt_ = 0;
    TimeMs                                         roundAt_ = 0;    // Last endRound(). 0: none yet.
    std::int64_t                                   reachedCpu_ = 0; // Most in this shortage.
    // What the pool reached in the last shortage that machines had time to arrive in. 0: unknown.
    std::int64_t                                   providedCpu_ = 0;
    std::map<std::string, Refused, std::less<>>    refused_;       // By id.
    std::set<std::pair<TimeMs, std::string>>       expiry_;        // `until` and id of each.
    double                                         returning_ = 0; // Work of the remembered jobs.
};

} // namespace peridotwalk
