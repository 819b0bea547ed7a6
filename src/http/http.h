// HTTP by libevent's evhttp, and the event loop that all tasks of a process share.
//
// Index of this file
// [SECTION] Event loop
// [SECTION] Server
// [SECTION] Connection pool

#pragma once

#include "base/base.h"

#include <sigc++/sigc++.h>

#include <functional>
#include <map>
#include <memory>

struct event;
struct event_base;
struct evhttp;
struct evhttp_connection;
struct evhttp_request;

namespace peridotwalk {

//-----------------------------------------------------------------------------
// [SECTION] Event loop
//-----------------------------------------------------------------------------

// One libevent loop. Everything made from it is used on its thread only.
class EventLoop
{
public:
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    auto operator=(const EventLoop &) -> EventLoop & = delete;

    // Commands.
    auto run() -> void;
    auto stop() -> void;
    auto post(std::function<void()> task, TimeMs afterMs = 0) -> void; // Never inside this call.

    // Queries.
    auto base() const -> event_base * { return base_; }

private:
    event_base *base_;
};

// Calls a slot every so often while it lives.
class Timer
{
public:
    Timer(EventLoop &loop, TimeMs everyMs, std::function<void()> slot);
    ~Timer();
    Timer(const Timer &) = delete;
    auto operator=(const Timer &) -> Timer & = delete;

private:
    std::function<void()> slot_;
    event                *event_;
};

// Returns the monotonic clock in ms.
auto monotonicMs() -> TimeMs;

// Returns a steady clock in ms that also counts the time in which the machine was suspended.
auto bootMs() -> TimeMs;

// Returns the wall clock in ms since 1970.
auto wallMs() -> std::int64_t;

// Splits "127.0.0.1:80". Names aren't resolved: addresses are IP numbers.
struct Endpoint {
    std::string   host;
    std::uint16_t port = 0;
};
auto parseEndpoint(std::string_view address) -> absl::StatusOr<Endpoint>;

//-----------------------------------------------------------------------------
// [SECTION] Server
//-----------------------------------------------------------------------------

using ExchangeId = std::int64_t;

struct HttpRequest {
    ExchangeId                         id = 0; // For HttpServer::reply().
    std::string                        method;
    std::string                        path; // Without the query, decoded.
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; // Names in lower case.
    std::string                        body;

    auto header(const std::string &name) const -> std::string; // Empty: not there.
};

struct HttpReply {
    int                                status = 200;
    std::string                        contentType = "application/json";
    std::string                        body;
    std::map<std::string, std::string> headers;
};

struct HttpServerLimits {
    std::int64_t maxHeaderBytes = 16'384;
    std::int64_t maxBodyBytes = 262'144;
    int          timeoutSeconds = 30; // A sender or reader slower than that is cut off.
};

// Accepts requests and keeps each open until reply() or until its caller leaves.
class HttpServer
{
public:
    HttpServer(EventLoop &loop, const HttpServerLimits &limits);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    auto operator=(const HttpServer &) -> HttpServer & = delete;

    // Commands.
    auto listen(std::string_view address) -> absl::Status; // Port 0 takes any free port.
    auto reply(ExchangeId id, const HttpReply &reply)
        -> void; // Nothing happens if the caller left.
    auto stopAccepting() -> void;

    // Queries.
    auto port() const -> std::uint16_t { return port_; }
    auto open() const -> std::size_t { return exchanges_.size(); }

    sigc::signal<void(const HttpRequest &)> requestArrived;
    sigc::signal<void(ExchangeId)>          callerDisconnected;

private:
    struct Exchange;

    static auto onRequest(evhttp_request *request, void *self) -> void;
    static auto onClosed(evhttp_connection *connection, void *exchange) -> void;

    evhttp                                         *http_;
    void                                           *listener_ = nullptr;
    std::uint16_t                                   port_ = 0;
    ExchangeId                                      lastId_ = 0;
    std::map<ExchangeId, std::unique_ptr<Exchange>> exchanges_;
};

//-----------------------------------------------------------------------------
// [SECTION] Connection pool
//-----------------------------------------------------------------------------

// What a call on a pooled connection came to.
struct HttpResult {
    bool                               isComplete = false; // A whole answer came.
    bool                               isWritten = false;  // Bytes of the request may have left.
    int                                status = 0;
    std::map<std::string, std::string> headers; // Names in lower case.
    std::string                        body;
    std::string                        error;
};

struct HttpCall {
    std::string                        method = "GET";
    std::string                        path = "/";
    std::map<std::string, std::string> headers;
    std::string                        body;
    TimeMs                             timeoutMs = 1'000;
    TimeMs                             sendBy = 0; // On bootMs(): not sent later. 0: no limit.
};

// Sends calls and answers each once. What goes by HTTP depends on this only.
class HttpClient
{
public:
    using Done = std::function<void(HttpResult)>;

    virtual ~HttpClient() = default;

    virtual auto request(const std::string &address, HttpCall call, Done done) -> void = 0;
};

struct ConnectionPoolLimits {
    bool         isProbed = true; // Prove each new connection by a request for "/health".
    std::size_t  maxPerAddress = 64;
    TimeMs       connectTimeoutMs = 1'000;
    TimeMs       idleMs = 15'000;       // An idle connection is closed after that.
    TimeMs       userTimeoutMs = 2'000; // TCP_USER_TIMEOUT: bytes unacknowledged for longer end it.
    std::int64_t maxBodyBytes = 16'777'216; // Of an answer.
};

class PooledConnection;

// Keep-alive connections by address. Unless limits say otherwise, a connection is made and proved by
// a request for "/health" before it is handed out, so that a call on it leaves at once.
class ConnectionPool final : public HttpClient
{
public:
    using Ready = std::function<void(absl::StatusOr<PooledConnection *>)>;

    ConnectionPool(EventLoop &loop, const ConnectionPoolLimits &limits);
    ~ConnectionPool() override;
    ConnectionPool(const ConnectionPool &) = delete;
    auto operator=(const ConnectionPool &) -> ConnectionPool & = delete;

    // Commands. Each handed out connection goes back by call() or giveBack().
    auto acquire(const std::string &address, Ready ready) -> void;
    auto call(PooledConnection *connection, const HttpCall &call, Done done) -> void;
    auto release(PooledConnection *connection) -> void;
    auto request(const std::string &address, HttpCall call, Done done)
        -> void override; // acquire() and call().

private:
    friend class PooledConnection;

    auto connect(const std::string &address, Ready ready) -> void;
    auto takeIdle(const std::string &address) -> PooledConnection *;
    auto drop(PooledConnection *connection) -> void;
    auto closeIdle() -> void;

    EventLoop                                                                         &loop_;
    ConnectionPoolLimits                                                               limits_;
    std::map<std::string, std::vector<std::unique_ptr<PooledConnection>>, std::less<>> connections_;
    std::unique_ptr<Timer>                                                             idleTimer_;
};

} // namespace peridotwalk
