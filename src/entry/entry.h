// The daemon: settings, and the tasks that connect an engine to the world.
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

// Everything an entry knows before it starts. docs/OPERATORS.md lists the JSON names.
struct EntrySettings {
    std::string              name;             // "entry-1". Required.
    std::string              zone;             // "suva-1". Required.
    std::string              rack;             // Failure domain inside the zone. Required.
    std::string              callersAddress;   // Where callers connect. Required.
    std::string              operatorsAddress; // Where operators and metrics connect. Required.
    std::string              peersAddress;     // Where other entries connect. Required.
    std::string              logAddress;       // The platform's log. Required.
    std::string              instancesAddress; // The platform's list. Required.
    std::vector<std::string> peers;            // Peer addresses known before the log was read.
    TimeMs                   logPollMs = 200;
    TimeMs                   listPollMs = 500;
    TimeMs                   platformTimeoutMs = 2'000;
    TimeMs                   tickMs = 5;
    TimeMs                   shutdownMs = 30'000; // A planned stop waits for requests that long.
    std::int64_t             maxHeaderBytes = 16'384;    // Of a caller's request.
    int                      callerTimeoutSeconds = 30;  // A slower sender is cut off.
    TimeMs                   defaultDeadlineMs = 10'000; // For requests that name none.
    std::int64_t             explainEntries = 2'000;     // Decisions kept for `explain`.
    EngineSettings           engine;
};

struct ParsedSettings {
    EntrySettings              settings;
    std::vector<SettingsError> errors; // All of them.
};

auto parseEntrySettings(std::string_view json) -> ParsedSettings;

//-----------------------------------------------------------------------------
// [SECTION] Entry
//-----------------------------------------------------------------------------

// Runs until SIGTERM or SIGINT, or until the other entries took this one for lost.
// Returns the exit code: 0 after a planned stop, 1 if an address can't be bound, 3 if it was lost.
auto runEntry(const EntrySettings &settings) -> int;

} // namespace peridotwalk
