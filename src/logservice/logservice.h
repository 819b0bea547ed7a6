// Interfaces to the platform's log and instance list, and their HTTP clients. Tests use stand-ins.
// docs/PROTOCOL.md describes the HTTP calls.
//
// Index of this file
// [SECTION] Log service
// [SECTION] Instance list
// [SECTION] Clients over HTTP

#pragma once

#include "http/http.h"

namespace peridotwalk {

//-----------------------------------------------------------------------------
// [SECTION] Log service
//-----------------------------------------------------------------------------

struct LogEntry {
    std::int64_t offset = 0;
    std::string  text;
};

struct LogPage {
    std::int64_t          after = 0; // Offset before the first entry; if empty, of the last record.
    std::vector<LogEntry> entries;   // In order. Empty: the end of the log was reached.
};

// An ordered log that keeps records for a limited time. An append may have taken effect although its
// answer was lost.
class LogService
{
public:
    using PageSlot = std::function<void(absl::StatusOr<LogPage>)>;
    using AppendSlot = std::function<void(absl::StatusOr<std::int64_t>)>;

    virtual ~LogService() = default;

    // Reads records from offset `from` on. Skips records that are no longer kept: see LogPage::after.
    virtual auto read(std::int64_t from, PageSlot slot) -> void = 0;
    virtual auto append(const std::string &text, AppendSlot slot) -> void = 0; // Gives the offset.
};

//-----------------------------------------------------------------------------
// [SECTION] Instance list
//-----------------------------------------------------------------------------

// A leaving instance shuts down and gets no new work. A terminated one has ended for good.
enum class InstanceState { Live, Leaving, Terminated };

struct InstanceEntry {
    std::string   name;
    std::string   address; // "IP:port" of a target. Empty for entries.
    InstanceState state = InstanceState::Live;
};

// Lists the instances. Eventually consistent: the list may lag behind the actual states.
class InstanceList
{
public:
    using ListSlot = std::function<void(absl::StatusOr<std::vector<InstanceEntry>>)>;

    virtual ~InstanceList() = default;

    virtual auto list(ListSlot slot) -> void = 0;
};

//-----------------------------------------------------------------------------
// [SECTION] Clients over HTTP
//-----------------------------------------------------------------------------

auto makeHttpLogService(ConnectionPool &pool, std::string address, TimeMs timeoutMs)
    -> std::unique_ptr<LogService>;
auto makeHttpInstanceList(ConnectionPool &pool, std::string address, TimeMs timeoutMs)
    -> std::unique_ptr<InstanceList>;

} // namespace peridotwalk
