// Chooses the target of a pool that gets a request.
//
// A target is an instance (a runner or a worker) seen as the receiver of requests. The target table
// combines the platform's instance list, the rules, and the load and results of this entry's own
// requests. A routing policy then picks one of the usable targets.
//
// Index of this file
// [SECTION] Targets
// [SECTION] Policies
// [SECTION] Target table
// [SECTION] Retry budget

#pragma once

#include "fleet/fleet.h"
#include "limits/limits.h"

#include <functional>
#include <memory>
#include <pcg_random.hpp>

namespace peridotwalk {

using Random = pcg32; // Seeded by the caller, so that simulations are reproducible.

//-----------------------------------------------------------------------------
// [SECTION] Targets
//-----------------------------------------------------------------------------

// This entry's state of one target.
struct Target {
    std::string  name;                // "r1"
    std::string  address;             // "127.0.0.1:9001", from the platform's list.
    std::string  zone;                // From its rule.
    std::string  rack;                // From its rule.
    std::string  pool;                // From its rule.
    std::string  slotName;            // slotResource() of its name.
    std::int64_t slots = 1;           // From its rule: requests that it serves at a time.
    std::int64_t outstanding = 0;     // Requests that this entry has sent and that haven't ended.
    std::int64_t peerOutstanding = 0; // The same of all other entries, from their heartbeats.
    bool         isListed = false;    // The platform's instance list has it.
    bool         isLeaving = false;   // Listed as leaving, or announced by a peer: no new requests.
    double       failureRate = 0;     // Moving average of failures per attempt, 0 to 1.
    double       latencyMs = 0;       // Moving average of answer times. 0: none yet.
    TimeMs       ejectedUntil = 0;    // Gets no requests before that time.
    TimeMs       slowStartUntil = 0;  // Slow start: its usable slots grow until that time.
    std::int64_t ejections = 0;       // Consecutive ones. Each doubles the next ejection time.
    std::int64_t currentWeight = 0;   // State of the smooth weighted policy.
};

// An instance in the platform's instance list.
struct ListedInstance {
    std::string name;
    std::string address;
    bool        isLeaving = false;
};

//-----------------------------------------------------------------------------
// [SECTION] Policies
//-----------------------------------------------------------------------------

struct PickInput {
    std::span<Target *const>      candidates; // Not empty.
    std::span<const std::int64_t> slotsFree;  // By candidate: unused slots that this entry holds.
    std::string_view              zone;       // The entry's own.
    Random                       &random;
};

// pick() returns the index of a candidate, or nothing if none should get the request now.
class RoutingPolicy
{
public:
    virtual ~RoutingPolicy() = default;

    virtual auto name() const -> std::string_view = 0;
    virtual auto pick(const PickInput &input) -> std::optional<std::size_t> = 0;
    virtual auto needsSlots() const -> bool { return false; } // Uses only slots held by the entry.
};

// The default. Picks only targets of which this entry holds a free slot: those of its own zone first,
// among them the one with the most free slots.
auto makeHeldSlotPolicy() -> std::unique_ptr<RoutingPolicy>;

// Baselines, for comparison in bench/. Selectable by settings too.
auto makeRandomPolicy() -> std::unique_ptr<RoutingPolicy>;
auto makeRoundRobinPolicy() -> std::unique_ptr<RoutingPolicy>;
auto makeLeastOutstandingPolicy() -> std::unique_ptr<RoutingPolicy>;
auto makeTwoChoicesPolicy() -> std::unique_ptr<RoutingPolicy>;
auto makeSmoothWeightedPolicy()
    -> std::unique_ptr<RoutingPolicy>; // nginx's smooth weighted round robin.

// Returns the policy with that name(), or null.
auto makePolicy(std::string_view name) -> std::unique_ptr<RoutingPolicy>;

//-----------------------------------------------------------------------------
// [SECTION] Target table
//-----------------------------------------------------------------------------

struct RoutingSettings {
    std::string  policy = "held-slots";
    std::int64_t slotOvercommit = 2;      // Held-slots: requests sent beyond a target's slots.
    double       ejectFailureRate = 0.5;  // At this rate, or twice the pool's if higher: ejected.
    double       ejectMaxFraction = 0.34; // Largest part of a pool ejected at a time, 0 to 1.
    TimeMs       ejectMs = 5'000;         // First ejection. Doubles up to ejectMaxMs.
    TimeMs       ejectMaxMs = 60'000;
    TimeMs       slowStartMs = 5'000; // Slow start of a new or returning target. 0: none.
    double       averageWeight = 0.2; // Weight of a new sample in the moving averages, 0 to 1.
};

// Result of one attempt to send a request to a target.
enum class AttemptResult {
    Answered, // A complete answer arrived.
    Failed,   // No connection, a reset, an incomplete answer or a timeout.
    Refused,  // The target answered that it doesn't accept the request.
};

// A chosen target.
struct Choice {
    std::string target;
    std::string address;
    std::size_t considered = 0; // Number of usable targets that the policy chose from.
};

class TargetTable
{
public:
    TargetTable(std::string zone, const RoutingSettings &settings);

