#include "admission/admission.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace peridotwalk {

namespace {

constexpr TimeMs kSecondMs = 1'000;
constexpr double kMaxMs = 1e12; // Keeps times inside 64 bits.

auto boundWeight(double weight) -> double
{
    constexpr double kMaxWeight = 1e9;
    return weight > 0 ? std::min(weight, kMaxWeight) : std::numeric_limits<double>::min();
}

auto toMs(double ms) -> TimeMs
{
    return static_cast<TimeMs>(std::clamp(ms, 0.0, kMaxMs));
}

auto roundUpToSecond(TimeMs ms) -> TimeMs
{
    return (ms + kSecondMs - 1) / kSecondMs * kSecondMs;
}

} // namespace

auto reasonText(RefusalReason reason) -> std::string_view
{
    return reason == RefusalReason::PoolFull
        ? "the pool can't complete the job while its result is of use"
        : "the tenant has its share of the pool, and the pool can't complete more in time";
}

//-----------------------------------------------------------------------------
// [SECTION] Waiting work and capacity
//-----------------------------------------------------------------------------

auto AdmissionControl::beginRound() -> void
{
    for (auto &[name, tenant] : tenants_) {
        tenant.waiting.clear();
    }
}

auto AdmissionControl::findTenant(std::string_view tenant, double weight) -> TenantWork &
{
    auto found = tenants_.find(tenant);
    if (found == tenants_.end()) {
        found = tenants_.emplace(tenant, TenantWork{}).first;
    }
    found->second.weight = boundWeight(weight);
    return found->second;
}

auto AdmissionControl::addWaiting(std::string_view tenant, double weight, std::int64_t priority,
                                  double work, bool isLate) -> void
{
    if (work > 0) {
        auto &sum = findTenant(tenant, weight).waiting[priority];
        (isLate ? sum.late : sum.onTime) += work;
    }
}

auto AdmissionControl::addAccepted(const Arrival &arrival) -> void
{
    addWaiting(arrival.tenant, arrival.weight, arrival.priority, arrival.work, false);
    findTenant(arrival.tenant, arrival.weight).accepted += std::max(0.0, arrival.work);
}

