// Units: how entries share something countable without asking anybody for each use.
//
// A team's upper limit is divided into units. A start needs one unit at the entry that starts.
// The log grants units to entries; entries pass them on directly, without the log. The same
// bookkeeping shares out the slots of runners.
//
//   free = granted + received from others - sent to others - in use
//
// Totals of what one entry sent another only grow. A transfer carries the total, not the step, so
// that a transfer which comes twice, late or out of order counts once, and a lost one is made good
// by the next. Only the sender raises its totals: sum(free + in use) never exceeds the limit.
//
// Index of this file
// [SECTION] Transfers
// [SECTION] Unit ledger
// [SECTION] Limit reports

#pragma once

#include "base/base.h"

#include <map>
#include <set>
#include <span>

namespace peridotwalk {

//-----------------------------------------------------------------------------
// [SECTION] Transfers
//-----------------------------------------------------------------------------

// Asks a peer for units of a resource.
struct UnitRequest {
    std::string  resource; // A team's name, or "slot/" and a target's name.
    std::int64_t wanted = 0;
};

// Everything that the sender has ever given the receiver of one resource.
struct UnitTransfer {
    std::string  resource;
    std::int64_t total = 0;
};

// What one entry exchanged with one peer.
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
    auto setGrant(std::string_view resource, std::int64_t granted) -> void;
    auto acquire(std::string_view resource) -> bool; // Before a start. False: no unit is free.
    auto release(std::string_view resource) -> void; // After what was started has ended for sure.
    auto send(std::string_view resource, std::string_view peer, std::int64_t wanted)
        -> std::optional<UnitTransfer>; // Deducts at once. Nothing if no unit is free.
    auto receive(std::string_view peer, const UnitTransfer &transfer) -> void;
    auto freeze(std::string_view peer) -> void;     // The peer is gone: nothing moves any more.
    auto clearFlows(std::string_view peer) -> void; // The log's grant now contains the flows.
    auto clearAllFlows() -> void;                   // All entries start again from the grants.

    // Queries.
    auto free(std::string_view resource) const -> std::int64_t; // Below 0: owed.
    auto inUse(std::string_view resource) const -> std::int64_t;
    auto granted(std::string_view resource) const -> std::int64_t;
    auto flowsWith(std::string_view peer) const -> std::vector<UnitFlow>;
    auto transfersTo(std::string_view peer) const -> std::vector<UnitTransfer>; // To send again.
    auto isFrozen(std::string_view peer) const -> bool;
    auto debts() const -> std::vector<UnitRequest>; // Resources with free() < 0.

private:
    struct Flow {
        std::int64_t received = 0;
        std::int64_t sent = 0;
    };

    struct Account {
        std::int64_t                             granted = 0;
        std::int64_t                             inUse = 0;
        std::int64_t                             net = 0; // Sum of received - sent.
        std::map<Incarnation, Flow, std::less<>> flows;
    };

    auto account(std::string_view resource) -> Account &;
    auto findAccount(std::string_view resource) const -> const Account *;

    std::map<std::string, Account, std::less<>> accounts_;
    std::set<Incarnation, std::less<>>          frozen_;
};

//-----------------------------------------------------------------------------
// [SECTION] Limit reports
//-----------------------------------------------------------------------------

// Knows whether all members are free of debt since a limit was lowered.
//
// A lowered limit leaves debts at entries that run more than their new part. Until each member has
// reported that it owes nothing, nobody starts work for that team: the fleet may be above the limit.
class LimitDecreaseTracker
{
public:
    // Commands.
    auto recordDecrease(std::string_view team, Offset loweredAt, TimeMs now) -> void;
    auto recordReport(std::string_view member, Offset applied, std::span<const UnitRequest> debts)
        -> void;
    auto forget(std::string_view member) -> void;

    auto isTracked(std::string_view team) const -> bool
    {
        return teams_.contains(team);
    } // Was lowered.

    // Returns whether `team` may start, given all members but this entry. `graceMs` after the
    // change was folded here, silent members are fenced and their work has ended.
    auto isSettled(std::string_view team, std::span<const Incarnation> others, TimeMs now,
                   TimeMs graceMs) const -> bool;

private:
    struct Lowered {
        Offset                             at = 0;
        TimeMs                             seenAt = 0;
        std::set<Incarnation, std::less<>> settled;
    };

    std::map<std::string, Lowered, std::less<>> teams_;
};

} // namespace peridotwalk
