// The path to the store: a peer relays calls while the direct path fails, until a probe succeeds.

#include "node/node_internal.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

using namespace peridotwalk;

namespace {

constexpr int kOk = 200;
constexpr int kUnavailable = 503;

// A store that may refuse this node, and a peer that it never refuses.
struct Fixture {
    Fixture() : connections(loop, limits()), store(loop, {}), peer(loop, {})
    {
        configureLog({"test", -1});
        cr_assert(store.listen("127.0.0.1:0").ok());
        cr_assert(peer.listen("127.0.0.1:0").ok());
        store.requestArrived.connect([this](const HttpRequest &request) {
            ++storeCalls;
            store.reply(request.id, {isRefusing ? kUnavailable : kOk, "text/plain", "direct", {}});
        });
        peer.requestArrived.connect([this](const HttpRequest &request) {
            const auto call = unpackStoreCall(request.body);
            cr_assert(call.ok());
            peerCalls.push_back(*call);
            auto result = HttpResult{true, true, kOk, {}, "by the peer", {}};
            peer.reply(request.id, {kOk, "application/msgpack", packStoreResult(result), {}});
        });
        client = std::make_unique<DetourClient>(loop, connections, address(store),
                                                HttpCall{"GET", "/probe", {}, {}});
        client->setPeers([this] { return std::vector{address(peer)}; });
    }

    static auto limits() -> ConnectionPoolLimits
    {
        auto limits = ConnectionPoolLimits{};
        limits.isProbed = false;
        return limits;
    }

    static auto address(const HttpServer &server) -> std::string
    {
        return fmt::format("127.0.0.1:{}", server.port());
    }

    auto call(const std::string &body) -> std::string
    {
        auto answer = std::string();
        client->request(address(store), {"POST", "/append?seq=1", {{"X-A", "1"}}, body},
                        [&](const HttpResult &result) {
                            answer =
                                result.isComplete && result.status == kOk ? result.body : "failed";
                            loop.stop();
                        });
        loop.run();
        return answer;
    }

    EventLoop                     loop;
    ConnectionPool                connections;
    HttpServer                    store;
    HttpServer                    peer;
    std::unique_ptr<DetourClient> client;
    bool                          isRefusing = false;
    int                           storeCalls = 0;
    std::vector<HttpCall>         peerCalls;
};

} // namespace

Test(detour, a_peer_relays_calls_of_a_refused_node)
{
    auto world = Fixture();
    cr_assert_eq(world.call("a"), "direct");
    world.isRefusing = true;
    cr_assert_eq(world.call("b"), "failed"); // No call is repeated on the other path.
    cr_assert_eq(world.call("c"), "by the peer");
    cr_assert_eq(world.peerCalls.size(), 1U);
    cr_assert_eq(world.peerCalls[0].path, "/append?seq=1");
    cr_assert_eq(world.peerCalls[0].body, "c");
    cr_assert_eq(world.peerCalls[0].headers.at("X-A"), "1");
}

Test(detour, a_successful_probe_restores_the_direct_path)
{
    auto world = Fixture();
    world.isRefusing = true;
    world.call("a");
    world.isRefusing = false;
    cr_assert_eq(world.call("b"), "by the peer");
    for (auto round = 0; round < 100 && world.storeCalls < 2; ++round) {
        world.loop.post([&] { world.loop.stop(); }, 20);
        world.loop.run();
    }
    cr_assert_eq(world.storeCalls, 2); // The probe.
    for (auto round = 0; round < 100 && world.call("c") != "direct"; ++round) { }
    cr_assert_eq(world.call("d"), "direct");
}

Test(detour, calls_are_direct_during_the_backoff_after_a_failed_relay)
{
    auto path = StorePath();
    path.onDirect(false);
    cr_assert(path.usesPeer(1'000));
    const auto first = path.peerIndex();
    path.onRelayed(1'000, false);
    cr_assert_not(path.usesPeer(1'050));
    cr_assert(path.usesPeer(1'300));
    cr_assert_neq(path.peerIndex(), first);
    path.onDirect(true);
    cr_assert_not(path.usesPeer(1'400));
}

Test(detour, a_failing_path_is_probed_at_intervals)
{
    auto path = StorePath();
    cr_assert_not(path.takeProbe(1'000));
    path.onDirect(false);
    cr_assert(path.takeProbe(1'000));
    cr_assert_not(path.takeProbe(1'300));
    cr_assert(path.takeProbe(1'800));
}