auto AdmissionControl::endRound(TimeMs now, const PoolCapacity &capacity, bool isShort) -> void
{
    forgetExpired(now);
    capacity_ = capacity;
    const auto passed = static_cast<double>(roundAt_ > 0 ? now - roundAt_ : 0);
    const auto left = std::exp(-passed / static_cast<double>(settings_.rateWindowMs));
    roundAt_ = now;
    for (auto &[name, tenant] : tenants_) {
        tenant.accepted *= left;
    }
    std::erase_if(tenants_, [](const auto &item) {
        return item.second.waiting.empty() && item.second.accepted < 1;
    });
    if (isShort) {
        if (shortSince_ == 0) {
            shortSince_ = now;
            reachedCpu_ = 0;
        }
        lastShortAt_ = now;
    } else if (now - lastShortAt_ >= settings_.shortageEndMs) {
        shortSince_ = 0;
    }
    if (shortSince_ > 0) {
        reachedCpu_ = std::max(reachedCpu_, capacity.cpu);
        if (now - shortSince_ >= settings_.machinesArriveMs) {
            providedCpu_ = reachedCpu_;
        }
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Decisions
//-----------------------------------------------------------------------------

// Until the machines of a new shortage have arrived, the pool's present workers don't tell what it will have. It is then
// expected to get as many as in the last shortage; after a takeover, when that isn't known, all of the fleet.
auto AdmissionControl::waitFor(TimeMs now, double work, double arriving) const -> double
{
    const auto ahead = work + arriving * static_cast<double>(settings_.arrivalsLastMs);
    const auto present = static_cast<double>(capacity_.cpu);
    const auto shortFor = shortSince_ > 0 ? now - shortSince_ : 0;
    const auto arrival =
        static_cast<double>(std::max<TimeMs>(0, settings_.machinesArriveMs - shortFor));
    const auto doneBefore = present * arrival;
    if (ahead <= doneBefore) {
        return std::min(kMaxMs, ahead / present);
    }
    const auto fleet = static_cast<double>(capacity_.fleetCpu);
    const auto provided = providedCpu_ > 0 ? static_cast<double>(providedCpu_) : fleet;
    const auto expected = arrival <= 0 ? present : std::max(present, std::min(provided, fleet));
    return std::min(kMaxMs, arrival + (ahead - doneBefore) / expected);
}

auto AdmissionControl::totalWeight() const -> double
{
    auto weights = 0.0;
    for (const auto &[name, tenant] : tenants_) {
        weights += tenant.weight;
    }
    return weights;
}

auto AdmissionControl::rateOf(const TenantWork &tenant) const -> double
{
    return tenant.accepted / static_cast<double>(settings_.rateWindowMs);
}

// Accepted work tells what a tenant brings. Waiting work doesn't: large jobs wait longer than small ones, so a tenant with
// many of them has much of it at a small load.
auto AdmissionControl::isUnderShare(const TenantWork &tenant, double weights) const -> bool
{
    return rateOf(tenant) < static_cast<double>(capacity_.cpu) * tenant.weight / weights;
}

auto AdmissionControl::isArrivalUnderShare(const Arrival &arrival) const -> bool
{
    const auto found = tenants_.find(arrival.tenant);
    return found == tenants_.end() || isUnderShare(found->second, totalWeight());
}

// Work of the same or a higher priority; of all tenants, or only of those under their shares.
auto AdmissionControl::workAhead(const Arrival &arrival, bool isUnderShareOnly) const -> Ahead
{
    const auto weights = totalWeight();
    auto       ahead = Ahead{capacity_.runningWork, 0, 0};
    for (const auto &[name, tenant] : tenants_) {
        if (isUnderShareOnly && !isUnderShare(tenant, weights)) {
            continue;
        }
        ahead.arriving += rateOf(tenant);
        for (const auto &[priority, work] : tenant.waiting) {
            if (priority > arrival.priority) {
                break;
            }
            ahead.onTime += work.onTime;
            ahead.late += work.late;
        }
    }
    return ahead;
}

// A job that can be on time is accepted. One that can't becomes a late job, and jobs on time that arrive after it precede
// it: only the capacity that these leave serves it. A job on time precedes late ones; but once such jobs take more than
// their part of the capacity, late work counts as ahead of them too. Late jobs, the large ones first, would otherwise wait
// until they are of no use. The job's own work doesn't count, as a large job isn't refused for its size.
auto AdmissionControl::decide(TimeMs now, const Arrival &arrival) const -> std::optional<JobRefusal>
{
    if (capacity_.cpu <= 0) {
        return std::nullopt;
    }
    const auto remembered = refused_.find(arrival.id);
    const auto elapsed = remembered == refused_.end() || remembered->second.until < now
        ? 0.0
        : static_cast<double>(now - remembered->second.firstArrival);
    const auto chain = static_cast<double>(arrival.chainMs);
    const auto objective = static_cast<double>(arrival.objectiveMs);
    const auto useful = settings_.certainty * static_cast<double>(arrival.usefulMs);
    const auto onTimeRate = (1 - settings_.latePart) * static_cast<double>(capacity_.cpu);
    const auto onTimeEnd = [&](const Ahead &ahead) {
        const auto isLateFirst = ahead.arriving > onTimeRate;
        return waitFor(now, ahead.onTime + (isLateFirst ? ahead.late : 0), 0) + chain;
    };
    const auto lateEnd = [&](const Ahead &ahead) {
        return waitFor(now, ahead.onTime + ahead.late, ahead.arriving) + chain;
    };
    const auto expectedEnd = [&](const Ahead &ahead) {
        return elapsed + (onTimeEnd(ahead) <= objective ? onTimeEnd(ahead) : lateEnd(ahead));
    };
    const auto isUnder = isArrivalUnderShare(arrival);
    const auto ahead = workAhead(arrival, isUnder);
    if (expectedEnd(ahead) <= useful) {
        return std::nullopt;
    }
    auto refusal = JobRefusal{};
    refusal.reason = !isUnder && expectedEnd(workAhead(arrival, true)) <= useful
        ? RefusalReason::TenantOverShare
        : RefusalReason::PoolFull;
    refusal.expectedMs = toMs(expectedEnd(ahead));
    refusal.workAhead = ahead.onTime + ahead.late;
    // A similar job is new when it comes: no time has passed since its first arrival.
    const auto missing = std::min(onTimeEnd(ahead) - objective, lateEnd(ahead) - useful);
    refusal.retryAfterMs = retryAfter(now, arrival, missing, elapsed);
    return refusal;
}

// The work of callers that were told to come back is served before that of this one. The longest delay is one after which a
// job that is on time from its return on is still of use: after a longer one, its caller would be refused again.
auto AdmissionControl::retryAfter(TimeMs now, const Arrival &arrival, double missingMs,
                                  double elapsedMs) const -> TimeMs
{
    const auto left = toMs(static_cast<double>(arrival.usefulMs)
                           - static_cast<double>(arrival.objectiveMs) - elapsedMs);
    const auto longest = std::max(settings_.minRetryMs, left / kSecondMs * kSecondMs);
    const auto wait = std::max(0.0, missingMs) + waitFor(now, returning_, 0);
    const auto base = std::clamp(toMs(wait), settings_.minRetryMs, longest);
    // Spread over half of the delay, and over two whole seconds at least.
    const auto spread = std::max<TimeMs>(2 * kSecondMs, base / 2);
    const auto offset =
        static_cast<TimeMs>(stableHash(arrival.id) % static_cast<std::uint64_t>(spread));
    return roundUpToSecond(
        std::min(longest, std::max(settings_.minRetryMs, base - spread / 2 + offset)));
}

//-----------------------------------------------------------------------------
// [SECTION] Refused ids
//-----------------------------------------------------------------------------

auto AdmissionControl::forget(std::map<std::string, Refused, std::less<>>::iterator entry) -> void
{
    returning_ -= entry->second.work;
    expiry_.erase({entry->second.until, entry->first});
    refused_.erase(entry);
    if (refused_.empty()) {
        returning_ = 0; // Rounding errors don't add up.
    }
}

auto AdmissionControl::forgetExpired(TimeMs now) -> void
{
    while (!expiry_.empty() && expiry_.begin()->first < now) {
        forget(refused_.find(expiry_.begin()->second));
    }
}

auto AdmissionControl::remember(TimeMs now, const Arrival &arrival, const JobRefusal &refusal)
    -> void
{
    const auto first = takeFirstArrival(now, arrival.id).value_or(now);
    while (!expiry_.empty() && refused_.size() >= settings_.maxRemembered) {
        forget(refused_.find(expiry_.begin()->second));
    }
    const auto id = std::string(arrival.id);
    const auto until = now + 2 * refusal.retryAfterMs;
    refused_[id] = {first, until, std::max(0.0, arrival.work)};
    expiry_.emplace(until, id);
    returning_ += std::max(0.0, arrival.work);
}

auto AdmissionControl::takeFirstArrival(TimeMs now, std::string_view id) -> std::optional<TimeMs>
{
    const auto found = refused_.find(id);
    if (found == refused_.end()) {
        return std::nullopt;
    }
    const auto isCurrent = found->second.until >= now;
    const auto first = found->second.firstArrival;
    forget(found);
    return isCurrent ? std::optional(first) : std::nullopt;
}

} // namespace peridotwalk
