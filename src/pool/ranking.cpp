#include "pool/pool_internal.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <tuple>

namespace peridotwalk {

namespace {

constexpr double kCountedWorkFraction = 0.6; // Part of the estimated work left that is used.
constexpr TimeMs kRatioScaleMs = 1'000'000;  // Estimate at which a queue's ratio is read.
// Longer chains count as this, so that no sum of times overflows. Far above any objective.
constexpr double kMaxTimeLeftMs = 1e15;

// Small jobs go first, as more of them then end in time; jobs of one size class go by age. By size
// alone, large jobs would wait until they are late.
auto sizeClass(std::int64_t remaining) -> int
{
    constexpr int kBitsPerClass = 2; // Jobs of one class differ by up to four times.
    return std::bit_width(static_cast<std::uint64_t>(remaining)) / kBitsPerClass;
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Timeliness
//-----------------------------------------------------------------------------

// Estimates are off by half, so only a part of the estimated work left counts: a job is ranked as late only if it
// misses its objective by a good part of its work. While tasks wait for the owner, jobs start in the order of their
// age, and all that start at the last moment would be late: then all of the work counts, and what a run takes besides.
// Learned run times need no such allowance, so all that is left of the job counts then.
auto PoolScheduler::State::timeLeft(const JobEntry &entry, const OccurrenceSummary &summary) const
    -> TimeMs
{
    const auto chain = static_cast<double>(summary.chainLeftMs);
    const auto overhead = startDelayMs_ + std::max(0.0, runOverheadMs_);
    if (settings_.contention.isOrderLearned) {
        // All steps of a job are of one queue, so the ratio that was learned holds for the whole chain.
        const auto left = chain * learnedRatio(entry.job.spec.queue)
            + overhead * static_cast<double>(summary.chainLeftSteps);
        return std::llround(std::clamp(left, 0.0, kMaxTimeLeftMs));
    }
    return static_cast<TimeMs>(wasOwnerLimited_ ? chain + overhead : kCountedWorkFraction * chain);
}

// Returns the expected ratio of run times to estimates. Read once per queue and round, as it costs a walk over the
// queue's distribution, and a round asks for each waiting job.
auto PoolScheduler::State::learnedRatio(const std::string &queue) const -> double
{
    const auto [found, isNew] = learnedRatios_.try_emplace(queue);
    if (isNew) {
        found->second = static_cast<double>(runTimes_.expected(queue, kRatioScaleMs))
            / static_cast<double>(kRatioScaleMs);
    }
    return found->second;
}

// Updates what run times and their overhead are known to be. `estimateMs`: on the worker that it ran on. `tookMs`:
// from the confirmation of the run to the end that was read.
auto PoolScheduler::State::learnRunTime(const JobEntry &entry, TimeMs estimateMs, TimeMs tookMs)
    -> void
{
    const auto &queue = entry.job.spec.queue;
    if (settings_.contention.isOrderLearned && estimateMs > 0) {
        // Learned run times already include the usual time to read an end. Only what they leave out counts as overhead;
        // otherwise that time would count twice.
        const auto expected = runTimes_.expected(queue, estimateMs);
        runOverheadMs_ += (static_cast<double>(tookMs - expected) - runOverheadMs_) / kRunsAveraged;
    }
    runTimes_.observe(queue, estimateMs, tookMs);
}

//-----------------------------------------------------------------------------
// [SECTION] Order
//-----------------------------------------------------------------------------

auto PoolScheduler::State::isPlacedBefore(const ReadyStep &one, const ReadyStep &other) -> bool
{
    const auto rank = [](const ReadyStep &step) {
        return std::tuple(!step.isUnbounded, step.timeliness, step.priority, step.isOverShare,
                          !step.hasBegun, sizeClass(step.remaining), step.dueMs);
    };
    return rank(one) < rank(other);
}

auto PoolScheduler::State::rankReadySteps(Moment now, std::vector<ReadyStep> &ready) -> void
{
    std::ranges::sort(ready, isPlacedBefore);
    if (settings_.contention.isShareByWeight) {
        shareByWeight(now, ready);
    }
}

// Of steps of equal timeliness and priority, those within their tenants' shares go first. Shares are of the
// workers that could get runs.
auto PoolScheduler::State::shareByWeight(Moment now, std::vector<ReadyStep> &ready) -> void
{
    updateShares(now);
    std::int64_t capacityCpu = 0;
    for (const auto *worker : workerList_) {
        capacityCpu += isUsable(now, *worker) ? worker->report.capacity.cpu : 0;
    }
    auto claims = std::vector<ShareClaim>();
    claims.reserve(ready.size());
    for (const auto &step : ready) {
        claims.push_back({step.entry->job.spec.tenant, step.waitingCpu});
    }
    const auto isOver = fairShare_.findOverShare(claims, capacityCpu);
    for (std::size_t index = 0; index < ready.size(); ++index) {
        ready[index].isOverShare = isOver[index];
    }
    std::ranges::stable_sort(ready, isPlacedBefore);
}

auto PoolScheduler::State::updateShares(Moment now) -> void
{
    if (std::exchange(weightsVersion_, view_.catalog.version()) != view_.catalog.version()) {
        auto weights = std::map<std::string, double, std::less<>>();
        for (const auto &tenant : view_.catalog.rules().tenants) {
            weights[tenant.name] = tenant.weight;
        }
        fairShare_.setWeights(std::move(weights));
    }
    auto used = std::map<std::string, std::int64_t>();
    for (const auto &[tenant, need] : tenantUsed_) {
        used[tenant] = need.cpu;
    }
    fairShare_.setUsage(now.steadyMs, used);
}

// Counts the jobs that still wait after a placement round, each once: steps of one job rank next to each other only if
// no other job comes between them.
auto PoolScheduler::State::countWaitingJobs() -> void
{
    waitingJobs_ = {};
    for (const auto &step : ready_) {
        auto &entry = *step.entry;
        if (step.isUnbounded || entry.job.isOver()
            || std::exchange(entry.countedRound, placementRounds_) == placementRounds_) {
            continue;
        }
        switch (step.timeliness) {
        case Timeliness::OnTime:
            ++waitingJobs_.onTime;
            break;
        case Timeliness::Late:
            ++waitingJobs_.late;
            break;
        case Timeliness::Expired:
            ++waitingJobs_.expired;
            break;
        }
    }
}

} // namespace peridotwalk
