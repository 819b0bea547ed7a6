#include "http/http_internal.h"

#include <fmt/format.h>

#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace peridotwalk {

namespace {

constexpr TimeMs kIdleCheckMs = 1'000;

auto commandOf(const std::string &method) -> evhttp_cmd_type
{
    if (method == "POST") {
        return EVHTTP_REQ_POST;
    }
    return method == "DELETE" ? EVHTTP_REQ_DELETE : EVHTTP_REQ_GET;
}

auto errorName(evhttp_request_error error) -> std::string
{
    switch (error) {
    case EVREQ_HTTP_TIMEOUT:
        return "timeout";
    case EVREQ_HTTP_EOF:
        return "the connection was closed before the whole answer";
    case EVREQ_HTTP_INVALID_HEADER:
        return "invalid answer header";
    case EVREQ_HTTP_BUFFER_ERROR:
        return "connection error";
    case EVREQ_HTTP_REQUEST_CANCEL:
        return "cancelled";
    case EVREQ_HTTP_DATA_TOO_LONG:
        return "the answer is too long";
    }
    return "error";
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Connection pool
//-----------------------------------------------------------------------------

// One connection, with at most one call at a time.
class PooledConnection
{
public:
    PooledConnection(ConnectionPool &pool, std::string address, const Endpoint &endpoint)
        : pool_(pool), address_(std::move(address)),
          connection_(evhttp_connection_base_new(pool.loop_.base(), nullptr, endpoint.host.c_str(),
                                                 endpoint.port))
    {
        evhttp_connection_set_max_body_size(connection_, pool.limits_.maxBodyBytes);
        evhttp_connection_set_closecb(connection_, onClosed, this);
        timer_ = event_new(pool.loop_.base(), -1, 0, onTimeout, this);
    }

    ~PooledConnection()
    {
        evhttp_connection_set_closecb(connection_, nullptr, nullptr);
        event_free(timer_);
        evhttp_connection_free(connection_);
    }

    PooledConnection(const PooledConnection &) = delete;
    auto operator=(const PooledConnection &) -> PooledConnection & = delete;

    auto call(const HttpCall &call, ConnectionPool::Done done) -> void
    {
        done_ = std::move(done);
        areHeadersWanted_ = call.areHeadersWanted;
        error_.clear();
        isBusy_ = true;
        auto *request = evhttp_request_new(onDone, this);
        request_ = request;
        evhttp_request_set_error_cb(request, onError);
        auto *headers = evhttp_request_get_output_headers(request);
        evhttp_add_header(headers, "Host", address_.c_str());
        for (const auto &[name, value] : call.headers) {
            evhttp_add_header(headers, name.c_str(), value.c_str());
        }
        evbuffer_add(evhttp_request_get_output_buffer(request), call.body.data(), call.body.size());
        // A new connection gets the request once it is connected, which mustn't be after the limit. After a
        // pause of the process, the urgent timer is handled before the connection.
        const auto isLimited = call.sendBy > 0 && !isConnected_;
        const auto timeoutMs = isLimited
            ? std::clamp<TimeMs>(call.sendBy - bootMs(), 1, call.timeoutMs)
            : call.timeoutMs;
        event_priority_set(timer_, isLimited ? kUrgentPriority : kNormalPriority);
        const auto timeout = toTimeval(timeoutMs);
        event_add(timer_, &timeout);
        if (evhttp_make_request(connection_, request, commandOf(call.method), call.path.c_str())
            != 0) {
            request_ = nullptr;
            finish({false, false, 0, {}, {}, "the request couldn't be made"});
            return;
        }
        // To be set for each call: evhttp resets it when it connects.
        if (call.isUrgent) {
            bufferevent_priority_set(evhttp_connection_get_bufferevent(connection_),
                                     kUrgentPriority);
        }
    }

    auto setSocketOptions(TimeMs timeoutMs) -> void
    {
        const auto socket = bufferevent_getfd(evhttp_connection_get_bufferevent(connection_));
        const auto timeout = static_cast<unsigned int>(timeoutMs);
        setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
        const auto isOn = 1;
        setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &isOn, sizeof(isOn));
    }

    // Resets the connection and discards data that the kernel hasn't sent yet. After a plain close, the
    // kernel would still deliver it once a network partition ends, long after the caller has treated the
    // call as failed. evhttp shuts a socket down before it closes it, which would defeat SO_LINGER, so
    // the descriptor is redirected to a new socket before that.
    auto abortConnection() -> void
    {
        const auto descriptor = bufferevent_getfd(evhttp_connection_get_bufferevent(connection_));
        const auto discard = linger{1, 0};
        setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &discard, sizeof(discard));
        const auto replacement = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        if (descriptor >= 0 && replacement >= 0) {
            dup2(replacement, descriptor);
        }
        if (replacement >= 0) {
            close(replacement);
        }
    }

