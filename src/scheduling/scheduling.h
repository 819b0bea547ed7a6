// Weighted fair queueing of requests that wait for a pool.
//
// Each pool has one queue, with a sub-queue per team. The team with the least usage relative to its
// share goes first; a team that was idle gains no credit. Callers limit the size of a queue; every
// request has a deadline.
//
// Index of this file
// [SECTION] Waiting requests
// [SECTION] Fair queue
// [SECTION] Run time estimates

#pragma once

#include "base/base.h"

#include <deque>
#include <functional>
#include <map>

namespace peridotwalk {

//-----------------------------------------------------------------------------
// [SECTION] Waiting requests
//-----------------------------------------------------------------------------

struct WaitingRequest {
    std::string id;
    std::string team;
    std::string service;
    TimeMs      enqueuedAt = 0;
    TimeMs      deadline = 0; // When it leaves the queue unserved.
    double      cost = 1;     // Expected run time, in any unit that is the same for all teams.
};

//-----------------------------------------------------------------------------
// [SECTION] Fair queue
//-----------------------------------------------------------------------------

class FairQueue
{
public:
    using IsEligible = std::function<bool(const WaitingRequest &)>;

    // Commands.
    auto setShare(std::string_view team, double share) -> void; // Weight. 1 if not set.
    auto push(WaitingRequest request) -> void;
    auto pop(const IsEligible &isEligible) -> std::optional<WaitingRequest>;
    auto remove(std::string_view id) -> bool;                   // For a cancelled request.
    auto popExpired(TimeMs now) -> std::vector<WaitingRequest>; // Deadline passed.
    auto charge(std::string_view team, double cost) -> void;    // Adds usage from elsewhere.

    // Queries.
    auto size() const -> std::size_t { return size_; }
    auto sizeOf(std::string_view team) const -> std::size_t;
    auto usage(std::string_view team) const -> double; // Cost divided by share.

    // Visits each team with waiting requests, and their number.
    auto forEachTeam(const std::function<void(const std::string &, std::size_t)> &visit) const
        -> void;

private:
    struct TeamQueue {
        double                     share = 1;
        double                     usage = 0; // Cost divided by share.
        std::deque<WaitingRequest> waiting;
    };

    auto minWaitingUsage() const -> std::optional<double>;

    std::map<std::string, TeamQueue, std::less<>> teamQueues_;
    std::size_t                                   size_ = 0;
    // No waiting request has an earlier deadline.
    TimeMs                                        nextDeadline_ = 0;
    // Highest usage at which a team was served. Idle teams resume at least there if no other one waits.
    double                                        virtualTime_ = 0;
};

//-----------------------------------------------------------------------------
// [SECTION] Run time estimates
//-----------------------------------------------------------------------------

// Moving averages of run times by team and service, since declared run times are far off.
class RunTimeEstimates
{
public:
    // Commands.
    auto observe(std::string_view team, std::string_view service, TimeMs ranMs) -> void;

    // Returns the average run time in ms, or `fallbackMs` before the first observation.
    auto estimate(std::string_view team, std::string_view service, TimeMs fallbackMs) const
        -> double;

private:
    static constexpr double      kSmoothingFactor = 0.1; // Weight of a new observation.
    static constexpr std::size_t kMaxEntries = 10'000;   // Further keys get no average.

    std::map<std::string, double, std::less<>> averages_;
};

} // namespace peridotwalk
