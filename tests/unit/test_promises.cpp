// One test for each documented guarantee, with the failure that the guarantee covers.

#include "world.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

using namespace peridotwalk;

namespace {

constexpr TimeMs kSettleMs = 3'000;        // Time for a new fleet to become ready.
constexpr TimeMs kEffectiveMs = 2'000;     // Documented time until a change is effective.
constexpr TimeMs kFenceMs = 3'000;         // fence_log_ms in the world's settings.
constexpr TimeMs kEvictionDelayMs = 9'000; // evict_grace_ms in the world's settings.

auto sendRepeatableLoad(World &world, TimeMs forMs, TimeMs everyMs) -> void
{
    for (TimeMs passed = 0; passed < forMs; passed += everyMs) {
        world.at(passed, [&world] {
            world.sendRepeatable(
                static_cast<int>(world.random()(static_cast<std::uint32_t>(world.entries()))));
        });
    }
}

auto startsSince(const World &world, TimeMs since, std::string_view targetPrefix = "")
    -> std::int64_t
{
    return std::ranges::count_if(world.runs(), [&](const Run &run) {
        return run.startedAt >= since && run.target.starts_with(targetPrefix);
    });
}

auto answered(const World &world) -> std::int64_t
{
    return std::ranges::count_if(world.replies(), [](const auto &entry) {
        return entry.second.outcome == Outcome::Answered;
    });
}

// Returns the index of the entry that is the primary of an id.
auto primaryOf(World &world, const std::string &id) -> int
{
    const auto zone = id.substr(0, id.find('/'));
    const auto primary = findHolders(world.engine(0).state().membersOf(zone), id).primary;
    return static_cast<int>(*parseInteger(entryName(primary).substr(1)));
}

auto longTask(TimeMs runMs, bool isRepeatable = true) -> TaskSpec
{
    auto spec = TaskSpec{};
    spec.payload = std::to_string(runMs);
    spec.isRepeatable = isRepeatable;
    return spec;
}

// Returns the largest number of runs of one id that overlapped.
auto peakConcurrentRuns(const World &world, std::string_view id) -> std::int64_t
{
    std::int64_t most = 0;
    for (const auto &run : world.runs()) {
        most = std::max(most, std::ranges::count_if(world.runs(), [&](const Run &other) {
                            const auto isRunning =
                                other.endedAt < 0 || other.endedAt > run.startedAt;
                            return run.id == id && other.id == id
                                && other.startedAt <= run.startedAt && isRunning;
                        }));
    }
    return most;
}

} // namespace

// Keys, zones, leaving targets

