// Which waiting request goes next.
//
// Each pool has one queue with a line per team. The team that has used least for its share goes
// first; a team that was idle doesn't save up. Waiting has a cap and every request a deadline.
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
    TimeMs      deadline = 0; // Leaves the queue unserved at that time.
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
    auto setShare(std::string_view team, double share) -> void;
    auto push(WaitingRequest request) -> void;
    auto pop(const IsEligible &isEligible) -> std::optional<WaitingRequest>;
    auto remove(std::string_view id) -> bool;                   // Cancelled.
    auto popExpired(TimeMs now) -> std::vector<WaitingRequest>; // Deadline passed.
    auto charge(std::string_view team, double cost) -> void;    // Corrects, or adds use elsewhere.

    // Queries.
    auto size() const -> std::size_t { return size_; }
    auto sizeOf(std::string_view team) const -> std::size_t;
    auto usage(std::string_view team) const -> double; // Cost by share since the start.
    auto forEachTeam(const std::function<void(const std::string &, std::size_t)> &visit) const
        -> void; // Teams with waiting requests, and how many.

private:
    struct Line {
        double                     share = 1;
        double                     usage = 0; // Cost divided by share.
        std::deque<WaitingRequest> waiting;
    };

    auto leastUsageOfWaiting() const -> std::optional<double>;

    std::map<std::string, Line, std::less<>> lines_;
    std::size_t                              size_ = 0;
    TimeMs nextDeadline_ = 0; // No request that waits has an earlier one.
    double floor_ = 0;        // Usage of the line served last.
};

//-----------------------------------------------------------------------------
// [SECTION] Run time estimates
//-----------------------------------------------------------------------------

// Learns run times, since declared ones are far off.
class RunTimeEstimates
{
public:
    // Commands.
    auto observe(std::string_view team, std::string_view service, TimeMs ranMs) -> void;

    // Returns the average run time in ms, or `fallbackMs` before the first observation.
    auto estimate(std::string_view team, std::string_view service, TimeMs fallbackMs) const
        -> double;

private:
    static constexpr double      kNewWeight = 0.1;
    static constexpr std::size_t kMaxEntries = 10'000;

    std::map<std::string, double, std::less<>> averages_;
};

} // namespace peridotwalk
