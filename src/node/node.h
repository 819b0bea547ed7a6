// The scheduling node: takes jobs from callers, and schedules the pools that it owns.
//
//   auto parsed = parseNodeSettings(text);
//   if (!parsed.errors.empty()) { ... each names a JSON path ... }
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

// Everything a node knows before it starts. docs/OPERATORS.md lists the JSON names.
struct NodeSettings {
    std::string       name;           // Required.
    std::string       zone;           // Required.
    std::string       callersAddress; // Where callers connect. Required.
    std::string       readyAddress;   // Where the load balancer asks. Required.
    std::string       peersAddress;   // Where other nodes connect. Required.
    std::string       metricsAddress; // Where metrics are served. Empty: nowhere.
    PlatformAddresses platform;
    OwnershipSettings ownership;
    PoolSettings      pool;
    PlannerSettings   planner;
    double            processorShare = 1; // Cores that this process may use.
    // Owners use up to 0.2 of a core with a burst on 100 workers; nodes with less are a reserve.
    double            ownerMinShare = 0.2;
    TimeMs            tickMs = 20;               // Retries, batches and due occurrences.
    TimeMs            workersPollMs = 200;       // Reading of workers' reports, by owners of pools.
    TimeMs            idleWorkersPollMs = 1'000; // The same by other nodes.
    TimeMs            callBudgetMs = 3'000;      // Of callers that name none.
    TimeMs            callMarginMs = 150; // An answer leaves that long before the budget ends.
    TimeMs            routeRetryMs = 100; // Between two tries to reach a pool's owner.
    TimeMs            ownerCallTimeoutMs = 1'000; // A try that takes longer has an unknown outcome.
    TimeMs            stopLingerMs = 3'500; // After a planned stop callers are served on that long.
    TimeMs            retryAfterMs = 1'000; // Told to callers that are refused.
    TimeMs            reportIntervalMs = 100; // Owners report to the coordinator that often.
    std::int64_t      maxHeaderBytes = 16'384;
    std::int64_t      maxBodyBytes = 262'144;
    LogLevel          logLevel = LogLevel::Info;
};

struct ParsedNodeSettings {
    NodeSettings               settings;
    std::vector<SettingsError> errors; // All of them.
};

auto parseNodeSettings(std::string_view json) -> ParsedNodeSettings;

//-----------------------------------------------------------------------------
// [SECTION] Node
//-----------------------------------------------------------------------------

// Runs until SIGTERM or SIGINT. Returns the exit code: 0 after a planned stop, 1 if an address can't be
// bound. SIGHUP reads the file again; settings with errors are named in the log and not taken. Addresses
// take effect at the next start.
auto runNode(const NodeSettings &settings, const std::string &file) -> int;

} // namespace peridotwalk
