// The entry process: its settings, and the tasks that connect an engine to sockets and clocks.
//
//   auto settings = parseEntrySettings(text);
//   if (!settings.errors.empty()) { ... each names a JSON path ... }
//   return runEntry(settings.settings);
//
// Index of this file
// [SECTION] Settings
// [SECTION] Entry

#pragma once

#include "engine/engine.h"
#include "http/http.h"
#include "settings/settings.h"

namespace peridotwalk {

//-----------------------------------------------------------------------------
// [SECTION] Settings
//-----------------------------------------------------------------------------

// Settings of an entry. docs/OPERATORS.md lists the JSON names.
struct EntrySettings {
    std::string              name;             // "entry-1". Required.
    std::string              zone;             // "suva-1". Required.
    std::string              rack;             // Failure domain inside the zone. Required.
    std::string              callersAddress;   // Listening address for callers. Required.
    std::string              operatorsAddress; // The same for operators and metrics. Required.
    std::string              peersAddress;     // The same for other entries. Required.
    std::string              logAddress;       // Address of the platform's log. Required.
    std::string              instancesAddress; // Address of the platform's instance list. Required.
    std::vector<std::string> peers;            // Peers' addresses besides those in the log.
    TimeMs                   logPollMs = 200;  // Interval of reads of the log.
    TimeMs                   listPollMs = 500; // Interval of reads of the instance list.
    TimeMs                   platformTimeoutMs = 2'000; // Timeout of one call to the platform.
    TimeMs                   tickMs = 5;                // Interval of Engine::onTick().
    TimeMs                   shutdownMs = 30'000;       // Maximum duration of a planned stop.
    std::int64_t             maxHeaderBytes = 16'384;   // Maximum size of a request's header.
    int            callerTimeoutSeconds = 30;  // A sender that stalls for longer is disconnected.
    TimeMs         defaultDeadlineMs = 10'000; // For callers' requests without a deadline.
    std::int64_t   explainEntries = 2'000;     // Decisions kept for `explain`.
    EngineSettings engine;
};

struct ParsedSettings {
    EntrySettings              settings;
    std::vector<SettingsError> errors; // Empty: the settings are valid.
};

auto parseEntrySettings(std::string_view json) -> ParsedSettings;

//-----------------------------------------------------------------------------
// [SECTION] Entry
//-----------------------------------------------------------------------------

// Runs until SIGTERM or SIGINT, or until the other entries have evicted this one. Returns the exit
// code: 0 after a planned stop, 1 if an address can't be bound, 3 after an eviction.
auto runEntry(const EntrySettings &settings) -> int;

} // namespace peridotwalk
