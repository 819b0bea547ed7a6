// Settings: all errors are reported together, each with its path.

#include "entry/entry.h"
#include "node/node.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace peridotwalk;

namespace {

constexpr std::string_view kValid = R"({
    "name": "entry-1", "zone": "a", "rack": "k",
    "listen": {"callers": "127.0.0.1:1", "operators": "127.0.0.1:2", "peers": "127.0.0.1:3"},
    "platform": {"log": "127.0.0.1:4", "instances": "127.0.0.1:4"}})";

auto hasError(const ParsedSettings &parsed, std::string_view path) -> bool
{
    return std::ranges::find(parsed.errors, path, &SettingsError::path) != parsed.errors.end();
}

auto parseWith(std::string_view from, std::string_view to) -> ParsedSettings
{
    auto text = std::string(kValid);
    text.replace(text.find(from), from.size(), to);
    return parseEntrySettings(text);
}

} // namespace

Test(settings, accepts_valid_settings_with_defaults)
{
    const auto parsed = parseEntrySettings(kValid);
    cr_assert(parsed.errors.empty());
    cr_assert_eq(parsed.settings.engine.peerAddress, "127.0.0.1:3");
    cr_assert_eq(parsed.settings.logPollMs, 200);
}

Test(settings, reports_each_error_with_its_path)
{
    cr_assert(hasError(parseWith("\"entry-1\"", "7"), "/name"));
    cr_assert(hasError(parseWith("\"entry-1\"", "\"a b\""), "/name"));
    cr_assert(hasError(parseWith("\"zone\": \"a\", ", ""), "/zone"));
    cr_assert(hasError(parseWith("127.0.0.1:1", "localhost:1"), "/listen/callers"));
    cr_assert(hasError(parseWith("127.0.0.1:1", "127.0.0.1:99999"), "/listen/callers"));
    cr_assert(hasError(parseWith("\"rack\": \"k\"", "\"rack\": \"k\", \"colour\": 1"), "/colour"));
    cr_assert(
        hasError(parseWith("\"rack\": \"k\"", "\"rack\": \"k\", \"peers\": [\"x\"]"), "/peers/0"));
    cr_assert(
        hasError(parseWith("\"rack\": \"k\"", "\"rack\": \"k\", \"tick_ms\": 0"), "/tick_ms"));
    cr_assert(hasError(
        parseWith("\"rack\": \"k\"", "\"rack\": \"k\", \"routing\": {\"policy\": \"best\"}"),
        "/routing/policy"));
    cr_assert(hasError(
        parseWith("\"rack\": \"k\"", "\"rack\": \"k\", \"membership\": {\"evict_grace_ms\": 1000}"),
        "/membership"));
    cr_assert(
        hasError(parseWith("\"rack\": \"k\"", "\"rack\": \"k\", \"tasks\": {\"lease_ms\": 59000}"),
                 "/tasks/lease_ms"));
}

Test(settings, reports_all_errors_at_once)
{
    const auto parsed = parseEntrySettings(R"({"name": 1, "extra": 2})");
    for (const auto *path : {"/name", "/extra", "/zone", "/rack", "/listen", "/platform"}) {
        cr_assert(hasError(parsed, path), "%s", path);
    }
    cr_assert(hasError(parseEntrySettings("not json"), ""));
    cr_assert(hasError(parseEntrySettings("[]"), ""));
}

Test(settings, validates_all_settings_of_a_node)
{
    const auto good = parseNodeSettings(R"({
        "name": "n", "zone": "a",
        "listen": {"callers": "127.0.0.1:1", "ready": "127.0.0.1:2", "peers": "127.0.0.1:3"},
        "store": {"address": "127.0.0.1:4", "partitions": 8},
        "machines": {"address": ""}, "workers": {"max_lease_ms": 4000}})");
    cr_assert(good.errors.empty());
    cr_assert_eq(good.settings.ownership.partitions, 8);
    cr_assert_eq(good.settings.pool.leaseMs, 4'000); // Limited by max_lease_ms.
    cr_assert(good.settings.platform.machines.empty());
    const auto bad = parseNodeSettings(R"({"name": "n", "listen": {"callers": "nowhere"},
        "store": {"address": "127.0.0.1:4", "renew_ms": 2400}, "odd": 1})");
    for (const auto *path :
         {"/zone", "/listen/callers", "/listen/ready", "/store/renew_ms", "/odd"}) {
        cr_assert(std::ranges::find(bad.errors, path, &SettingsError::path) != bad.errors.end(),
                  "%s", path);
    }
    cr_assert_not(parseNodeSettings("{").errors.empty());
}
