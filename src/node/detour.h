// Store calls with a detour: a peer relays them while the direct path fails. Internal to this library.
//
// Index of this file
// [SECTION] Store path
// [SECTION] Store calls between nodes
// [SECTION] Detour client

#pragma once

#include "http/http.h"

#include <functional>
#include <vector>

namespace peridotwalk {

//-----------------------------------------------------------------------------
// [SECTION] Store path
//-----------------------------------------------------------------------------

// Chooses the path of the next call: direct, or relayed by a peer. Pure logic, without I/O or clocks.
class StorePath
{
public:
    // Commands.
    auto onDirect(bool isGood) -> void;              // Result of a direct call.
    auto onRelayed(TimeMs now, bool isGood) -> void; // Result of a relayed call.
    auto takeProbe(TimeMs now) -> bool; // Returns whether to probe the direct path now.

    // Queries.
    auto usesPeer(TimeMs now) const -> bool { return isFailing_ && now >= peerBackoffUntil_; }
    auto isFailing() const -> bool { return isFailing_; }
    // Index of the peer to use, modulo the number of peers. Changes after each failed relay.
    auto peerIndex() const -> std::size_t { return peerIndex_; }

private:
    bool        isFailing_ = false;    // The last direct call failed.
    TimeMs      probeAt_ = 0;          // Earliest time of the next probe.
    TimeMs      peerBackoffUntil_ = 0; // Calls go direct until then: backoff after a failed relay.
    std::size_t peerIndex_ = 0;
};

//-----------------------------------------------------------------------------
// [SECTION] Store calls between nodes
//-----------------------------------------------------------------------------

constexpr std::string_view kStoreCallPath = "/v1/store";

auto packStoreCall(const HttpCall &call) -> std::string;
auto unpackStoreCall(std::string_view bytes) -> absl::StatusOr<HttpCall>;
auto packStoreResult(const HttpResult &result) -> std::string;
auto unpackStoreResult(std::string_view bytes) -> absl::StatusOr<HttpResult>;

//-----------------------------------------------------------------------------
// [SECTION] Detour client
//-----------------------------------------------------------------------------

// Keeps a node's pools owned when the store refuses this machine, or when the network between them fails,
// as long as a peer reaches both. Each call uses one path only: a call without an answer isn't repeated
// on the other one, as it may have had an effect.
class DetourClient final : public HttpClient
{
public:
    using Peers = std::function<std::vector<std::string>()>; // Addresses of nodes that can relay.

    // `store` is the store's address. `probe` is a cheap call that changes nothing in the store.
    DetourClient(EventLoop &loop, ConnectionPool &connections, std::string store, HttpCall probe);

    auto setPeers(Peers peers) -> void { peers_ = std::move(peers); }
    auto request(const std::string &address, HttpCall call, Done done) -> void override;

private:
    auto sendDirect(HttpCall call, Done done) -> void;
    auto relay(const std::string &peer, const HttpCall &call, Done done) -> void;
    auto probe() -> void;

    ConnectionPool        &connections_;
    std::string            store_;
    HttpCall               probe_;
    Peers                  peers_;
    StorePath              path_;
    std::unique_ptr<Timer> timer_;
};

} // namespace peridotwalk
