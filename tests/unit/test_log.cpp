// Structured logs: valid JSON lines, the rate limit of each event, and a reader that doesn't keep up.

#include "log/log.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

#include <unistd.h>

#include <array>

using namespace peridotwalk;

Test(log, a_line_is_one_json_object)
{
    const auto line = formatLogLine("n", 17, LogLevel::Info, "run.started",
                                    {{"job", "a\"b\\\n"}, {"run", 2}, {"ok", true}, {"x", 0.5}});
    const auto json = nlohmann::json::parse(line);
    cr_assert_eq(json.at("v").get<int>(), 1);
    cr_assert_eq(json.at("event").get<std::string>(), "run.started");
    cr_assert_eq(json.at("job").get<std::string>(), "a\"b\\\n");
    cr_assert_eq(json.at("run").get<int>(), 2);
    cr_assert(json.at("ok").get<bool>());
    cr_assert_eq(line.find('\n'), std::string::npos);
}

Test(log, a_stuck_reader_drops_lines_and_never_blocks)
{
    auto ends = std::array<int, 2>{};
    cr_assert_eq(pipe(ends.data()), 0);
    auto settings = LogSettings{};
    settings.node = "n";
    settings.descriptor = ends[1];
    settings.linesPerSecond = 1'000'000;
    settings.burst = 1'000'000;
    configureLog(settings);
    for (auto line = 0; line < 20'000; ++line) {
        logEvent(LogLevel::Info, "flood", {{"text", std::string(100, 'x')}});
    }
    cr_assert_gt(logCounts().dropped, 0);
    cr_assert_lt(logCounts().lines, 10'000);
}

Test(log, a_flood_of_one_event_is_counted_and_does_not_limit_others)
{
    auto ends = std::array<int, 2>{};
    cr_assert_eq(pipe(ends.data()), 0);
    auto settings = LogSettings{};
    settings.node = "n";
    settings.descriptor = ends[1];
    configureLog(settings);
    for (auto line = 0; line < 2'000; ++line) {
        logEvent(LogLevel::Info, "flood", {});
    }
    const auto before = logCounts();
    logEvent(LogLevel::Info, "other", {});
    cr_assert_gt(before.dropped, 1'000);
    cr_assert_eq(logCounts().lines, before.lines + 1);
}
