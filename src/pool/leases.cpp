#include "pool/pool_internal.h"

#include <algorithm>

namespace peridotwalk {

namespace {

constexpr double kClockError = 1.03;  // Factor: workers' clocks may be 2 % slow.
constexpr TimeMs kClockSlackMs = 300; // Margin for the delay of a clock reading.
// Replies on different connections may overtake each other by the time limit of a call.
constexpr TimeMs kMaxClockStepMs = 1'000;

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
        worker.leaseUntilMs = clockMs + settings_.maxLeaseMs;
    }
    worker.clockMs = clockMs;
    worker.clockAt = now.steadyMs;
}

// Returns how long everything on a worker may still run by leases sent before the first answer of its
// incarnation. Those on the clock of an earlier incarnation end far in the future on this one's, so that
// the worker cuts them to its maximum. Those of the previous owner end as its handover says.
auto PoolScheduler::State::earlierLease(Moment now, const Worker &worker) const -> TimeMs
{
    if (worker.startedAtMs != kNoStartedAt) {
        return settings_.maxLeaseMs;
    }
    if (previousHandover_) {
        const auto found = previousHandover_->expiresInMs.find(worker.peer.id);
        if (found != previousHandover_->expiresInMs.end()) {
            const auto left = ownedSince_ + found->second - now.steadyMs;
            return std::clamp(left, settings_.leaseMs, settings_.maxLeaseMs);
        }
    }
    return settings_.leaseMs;
}

// Returns when the lease of a silent worker has expired for certain, on our steady clock.
auto PoolScheduler::State::leaseExpiry(const Worker &worker) const -> TimeMs
{
    const auto lease =
        static_cast<TimeMs>(static_cast<double>(settings_.leaseMs) * kClockError) + kClockSlackMs;
    if (!worker.hasAnsweredHold || worker.clockAt == 0) {
        if (previousHandover_ && previousHandover_->expiresInMs.contains(worker.peer.id)) {
            return ownedSince_ + previousHandover_->expiresInMs.at(worker.peer.id);
        }
        // The previous owner may have extended leases until its offline extension ended. But no owner
        // extends the lease of a worker whose entry it has seen removed, or without a fresh view.
        const auto byOwner = ownedSince_ + settings_.offlineExtensionMs + lease;
        const auto missingSince = view_.missingSince(worker.peer.id);
        if (worker.isListed || !missingSince) {
            return byOwner;
        }
        return std::min(byOwner, *missingSince + settings_.maxViewAgeMs + lease);
    }
    const auto left = std::max<TimeMs>(0, worker.leaseUntilMs - worker.clockMs);
    return worker.clockAt + static_cast<TimeMs>(static_cast<double>(left) * kClockError)
        + kClockSlackMs;
}

// Returns the lease end to send. The lease of a silent worker isn't extended, so that it expires.
auto PoolScheduler::State::extendLease(Moment now, Worker &worker) -> TimeMs
{
    if (worker.holdFailures == 0) {
        const auto until = worker.clockMs + (now.steadyMs - worker.clockAt) + settings_.leaseMs;
        worker.leaseUntilMs = std::max(worker.leaseUntilMs, until);
    }
    return worker.leaseUntilMs;
}

// Returns whether the incarnation that answered last still is the only one that an order can reach.
auto PoolScheduler::State::hasJustAnswered(Moment now, const Worker &worker) -> bool
{
    return worker.hasAnsweredHold && worker.holdFailures == 0
        && now.steadyMs - worker.lastHeldAt < kMinRestartMs;
}

} // namespace peridotwalk