    auto address() const -> const std::string & { return address_; }
    auto isUsable() const -> bool { return !isClosed_; }
    auto isBusy() const -> bool { return isBusy_; }
    auto setBusy(bool isBusy) -> void { isBusy_ = isBusy; }
    auto idleSince() const -> TimeMs { return idleSince_; }
    auto setIdleSince(TimeMs now) -> void { idleSince_ = now; }

private:
    static auto onDone(evhttp_request *request, void *self) -> void
    {
        auto &connection = *static_cast<PooledConnection *>(self);
        connection.request_ = nullptr;
        auto result = HttpResult{};
        result.isWritten = true;
        if (request == nullptr || evhttp_request_get_response_code(request) == 0) {
            result.error = connection.error_.empty() ? "connection error" : connection.error_;
            connection.isClosed_ = true;
        } else {
            connection.isConnected_ = true;
            result.isComplete = true;
            result.status = evhttp_request_get_response_code(request);
            const auto *headers = evhttp_request_get_input_headers(request);
            if (connection.areHeadersWanted_) {
                result.headers = copyHeaders(headers);
            }
            result.body = drainBuffer(evhttp_request_get_input_buffer(request));
            const auto *closes = evhttp_find_header(headers, "Connection");
            const auto  isClosing = closes != nullptr && std::string_view(closes) == "close";
            connection.isClosed_ = connection.isClosed_ || isClosing;
        }
        connection.finish(std::move(result));
    }

    static auto onError(evhttp_request_error error, void *self) -> void
    {
        auto &connection = *static_cast<PooledConnection *>(self);
        connection.error_ = errorName(error);
        if (error == EVREQ_HTTP_REQUEST_CANCEL) {
            return;
        }
        connection.isClosed_ = true;
    }

    static auto onTimeout(evutil_socket_t /*socket*/, short /*events*/, void *self) -> void
    {
        auto &connection = *static_cast<PooledConnection *>(self);
        connection.isClosed_ = true;
        connection.abortConnection();
        if (connection.request_ != nullptr) {
            evhttp_cancel_request(std::exchange(connection.request_, nullptr));
        }
        connection.finish({false, true, 0, {}, {}, "timeout"});
    }

    static auto onClosed(evhttp_connection * /*connection*/, void *self) -> void
    {
        static_cast<PooledConnection *>(self)->isClosed_ = true;
    }

    // Posts the result, as the connection must not be freed inside a callback of evhttp.
    auto finish(HttpResult result) -> void
    {
        event_del(timer_);
        if (!done_) {
            return;
        }
        auto done = std::exchange(done_, nullptr);
        pool_.loop_.post([done = std::move(done), result = std::move(result)]() mutable {
            done(std::move(result));
        });
    }

    ConnectionPool      &pool_;
    std::string          address_;
    evhttp_connection   *connection_;
    event               *timer_ = nullptr;
    evhttp_request      *request_ = nullptr;
    ConnectionPool::Done done_;
    std::string          error_;
    bool                 isClosed_ = false;
    bool                 isConnected_ = false; // An answer has arrived on it.
    bool                 isBusy_ = false;
    bool                 areHeadersWanted_ = true; // Of the call in progress.
    TimeMs               idleSince_ = 0;
};

ConnectionPool::ConnectionPool(EventLoop &loop, const ConnectionPoolLimits &limits)
    : loop_(loop), limits_(limits),
      idleTimer_(std::make_unique<Timer>(loop, kIdleCheckMs, [this] { closeIdle(); }))
{
}

