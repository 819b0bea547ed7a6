#include "limits/limits.h"

#include <algorithm>

namespace peridotwalk {

//-----------------------------------------------------------------------------
// [SECTION] Unit ledger
//-----------------------------------------------------------------------------

auto UnitLedger::account(std::string_view resource) -> Account &
{
    const auto found = accounts_.find(resource);
    return found != accounts_.end() ? found->second : accounts_[std::string(resource)];
}

auto UnitLedger::findAccount(std::string_view resource) const -> const Account *
{
    const auto found = accounts_.find(resource);
    return found == accounts_.end() ? nullptr : &found->second;
}

auto UnitLedger::setGrant(std::string_view resource, std::int64_t granted) -> void
{
    account(resource).granted = granted;
}

auto UnitLedger::acquire(std::string_view resource) -> bool
{
    if (free(resource) <= 0) {
        return false;
    }
    ++account(resource).inUse;
    return true;
}

auto UnitLedger::release(std::string_view resource) -> void
{
    auto &entry = account(resource);
    entry.inUse = std::max<std::int64_t>(0, entry.inUse - 1);
}

auto UnitLedger::send(std::string_view resource, std::string_view peer, std::int64_t wanted)
    -> std::optional<UnitTransfer>
{
    const auto available = std::min(wanted, free(resource));
    if (available <= 0 || isFrozen(peer)) {
        return std::nullopt;
    }
    auto &entry = account(resource);
    auto &flow = entry.flows[Incarnation(peer)];
    flow.sent += available;
    entry.net -= available;
    return UnitTransfer{std::string(resource), flow.sent};
}

auto UnitLedger::receive(std::string_view peer, const UnitTransfer &transfer) -> void
{
    if (isFrozen(peer)) {
        return;
    }
    auto &entry = account(transfer.resource);
    auto &flow = entry.flows[Incarnation(peer)];
    if (transfer.total > flow.received) {
        entry.net += transfer.total - flow.received;
        flow.received = transfer.total;
    }
}

auto UnitLedger::freeze(std::string_view peer) -> void
{
    frozen_.insert(Incarnation(peer));
}

auto UnitLedger::clearFlows(std::string_view peer) -> void
{
    for (auto &[resource, entry] : accounts_) {
        const auto flow = entry.flows.find(peer);
        if (flow != entry.flows.end()) {
            entry.net -= flow->second.received - flow->second.sent;
            entry.flows.erase(flow);
        }
    }
}

auto UnitLedger::clearAllFlows() -> void
{
    for (auto &[resource, entry] : accounts_) {
        entry.flows.clear();
        entry.net = 0;
    }
}

auto UnitLedger::free(std::string_view resource) const -> std::int64_t
{
    const auto *entry = findAccount(resource);
    return entry == nullptr ? 0 : entry->granted + entry->net - entry->inUse;
}

auto UnitLedger::inUse(std::string_view resource) const -> std::int64_t
{
    const auto *entry = findAccount(resource);
    return entry == nullptr ? 0 : entry->inUse;
}

auto UnitLedger::granted(std::string_view resource) const -> std::int64_t
{
    const auto *entry = findAccount(resource);
    return entry == nullptr ? 0 : entry->granted;
}

auto UnitLedger::flowsWith(std::string_view peer) const -> std::vector<UnitFlow>
{
    auto flows = std::vector<UnitFlow>();
    for (const auto &[resource, entry] : accounts_) {
        const auto flow = entry.flows.find(peer);
        if (flow != entry.flows.end()) {
            flows.push_back({resource, flow->second.received, flow->second.sent});
        }
    }
    return flows;
}

auto UnitLedger::transfersTo(std::string_view peer) const -> std::vector<UnitTransfer>
{
    auto transfers = std::vector<UnitTransfer>();
    for (const auto &flow : flowsWith(peer)) {
        if (flow.sent > 0) {
            transfers.push_back({flow.resource, flow.sent});
        }
    }
    return transfers;
}

auto UnitLedger::isFrozen(std::string_view peer) const -> bool
{
    return frozen_.contains(peer);
}

auto UnitLedger::debts() const -> std::vector<UnitRequest>
{
    auto owed = std::vector<UnitRequest>();
    for (const auto &[resource, entry] : accounts_) {
        const auto available = free(resource);
        if (available < 0) {
            owed.push_back({resource, -available});
        }
    }
    return owed;
}

//-----------------------------------------------------------------------------
// [SECTION] Limit decreases
//-----------------------------------------------------------------------------

auto LimitDecreaseTracker::recordDecrease(std::string_view team, Offset loweredAt, TimeMs now)
    -> void
{
    auto &lowered = teams_[std::string(team)];
    if (loweredAt > lowered.at) {
        lowered = Lowered{loweredAt, now, {}};
    }
}

auto LimitDecreaseTracker::recordReport(std::string_view member, Offset applied,
                                        std::span<const UnitRequest> debts) -> void
{
    for (auto &[team, lowered] : teams_) {
        const auto owes = std::ranges::find(debts, team, &UnitRequest::resource) != debts.end();
        if (applied >= lowered.at && !owes) {
            lowered.settled.insert(Incarnation(member));
        }
    }
}

auto LimitDecreaseTracker::forget(std::string_view member) -> void
{
    for (auto &[team, lowered] : teams_) {
        lowered.settled.erase(Incarnation(member));
    }
}

auto LimitDecreaseTracker::isSettled(std::string_view team, std::span<const Incarnation> others,
                                     TimeMs now, TimeMs graceMs) const -> bool
{
    const auto found = teams_.find(team);
    if (found == teams_.end() || now - found->second.seenAt >= graceMs) {
        return true;
    }
    return std::ranges::all_of(
        others, [&](const Incarnation &other) { return found->second.settled.contains(other); });
}

} // namespace peridotwalk
