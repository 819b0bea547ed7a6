// Units: how entries share a limit without a call to another node for each use.
//
// A team's limit is divided into units. Each start uses one unit of the entry that starts it. The log
// grants units to entries; entries transfer them to each other directly, without the log. The same
// accounting divides the slots of runners.
//
//   free = granted + received from others - sent to others - in use
//
// A transfer carries the running total of what one entry has sent another, not the increment. So a
// transfer that is duplicated, late or out of order counts once, and the next one makes up for a lost
// one. Only the sender raises its totals: sum(free + in use) never exceeds the limit.
//
// Index of this file
// [SECTION] Transfers
// [SECTION] Unit ledger
// [SECTION] Limit decreases

#pragma once

#include "base/base.h"

#include <map>
#include <set>
#include <span>

namespace peridotwalk {

//-----------------------------------------------------------------------------
// [SECTION] Transfers
//-----------------------------------------------------------------------------

// Units of a resource that an entry requests from a peer, or that it owes.
struct UnitRequest {
    std::string  resource; // A team's name, or "slot/" and a target's name.
    std::int64_t wanted = 0;
};

// All units of a resource that the sender has ever sent to the receiver.
struct UnitTransfer {
    std::string  resource;
    std::int64_t total = 0;
};

// All units of a resource that an entry has exchanged with one peer.
struct UnitFlow {
    std::string  resource;
    std::int64_t received = 0;
    std::int64_t sent = 0;
};

//-----------------------------------------------------------------------------
// [SECTION] Unit ledger
//-----------------------------------------------------------------------------

// One entry's units of all resources.
class UnitLedger
{
public:
    // Commands.
    auto setGrant(std::string_view resource, std::int64_t granted) -> void; // As the log grants.
    auto acquire(std::string_view resource) -> bool; // Call before a start. False: none is free.
    auto release(std::string_view resource) -> void; // Call once the work has certainly ended.
    // Sends at most `wanted` units and deducts them immediately. Returns nothing if none is free.
    auto send(std::string_view resource, std::string_view peer, std::int64_t wanted)
        -> std::optional<UnitTransfer>;
    auto receive(std::string_view peer, const UnitTransfer &transfer) -> void;
    auto freeze(std::string_view peer) -> void;     // The peer was removed: transfers end.
    auto clearFlows(std::string_view peer) -> void; // The log's grant now includes them.
    auto clearAllFlows() -> void;                   // All entries restart from their grants.

    // Queries.
    auto free(std::string_view resource) const -> std::int64_t; // Below 0: units owed.
    auto inUse(std::string_view resource) const -> std::int64_t;
    auto granted(std::string_view resource) const -> std::int64_t;
    auto flowsWith(std::string_view peer) const -> std::vector<UnitFlow>;
    auto transfersTo(std::string_view peer) const -> std::vector<UnitTransfer>; // To resend.
    auto isFrozen(std::string_view peer) const -> bool;
    auto debts() const -> std::vector<UnitRequest>; // Resources with free() < 0, and units owed.

private:
    struct Flow {
        std::int64_t received = 0;
        std::int64_t sent = 0;
    };

    struct Account {
        std::int64_t                             granted = 0;
        std::int64_t                             inUse = 0;
        std::int64_t                             net = 0; // Sum of received - sent over all flows.
        std::map<Incarnation, Flow, std::less<>> flows;   // By peer.
    };

    auto account(std::string_view resource) -> Account &;
    auto findAccount(std::string_view resource) const -> const Account *;

    std::map<std::string, Account, std::less<>> accounts_;
    std::set<Incarnation, std::less<>>          frozen_; // Peers.
};

//-----------------------------------------------------------------------------
// [SECTION] Limit decreases
//-----------------------------------------------------------------------------

// Tracks whether all members are free of debt since a limit was lowered.
//
// A lowered limit leaves debts at entries that run more than their new grant. Until each member has
// reported that it owes nothing, no entry starts work for that team: the fleet may be above the limit.
class LimitDecreaseTracker
{
public:
    // Commands.
    auto recordDecrease(std::string_view team, Offset loweredAt, TimeMs now) -> void;
    auto recordReport(std::string_view member, Offset applied, std::span<const UnitRequest> debts)
        -> void;
    auto forget(std::string_view member) -> void;

    // Returns whether the team's limit was ever lowered.
    auto isTracked(std::string_view team) const -> bool { return teams_.contains(team); }

    // Returns whether work of `team` may start: all `others`, which are the members but this entry, have
    // reported no debt, or `graceMs` have passed since this entry applied the change. By then, members
    // that didn't report are fenced and their work has ended.
    auto isSettled(std::string_view team, std::span<const Incarnation> others, TimeMs now,
                   TimeMs graceMs) const -> bool;

private:
    struct Lowered {
        Offset                             at = 0;     // Offset of the change.
        TimeMs                             seenAt = 0; // When this entry applied it.
        std::set<Incarnation, std::less<>> settled;    // Members that reported no debt since.
    };

    std::map<std::string, Lowered, std::less<>> teams_;
};

} // namespace peridotwalk