    // Commands.
    auto setRules(const RuleTable &rules) -> void;
    auto setList(std::span<const ListedInstance> list, TimeMs now) -> void;
    auto markLeaving(std::string_view target) -> void; // Announced by a peer, ahead of the list.
    auto setPeerOutstanding(std::string_view target, std::int64_t outstanding) -> void;
    auto noteStart(std::string_view target) -> void;
    auto noteEnd(std::string_view target, AttemptResult result, TimeMs latencyMs, TimeMs now)
        -> void;
    // Results of tasks, which count in the failure rate like attempts.
    auto noteTaskFailure(std::string_view target, TimeMs now) -> void;
    auto noteTaskSuccess(std::string_view target) -> void;
    auto choose(const RuleTable &rules, std::string_view pool, const UnitLedger &slots,
                std::span<const std::string> exclude, TimeMs now, Random &random)
        -> std::optional<Choice>;

    // Queries.
    auto find(std::string_view target) const -> const Target *;
    auto all() const -> const std::map<std::string, Target, std::less<>> & { return targets_; }
    // Returns whether the target may get new work: it is listed, isn't leaving or draining, and its
    // zone is in service. Checked again right before each start.
    auto mayStart(const RuleTable &rules, std::string_view target) const -> bool;
    // Returns the slots that may be used: all of them, or fewer during the slow start.
    auto usableSlots(const Target &target, TimeMs now) const -> std::int64_t;
    // Returns mayStart() for a target that isn't ejected, otherwise false.
    auto isUsable(const RuleTable &rules, const Target &target, TimeMs now) const -> bool;
    auto usesHeldSlots() const -> bool { return policy_->needsSlots(); }
    auto leaving() const -> std::vector<std::string>;

private:
    auto considerEjection(Target &target, TimeMs now) -> void;
    auto poolFailureRate(std::string_view pool) const -> double;
    auto mayEjectOneMore(std::string_view pool, TimeMs now) const -> bool;

    std::string                                zone_; // The entry's own.
    RoutingSettings                            settings_;
    std::unique_ptr<RoutingPolicy>             policy_;
    std::map<std::string, Target, std::less<>> targets_;
    std::set<std::string, std::less<>>         announcedLeaving_; // Announced by peers.
};

// Returns the resource name of a target's slots in a UnitLedger.
auto slotResource(std::string_view target) -> std::string;

//-----------------------------------------------------------------------------
// [SECTION] Retry budget
//-----------------------------------------------------------------------------

// Limits retries to a fraction of the first attempts, so that a failing pool doesn't get twice its load.
class RetryBudget
{
public:
    // Commands.
    auto noteFirstAttempt() -> void;
    auto takeRetry() -> bool; // False: no retry is left for now.

    // Queries.
    auto balance() const -> double { return balance_; } // Retries left. Below 1: none.

private:
    static constexpr double kRetriesPerAttempt = 0.1;
    static constexpr double kMaxBalance = 10;

    double balance_ = kMaxBalance;
};

} // namespace peridotwalk
