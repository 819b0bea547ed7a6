// Structured logs: one JSON object per line on standard output. docs/LOGS.md lists events and fields.
//
//   logEvent(LogLevel::Info, "run.started", {{"job", id}, {"run", 2}, {"worker", name}});
//
// Lines are buffered and written without blocking: a reader that doesn't keep up makes the process drop
// lines, but never wait. A token bucket limits the rate of each event. Dropped lines are counted and
// reported by a line with the event "log.dropped".
//
// Index of this file
// [SECTION] Lines
// [SECTION] Output

#pragma once

#include "base/base.h"

#include <concepts>
#include <initializer_list>
#include <map>
#include <variant>

namespace peridotwalk {

//-----------------------------------------------------------------------------
// [SECTION] Lines
//-----------------------------------------------------------------------------

enum class LogLevel { Debug, Info, Warning, Error };

struct LogField {
    std::string_view                                           name;
    std::variant<std::string_view, std::int64_t, double, bool> value;

    LogField(std::string_view fieldName, std::string_view text) : name(fieldName), value(text) { }
    LogField(std::string_view fieldName, const char *text)
        : name(fieldName), value(std::string_view(text))
    {
    }
    LogField(std::string_view fieldName, const std::string &text)
        : name(fieldName), value(std::string_view(text))
    {
    }
    LogField(std::string_view fieldName, bool flag) : name(fieldName), value(flag) { }
    LogField(std::string_view fieldName, double number) : name(fieldName), value(number) { }
    template <std::integral Number>
    LogField(std::string_view fieldName, Number number)
        : name(fieldName), value(static_cast<std::int64_t>(number))
    {
    }
};

// Logs an event with the settings of configureLog().
auto logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
    -> void;

//-----------------------------------------------------------------------------
// [SECTION] Output
//-----------------------------------------------------------------------------

struct LogSettings {
    std::string node;                       // Name of the process, written to each line.
    int         descriptor = 1;             // Output, set to non-blocking.
    LogLevel    level = LogLevel::Info;     // Lower levels are ignored.
    std::size_t maxBufferedBytes = 262'144; // When the reader is further behind, lines are dropped.
    double      linesPerSecond = 200;       // Rate limit of each event.
    double      burst = 400;                // Capacity of each event's token bucket, in lines.
};

auto configureLog(const LogSettings &settings) -> void;
auto flushLog() -> void; // Writes as much of the buffer as the reader accepts without blocking.

// Formats one line, without the end of line. Used by logEvent() and by tests.
auto formatLogLine(std::string_view node, std::int64_t wallMs, LogLevel level,
                   std::string_view event, std::initializer_list<LogField> fields) -> std::string;

struct LogCounts {
    std::int64_t lines = 0;   // Written or buffered.
    std::int64_t dropped = 0; // By the rate limit or a full buffer.
};
auto logCounts() -> LogCounts;
auto countEvents()
    -> std::map<std::string, std::int64_t, std::less<>>; // Lines by event, dropped ones included.

} // namespace peridotwalk
