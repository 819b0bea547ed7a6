#include "node/detour.h"

#include "base/wire.h"
#include "log/log.h"

namespace peridotwalk {

// Wire forms of a call and its result, with only the fields that the store's clients use.
struct StoreCallRow {
    std::string                        method;
    std::string                        path;
    std::map<std::string, std::string> headers;
    std::string                        body;
    TimeMs                             timeoutMs = 0;
};

struct StoreResultRow {
    bool        isComplete = false;
    bool        isWritten = false;
    int         status = 0;
    std::string body;
    std::string error;
};

} // namespace peridotwalk

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
    namespace adaptor {

    PERIDOTWALK_WIRE(StoreCallRow, v.method, v.path, v.headers, v.body, v.timeoutMs)
    PERIDOTWALK_WIRE(StoreResultRow, v.isComplete, v.isWritten, v.status, v.body, v.error)

    } // namespace adaptor
} // MSGPACK_API_VERSION_NAMESPACE
} // namespace msgpack

namespace peridotwalk {

namespace {

constexpr int    kHttpOk = 200;
constexpr int    kHttpTooMany = 429;
constexpr int    kHttpUnavailable = 503;
constexpr TimeMs kMinProbeIntervalMs = 700; // Minimum time between probes. Each is a billed call.
constexpr TimeMs kProbeCheckMs = 100;       // Interval of the check whether a probe is due.
constexpr TimeMs kProbeTimeoutMs = 300;     // The store usually answers in a few ms.
constexpr TimeMs kPeerBackoffMs = 200; // After a failed relay, as the store may be down for all.
constexpr TimeMs kRelayMarginMs = 100; // Added to a relayed call's timeout, for two more hops.

auto isGood(const HttpResult &result) -> bool
{
    return result.isComplete && result.status != kHttpTooMany && result.status != kHttpUnavailable;
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Store path
//-----------------------------------------------------------------------------

auto StorePath::onDirect(bool isGood) -> void
{
    isFailing_ = !isGood;
}

auto StorePath::onRelayed(TimeMs now, bool isGood) -> void
{
    if (!isGood) {
        peerBackoffUntil_ = now + kPeerBackoffMs;
        ++peerIndex_;
    }
}

auto StorePath::takeProbe(TimeMs now) -> bool
{
    if (!isFailing_ || now < probeAt_) {
        return false;
    }
    probeAt_ = now + kMinProbeIntervalMs;
    return true;
}

//-----------------------------------------------------------------------------
// [SECTION] Store calls between nodes
//-----------------------------------------------------------------------------

auto packStoreCall(const HttpCall &call) -> std::string
{
    return packWire(StoreCallRow{call.method, call.path, call.headers, call.body, call.timeoutMs});
}

auto unpackStoreCall(std::string_view bytes) -> absl::StatusOr<HttpCall>
{
    auto row = unpackWire<StoreCallRow>("peer.store_call", "peer", bytes);
    if (!row.ok()) {
        return row.status();
    }
    return HttpCall{std::move(row->method), std::move(row->path), std::move(row->headers),
                    std::move(row->body), row->timeoutMs};
}

auto packStoreResult(const HttpResult &result) -> std::string
{
    return packWire(StoreResultRow{result.isComplete, result.isWritten, result.status, result.body,
                                   result.error});
}

auto unpackStoreResult(std::string_view bytes) -> absl::StatusOr<HttpResult>
{
    auto row = unpackWire<StoreResultRow>("peer.store_result", "peer", bytes);
    if (!row.ok()) {
        return row.status();
    }
    return HttpResult{row->isComplete,      row->isWritten,       row->status, {},
                      std::move(row->body), std::move(row->error)};
}

//-----------------------------------------------------------------------------
// [SECTION] Detour client
//-----------------------------------------------------------------------------

DetourClient::DetourClient(EventLoop &loop, ConnectionPool &connections, std::string store,
                           HttpCall probe)
    : connections_(connections), store_(std::move(store)), probe_(std::move(probe)),
      timer_(std::make_unique<Timer>(loop, kProbeCheckMs, [this] { this->probe(); }))
{
    probe_.timeoutMs = kProbeTimeoutMs;
}

auto DetourClient::request(const std::string &address, HttpCall call, Done done) -> void
{
    if (address != store_) {
        connections_.request(address, std::move(call), std::move(done));
        return;
    }
    if (peers_ && path_.usesPeer(bootMs())) {
        const auto peers = peers_();
        if (!peers.empty()) {
            relay(peers[path_.peerIndex() % peers.size()], call, std::move(done));
            return;
        }
    }
    sendDirect(std::move(call), std::move(done));
}

// Terms, the journal and the directory come before the calls to workers, of which a busy owner has thousands
// a second.
auto DetourClient::sendDirect(HttpCall call, Done done) -> void
{
    call.isUrgent = true;
    connections_.request(
        store_, std::move(call), [this, done = std::move(done)](const HttpResult &result) {
            if (path_.isFailing() == isGood(result)) {
                logEvent(LogLevel::Warning, isGood(result) ? "store.direct" : "store.detour",
                         {{"status", result.status}, {"error", result.error}});
            }
            path_.onDirect(isGood(result));
            done(result);
        });
}

auto DetourClient::relay(const std::string &peer, const HttpCall &call, Done done) -> void
{
    auto relayed = HttpCall{"POST",
                            std::string(kStoreCallPath),
                            {{"Content-Type", "application/msgpack"}},
                            packStoreCall(call),
                            call.timeoutMs + kRelayMarginMs};
    connections_.request(
        peer, std::move(relayed), [this, peer, done = std::move(done)](const HttpResult &result) {
            auto answer = result.isComplete && result.status == kHttpOk
                ? unpackStoreResult(result.body)
                : makeError(absl::StatusCode::kUnavailable, "peer.store_call", peer, result.error);
            // A call that reached the peer may have reached the store.
            auto outcome = answer.ok() ? *std::move(answer)
                                       : HttpResult{false, result.isWritten,
                                                    0,     {},
                                                    {},    std::string(answer.status().message())};
            path_.onRelayed(bootMs(), isGood(outcome));
            done(std::move(outcome));
        });
}

auto DetourClient::probe() -> void
{
    if (path_.takeProbe(bootMs())) {
        sendDirect(probe_, [](const HttpResult & /*result*/) {
            // sendDirect() has noted whether the path works. The content doesn't matter.
        });
    }
}

} // namespace peridotwalk
