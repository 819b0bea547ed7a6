#include "waits/waits.h"

#include <algorithm>
#include <cmath>

namespace peridotwalk {

namespace {

constexpr TimeMs kMaxTimeMs = 1'000'000'000; // Bounds sums of huge estimates and factors.

auto toMs(double time) -> TimeMs
{
    return static_cast<TimeMs>(std::clamp(time, 0.0, static_cast<double>(kMaxTimeMs)));
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Racks
//-----------------------------------------------------------------------------

auto countFitting(const ResourceSet &need, const ResourceSet &free) -> std::int64_t
{
    auto       count = kMaxTasksPerStep;
    const auto limit = [&](std::int64_t each, std::int64_t amount) {
        if (each > 0) {
            count = std::min(count, std::max<std::int64_t>(0, amount) / each);
        }
    };
    limit(need.cpu, free.cpu);
    limit(need.memoryMb, free.memoryMb);
    limit(need.accelerators, free.accelerators);
    return count;
}

auto RackForecast::addWorker(const ResourceSet &free) -> std::size_t
{
    workers_.push_back({free, {}});
    return workers_.size() - 1;
}

auto RackForecast::addRun(std::size_t worker, const ResourceSet &need, TimeMs remainingMs) -> void
{
    workers_.at(worker).releases.push_back({std::clamp<TimeMs>(remainingMs, 0, kMaxTimeMs), need});
}

auto RackForecast::addWaiting(const ResourceSet &need) -> void
{
    waiting_ += need;
}

auto RackForecast::slotsFor(const ResourceSet &need) const -> const std::vector<TimeMs> &
{
    const auto found = std::ranges::find(slots_, need, &Slots::need);
    if (found != slots_.end()) {
        return found->times;
    }
    auto       slots = Slots{need, {}};
    const auto add = [&](std::int64_t count, TimeMs afterMs) {
        const auto most = kMaxTasksPerStep - std::ssize(slots.times); // Needs may be tiny.
        const auto added = std::clamp<std::int64_t>(count, 0, most);
        slots.times.insert(slots.times.end(), static_cast<std::size_t>(added), afterMs);
    };
    for (const auto &worker : workers_) {
        auto free = worker.free;
        auto fitting = countFitting(need, free);
        add(fitting, 0);
        auto releases = worker.releases;
        std::ranges::sort(releases, {}, &Release::afterMs);
        for (const auto &release : releases) {
            free += release.amount;
            const auto next = countFitting(need, free);
            add(next - fitting, release.afterMs);
            fitting = std::max(fitting, next);
        }
    }
    std::ranges::sort(slots.times);
    return slots_.emplace_back(std::move(slots)).times;
}

auto RackForecast::timeUntilRoom(const ResourceSet &need, std::int64_t count, TimeMs runMs) const
    -> std::optional<TimeMs>
{
    const auto &times = slotsFor(need);
    const auto  size = std::ssize(times);
    if (count <= 0 || count > size) {
        return std::nullopt;
    }
    // Tasks ahead of other sizes count as the number of tasks of this size that need as much.
    const auto units = [](std::int64_t amount, std::int64_t each) {
        return each > 0 ? (amount + each - 1) / each : 0;
    };
    const auto ahead =
        std::max({units(waiting_.cpu, need.cpu), units(waiting_.memoryMb, need.memoryMb),
                  units(waiting_.accelerators, need.accelerators)});
    const auto after = [&](std::int64_t position) {
        const auto cycles = position / size; // Times that each slot is used before.
        const auto again = static_cast<double>(cycles) * static_cast<double>(runMs);
        return std::min(kMaxTimeMs, times[static_cast<std::size_t>(position % size)] + toMs(again));
    };
    const auto last = ahead + count - 1;
    const auto endOfFirst = ahead / size * size + size - 1; // The last one before slots repeat.
    return last > endOfFirst ? std::max(after(endOfFirst), after(last)) : after(last);
}

//-----------------------------------------------------------------------------
// [SECTION] Places
//-----------------------------------------------------------------------------

auto decidePlace(const PlaceSettings &settings, const PlaceQuestion &question) -> PlaceDecision
{
    auto       decision = PlaceDecision{};
    const auto run = static_cast<double>(std::max<TimeMs>(0, question.runMs));
    const auto extra = run * (std::max(1.0, settings.farFactor) - 1);
    const auto finishFar = toMs(run + extra);
    decision.farMs = toMs(run + extra + (question.isWorkWaiting ? extra : 0));
    decision.longestMs = std::min(settings.maxWaitMs, decision.farMs - toMs(run));
    if (!question.waitMs) {
        return decision;
    }
    decision.nearMs = toMs(static_cast<double>(*question.waitMs) + run);
    // Room is often free later than expected: a wait that saves less than it takes isn't begun, unless a far run would
    // keep its worker from other tasks.
    const auto mayBegin = question.hasBegun || question.isWorkWaiting
        || *question.waitMs <= decision.farMs - decision.nearMs;
    const auto isOnTimeNear = decision.nearMs <= question.onTimeMs;
    const auto isOnTimeFar = finishFar <= question.onTimeMs;
    decision.isWait =
        mayBegin && decision.nearMs < decision.farMs && (isOnTimeNear || !isOnTimeFar);
    return decision;
}

} // namespace peridotwalk
