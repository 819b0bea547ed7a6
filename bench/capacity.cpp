// Measures how the cost of an entry grows: processor time, memory and bytes sent by the size of its
// state and its traffic. Each result has at least three sizes and a least-squares fit.

#include "policy_world.h"

#include <fmt/format.h>

#include <malloc.h>

#include <chrono>
#include <cmath>

namespace {

using namespace peridotwalk;

struct Point {
    double size = 0;
    double cost = 0;
};

// Prints points, slope, intercept and the largest residual in % of the largest cost.
auto printFit(std::string_view what, std::string_view unit, std::span<const Point> points) -> void
{
    auto       sumX = 0.0;
    auto       sumY = 0.0;
    auto       sumXX = 0.0;
    auto       sumXY = 0.0;
    const auto count = static_cast<double>(points.size());
    for (const auto &point : points) {
        sumX += point.size;
        sumY += point.cost;
        sumXX += point.size * point.size;
        sumXY += point.size * point.cost;
    }
    const auto slope = (count * sumXY - sumX * sumY) / (count * sumXX - sumX * sumX);
    const auto intercept = (sumY - slope * sumX) / count;
    auto       residual = 0.0;
    auto       largest = 1e-9;
    fmt::print("{}:", what);
    for (const auto &point : points) {
        residual = std::max(residual, std::abs(point.cost - intercept - slope * point.size));
        largest = std::max(largest, point.cost);
        fmt::print(" {:.0f}->{:.4g}", point.size, point.cost);
    }
    fmt::print("\n    slope {:.4g} {}, intercept {:.4g}, residual {:.0f} %\n", slope, unit,
               intercept, 100 * residual / largest);
    std::fflush(stdout);
}

auto secondsOf(const std::function<void()> &work) -> double
{
    const auto begin = std::chrono::steady_clock::now();
    work();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
}

auto heapBytes() -> double
{
    return static_cast<double>(mallinfo2().uordblks);
}

auto makeSettings(int entry) -> EngineSettings
{
    auto settings = EngineSettings{};
    settings.incarnation = fmt::format("e{}#1", entry);
    settings.zone = "z0";
    settings.rack = settings.incarnation;
    return settings;
}

auto makeRules(int instances) -> ConfigChange
{
    auto       change = ConfigChange{"rules", "bench", {}};
    const auto add = [&](const std::string &line) {
        change.edits.push_back({std::get<Rule>(parseRule(line, 1)).key, line, 0});
    };
    add("zone z0 region=r # bench");
    for (auto pool = 0; pool < 62; ++pool) {
        add(fmt::format("pool p{} kind=runner # bench", pool));
    }
    for (auto instance = 0; instance < instances; ++instance) {
        add(fmt::format("instance i{} zone=z0 rack=k{} pool=p{} slots=8 # bench, delivery 7",
                        instance, instance / 4, instance % 62));
    }
    return change;
}

auto makeJoin(int entry) -> MemberJoin
{
    auto member = Member{};
    member.incarnation = fmt::format("e{}#1", entry);
    member.zone = "z0";
    member.rack = member.incarnation;
    member.address = fmt::format("127.0.0.1:{}", 10'000 + entry);
    return {fmt::format("join/{}", entry), member};
}

auto measureState() -> void
{
    auto memory = std::vector<Point>();
    auto changes = std::vector<Point>();
    auto dumps = std::vector<Point>();
    for (const auto instances : {500, 2'000, 8'000}) {
        const auto before = heapBytes();
        auto       engine = Engine(makeSettings(0));
        engine.onRecord({1, 1}, 0, 1, encodeRecord(makeRules(instances)));
        engine.onRecord({1, 1}, 1, 2, encodeRecord(makeJoin(0)));
        engine.takeEffects();
        memory.push_back({static_cast<double>(instances), (heapBytes() - before) / 1024});
        constexpr auto kChanges = 50;
        auto           offset = Offset{2};
        const auto     seconds = secondsOf([&] {
            for (auto number = 0; number < kChanges; ++number) {
                const auto line =
                    fmt::format("instance i{} zone=z0 rack=k0 pool=p{} slots=8 drain=yes # bench",
                                    number, number % 62);
                const auto edit = RuleEdit{fmt::format("instance/i{}", number), line, 1};
                engine.onRecord(
                        {1, 1}, offset, offset + 1,
                        encodeRecord(ConfigChange{fmt::format("c{}", number), "bench", {edit}}));
                ++offset;
            }
            engine.takeEffects();
        });
        changes.push_back({static_cast<double>(instances), seconds / kChanges * 1e3});
        dumps.push_back({static_cast<double>(instances),
                         static_cast<double>(engine.state().dump().size()) / 1024});
    }
    printFit("memory of the state, KB by instance rules", "KB/instance", memory);
    printFit("one change of configuration, ms by instance rules", "ms/instance", changes);
    printFit("snapshot, KB by instance rules", "KB/instance", dumps);
}

auto measurePeers() -> void
{
    auto cost = std::vector<Point>();
    auto bytes = std::vector<Point>();
    for (const auto members : {3, 9, 27, 81}) {
        auto engine = Engine(makeSettings(0));
        engine.onRecord({1, 1}, 0, 1, encodeRecord(makeRules(150)));
        for (auto entry = 0; entry < members; ++entry) {
            engine.onRecord({1, 1}, 1 + entry, 2 + entry, encodeRecord(makeJoin(entry)));
            if (entry > 0) {
                engine.onPeerUp({1, 1}, fmt::format("e{}#1", entry));
            }
        }
        engine.takeEffects();
        auto             sent = 0.0;
        constexpr TimeMs kRunMs = 20'000;
        const auto       seconds = secondsOf([&] {
            for (TimeMs now = 1'000; now < 1'000 + kRunMs; now += 5) {
                engine.onTick({now, now});
                if (now % 500 == 0) {
                    for (auto entry = 1; entry < members; ++entry) {
                        auto heartbeat = Heartbeat{};
                        heartbeat.sentAt = now;
                        heartbeat.echoOf = now - 100;
                        heartbeat.applied = engine.state().applied();
                        engine.onPeerMessage({now, now}, fmt::format("e{}#1", entry), heartbeat);
                    }
                }
                for (const auto &effect : engine.takeEffects()) {
                    const auto *message = std::get_if<SendPeer>(&effect);
                    sent += message == nullptr
                              ? 0
                              : static_cast<double>(encodeFrame(message->message).size());
                }
            }
        });
        cost.push_back(
            {static_cast<double>(members), seconds / (static_cast<double>(kRunMs) / 1e3) * 100});
        bytes.push_back(
            {static_cast<double>(members), sent / 1024 / (static_cast<double>(kRunMs) / 1e3)});
    }
    printFit("idle entry, % of a core by members it talks to", "%/member", cost);
    printFit("heartbeats sent, KB/s by members it talks to", "KB/s/member", bytes);
}

auto measureRequests() -> void
{
    auto cost = std::vector<Point>();
    auto bytes = std::vector<Point>();
    for (const auto load : {0.2, 0.4, 0.8}) {
        auto scenario = Scenario{};
        scenario.runners = {10};
        scenario.burstLoad = load;
        scenario.burstMs = 1'000'000;
        scenario.runMs = 5'000;
        const auto arrivals = makeArrivals(scenario);
        auto       result = Result{};
        const auto seconds = secondsOf([&] { result = runScenario(scenario, arrivals); });
        const auto entries = scenario.zones * scenario.entriesPerZone;
        const auto perSecond = static_cast<double>(arrivals.size()) / 5 / entries;
        cost.push_back({perSecond, seconds / 5 / entries * 100});
        bytes.push_back({perSecond, static_cast<double>(result.bytes) / 1024 / 5 / entries});
    }
    printFit("quick requests, % of a core by requests/s of an entry (fakes included)",
             "%/(request/s)", cost);
    printFit("peer messages, KB/s by requests/s of an entry", "KB/s/(request/s)", bytes);
}

auto measureClaims() -> void
{
    auto memory = std::vector<Point>();
    for (const auto claims : {1'000, 4'000, 16'000}) {
        const auto before = heapBytes();
        auto       table = ClaimTable("e0#1", "z0", ClaimSettings{});
        for (auto number = 0; number < claims; ++number) {
            table.claim(fmt::format("z0/0190b8a4-0000-7000-8000-{:012x}", number), "team", 1);
        }
        memory.push_back({static_cast<double>(claims), (heapBytes() - before) / 1024});
    }
    printFit("memory of claims, KB by claims in the window", "KB/claim", memory);
}

auto measureTasks() -> void
{
    auto cost = std::vector<Point>();
    auto memory = std::vector<Point>();
    for (const auto tasks : {500, 2'000, 8'000}) {
        const auto before = heapBytes();
        auto       state = FleetState();
        state.apply(1, makeJoin(0));
        auto batch = TaskBatch{"b", "e0#1", {}};
        for (auto number = 0; number < tasks; ++number) {
            auto event = TaskEvent{};
            event.taskId = fmt::format("z0/0190b8a4-0000-7000-8000-{:012x}", number);
            event.spec.service = "render";
            event.spec.team = "team";
            batch.events.push_back(std::move(event));
        }
        const auto text = encodeRecord(batch);
        const auto seconds = secondsOf([&] { state.apply(2, *decodeRecord(text)); });
        cost.push_back({static_cast<double>(tasks), seconds * 1e3});
        memory.push_back({static_cast<double>(tasks), (heapBytes() - before) / 1024});
    }
    printFit("applying task events, ms by events", "ms/event", cost);
    printFit("memory of tasks, KB by tasks", "KB/task", memory);
}

} // namespace

auto main() -> int
{
    measureState();
    measurePeers();
    measureRequests();
    measureClaims();
    measureTasks();
    return 0;
}
