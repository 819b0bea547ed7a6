// HTTP server and client on libevent's evhttp, and the event loop that all tasks of a process share.
//
// Index of this file
// [SECTION] Event loop
// [SECTION] Server
// [SECTION] Connection pool

#pragma once

#include "base/base.h"

#include <sigc++/sigc++.h>

#include <deque>
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

// One libevent loop. Objects made with it may be used only on the thread that calls run().
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
    auto post(std::function<void()> task, TimeMs afterMs = 0) -> void; // Always asynchronous.

    // Queries.
    auto base() const -> event_base * { return base_; }

private:
    static auto runPosted(int socket, short events, void *self) -> void;

    event_base                       *base_;
    event                            *postedEvent_; // Runs tasks of posted_.
    std::deque<std::function<void()>> posted_;      // Without delay, in order.
};

// Calls a slot every `everyMs` ms until it is destroyed.
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

// Returns a monotonic clock in ms that also advances while the machine is suspended.
auto bootMs() -> TimeMs;

// Returns the wall clock in ms since 1970.
auto wallMs() -> std::int64_t;

//-----------------------------------------------------------------------------
// [SECTION] Server
//-----------------------------------------------------------------------------

using ExchangeId = std::int64_t; // Identifies a request at one HttpServer, from 1.

struct HttpRequest {
    ExchangeId                         id = 0; // For HttpServer::reply().
    std::string                        method;
    std::string                        path;    // Without the query, decoded.
    std::map<std::string, std::string> query;   // Names in lower case.
    std::map<std::string, std::string> headers; // Names in lower case.
    std::string                        body;

    auto header(const std::string &name) const -> std::string; // Name in lower case. Empty: absent.
};

struct HttpReply {
    int                                status = 200;
    std::string                        contentType = "application/json";
    std::string                        body;
    std::map<std::string, std::string> headers; // In addition to Content-Type.
};

struct HttpServerLimits {
    std::int64_t maxHeaderBytes = 16'384;
    std::int64_t maxBodyBytes = 262'144;
    int          timeoutSeconds = 30; // A connection without progress for longer is closed.
};

// Accepts requests and keeps each open until reply(), or until its caller disconnects.
class HttpServer
{
public:
    HttpServer(EventLoop &loop, const HttpServerLimits &limits);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    auto operator=(const HttpServer &) -> HttpServer & = delete;

    // Commands.
    auto listen(std::string_view address) -> absl::Status; // Port 0: any free port.
    auto reply(ExchangeId id, const HttpReply &reply)
        -> void; // Ignored if the caller has disconnected.
    auto stopAccepting() -> void;

    // Queries.
    auto port() const -> std::uint16_t { return port_; }
    auto open() const -> std::size_t { return exchanges_.size(); } // Requests without a reply.

    sigc::signal<void(const HttpRequest &)> requestArrived;
    sigc::signal<void(ExchangeId)>          callerDisconnected; // Emitted before the reply only.

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

// Result of a call. If isWritten is false, the request certainly wasn't executed.
struct HttpResult {
    bool                               isComplete = false; // A complete answer arrived.
    bool                               isWritten = false;  // The request may have been sent.
    int                                status = 0;         // 0: no complete answer arrived.
    std::map<std::string, std::string> headers;            // Names in lower case.
    std::string                        body;
    std::string                        error; // Why no complete answer arrived. Empty: one did.
};

struct HttpCall {
    std::string                        method = "GET"; // "GET", "POST" or "DELETE".
    std::string                        path = "/";
    std::map<std::string, std::string> headers;
    std::string                        body;
    TimeMs                             timeoutMs = 1'000; // Counted from call(), after acquire().
    TimeMs                             sendBy = 0; // Not sent later, on bootMs(). 0: no limit.
    bool        isUrgent = false;        // The answer is read before all other events of the loop.
    bool        areHeadersWanted = true; // HttpResult has the answer's headers.
    // Connections that calls of this kind leave to other kinds, if the pool's limits are shared.
    std::size_t reserve = 0;
};

// Sends calls and reports the result of each exactly once.
class HttpClient
{
public:
    using Done = std::function<void(HttpResult)>;

    virtual ~HttpClient() = default;