ConnectionPool::~ConnectionPool() = default;

auto ConnectionPool::acquireIdle(const std::string &address) -> PooledConnection *
{
    for (auto &connection : connections_[address]) {
        if (!connection->isBusy() && connection->isUsable()) {
            connection->setBusy(true);
            return connection.get();
        }
    }
    return nullptr;
}

auto ConnectionPool::acquire(const std::string &address, Ready ready) -> void
{
    auto *idle = acquireIdle(address);
    if (idle != nullptr) {
        loop_.post([this, idle, address, ready = std::move(ready)]() mutable {
            if (idle->isUsable()) {
                ready(idle);
                return;
            }
            drop(idle);
            connect(address, std::move(ready));
        });
        return;
    }
    connect(address, std::move(ready));
}

auto ConnectionPool::connect(const std::string &address, Ready ready) -> void
{
    const auto endpoint = parseEndpoint(address);
    auto      &connections = connections_[address];
    if (!endpoint.ok() || connections.size() >= limits_.maxPerAddress) {
        auto status = endpoint.ok() ? makeError(absl::StatusCode::kResourceExhausted, "connect",
                                                address, "all connections are in use")
                                    : endpoint.status();
        loop_.post([ready = std::move(ready), status = std::move(status)] { ready(status); });
        return;
    }
    connections.push_back(std::make_unique<PooledConnection>(*this, address, *endpoint));
    auto *connection = connections.back().get();
    if (!limits_.isProbed) {
        connection->setBusy(true);
        loop_.post([connection, ready = std::move(ready)] { ready(connection); });
        return;
    }
    const auto probe = HttpCall{"GET", "/health", {}, {}, limits_.connectTimeoutMs};
    connection->call(probe, [this, connection, ready = std::move(ready)](const HttpResult &result) {
        if (!result.isComplete || !connection->isUsable()) {
            auto status = makeError(absl::StatusCode::kUnavailable, "connect",
                                    connection->address(), result.error);
            drop(connection);
            ready(status);
            return;
        }
        connection->setSocketOptions(limits_.userTimeoutMs);
        ready(connection);
    });
}

auto ConnectionPool::call(PooledConnection *connection, const HttpCall &call, Done done) -> void
{
    if (!connection->isUsable()) {
        drop(connection);
        loop_.post([done = std::move(done)] {
            done({false, false, 0, {}, {}, "the connection closed before the call"});
        });
        return;
    }
    if (call.sendBy > 0 && bootMs() >= call.sendBy) {
        release(connection);
        loop_.post([done = std::move(done)] {
            done({false, false, 0, {}, {}, "the call was due to be sent earlier"});
        });
        return;
    }
    connection->call(call, [this, connection, done = std::move(done)](HttpResult result) {
        release(connection);
        done(std::move(result));
    });
}

auto ConnectionPool::release(PooledConnection *connection) -> void
{
    if (!connection->isUsable()) {
        drop(connection);
        return;
    }
    connection->setBusy(false);
    connection->setIdleSince(monotonicMs());
}

auto ConnectionPool::request(const std::string &address, HttpCall call, Done done) -> void
{
    acquire(address,
            [this, call = std::move(call),
             done = std::move(done)](absl::StatusOr<PooledConnection *> connection) mutable {
                if (!connection.ok()) {
                    done({false, false, 0, {}, {}, std::string(connection.status().message())});
                    return;
                }
                this->call(*connection, call, std::move(done));
            });
}

auto ConnectionPool::drop(PooledConnection *connection) -> void
{
    auto &connections = connections_[connection->address()];
    std::erase_if(connections, [&](const auto &owned) { return owned.get() == connection; });
}

auto ConnectionPool::closeIdle() -> void
{
    const auto now = monotonicMs();
    for (auto &[address, connections] : connections_) {
        std::erase_if(connections, [&](const auto &connection) {
            const auto isOld = now - connection->idleSince() > limits_.idleMs;
            return !connection->isBusy() && (isOld || !connection->isUsable());
        });
    }
    std::erase_if(connections_, [](const auto &entry) { return entry.second.empty(); });
}

} // namespace peridotwalk
