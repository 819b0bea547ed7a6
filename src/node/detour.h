// Calls to the store that go by way of a peer while the direct path fails. Only for the sources of this
// library.
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

// Decides which way the next call takes. Pure.
class StorePath
{
public:
    // Commands.
    auto onDirect(bool isGood) -> void;
    auto onPeer(TimeMs now, bool isGood) -> void;
    auto takeProbe(TimeMs now) -> bool; // Whether the direct path is to be tried now.

    // Queries.
    auto usesPeer(TimeMs now) const -> bool { return isFailing_ && now >= peerRestsUntil_; }
    auto isFailing() const -> bool { return isFailing_; }
    auto turn() const -> std::size_t { return turn_; } // Names the peer: another after a failure.

private:
    bool        isFailing_ = false; // The direct path.
    TimeMs      probeAt_ = 0;
    TimeMs      peerRestsUntil_ = 0;
    std::size_t turn_ = 0;
};

//-----------------------------------------------------------------------------
// [SECTION] Store calls between nodes
//-----------------------------------------------------------------------------

constexpr std::string_view kStorePath = "/v1/store";

auto packStoreCall(const HttpCall &call) -> std::string;
auto unpackStoreCall(std::string_view bytes) -> absl::StatusOr<HttpCall>;
auto packStoreResult(const HttpResult &result) -> std::string;
auto unpackStoreResult(std::string_view bytes) -> absl::StatusOr<HttpResult>;

//-----------------------------------------------------------------------------
// [SECTION] Detour client
//-----------------------------------------------------------------------------

// A store that refuses this machine, or a cut between the two, doesn't cost the node its pools as long
// as any peer reaches both. Each call takes one way only: an answer that got lost stays lost.
class DetourClient final : public HttpClient
{
public:
    using Peers = std::function<std::vector<std::string>()>; // Addresses.

    // `probe` is a cheap call that changes nothing in the store.
    DetourClient(EventLoop &loop, ConnectionPool &connections, std::string store, HttpCall probe);

    auto setPeers(Peers peers) -> void { peers_ = std::move(peers); }
    auto request(const std::string &address, HttpCall call, Done done) -> void override;

private:
    auto sendDirect(HttpCall call, Done done) -> void;
    auto sendByPeer(const std::string &peer, const HttpCall &call, Done done) -> void;
    auto probe() -> void;

    ConnectionPool        &connections_;
    std::string            store_;
    HttpCall               probe_;
    Peers                  peers_;
    StorePath              path_;
    std::unique_ptr<Timer> timer_;
};

} // namespace peridotwalk
