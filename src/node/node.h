// The scheduling node: accepts jobs from callers, and schedules the pools that it owns.
//
//   auto parsed = parseNodeSettings(text);
//   if (!parsed.errors.empty()) { ... each names the JSON path of a setting ... }
//   return runNode(parsed.settings, file);
//
// Index of this file
// [SECTION] Settings
// [SECTION] Node

#pragma once

#include "log/log.h"
#include "ownership/ownership.h"
#include "platform/platform.h"
#include "pool/pool.h"
#include "settings/settings.h"

namespace peridotwalk {

//-----------------------------------------------------------------------------
// [SECTION] Settings
//-----------------------------------------------------------------------------

// Configuration of a node. docs/OPERATORS.md lists the JSON names.
struct NodeSettings {
    std::string       name;           // Required.
    std::string       zone;           // Required.
    std::string       callersAddress; // Where callers connect. Required.
    std::string       readyAddress;   // Where the load balancer checks readiness. Required.
    std::string       peersAddress;   // Where other nodes connect. Required.
    std::string       metricsAddress; // Where metrics are served. Empty: nowhere.
    PlatformAddresses platform;
    OwnershipSettings ownership;
    PoolSettings      pool;
    PlannerSettings   planner;
    double            processorShare = 1; // Cores that this process may use.
    // A node with fewer cores than this is a reserve. An owner uses up to 0.2 cores in a burst on 100
    // workers.
    double            ownerMinShare = 0.2;
    TimeMs            tickMs = 20;         // Interval of checks for due work, such as retries.
    TimeMs            workersPollMs = 200; // Owners of pools read workers' reports that often.
    TimeMs            idleWorkersPollMs = 1'000; // The same for members that own no pool.
    TimeMs            callBudgetMs = 3'000;      // Time budget of callers that send none.
    TimeMs            callMarginMs = 150;        // Kept from a caller's budget for the reply.
    TimeMs            routeRetryMs = 100;        // Delay between attempts to reach an owner.
    // Timeout of an attempt, and of a report. A call that was sent has an unknown outcome then.
    TimeMs            ownerCallTimeoutMs = 1'000;
    TimeMs            stopLingerMs = 3'500;   // Callers are still served this long in a stop.
    TimeMs            retryAfterMs = 1'000;   // Minimum Retry-After of refusals.
    TimeMs            reportIntervalMs = 100; // Interval of reports to the coordinator.
    std::int64_t      maxHeaderBytes = 16'384;
    std::int64_t      maxBodyBytes = 262'144;
    LogLevel          logLevel = LogLevel::Info;
};

struct ParsedNodeSettings {
    NodeSettings               settings;
    std::vector<SettingsError> errors; // Empty: `settings` is valid.
};

auto parseNodeSettings(std::string_view json) -> ParsedNodeSettings;

//-----------------------------------------------------------------------------
// [SECTION] Node
//-----------------------------------------------------------------------------

// Path of peers' address that tells where a job would be placed now, see ExplanationTask.
constexpr std::string_view kWherePath = "/v1/where";

// Runs until SIGTERM or SIGINT. Returns the exit code: 0 after a planned stop, 1 if an address can't be
// bound. SIGHUP reloads the file; if it has errors they are logged, and the settings stay as they are.
// New addresses take effect at the next start.
auto runNode(const NodeSettings &settings, const std::string &file) -> int;

} // namespace peridotwalk