    virtual auto request(const std::string &address, HttpCall call, Done done) -> void = 0;
    // Returns whether all calls to the address take turns on one connection, so that a long poll holds up the others.
    virtual auto hasOneConnection(const std::string & /*address*/) const -> bool { return false; }
};

struct ConnectionPoolLimits {
    bool         isProbed = true;          // Check each new connection by a request for "/health".
    std::size_t  maxPerAddress = 64;       // Further calls fail immediately, or wait if isShared.
    TimeMs       connectTimeoutMs = 1'000; // Connecting and the probe.
    TimeMs       idleMs = 15'000;          // An idle connection is closed after that.
    // TCP_USER_TIMEOUT: longest wait for an acknowledgement. Set on probed connections only.
    TimeMs       userTimeoutMs = 2'000;
    std::int64_t maxBodyBytes = 16'777'216; // Maximum size of an answer's body.
    // Servers limit the connections of all their clients together, and those of a client that loses power stay open
    // there. With isShared, request() makes do with few: calls wait for a connection, and fail if nothing is answered
    // for their time limit.
    bool         isShared = false;
    std::size_t  usualPerAddress = 2; // More are opened only for calls that have waited,
    TimeMs       widenAfterMs = 20;   // for this long,
    TimeMs       extraIdleMs = 2'000; // and closed when they have been idle for this long.
    TimeMs       refusedMs = 2'000;   // A server that refused one isn't asked for more before.
};

class PooledConnection;

// Keep-alive connections by address. A new connection is probed before it is handed out (unless
// isProbed is false), so that a call on it is sent immediately.
class ConnectionPool final : public HttpClient
{
public:
    using Ready = std::function<void(absl::StatusOr<PooledConnection *>)>;

    ConnectionPool(EventLoop &loop, const ConnectionPoolLimits &limits);
    ~ConnectionPool() override;
    ConnectionPool(const ConnectionPool &) = delete;
    auto operator=(const ConnectionPool &) -> ConnectionPool & = delete;

    // Commands. A connection from acquire() returns to the pool after call(), or by release().
    auto acquire(const std::string &address, Ready ready) -> void;
    auto call(PooledConnection *connection, const HttpCall &call, Done done) -> void;
    auto release(PooledConnection *connection) -> void;
    auto request(const std::string &address, HttpCall call, Done done)
        -> void override; // acquire() and call(), in turn with others if the limits are shared.

    // Queries.
    auto hasOneConnection(const std::string &address) const -> bool override;
    auto countConnections() const -> std::size_t; // To all addresses.

private:
    friend class PooledConnection;
    struct WaitingCall {
        HttpCall call;
        Done     done;
        TimeMs   since = 0; // monotonicMs()
    };
    // Calls to an address that wait for a connection. Only with shared limits.
    struct CallQueue {
        std::deque<WaitingCall> waiting; // In order of arrival.
        bool                    isServeDue = false;
        TimeMs                  answeredAt = 0;  // Last answer on any connection.
        std::size_t             width = 0;       // Connections that the server grants.
        TimeMs                  narrowUntil = 0; // `width` is in force until then.

        auto expiryOf(const WaitingCall &call) const -> TimeMs;
    };

    auto connect(const std::string &address, Ready ready) -> void;
    auto open(const std::string &address, const Endpoint &endpoint) -> PooledConnection *;
    auto acquireIdle(const std::string &address) -> PooledConnection *;
    auto drop(PooledConnection *connection) -> void;
    auto closeIdle() -> void;
    auto dropSilent(const std::string &address, TimeMs sentAt) -> void;

    // Shared limits.
    auto serve(const std::string &address) -> void;
    auto serveLater(const std::string &address, CallQueue &queue) -> void;
    auto acquireShared(const std::string &address, const WaitingCall &waiting)
        -> absl::StatusOr<PooledConnection *>; // nullptr: none is free yet.
    auto widthOf(const std::string &address) const -> std::size_t;
    auto noteFailure(const PooledConnection &connection, const HttpResult &result) -> void;

    EventLoop                                                                         &loop_;
    ConnectionPoolLimits                                                               limits_;
    std::map<std::string, std::vector<std::unique_ptr<PooledConnection>>, std::less<>> connections_;
    std::map<std::string, CallQueue, std::less<>>                                      queues_;
    std::unique_ptr<Timer>                                                             idleTimer_;
};

} // namespace peridotwalk
