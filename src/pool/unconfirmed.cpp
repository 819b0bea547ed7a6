#include "pool/pool_internal.h"

namespace peridotwalk {

//-----------------------------------------------------------------------------
// [SECTION] Runs that aren't confirmed yet
//-----------------------------------------------------------------------------

// Returns how many runs the owner may place until workers or the journal have answered. Runs that wait for the
// journal cost the owner nothing meanwhile, so with a limit of their own they don't take the place of those that wait
// for workers: with responses of 110 ms, one common limit of 512 allowed 1,000 starts per second on free workers.
auto PoolScheduler::State::startsLeft() const -> std::int64_t
{
    const auto maxRecording = settings_.contention.maxRecordingRuns;
    if (maxRecording <= 0) {
        return settings_.maxUnconfirmedRuns - pendingRuns_;
    }
    return std::min(maxRecording - recordingRuns_,
                    settings_.maxUnconfirmedRuns - (pendingRuns_ - recordingRuns_));
}

auto PoolScheduler::State::isOwnerBusy() const -> bool
{
    return startsLeft() <= 0;
}

// Returns how many runs the owner may have unconfirmed in all.
auto PoolScheduler::State::startLimit() const -> std::int64_t
{
    return settings_.maxUnconfirmedRuns
        + std::max<std::int64_t>(0, settings_.contention.maxRecordingRuns);
}

auto PoolScheduler::State::addPending(RunState &run) -> void
{
    run.isPending = true;
    ++pendingRuns_;
    ++recordingRuns_;
}

// The journal has the run. A refill is due only where the limit held tasks back: others wait for the next round, whose order
// is newer.
auto PoolScheduler::State::markRecorded(RunState &run) -> void
{
    if (!std::exchange(run.isRecorded, true) && run.isPending) {
        const auto maxRecording = settings_.contention.maxRecordingRuns;
        needsRefill_ = needsRefill_ || (maxRecording > 0 && recordingRuns_ >= maxRecording);
        --recordingRuns_;
    }
}

// Counts a run no more as unconfirmed: its worker has it, it is over, or its first order wasn't answered. A run that
// ends before the journal has it, for example as its job is cancelled, counts no more as recording either.
auto PoolScheduler::State::settleStart(RunState &run) -> void
{
    if (std::exchange(run.isPending, false)) {
        --pendingRuns_;
        recordingRuns_ -= run.isRecorded ? 0 : 1;
        needsRefill_ = true;
    }
}

} // namespace peridotwalk
