// Structured logs: one JSON object a line on standard output. docs/LOGS.md lists events and fields.
//
//   logEvent(LogLevel::Info, "run.started", {{"job", id}, {"run", 2}, {"worker", name}});
//
// Lines are kept in a bounded buffer and written without blocking, so that a stuck reader costs lines
// and never time. Each event has a token bucket; what it or the buffer dropped is counted in a line.
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

// Writes through the log that configureLog() set up.
auto logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
    -> void;

//-----------------------------------------------------------------------------
// [SECTION] Output
//-----------------------------------------------------------------------------

struct LogSettings {
    std::string node; // Stands in each line.
    int         descriptor = 1;
    LogLevel    level = LogLevel::Info;
    std::size_t maxBufferedBytes = 262'144; // A reader that is further behind loses lines.
    double      linesPerSecond = 200;       // Of one event.
    double      burst = 400;                // Of one event.
};

auto configureLog(const LogSettings &settings) -> void;
auto flushLog() -> void; // Writes what is buffered, as far as the reader takes it.

// Formats one line, without the end of line. For tests and for logEvent().
auto formatLogLine(std::string_view node, std::int64_t wallMs, LogLevel level,
                   std::string_view event, std::initializer_list<LogField> fields) -> std::string;

struct LogCounts {
    std::int64_t lines = 0;   // Written or buffered.
    std::int64_t dropped = 0; // By a bucket or a full buffer.
};
auto logCounts() -> LogCounts;
auto countEvents() -> std::map<std::string, std::int64_t, std::less<>>; // Dropped ones included.

} // namespace peridotwalk
