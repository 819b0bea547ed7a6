#include "http/http_internal.h"

#include <fmt/format.h>

#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace peridotwalk {

namespace {

constexpr TimeMs           kIdleCheckMs = 1'000;
constexpr std::string_view kTimeout = "timeout";

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
        return std::string(kTimeout);
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
        reserve_ = call.reserve;
        sentAt_ = monotonicMs();
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
        const auto isLimited = call.sendBy > 0 && !hasAnswered();
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

    // Returns whether the server has accepted the connection.
    auto hasPeer() const -> bool
    {
        auto       peer = sockaddr_storage{};
        auto       size = socklen_t{sizeof(peer)};
        const auto descriptor = bufferevent_getfd(evhttp_connection_get_bufferevent(connection_));
        return getpeername(descriptor, reinterpret_cast<sockaddr *>(&peer), &size) == 0;
    }

    auto address() const -> const std::string & { return address_; }
    auto isUsable() const -> bool { return !isClosed_; }
    auto isBusy() const -> bool { return isBusy_; }
    auto setBusy(bool isBusy) -> void { isBusy_ = isBusy; }
    auto idleSince() const -> TimeMs { return idleSince_; }
    auto setIdleSince(TimeMs now) -> void { idleSince_ = now; }
    auto reserve() const -> std::size_t { return reserve_; } // Of the call in progress.
    auto sentAt() const -> TimeMs { return sentAt_; }        // Of the last call.
    auto answeredAt() const -> TimeMs { return answeredAt_; }
    auto hasAnswered() const -> bool { return answeredAt_ > 0; }
    auto isEstablished() const -> bool { return isEstablished_; }

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
            connection.answeredAt_ = monotonicMs();
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
        connection.isEstablished_ = connection.hasPeer();
        connection.abortConnection();
        if (connection.request_ != nullptr) {
            evhttp_cancel_request(std::exchange(connection.request_, nullptr));
        }
        connection.finish({false, true, 0, {}, {}, std::string(kTimeout)});
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
    bool                 isBusy_ = false;
    bool                 areHeadersWanted_ = true; // Of the call in progress.
    bool                 isEstablished_ = false;   // When its call timed out.
    std::size_t          reserve_ = 0;
    TimeMs               idleSince_ = 0;
    TimeMs               sentAt_ = 0;
    TimeMs               answeredAt_ = 0; // Last answer on it. 0: none.
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
    auto *connection = open(address, *endpoint);
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

auto ConnectionPool::open(const std::string &address, const Endpoint &endpoint)
    -> PooledConnection *
{
    auto &connections = connections_[address];
    connections.push_back(std::make_unique<PooledConnection>(*this, address, endpoint));
    return connections.back().get();
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
        const auto address = connection->address();
        if (!result.isComplete) {
            noteFailure(*connection, result);
        }
        release(connection);
        if (limits_.isShared) {
            auto &queue = queues_[address];
            queue.answeredAt = result.isComplete ? monotonicMs() : queue.answeredAt;
            serve(address);
        }
        done(std::move(result));
    });
}

// Open connections may all go silent at once, while new ones work. So a timeout on one that has worked before also
// ends the idle ones that haven't been used since, instead of one timeout for each of them.
auto ConnectionPool::dropSilent(const std::string &address, TimeMs sentAt) -> void
{
    std::erase_if(connections_[address], [&](const auto &connection) {
        return !connection->isBusy() && connection->answeredAt() <= sentAt;
    });
}

auto ConnectionPool::noteFailure(const PooledConnection &connection, const HttpResult &result)
    -> void
{
    const auto isTimeout = result.error == kTimeout;
    if (connection.hasAnswered()) {
        if (isTimeout) {
            dropSilent(connection.address(), connection.sentAt());
        }
        return;
    }
    if (isTimeout && connection.isEstablished()) {
        return; // Only its answer is missing.
    }
    // The server took no new connection. If it answers on others, it takes no more of them.
    const auto granted =
        std::ranges::count_if(connections_[connection.address()], [&](const auto &other) {
            const auto worksSince = other->answeredAt() >= connection.sentAt();
            return other->isUsable() && other->hasAnswered() && (worksSince || !isTimeout);
        });
    if (limits_.isShared && granted > 0) {
        auto &queue = queues_[connection.address()];
        queue.width = static_cast<std::size_t>(granted);
        queue.narrowUntil = monotonicMs() + limits_.refusedMs;
    }
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
    if (limits_.isShared) {
        queues_[address].waiting.push_back({std::move(call), std::move(done), monotonicMs()});
        serve(address);
        return;
    }
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
        auto extra = limits_.isShared
            ? std::ssize(connections) - static_cast<std::ptrdiff_t>(limits_.usualPerAddress)
            : 0;
        std::erase_if(connections, [&](const auto &connection) {
            const auto idleMs = now - connection->idleSince();
            const auto isOld = idleMs > (extra > 0 ? limits_.extraIdleMs : limits_.idleMs);
            const auto isErased = !connection->isBusy() && (isOld || !connection->isUsable());
            extra -= isErased ? 1 : 0;
            return isErased;
        });
    }
    std::erase_if(connections_, [](const auto &entry) { return entry.second.empty(); });
    std::erase_if(queues_, [&](const auto &entry) {
        return entry.second.waiting.empty() && now >= entry.second.narrowUntil;
    });
}

