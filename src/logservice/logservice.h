// The log and the instance list that the product expects of its surroundings. Stand-ins take their place in
// tests; docs/PROTOCOL.md gives the HTTP shapes.
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
    std::int64_t          after = 0; // Offset before the first entry, or before the head if empty.
    std::vector<LogEntry> entries;   // In order. Empty: the head was reached.
};

// Keeps records in order, for a limited time. An answer may be lost after the append took effect.
class LogService
{
public:
    using PageSlot = std::function<void(absl::StatusOr<LogPage>)>;
    using AppendSlot = std::function<void(absl::StatusOr<std::int64_t>)>;

    virtual ~LogService() = default;

    virtual auto read(std::int64_t from, PageSlot slot) -> void = 0;
    virtual auto append(const std::string &text, AppendSlot slot) -> void = 0; // Gives the offset.
};

//-----------------------------------------------------------------------------
// [SECTION] Instance list
//-----------------------------------------------------------------------------

enum class InstanceState { Live, Leaving, Terminated };

struct InstanceEntry {
    std::string   name;
    std::string   address; // Of a target. Empty for entries.
    InstanceState state = InstanceState::Live;
};

// Lags. What it lists as gone has ended for good.
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
