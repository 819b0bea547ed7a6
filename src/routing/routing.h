// Which target of a pool gets a request.
//
// A target is a runner or a worker as the back end of one request. The table knows what the platform
// lists, what the rules say, what this entry has sent and how it went. A policy then picks one.
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

using Random = pcg32; // Seeded by the caller, so that a run can be repeated.

//-----------------------------------------------------------------------------
// [SECTION] Targets
//-----------------------------------------------------------------------------

// What this entry knows of one target.
struct Target {
    std::string  name;                // "r1"
    std::string  address;             // "127.0.0.1:9001", from the platform's list.
    std::string  zone;                // From its rule.
    std::string  rack;                // From its rule.
    std::string  pool;                // From its rule.
    std::string  slotName;            // Its slots' name in a UnitLedger.
    std::int64_t slots = 1;           // From its rule.
    std::int64_t outstanding = 0;     // Sent by this entry and not ended.
    std::int64_t peerOutstanding = 0; // Outstanding of other entries, as last told.
    bool         isListed = false;    // The platform lists it as live.
    bool         isLeaving = false;   // Listed as leaving, told by a peer, or draining by rule.
    double       failureRate = 0;     // Moving average of failures per attempt, 0 to 1.
    double       latencyMs = 0;       // Moving average of answer times. 0: none yet.
    TimeMs       ejectedUntil = 0;    // Gets nothing before that time.
    TimeMs       slowStartUntil = 0;  // Gets a growing part of its slots until then.
    std::int64_t ejections = 0;       // In a row. Each doubles the time out.
    std::int64_t currentWeight = 0;   // State of the smooth weighted policy.
};

// What a target list says of one instance.
struct ListedInstance {
    std::string name;
    std::string address;
    bool        isLeaving = false;
};

//-----------------------------------------------------------------------------
// [SECTION] Policies
//-----------------------------------------------------------------------------

// What a policy decides from. `slotsFree` has one number for each candidate.
struct PickInput {
    std::span<Target *const>      candidates;
    std::span<const std::int64_t> slotsFree; // Slots of it that this entry holds and doesn't use.
    std::string_view              zone;      // The entry's own.
    Random                       &random;
};

// Picks the index of a candidate, or nothing if none should get the request now.
class RoutingPolicy
{
public:
    virtual ~RoutingPolicy() = default;

    virtual auto name() const -> std::string_view = 0;
    virtual auto pick(const PickInput &input) -> std::optional<std::size_t> = 0;
    virtual auto needsSlots() const -> bool { return false; } // Uses only slots held by the entry.
};

// The default: takes a target only with a slot held by this entry, emptiest first, own zone first.
auto makeHeldSlotPolicy() -> std::unique_ptr<RoutingPolicy>;

// Baselines, for comparison in bench/ and as settings.
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
    std::int64_t slotOvercommit = 2; // Held-slots: requests beyond its slots that wait at a target.
    double       ejectFailureRate = 0.5;  // Above that, and above twice the pool's: out.
    double       ejectMaxFraction = 0.34; // Most of a pool that is out at once, 0 to 1.
    TimeMs       ejectMs = 5'000;         // First time out. Doubles up to ejectMaxMs.
    TimeMs       ejectMaxMs = 60'000;
    TimeMs       slowStartMs = 5'000; // A returning target gets all its slots after that.
    double       averageWeight = 0.2; // Weight of a new observation in the averages.
};

// How one attempt at a target went.
enum class AttemptResult {
    Answered, // A whole answer.
    Failed,   // No connection, a reset, a broken answer or a time limit.
    Refused,  // The target itself answered that it can't take work.
};

// A picked target.
struct Choice {
    std::string target;
    std::string address;
    std::size_t considered = 0; // How many targets could have been picked.
};

class TargetTable
{
public:
    TargetTable(std::string zone, const RoutingSettings &settings);

    // Commands.
    auto setRules(const RuleTable &rules) -> void;
    auto setList(std::span<const ListedInstance> list, TimeMs now) -> void;
    auto markLeaving(std::string_view target) -> void; // Told by a peer, ahead of the list.
    auto setPeerOutstanding(std::string_view target, std::int64_t outstanding) -> void;
    auto noteStart(std::string_view target) -> void;
    auto noteEnd(std::string_view target, AttemptResult result, TimeMs latencyMs, TimeMs now)
        -> void;
    auto noteTaskFailure(std::string_view target, TimeMs now)
        -> void; // Of a task, not of an attempt.
    auto noteTaskSuccess(std::string_view target) -> void;
    auto choose(const RuleTable &rules, std::string_view pool, const UnitLedger &slots,
                std::span<const std::string> exclude, TimeMs now, Random &random)
        -> std::optional<Choice>;

    // Queries.
    auto find(std::string_view target) const -> const Target *;
    auto all() const -> const std::map<std::string, Target, std::less<>> & { return targets_; }
    auto mayStart(const RuleTable &rules, std::string_view target) const -> bool; // The last check.
    auto usableSlots(const Target &target, TimeMs now) const -> std::int64_t;
    auto isUsable(const RuleTable &rules, const Target &target, TimeMs now) const -> bool;
    auto usesHeldSlots() const -> bool { return policy_->needsSlots(); }
    auto leaving() const -> std::vector<std::string>;

private:
    auto considerEjection(Target &target, TimeMs now) -> void;
    auto poolFailureRate(std::string_view pool) const -> double;
    auto mayEjectOneMore(std::string_view pool, TimeMs now) const -> bool;

    std::string                                zone_;
    RoutingSettings                            settings_;
    std::unique_ptr<RoutingPolicy>             policy_;
    std::map<std::string, Target, std::less<>> targets_;
    std::set<std::string, std::less<>>         toldLeaving_;
};

// Returns the name under which the slots of a target are shared out in a UnitLedger.
auto slotResource(std::string_view target) -> std::string;

//-----------------------------------------------------------------------------
// [SECTION] Retry budget
//-----------------------------------------------------------------------------

// Bounds retries to a part of the first attempts, so a failing pool isn't sent twice its load.
class RetryBudget
{
public:
    // Commands.
    auto noteFirstAttempt() -> void;
    auto takeRetry() -> bool;

    // Queries.
    auto balance() const -> double { return balance_; }

private:
    static constexpr double kRetriesPerAttempt = 0.1;
    static constexpr double kMaxBalance = 10;

    double balance_ = kMaxBalance;
};

} // namespace peridotwalk