auto ConnectionPool::countConnections() const -> std::size_t
{
    auto count = std::size_t{0};
    for (const auto &[address, connections] : connections_) {
        count += connections.size();
    }
    return count;
}

//-----------------------------------------------------------------------------
// [SECTION] Shared limits
//-----------------------------------------------------------------------------

auto ConnectionPool::CallQueue::expiryOf(const WaitingCall &call) const -> TimeMs
{
    return std::max(call.since, answeredAt) + call.call.timeoutMs;
}

auto ConnectionPool::hasOneConnection(const std::string &address) const -> bool
{
    return limits_.isShared && widthOf(address) == 1;
}

auto ConnectionPool::widthOf(const std::string &address) const -> std::size_t
{
    const auto found = queues_.find(address);
    const auto isNarrow = found != queues_.end() && monotonicMs() < found->second.narrowUntil;
    return isNarrow ? std::min(found->second.width, limits_.maxPerAddress) : limits_.maxPerAddress;
}

auto ConnectionPool::acquireShared(const std::string &address, const WaitingCall &waiting)
    -> absl::StatusOr<PooledConnection *>
{
    const auto &connections = connections_[address];
    const auto  width = widthOf(address);
    const auto  reserve = waiting.call.reserve;
    const auto  busy = static_cast<std::size_t>(
        std::ranges::count_if(connections, [](const auto &one) { return one->isBusy(); }));
    const auto busyOfKind = static_cast<std::size_t>(std::ranges::count_if(
        connections, [&](const auto &one) { return one->isBusy() && one->reserve() >= reserve; }));
    if (busy >= width || busyOfKind >= width - std::min(reserve, width - 1)) {
        return nullptr;
    }
    if (auto *idle = acquireIdle(address)) {
        return idle;
    }
    const auto hasWaited = monotonicMs() - waiting.since >= limits_.widenAfterMs;
    if (connections.size() >= width
        || (connections.size() >= limits_.usualPerAddress && !hasWaited)) {
        return nullptr;
    }
    const auto endpoint = parseEndpoint(address);
    if (!endpoint.ok()) {
        return endpoint.status();
    }
    return open(address, *endpoint);
}

// Sends the calls that wait for the address as far as connections are free for their kind.
auto ConnectionPool::serve(const std::string &address) -> void
{
    auto &queue = queues_[address];
    std::erase_if(connections_[address],
                  [](const auto &one) { return !one->isBusy() && !one->isUsable(); });
    for (auto next = queue.waiting.begin(); next != queue.waiting.end();) {
        const auto isExpired = monotonicMs() >= queue.expiryOf(*next);
        auto       connection = isExpired ? absl::StatusOr<PooledConnection *>(
                              makeError(absl::StatusCode::kResourceExhausted, "connect", address,
                                              "all connections are in use"))
                                          : acquireShared(address, *next);
        if (connection.ok() && *connection == nullptr) {
            ++next;
            continue;
        }
        auto waiting = std::move(*next);
        next = queue.waiting.erase(next);
        if (connection.ok()) {
            call(*connection, waiting.call, std::move(waiting.done));
        } else {
            loop_.post([done = std::move(waiting.done),
                        error = std::string(connection.status().message())] {
                done({false, false, 0, {}, {}, error});
            });
        }
    }
    serveLater(address, queue);
}

// Calls that still wait are looked at again when one of them may open a connection or has reached its time limit.
auto ConnectionPool::serveLater(const std::string &address, CallQueue &queue) -> void
{
    if (queue.waiting.empty() || queue.isServeDue) {
        return;
    }
    const auto now = monotonicMs();
    auto       delay = limits_.idleMs;
    for (const auto &waiting : queue.waiting) {
        const auto widenAt = waiting.since + limits_.widenAfterMs;
        const auto nextAt = now < widenAt ? widenAt : queue.expiryOf(waiting);
        delay = std::min(delay, std::max<TimeMs>(1, nextAt - now));
    }
    queue.isServeDue = true;
    loop_.post(
        [this, address] {
            queues_[address].isServeDue = false;
            serve(address);
        },
        delay);
}

} // namespace peridotwalk