Test(promises, a_withdrawn_key_starts_nothing_new_even_from_the_queue)
{
    auto world = World({.seed = 1, .limit = 2, .serviceMs = 400});
    world.runFor(kSettleMs);
    sendRepeatableLoad(world, 6'000, 10);
    world.runFor(2'000);
    cr_assert_gt(startsSince(world, 0), 0);
    const auto withdrawnAt = world.now();
    world.eraseRule("key/k");
    world.runFor(6'000);
    cr_assert_eq(startsSince(world, withdrawnAt + kEffectiveMs), 0);
}

Test(promises, a_zone_that_is_out_gets_no_start)
{
    auto world = World({.seed = 2, .limit = 50});
    world.runFor(kSettleMs);
    sendRepeatableLoad(world, 8'000, 10);
    world.runFor(1'000);
    const auto outAt = world.now();
    world.setRule("zone z0 region=r out=yes # test");
    world.runFor(5'000);
    cr_assert_eq(startsSince(world, outAt + kEffectiveMs, "r0"), 0);
    cr_assert_gt(startsSince(world, outAt + kEffectiveMs, "r1"), 0);
    world.setRule("zone z0 region=r # test");
    world.runFor(2'000);
    cr_assert_gt(startsSince(world, outAt + 5'000, "r0"), 0);
}

Test(promises, an_isolated_zone_stops_team_work_at_its_fence)
{
    auto world = World({.seed = 3, .limit = 50});
    world.runFor(kSettleMs);
    for (const auto inside : {0, 1, 2}) {
        world.setLogIsolated(inside, true);
        for (const auto outside : {3, 4, 5}) {
            world.setPartitioned(inside, outside, true);
        }
    }
    const auto isolatedAt = world.now();
    world.setRule("zone z0 region=r out=yes # test");
    for (TimeMs passed = 0; passed < 8'000; passed += 20) {
        world.at(passed, [&world] { world.sendRepeatable(0); });
    }
    world.runFor(8'000);
    cr_assert_gt(startsSince(world, isolatedAt, "r0"), 0, "it starts work until it is fenced");
    cr_assert_eq(startsSince(world, isolatedAt + kFenceMs + 200, "r0"), 0);
}

Test(promises, a_leaving_target_gets_no_new_work)
{
    auto world = World({.seed = 4, .limit = 50});
    world.runFor(kSettleMs);
    sendRepeatableLoad(world, 5'000, 10);
    world.runFor(1'000);
    const auto leftAt = world.now();
    world.setLeaving("r00", true);
    world.runFor(4'000);
    cr_assert_eq(startsSince(world, leftAt + kEffectiveMs, "r00"), 0);
    cr_assert_gt(startsSince(world, leftAt + kEffectiveMs, "r01"), 0);
}

// Limits

Test(promises, a_limit_of_one_is_usable_from_every_entry)
{
    auto world = World({.seed = 5, .limit = 1, .serviceMs = 5});
    world.runFor(kSettleMs);
    for (auto entry = 0; entry < world.entries(); ++entry) {
        const auto handle = world.sendRepeatable(entry);
        world.runFor(1'500);
        cr_assert_not_null(world.reply(handle));
        cr_assert_eq(world.reply(handle)->outcome, Outcome::Answered, "entry %d", entry);
    }
    cr_assert_eq(world.peakRunning(), 1);
}

Test(promises, a_lowered_limit_holds_once_it_is_effective)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        auto world = World({.seed = seed, .limit = 12, .serviceMs = 150});
        world.runFor(kSettleMs);
        sendRepeatableLoad(world, 8'000, 5);
        world.runFor(2'000);
        world.setRule("team t share=1 limit=3 # test");
        world.runFor(kEffectiveMs);
        world.resetPeakRunning();
        world.runFor(4'000);
        cr_assert_leq(world.peakRunning(), 3, "seed %lu: %ld ran", seed, world.peakRunning());
        cr_assert_eq(world.unitsOf("t"), 3, "seed %lu", seed);
    }
}

Test(promises, a_lowered_limit_holds_while_an_isolated_member_owes_units)
{
    auto world = World({.seed = 21, .limit = 24, .serviceMs = 300});
    world.runFor(kSettleMs);
    for (auto task = 0; task < 8; ++task) {
        world.submit(task % 3, world.makeId(0), longTask(60'000));
    }
    world.runFor(2'000);
    cr_assert_eq(world.runningOf("t"), 8);
    for (const auto inside : {0, 1, 2}) {
        for (const auto outside : {3, 4, 5}) {
            world.setPartitioned(inside, outside, true);
        }
    }
    world.setRule("team t share=1 limit=9 # test");
    world.runFor(500);
    world.resetPeakRunning();
    for (TimeMs passed = 0; passed < 3'000; passed += 50) {
        world.at(passed,
                 [&world, passed] { world.sendRepeatable(3 + static_cast<int>(passed / 50 % 3)); });
    }
    world.runFor(4'000);
    cr_assert_leq(world.peakRunning(), 9, "%ld ran", world.peakRunning());
}

Test(promises, units_of_a_crashed_entry_return_after_its_eviction_and_not_before)
{
    auto world = World({.seed = 6, .limit = 6});
    world.runFor(kSettleMs);
    world.crash(1);
    world.runFor(kEvictionDelayMs - 1'000);
    cr_assert_lt(world.unitsOf("t"), 6);
    world.runFor(1'000 + 1'000 + 3'000); // The suspicion takes 1 s, the settlement less than 3 s.
    cr_assert_eq(world.unitsOf("t"), 6);
}

Test(promises, a_planned_stop_hands_units_over_at_once_and_aborts_nothing)
{
    auto world = World({.seed = 7, .limit = 6, .serviceMs = 200});
    world.runFor(kSettleMs);
    sendRepeatableLoad(world, 1'000, 20);
    world.runFor(1'000);
    world.engine(1).beginShutdown({world.now(), 0});
    world.runFor(4'000);
    cr_assert(world.engine(1).isDrained() && world.engine(1).hasLeft());
    for (const auto &[handle, reply] : world.replies()) {
        cr_assert_neq(reply.outcome, Outcome::Unknown);
    }
    cr_assert_eq(world.replies().size(), 50U, "each caller has an answer or a true refusal");
    world.crash(1);
    cr_assert_eq(world.unitsOf("t"), 6);
}

Test(promises, a_paused_entry_starts_nothing_when_it_resumes_after_its_fence)
{
    auto world = World({.seed = 8, .limit = 4, .serviceMs = 300});
    world.runFor(kSettleMs);
    world.setPaused(0, true);
    for (auto request = 0; request < 20; ++request) {
        world.sendRepeatable(0);
    }
    world.runFor(kFenceMs + 1'000);
    const auto resumedAt = world.now();
    world.setLogIsolated(0, true);
    for (auto other = 1; other < world.entries(); ++other) {
        world.setPartitioned(0, other, true);
    }
    world.setPaused(0, false);
    world.runFor(2'000);
    cr_assert_eq(startsSince(world, resumedAt), 0);
}

// At most once

Test(promises, a_request_never_runs_twice_when_its_primary_crashes_at_any_moment)
{
    for (TimeMs crashAfter = 0; crashAfter <= 160; crashAfter += 4) {
        auto world = World({.seed = 100 + static_cast<std::uint64_t>(crashAfter), .limit = 6});
        world.runFor(kSettleMs);
        const auto id = world.makeId(0);
        const auto primary = primaryOf(world, id);
        const auto first = world.sendOnce((primary + 1) % 3, id);
        world.at(crashAfter, [&world, primary] { world.crash(primary); });
        world.at(1'000, [&world, primary, id] { world.sendOnce(3 + primary, id); });
        world.runFor(kEvictionDelayMs + 8'000);
        const auto again = world.sendOnce(4, id);
        world.runFor(4'000);
        cr_assert_leq(world.runsOf(id), 1, "crash after %ld ms", crashAfter);
        for (const auto handle : {first, again}) {
            cr_assert_not_null(world.reply(handle));
            const auto isNotRun = world.reply(handle)->outcome == Outcome::NotRun;
            cr_assert(!isNotRun || world.runsOf(id) == 0, "crash after %ld ms", crashAfter);
        }
    }
}

Test(promises, a_request_whose_primary_and_replica_are_lost_stays_unknown)
{
    auto world = World({.seed = 9, .limit = 6});
    world.runFor(kSettleMs);
    const auto id = world.makeId(0);
    const auto holders = findHolders(world.engine(0).state().membersOf("z0"), id);
    const auto entryOf = [](const Incarnation &name) {
        return static_cast<int>(*parseInteger(entryName(name).substr(1)));
    };
    world.sendOnce(entryOf(holders.primary), id);
    world.runFor(1'000);
    cr_assert_eq(world.runsOf(id), 1);
    world.crash(entryOf(holders.primary));
    world.crash(entryOf(holders.replica));
    world.runFor(kEvictionDelayMs + 6'000);
    world.restart(entryOf(holders.primary));
    world.restart(entryOf(holders.replica));
    world.runFor(5'000);
    const auto again = world.sendOnce(4, id);
    const auto fresh = world.sendOnce(4, world.makeId(0));
    world.runFor(4'000);
    cr_assert_eq(world.runsOf(id), 1);
    cr_assert_eq(world.reply(again)->outcome, Outcome::Unknown);
    cr_assert_eq(world.reply(fresh)->outcome, Outcome::Answered, "newer ids aren't affected");
}

Test(promises, a_repeated_id_returns_the_stored_answer)
{
    auto world = World({.seed = 10, .limit = 6});
    world.runFor(kSettleMs);
    const auto id = world.makeId(1);
    const auto first = world.sendOnce(0, id);
    const auto second = world.sendOnce(5, id);
    world.runFor(2'000);
    const auto third = world.sendOnce(2, id);
    world.runFor(1'000);
    for (const auto handle : {first, second, third}) {
        cr_assert_eq(world.reply(handle)->outcome, Outcome::Answered);
        cr_assert_eq(world.reply(handle)->answer.body, id);
    }
    cr_assert_eq(world.runsOf(id), 1);
}

Test(promises, an_id_that_is_too_old_or_malformed_never_starts)
{
    auto world = World({.seed = 11, .limit = 6});
    world.runFor(kSettleMs);
    const auto old = world.sendOnce(0, "z0/00000000-0000-7000-8000-000000000001");
    const auto bare = world.sendOnce(0, "0190b8a4-0000-7000-8000-000000000001");
    const auto random = world.sendOnce(0, "z0/0190b8a4-0000-4000-8000-000000000001");
    world.runFor(4'000);
    cr_assert_eq(world.reply(old)->outcome, Outcome::Unknown);
    cr_assert_eq(world.reply(bare)->outcome, Outcome::NotRun);
    cr_assert_eq(world.reply(random)->outcome, Outcome::NotRun);
    cr_assert(world.runs().empty());
}

// State and recovery

Test(promises, team_work_continues_during_a_long_outage_of_the_log)
{
    auto world = World({.seed = 12, .limit = 6});
    world.runFor(kSettleMs);
    world.setLogDown(true);
    world.runFor(25'000);
    const auto late = world.now();
    sendRepeatableLoad(world, 2'000, 20);
    world.runFor(3'000);
    cr_assert_gt(startsSince(world, late), 90);
}

Test(promises, a_replacement_gets_its_state_from_peers_while_the_log_is_down)
{
    auto world = World({.seed = 13, .limit = 6});
    world.runFor(kSettleMs);
    world.setLogDown(true);
    world.crash(0);
    world.restart(0);
    world.runFor(2'000);
    cr_assert_eq(world.engine(0).state().dump(), world.engine(1).state().dump());
    cr_assert_not(world.engine(0).isReady(), "it has no units before the log holds its join");
    world.setLogDown(false);
    world.runFor(2'000);
    cr_assert(world.engine(0).isReady());
}

Test(promises, a_reader_that_retention_overtook_starts_from_a_snapshot)
{
    auto world = World({.seed = 14, .limit = 6, .keepRecords = 30, .snapshotEvery = 10});
    world.runFor(kSettleMs);
    for (auto change = 0; change < 100; ++change) {
        world.setRule(fmt::format("team t share={} limit=6 # test", 1 + change));
        world.runFor(100);
    }
    world.crash(0);
    for (auto other = 1; other < world.entries(); ++other) {
        world.setPartitioned(0, other, true);
    }
    world.restart(0);
    world.runFor(3'000);
    cr_assert_eq(world.engine(0).state().rules().team("t")->share, 100);
}

Test(promises, an_entry_isolated_from_the_log_learns_changes_from_a_peer)
{
    auto world = World({.seed = 15, .limit = 6});
    world.runFor(kSettleMs);
    world.setLogIsolated(0, true);
    world.setRule("team t share=7 limit=6 # test");
    world.runFor(kEffectiveMs);
    cr_assert_eq(world.engine(0).state().rules().team("t")->share, 7);
}

// Targets

Test(promises, retries_stay_within_the_budget_when_all_targets_fail)
{
    auto world = World({.seed = 16, .limit = 100});
    world.runFor(kSettleMs);
    for (const auto *runner : {"r00", "r01", "r10", "r11"}) {
        world.setTargetDown(runner, true);
    }
    sendRepeatableLoad(world, 4'000, 10);
    world.runFor(8'000);
    cr_assert(world.runs().empty());
    cr_assert_eq(world.replies().size(), 400U);
    cr_assert_eq(answered(world), 0);
}

Test(promises, a_slow_answer_is_unknown_and_its_unit_stays_in_use)
{
    auto world = World({.seed = 17, .limit = 1, .serviceMs = 10, .lostAnswers = 1});
    world.runFor(kSettleMs);
    const auto id = world.makeId(0);
    const auto handle = world.sendOnce(primaryOf(world, id), id);
    world.runFor(4'000);
    cr_assert_eq(world.reply(handle)->outcome, Outcome::Unknown);
    cr_assert_eq(world.runsOf(id), 1);
    cr_assert_eq(world.unitsOf("t"), 1);
}

// Long tasks

Test(promises, a_task_never_runs_twice_at_once_through_crashes)
{
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        auto world = World({.seed = seed, .limit = 6});
        world.runFor(kSettleMs);
        const auto once = world.makeId(0);
        const auto again = world.makeId(0);
        world.submit(1, once, longTask(4'000, false));
        world.submit(1, again, longTask(4'000, true));
        world.runFor(600 + static_cast<TimeMs>(seed) * 150);
        for (const auto entry : {0, 2}) {
            world.crash(entry);
        }
        world.runFor(2'000);
        world.restart(0);
        world.restart(2);
        world.runFor(kEvictionDelayMs + 16'000);
        cr_assert_leq(world.runsOf(once), 1, "seed %lu", seed);
        cr_assert_eq(peakConcurrentRuns(world, again), 1, "seed %lu", seed);
        cr_assert_eq(world.engine(1).state().task(again)->note, "done: ", "seed %lu", seed);
        cr_assert_eq(world.engine(1).state().task(once)->phase, TaskPhase::Ended, "seed %lu", seed);
    }
}

Test(promises, an_urgent_task_starts_within_four_seconds_on_full_workers)
{
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        auto world = World({.seed = seed, .limit = 50});
        world.runFor(kSettleMs);
        for (auto task = 0; task < 40; ++task) {
            world.submit(task % 6, world.makeId(task % 2), longTask(60'000));
        }
        world.runFor(3'000);
        cr_assert_eq(world.runningOf("t"), 8, "both workers of 4 processors are full");
        auto urgent = longTask(500);
        urgent.isUrgent = true;
        urgent.cpus = 4;
        const auto id = world.makeId(0);
        const auto submittedAt = world.now();
        world.submit(0, id, urgent);
        world.runFor(4'000);
        const auto run = std::ranges::find(world.runs(), id, &Run::id);
        cr_assert(run != world.runs().end(), "seed %lu", seed);
        cr_assert_leq(run->startedAt - submittedAt, 4'000);
    }
}

Test(promises, a_task_that_fails_everywhere_ends_and_a_waiting_one_can_be_cancelled)
{
    auto world = World({.seed = 19, .workersPerZone = 3, .limit = 6});
    world.runFor(kSettleMs);
    for (const auto *worker : {"w00", "w01", "w02", "w10", "w11", "w12"}) {
        world.setTargetFailing(worker, true);
    }
    const auto bad = world.makeId(0);
    world.submit(0, bad, longTask(500));
    world.runFor(8'000);
    cr_assert_eq(world.engine(0).state().task(bad)->phase, TaskPhase::Ended);
    cr_assert_eq(world.runsOf(bad), 3);
    const auto tooBig = world.makeId(0);
    auto       spec = longTask(500);
    spec.cpus = 1'000;
    world.submit(0, tooBig, spec);
    world.runFor(1'000);
    world.engine(0).onTaskCancel({world.now(), 0}, 9'999, tooBig, hashKey("key"));
    world.runFor(1'000);
    cr_assert_eq(world.engine(3).state().task(tooBig)->note, "cancelled");
    cr_assert_eq(world.unitsOf("t"), 6);
}
