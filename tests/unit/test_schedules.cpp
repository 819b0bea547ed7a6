// Checks the guarantees under random schedules of faults. Replay one schedule with
//   PERIDOTWALK_SEED=17 build/peridotwalk-tests --filter 'schedules/*'

#include "world.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

using namespace peridotwalk;

namespace {

constexpr std::uint64_t kFirstSeed = 1;
constexpr std::uint64_t kSchedules = 60;
constexpr TimeMs        kFaultsMs = 40'000;
constexpr TimeMs        kHealMs = 30'000;

// Injects the random faults of one schedule. Each is undone after some time, or by World::healAll().
class Faults
{
public:
    explicit Faults(World &world) : world_(world) { }

    auto inject() -> void
    {
        const auto entry = pick(world_.entries());
        const auto other = pick(world_.entries());
        const auto durationMs = 500 + pick(14'000);
        switch (pick(7)) {
        case 0:
            if (world_.isUp(entry)) {
                world_.crash(entry);
                world_.at(durationMs, [this, entry] {
                    if (!world_.isUp(entry)) {
                        world_.restart(entry);
                    }
                });
            }
            break;
        case 1:
            world_.setPaused(entry, true);
            world_.at(durationMs, [this, entry] { world_.setPaused(entry, false); });
            break;
        case 2:
            if (entry != other) {
                world_.setPartitioned(entry, other, true);
                world_.at(durationMs,
                          [this, entry, other] { world_.setPartitioned(entry, other, false); });
            }
            break;
        case 3:
            world_.setLogIsolated(entry, true);
            world_.at(durationMs, [this, entry] { world_.setLogIsolated(entry, false); });
            break;
        case 4:
            world_.setLogDown(true);
            world_.at(durationMs / 2, [this] { world_.setLogDown(false); });
            break;
        case 5:
            isolateZone(pick(2), durationMs);
            break;
        default:
            world_.setTargetDown(fmt::format("r{}{}", pick(2), pick(2)), true);
            world_.at(durationMs, [this] { world_.setTargetDown("r00", false); });
            break;
        }
    }

private:
    auto pick(int count) -> int
    {
        return static_cast<int>(world_.random()(static_cast<std::uint32_t>(count)));
    }

    // Isolates a zone from the other zone and from the log.
    auto isolateZone(int zone, TimeMs durationMs) -> void
    {
        for (auto inside = 0; inside < world_.entries(); ++inside) {
            if (world_.zoneOf(inside) != fmt::format("z{}", zone)) {
                continue;
            }
            world_.setLogIsolated(inside, true);
            world_.at(durationMs, [this, inside] { world_.setLogIsolated(inside, false); });
            for (auto outside = 0; outside < world_.entries(); ++outside) {
                if (world_.zoneOf(outside) != world_.zoneOf(inside)) {
                    world_.setPartitioned(inside, outside, true);
                    world_.at(durationMs, [this, inside, outside] {
                        world_.setPartitioned(inside, outside, false);
                    });
                }
            }
        }
    }

    World &world_;
};

// Sends one request that must not repeat to two entries, under the same id, and one repeatable request.
auto sendLoad(World &world) -> void
{
    auto      &random = world.random();
    const auto entries = static_cast<std::uint32_t>(world.entries());
    const auto id = world.makeId(static_cast<int>(random(2)));
    world.sendOnce(static_cast<int>(random(entries)), id);
    const auto again = static_cast<int>(random(entries));
    world.at(static_cast<TimeMs>(random(4'000)),
             [&world, again, id] { world.sendOnce(again, id); });
    world.sendRepeatable(static_cast<int>(random(entries)));
}

auto checkAtMostOnce(const World &world, std::uint64_t seed) -> void
{
    auto runs = std::map<std::string, int>();
    for (const auto &run : world.runs()) {
        ++runs[run.id];
    }
    for (const auto &[id, count] : runs) {
        const auto mustRunOnce = id.starts_with("z");
        cr_assert(!mustRunOnce || count == 1, "seed %lu: %s ran %d times", seed, id.c_str(), count);
    }
    for (const auto &[handle, reply] : world.replies()) {
        const auto &id = world.replyId(handle);
        const auto  ran = runs.contains(id);
        cr_assert(reply.outcome != Outcome::NotRun || !ran, "seed %lu: %s was not-run but ran",
                  seed, id.c_str());
        cr_assert(reply.outcome != Outcome::Answered || (ran && reply.answer.body == id),
                  "seed %lu: %s has an answer that isn't its own", seed, id.c_str());
    }
}

auto checkConvergence(World &world, std::uint64_t seed) -> void
{
    auto dumps = std::set<std::string>();
    for (auto entry = 0; entry < world.entries(); ++entry) {
        cr_assert(world.engine(entry).isReady() || world.engine(entry).hasLeft(),
                  "seed %lu: entry %d isn't ready", seed, entry);
        dumps.insert(world.engine(entry).state().dump());
    }
    cr_assert_eq(dumps.size(), 1U,
                 "seed %lu: the states of the entries differ after all faults were undone", seed);
}

// Prints the counts of a replay, so that a schedule without any effect is noticed.
auto printOutcomes(const World &world) -> void
{
    auto counts = std::map<std::string_view, int>();
    for (const auto &[handle, reply] : world.replies()) {
        ++counts[outcomeName(reply.outcome)];
    }
    if (std::getenv("PERIDOTWALK_SEED") != nullptr) {
        fmt::print("runs={} answered={} not-run={} unknown={} most-running={}\n",
                   world.runs().size(), counts["answered"], counts["not-run"], counts["unknown"],
                   world.peakRunning());
    }
}

auto runSchedule(std::uint64_t seed) -> void
{
    auto options = WorldOptions{};
    options.seed = seed;
    options.lostAnswers = 0.02;
    options.lostAppends = 0.1;
    options.limit = 1 + static_cast<std::int64_t>(seed % 7);
    if (seed % 3 == 0) {
        options.keepRecords = 60;
        options.snapshotEvery = 20;
    }
    auto world = World(options);
    auto faults = Faults(world);
    world.runFor(3'000);
    for (TimeMs passed = 0; passed < kFaultsMs; passed += 100) {
        sendLoad(world);
        if (world.random()(20) == 0) {
            faults.inject();
        }
        world.runFor(100);
    }
    world.healAll();
    world.runFor(kHealMs);
    cr_assert_leq(world.peakRunning(), options.limit, "seed %lu: %ld ran at once, the limit is %ld",
                  seed, world.peakRunning(), options.limit);
    checkAtMostOnce(world, seed);
    checkConvergence(world, seed);
    cr_assert_eq(world.unitsOf("t"), options.limit, "seed %lu: %ld units of %ld are usable again",
                 seed, world.unitsOf("t"), options.limit);
    printOutcomes(world);
}

} // namespace

Test(schedules, promises_hold_under_random_faults, .timeout = 600)
{
    const auto *replay = std::getenv("PERIDOTWALK_SEED");
    if (replay != nullptr) {
        runSchedule(static_cast<std::uint64_t>(std::atoll(replay)));
        return;
    }
    for (auto seed = kFirstSeed; seed < kFirstSeed + kSchedules; ++seed) {
        runSchedule(seed);
    }
}
