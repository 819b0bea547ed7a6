// Prints the policy tables and writes them as JSON and SVG.
//   peridotwalk-bench --out out --seeds 3

#include "policy_world.h"

#include <CLI/CLI.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>

namespace {

using namespace peridotwalk;
using Json = nlohmann::json;

// One row of a table: a policy in a scenario.
struct Row {
    std::string policy;
    double      p50Ms = 0;
    double      p99Ms = 0;
    double      p999Ms = 0;
    double      inTime = 0;    // Fraction of requests answered before their deadline, 0 to 1.
    double      attempts = 0;  // Average per request.
    double      messages = 0;  // Sent per second and entry.
    double      kilobytes = 0; // Sent per second and entry.
};

// Returns a quantile, 0 to 1, of waits in time units. The result is in ms.
auto percentile(std::vector<TimeMs> &waits, double quantile) -> double
{
    if (waits.empty()) {
        return 0;
    }
    const auto index =
        static_cast<std::ptrdiff_t>(quantile * static_cast<double>(waits.size() - 1));
    std::nth_element(waits.begin(), waits.begin() + index, waits.end());
    return static_cast<double>(waits[static_cast<std::size_t>(index)]) / kUnitsPerMs;
}

auto summarize(const Scenario &scenario, const std::string &policy, const Result &result) -> Row
{
    auto waits = std::vector<TimeMs>();
    for (const auto &served : result.served) {
        waits.push_back(served.startedAt - served.arrivedAt);
    }
    const auto entrySeconds =
        static_cast<double>(scenario.runMs) / 1'000 * scenario.zones * scenario.entriesPerZone;
    const auto arrived = static_cast<double>(result.arrived);
    return {policy,
            percentile(waits, 0.5),
            percentile(waits, 0.99),
            percentile(waits, 0.999),
            static_cast<double>(result.answered) / arrived,
            static_cast<double>(result.attempts) / arrived,
            static_cast<double>(result.messages) / entrySeconds,
            static_cast<double>(result.bytes) / 1'000 / entrySeconds};
}

auto average(const std::vector<Row> &rows) -> Row
{
    auto       sum = Row{.policy = rows.front().policy};
    const auto count = static_cast<double>(rows.size());
    for (const auto &row : rows) {
        sum.p50Ms += row.p50Ms / count;
        sum.p99Ms += row.p99Ms / count;
        sum.p999Ms += row.p999Ms / count;
        sum.inTime += row.inTime / count;
        sum.attempts += row.attempts / count;
        sum.messages += row.messages / count;
        sum.kilobytes += row.kilobytes / count;
    }
    return sum;
}

auto toJson(const Row &row) -> Json
{
    return {{"policy", row.policy},     {"p50_ms", row.p50Ms},       {"p99_ms", row.p99Ms},
            {"p999_ms", row.p999Ms},    {"in_time", row.inTime},     {"attempts", row.attempts},
            {"messages", row.messages}, {"kilobytes", row.kilobytes}};
}

auto printRows(const std::string &title, const std::vector<Row> &rows) -> void
{
    fmt::print("\n{}\n{:<20}{:>9}{:>9}{:>9}{:>9}{:>10}{:>9}{:>9}\n", title, "policy", "p50 ms",
               "p99 ms", "p99.9", "in time", "attempts", "msg/s", "KB/s");
    for (const auto &row : rows) {
        fmt::print("{:<20}{:>9.1f}{:>9.1f}{:>9.1f}{:>9.4f}{:>10.3f}{:>9.1f}{:>9.2f}\n", row.policy,
                   row.p50Ms, row.p99Ms, row.p999Ms, row.inTime, row.attempts, row.messages,
                   row.kilobytes);
    }
    std::fflush(stdout);
}

// Runs all policies on the same arrivals, several seeds each.
auto comparePolicies(Scenario scenario, int seeds) -> std::vector<Row>
{
    const auto policies = {"held-slots", "static-slots",    "least-outstanding", "two-choices",
                           "random",     "smooth-weighted", "round-robin",       "ideal"};
    auto       table = std::vector<Row>();
    for (const std::string policy : policies) {
        auto rows = std::vector<Row>();
        for (auto seed = 1; seed <= seeds; ++seed) {
            scenario.seed = static_cast<std::uint64_t>(seed);
            scenario.policy = policy == "static-slots" ? "held-slots" : policy;
            scenario.sharesSlots = policy != "static-slots";
            const auto arrivals = makeArrivals(scenario);
            const auto result =
                policy == "ideal" ? runIdeal(scenario, arrivals) : runScenario(scenario, arrivals);
            rows.push_back(summarize(scenario, policy, result));
        }
        table.push_back(average(rows));
    }
    return table;
}

// Compares each team's use of a full pool, in slot time, with the team's share. Measures for one
// minute, from 5 s after the warm-up.
auto measureShares(int seeds, double skew) -> Json
{
    auto scenario = Scenario{};
    scenario.runners = {10};
    scenario.burstLoad = 2.5;
    scenario.meanServiceMs = 200;
    scenario.burstMs = 1'000'000;
    scenario.runMs = 70'000;
    scenario.entrySkew = skew;
    // Each team demands more than its share; the one with the smallest share exceeds it most.
    scenario.teams = {{"t0", 40, 0.22}, {"t1", 20, 0.16}, {"t2", 15, 0.15},
                      {"t3", 10, 0.14}, {"t4", 10, 0.14}, {"t5", 5, 0.19}};
    auto worst = 0.0;
    auto teams = Json::array();
    for (auto seed = 1; seed <= seeds; ++seed) {
        scenario.seed = static_cast<std::uint64_t>(seed);
        const auto result = runScenario(scenario, makeArrivals(scenario));
        auto       used = std::vector<double>(scenario.teams.size());
        auto       total = 0.0;
        const auto from = (6'000 + 5'000) * kUnitsPerMs;
        for (const auto &served : result.served) {
            if (served.startedAt >= from && served.startedAt < from + 60'000 * kUnitsPerMs) {
                used[static_cast<std::size_t>(served.team)] +=
                    static_cast<double>(served.serviceUnits);
                total += static_cast<double>(served.serviceUnits);
            }
        }
        for (std::size_t team = 0; team < used.size(); ++team) {
            const auto points = 100 * used[team] / total - scenario.teams[team].share;
            worst = std::max(worst, std::abs(points));
            teams.push_back({{"seed", seed},
                             {"team", scenario.teams[team].name},
                             {"share", scenario.teams[team].share},
                             {"used", 100 * used[team] / total}});
        }
    }
    fmt::print("shares, entry skew {:.0f}: worst distance {:.2f} points of 100\n", skew, worst);
    return {{"skew", skew}, {"worst_points", worst}, {"teams", teams}};
}

// Measures the utilization of the remaining zones' slots while one zone is out, and of all slots
// after its return.
auto measureZoneOut(int seeds) -> Json
{
    auto leastBusy = 1.0;
    auto busyAfterReturn = 0.0;
    for (auto seed = 1; seed <= seeds; ++seed) {
        auto scenario = Scenario{};
        scenario.seed = static_cast<std::uint64_t>(seed);
        scenario.runners = {12};
        scenario.burstLoad = 1.1;
        scenario.burstMs = 1'000'000;
        scenario.runMs = 20'000;
        scenario.zoneOutAtMs = 5'000;
        scenario.zoneBackAtMs = 12'000;
        const auto result = runScenario(scenario, makeArrivals(scenario));
        // Returns the average number of busy slots. Times count from the end of the warm-up, 6 s.
        const auto workIn = [&](TimeMs fromMs, TimeMs toMs) {
            auto       work = 0.0;
            const auto from = (6'000 + fromMs) * kUnitsPerMs;
            const auto to = (6'000 + toMs) * kUnitsPerMs;
            for (const auto &served : result.served) {
                const auto end = std::min(to, served.startedAt + served.serviceUnits);
                work += static_cast<double>(
                    std::max<TimeMs>(0, end - std::max(from, served.startedAt)));
            }
            return work / static_cast<double>(to - from);
        };
        constexpr auto kSurvivingSlots = 12.0 / 3 * 2 * 8;
        constexpr auto kAllSlots = 12.0 * 8;
        leastBusy = std::min(leastBusy, workIn(6'000, 12'000) / kSurvivingSlots);
        busyAfterReturn = std::max(busyAfterReturn, workIn(12'000, 18'000) / kAllSlots);
    }
    fmt::print(
        "zone out: {:.3f} of the surviving slots busy; {:.3f} of all in the 6 s after the return\n",
        leastBusy, busyAfterReturn);
    return {{"surviving_busy", leastBusy}, {"busy_after_return", busyAfterReturn}};
}

// Writes an SVG with the p99 waits as horizontal bars.
auto drawBars(const std::filesystem::path &path, const std::string &title,
              const std::vector<Row> &rows) -> void
{
    auto file = std::ofstream(path);
    auto maxP99Ms = 1.0;
    for (const auto &row : rows) {
        maxP99Ms = std::max(maxP99Ms, row.p99Ms);
    }
    const auto height = 40 + 24 * rows.size();
    file << fmt::format(
        "<svg xmlns='http://www.w3.org/2000/svg' width='720' height='{}' font-family='sans-serif' "
        "font-size='13'><rect width='100%' height='100%' fill='white'/>"
        "<text x='10' y='20'>{}: p99 wait, ms</text>\n",
        height, title);
    auto y = 34.0;
    for (const auto &row : rows) {
        file << fmt::format(
            "<text x='150' y='{:.0f}' text-anchor='end'>{}</text><rect x='158' y='{:.0f}' "
            "width='{:.1f}' height='16' fill='{}'/><text x='{:.1f}' y='{:.0f}'>{:.1f}</text>\n",
            y + 13, row.policy, y, row.p99Ms / maxP99Ms * 460,
            row.policy == "held-slots" ? "#2a7" : "#89a", 164 + row.p99Ms / maxP99Ms * 460, y + 13,
            row.p99Ms);
        y += 24;
    }
    file << "</svg>\n";
}

} // namespace

auto main(int argc, char **argv) -> int
{
    auto         out = std::string("out");
    auto         seeds = 3;
    auto         onlyShares = false;
    std::int64_t overcommit = RoutingSettings{}.slotOvercommit;
    auto         app = CLI::App("Policy benchmark");
    app.add_option("--out", out);
    app.add_option("--seeds", seeds);
    app.add_flag("--only-shares", onlyShares, "skip the comparison of policies");
    app.add_option("--overcommit", overcommit);
    CLI11_PARSE(app, argc, argv);
    std::filesystem::create_directories(out);
    auto json = Json::object();
    json["shares"] = {measureShares(seeds, 1), measureShares(seeds, 3)};
    json["zone_out"] = measureZoneOut(seeds);
    if (onlyShares) {
        return 0;
    }
    auto scenarios = std::vector<Scenario>(4);
    scenarios[0].name = "burst-0.9";
    scenarios[0].burstLoad = 0.9;
    scenarios[1].name = "burst-1.15";
    scenarios[2].name = "slow-runner";
    scenarios[2].burstLoad = 0.8;
    scenarios[2].slowRunner = 20;
    scenarios[3].name = "dead-rack";
    scenarios[3].burstLoad = 0.7;
    scenarios[3].rackDeadAtMs = 3'000;
    for (auto &scenario : scenarios) {
        scenario.slotOvercommit = overcommit;
        const auto rows = comparePolicies(scenario, seeds);
        printRows(scenario.name, rows);
        drawBars(std::filesystem::path(out) / (scenario.name + ".svg"), scenario.name, rows);
        for (const auto &row : rows) {
            json[scenario.name].push_back(toJson(row));
        }
    }
    std::ofstream(std::filesystem::path(out) / "policy.json") << json.dump(2) << '\n';
    return 0;
}
