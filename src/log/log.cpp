#include "log/log.h"

#include <fmt/format.h>

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>

namespace peridotwalk {

namespace {

constexpr std::size_t kFlushBytes = 8'192; // One system call writes many lines.
constexpr double      kMsPerSecond = 1'000;
constexpr unsigned    kFirstPrintable = 0x20;

struct Bucket {
    double       tokens = 0;   // Lines that may be logged now.
    std::int64_t filledAt = 0; // Last refill, wall clock in ms.
    std::int64_t dropped = 0;  // Lines dropped since the last one that was logged.
    std::int64_t seen = 0;     // All lines of the event, including dropped ones.
};

struct Output {
    LogSettings                                settings;
    std::string                                buffer;
    std::size_t                                lostLines = 0; // Dropped by a full buffer.
    std::map<std::string, Bucket, std::less<>> buckets;
    LogCounts                                  counts;
};

auto output() -> Output &
{
    static auto single = Output{};
    return single;
}

auto nowMs() -> std::int64_t
{
    const auto passed = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(passed).count();
}

auto levelName(LogLevel level) -> std::string_view
{
    switch (level) {
    case LogLevel::Debug:
        return "debug";
    case LogLevel::Info:
        return "info";
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        break;
    }
    return "error";
}

auto appendText(std::string &line, std::string_view text) -> void
{
    line.push_back('"');
    for (const auto letter : text) {
        if (letter == '"' || letter == '\\') {
            line.push_back('\\');
            line.push_back(letter);
        } else if (static_cast<unsigned char>(letter) < kFirstPrintable) {
            line += fmt::format("\\u{:04x}", static_cast<unsigned char>(letter));
        } else {
            line.push_back(letter);
        }
    }
    line.push_back('"');
}

auto appendField(std::string &line, const LogField &field) -> void
{
    line.push_back(',');
    appendText(line, field.name);
    line.push_back(':');
    std::visit(
        [&](const auto &value) {
            if constexpr (std::is_same_v<std::decay_t<decltype(value)>, std::string_view>) {
                appendText(line, value);
            } else {
                fmt::format_to(std::back_inserter(line), "{}", value);
            }
        },
        field.value);
}

// Takes a token for a line of the event. Returns the number of lines dropped since the last one that was
// logged, or nothing if this one is to be dropped too.
auto takeToken(Output &out, std::string_view event, std::int64_t now) -> std::optional<std::int64_t>
{
    auto found = out.buckets.find(event);
    if (found == out.buckets.end()) {
        found =
            out.buckets.emplace(std::string(event), Bucket{out.settings.burst, now, 0, 0}).first;
    }
    auto &bucket = found->second;
    ++bucket.seen;
    const auto passed = static_cast<double>(std::max<std::int64_t>(0, now - bucket.filledAt));
    bucket.tokens = std::min(out.settings.burst,
                             bucket.tokens + passed / kMsPerSecond * out.settings.linesPerSecond);
    bucket.filledAt = now;
    if (bucket.tokens < 1) {
        ++bucket.dropped;
        ++out.counts.dropped;
        return std::nullopt;
    }
    bucket.tokens -= 1;
    return std::exchange(bucket.dropped, 0);
}

auto appendLine(Output &out, std::string_view line) -> void
{
    if (out.buffer.size() + line.size() > out.settings.maxBufferedBytes) {
        ++out.lostLines;
        ++out.counts.dropped;
        return;
    }
    ++out.counts.lines;
    out.buffer += line;
    out.buffer.push_back('\n');
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Lines
//-----------------------------------------------------------------------------

auto formatLogLine(std::string_view node, std::int64_t wallMs, LogLevel level,
                   std::string_view event, std::initializer_list<LogField> fields) -> std::string
{
    auto line = fmt::format(R"({{"v":1,"t":{},"level":"{}","node":"{}","event":"{}")", wallMs,
                            levelName(level), node, event);
    for (const auto &field : fields) {
        appendField(line, field);
    }
    line.push_back('}');
    return line;
}

auto logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
    -> void
{
    auto &out = output();
    if (level < out.settings.level) {
        return;
    }
    const auto now = nowMs();
    const auto dropped = takeToken(out, event, now);
    if (!dropped) {
        return;
    }
    if (*dropped > 0) {
        appendLine(out,
                   formatLogLine(out.settings.node, now, LogLevel::Warning, "log.dropped",
                                 {{"of", event}, {"lines", *dropped}}));
    }
    appendLine(out, formatLogLine(out.settings.node, now, level, event, fields));
    if (out.buffer.size() >= kFlushBytes) {
        flushLog();
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Output
//-----------------------------------------------------------------------------

auto configureLog(const LogSettings &settings) -> void
{
    output().settings = settings;
    const auto flags = fcntl(settings.descriptor, F_GETFL, 0);
    if (flags >= 0) {
        fcntl(settings.descriptor, F_SETFL, flags | O_NONBLOCK);
    }
}

auto flushLog() -> void
{
    auto &out = output();
    while (!out.buffer.empty()) {
        const auto written = write(out.settings.descriptor, out.buffer.data(), out.buffer.size());
        if (written <= 0) {
            return; // The reader doesn't keep up. The rest stays in the buffer.
        }
        out.buffer.erase(0, static_cast<std::size_t>(written));
    }
    if (out.lostLines > 0) {
        const auto lost = std::exchange(out.lostLines, 0);
        appendLine(out,
                   formatLogLine(out.settings.node, nowMs(), LogLevel::Warning, "log.dropped",
                                 {{"of", "all"}, {"lines", lost}}));
    }
}

auto countEvents() -> std::map<std::string, std::int64_t, std::less<>>
{
    auto counts = std::map<std::string, std::int64_t, std::less<>>();
    for (const auto &[event, bucket] : output().buckets) {
        counts[event] = bucket.seen;
    }
    return counts;
}

auto logCounts() -> LogCounts
{
    return output().counts;
}

} // namespace peridotwalk
