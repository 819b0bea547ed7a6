#include "pool/pool_internal.h"

#include <algorithm>

namespace peridotwalk {

namespace {

constexpr double kClockError = 1.03;  // Factor: workers' clocks may be 2 % slow.
constexpr TimeMs kClockSlackMs = 300; // Margin for the delay of a clock reading.
// Replies on different connections may overtake each other by the time limit of a call.
constexpr TimeMs kMaxClockStepMs = 1'000;
// An owner may still take a worker for its earlier incarnation that long: until a hold that waits has failed.
constexpr TimeMs kUnnoticedRestartMs = 3'000;
// Orders on the clock of an earlier incarnation may reach a worker for that long after its start.
constexpr TimeMs kLongestReachMs = kUnnoticedRestartMs + kLateOrderMs;

// Returns the longest time on our clock that such a time on a worker's clock may take.
auto withClockError(TimeMs workerMs) -> TimeMs
{
    return static_cast<TimeMs>(static_cast<double>(workerMs) * kClockError) + kClockSlackMs;
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Leases
//-----------------------------------------------------------------------------

// A clock that runs back is that of another incarnation under the same id: see earlierLease().
auto PoolScheduler::State::setClock(Moment now, Worker &worker, TimeMs clockMs) -> void
{
    if (clockMs <= 0) {
        return;
    }
    if (clockMs < worker.clockMs - kMaxClockStepMs) {
        worker.leaseUntilMs = clockMs + earlierLease(now, worker);
        worker.grantedUntilMs = clockMs;
    }
    worker.clockMs = clockMs;
    worker.clockAt = now.steadyMs;
}

// Returns how long everything on a worker may still run by leases sent before the first answer of its
// incarnation. Those on the clock of an earlier incarnation end far in the future on this one's, so that the worker
// cuts them to its maximum; they may be late. Those of the previous owner on this clock end as its handover says.
auto PoolScheduler::State::earlierLease(Moment now, const Worker &worker) const -> TimeMs
{
    if (worker.startedAtMs != kNoStartedAt) {
        const auto sentAt =
            std::max(worker.leaseSentAt, ownedSince_ + settings_.offlineExtensionMs);
        const auto left = sentAt + kLateOrderMs + settings_.maxLeaseMs - now.steadyMs;
        return std::clamp<TimeMs>(left, 0, settings_.maxLeaseMs);
    }
    auto lease = settings_.leaseMs;
    if (previousHandover_) {
        const auto found = previousHandover_->expiresInMs.find(worker.peer.id);
        if (found != previousHandover_->expiresInMs.end()) {
            const auto left = ownedSince_ + found->second - now.steadyMs;
            lease = std::clamp(left, settings_.leaseMs, settings_.maxLeaseMs);
        }
    }
    return lease;
}

// Returns when a lease has expired for certain that an order of an earlier owner on the clock of an earlier incarnation
// may have given. They reach the worker until kLongestReachMs after its restart, and `until`. 0: it hasn't restarted.
auto PoolScheduler::State::earlierOwnersExpiry(const Worker &worker, TimeMs until) const -> TimeMs
{
    const auto restarted = view_.restarted.find(worker.peer.id);
    if (restarted == view_.restarted.end()) {
        return 0;
    }
    return std::min(until, restarted->second + kLongestReachMs)
        + withClockError(settings_.maxLeaseMs);
}

// Returns when the lease of a silent worker has expired for certain, on our steady clock.
auto PoolScheduler::State::leaseExpiry(const Worker &worker) const -> TimeMs
{
    if (!worker.hasAnsweredHold || worker.clockAt == 0) {
        // The previous owner may have extended leases until its offline extension ended.
        const auto until = ownedSince_ + settings_.offlineExtensionMs;
        return std::max(previousOwnersExpiry(worker, until), earlierOwnersExpiry(worker, until));
    }
    const auto left = std::max<TimeMs>(0, worker.leaseUntilMs - worker.clockMs);
    return std::max(worker.clockAt + withClockError(left),
                    earlierOwnersExpiry(worker, worker.answeredSince));
}

// Returns the same for the leases of the previous owner on the worker's present clock.
auto PoolScheduler::State::previousOwnersExpiry(const Worker &worker, TimeMs until) const -> TimeMs
{
    if (previousHandover_ && previousHandover_->expiresInMs.contains(worker.peer.id)) {
        return ownedSince_ + previousHandover_->expiresInMs.at(worker.peer.id);
    }
    // No owner extends the lease of a worker whose entry it has seen removed, or without a fresh view.
    const auto lease = withClockError(settings_.leaseMs);
    const auto missingSince = view_.missingSince(worker.peer.id);
    if (worker.isListed || !missingSince) {
        return until + lease;
    }
    return std::min(until, *missingSince + settings_.maxViewAgeMs) + lease;
}

// Returns the lease end to send. Never more than the length of a lease, whatever the worker may have from others: the
// next owner counts on that. The lease of a silent worker isn't extended, so that it expires.
auto PoolScheduler::State::extendLease(Moment now, Worker &worker) -> TimeMs
{
    if (worker.holdFailures == 0) {
        worker.grantedUntilMs =
            worker.clockMs + (now.steadyMs - worker.clockAt) + settings_.leaseMs;
        worker.leaseUntilMs = std::max(worker.leaseUntilMs, worker.grantedUntilMs);
    }
    worker.leaseSentAt = now.steadyMs;
    return worker.grantedUntilMs;
}

// Returns whether the incarnation that answered last still is the only one that an order can reach.
auto PoolScheduler::State::hasJustAnswered(Moment now, const Worker &worker) -> bool
{
    return worker.hasAnsweredHold && worker.holdFailures == 0
        && now.steadyMs - worker.lastHeldAt < kMinRestartMs;
}

} // namespace peridotwalk
