// Invalid requests from callers and incomplete answers from targets, over real sockets on loopback.

#include "http/http.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

using namespace peridotwalk;

namespace {

constexpr HttpServerLimits kSmallLimits = {1'024, 2'048, 1}; // Header and body bytes, timeout in s.

// A raw TCP connection to a local port.
class RawClient
{
public:
    explicit RawClient(std::uint16_t port)
        : socket_(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
    {
        auto address = sockaddr_in{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
        const auto failed =
            connect(socket_, reinterpret_cast<sockaddr *>(&address), sizeof(address));
        cr_assert(failed == 0 || errno == EINPROGRESS);
    }

    ~RawClient() { close(socket_); }
    RawClient(const RawClient &) = delete;
    auto operator=(const RawClient &) -> RawClient & = delete;

    auto send(std::string_view bytes) const -> void
    {
        ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }

    // Returns the bytes received, or nothing if the peer has closed the connection.
    auto read() const -> std::optional<std::string>
    {
        auto       buffer = std::string(4'096, '\0');
        const auto count = recv(socket_, buffer.data(), buffer.size(), 0);
        if (count == 0 || (count < 0 && errno != EAGAIN)) {
            return std::nullopt;
        }
        buffer.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
        return buffer;
    }

private:
    int socket_;
};

// A server that answers "ok", with its own event loop.
class Fixture
{
public:
    Fixture() : server(loop, kSmallLimits)
    {
        server.requestArrived.connect([this](const HttpRequest &request) {
            ++arrived;
            server.reply(request.id, {200, "text/plain", "ok", {}});
        });
        cr_assert(server.listen("127.0.0.1:0").ok());
    }

    // Sends bytes and returns the answer, or an empty string if the server closes the connection.
    auto exchange(std::string_view bytes) -> std::string
    {
        const auto client = RawClient(server.port());
        auto       answer = std::string();
        auto       isSent = false;
        const auto timer = Timer(loop, 2, [&] {
            if (!std::exchange(isSent, true)) {
                client.send(bytes);
            }
            auto part = client.read();
            if (!part || !part->empty()) {
                answer = part.value_or("");
                loop.stop();
            }
        });
        loop.run();
        return answer;
    }

    EventLoop  loop;
    HttpServer server;
    int        arrived = 0;
};

} // namespace

Test(http, bad_input_gets_a_clear_error_and_never_stops_the_server)
{
    auto       fixture = Fixture();
    const auto good = "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi";
    cr_assert(fixture.exchange("nonsense\r\n\r\n").find("400") != std::string::npos);
    const auto large = fmt::format("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4000\r\n\r\n{}",
                                   std::string(4'000, 'x'));
    cr_assert(fixture.exchange(large).find("413") != std::string::npos);
    const auto header =
        fmt::format("POST /x HTTP/1.1\r\nHost: a\r\nX: {}\r\n\r\n", std::string(3'000, 'x'));
    cr_assert(fixture.exchange(header).find("200") == std::string::npos);
    cr_assert(fixture.exchange("POST /x HTTP/1.1\r\nContent-Length: -5\r\n\r\n").find("200")
              == std::string::npos);
    cr_assert_eq(fixture.arrived, 0);
    cr_assert(fixture.exchange(good).find("200") != std::string::npos, "it still serves");
}

// Posted tasks share one event of the loop, so they must neither overtake each other nor outlive a stop.
Test(http, posted_tasks_run_in_order_and_not_after_a_stop)
{
    auto loop = EventLoop();
    auto ran = std::vector<int>();
    for (auto number = 0; number < 100; ++number) {
        loop.post([&, number] {
            ran.push_back(number);
            if (number == 0) {
                loop.post([&] { ran.push_back(100); });
            }
        });
    }
    loop.post([&] {
        loop.post([&] {
            ran.push_back(101);
            loop.stop();
        });
    });
    loop.post([&] { loop.post([&] { ran.push_back(102); }); });
    loop.run();
    cr_assert_eq(ran.size(), 102U);
    cr_assert(std::ranges::is_sorted(ran));
    loop.run(); // What the stop left runs when the loop goes on.
    cr_assert_eq(ran.size(), 103U);
}

Test(http, a_slow_sender_is_disconnected)
{
    auto       fixture = Fixture();
    const auto answer =
        fixture.exchange("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nhalf");
    cr_assert(answer.find("200") == std::string::npos);
    cr_assert_eq(fixture.arrived, 0);
}

Test(http, a_truncated_answer_is_not_complete)
{
    auto       loop = EventLoop();
    auto       pool = ConnectionPool(loop, ConnectionPoolLimits{});
    const auto listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    auto       address = sockaddr_in{};
    address.sin_family = AF_INET;
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    auto size = socklen_t{sizeof(address)};
    cr_assert_eq(bind(listener, reinterpret_cast<sockaddr *>(&address), size), 0);
    listen(listener, 4);
    getsockname(listener, reinterpret_cast<sockaddr *>(&address), &size);
    auto result = std::optional<HttpResult>();
    pool.request(fmt::format("127.0.0.1:{}", ntohs(address.sin_port)),
                 {"POST", "/x", {}, "hi", 20'000}, [&](HttpResult given) {
                     result = std::move(given);
                     loop.stop();
                 });
    // Answers the probe, then closes the connection in the middle of the second answer.
    auto       peer = -1;
    const auto timer = Timer(loop, 2, [&] {
        peer = peer < 0 ? accept4(listener, nullptr, nullptr, SOCK_NONBLOCK) : peer;
        auto       buffer = std::string(4'096, '\0');
        const auto count = recv(peer, buffer.data(), buffer.size(), 0);
        if (count > 0 && buffer.starts_with("GET")) {
            constexpr std::string_view kWhole = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
            ::send(peer, kWhole.data(), kWhole.size(), MSG_NOSIGNAL);
        } else if (count > 0) {
            constexpr std::string_view kBroken =
                "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf";
            ::send(peer, kBroken.data(), kBroken.size(), MSG_NOSIGNAL);
            shutdown(peer, SHUT_RDWR);
        }
    });
    loop.run();
    close(listener);
    close(peer);
    cr_assert(result.has_value());
    cr_assert_not(result->isComplete);
    cr_assert(result->isWritten);
}

Test(http, a_refused_connection_counts_as_not_written)
{
    auto loop = EventLoop();
    auto pool = ConnectionPool(loop, ConnectionPoolLimits{});
    auto result = std::optional<HttpResult>();
    pool.request("127.0.0.1:1", {"POST", "/x", {}, "hi", 500}, [&](HttpResult given) {
        result = std::move(given);
        loop.stop();
    });
    loop.run();
    cr_assert_not(result->isComplete);
    cr_assert_not(result->isWritten);
}

// After a plain close, the kernel would still deliver queued bytes once a network partition ends: a call
// that its sender has long treated as failed would then be executed.
Test(http, a_call_that_timed_out_resets_its_connection)
{
    auto       loop = EventLoop();
    const auto listener = socket(AF_INET, SOCK_STREAM, 0);
    auto       address = sockaddr_in{};
    address.sin_family = AF_INET;
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    cr_assert_eq(bind(listener, reinterpret_cast<sockaddr *>(&address), sizeof(address)), 0);
    cr_assert_eq(listen(listener, 4), 0);
    auto size = socklen_t{sizeof(address)};
    getsockname(listener, reinterpret_cast<sockaddr *>(&address), &size);
    auto limits = ConnectionPoolLimits{};
    limits.isProbed = false;
    auto pool = ConnectionPool(loop, limits);
    auto result = std::optional<HttpResult>();
    pool.request(fmt::format("127.0.0.1:{}", ntohs(address.sin_port)), {"POST", "/", {}, "x", 100},
                 [&](HttpResult got) {
                     result = std::move(got);
                     loop.post([&] { loop.stop(); }, 50);
                 });
    loop.run();
    cr_assert(result.has_value());
    cr_assert_not(result->isComplete);
    const auto peer = accept(listener, nullptr, nullptr);
    auto       buffer = std::array<char, 4'096>{};
    auto       count = ssize_t{1};
    while (count > 0) {
        count = recv(peer, buffer.data(), buffer.size(), 0);
    }
    cr_assert_eq(count, -1);
    cr_assert_eq(errno, ECONNRESET);
    close(peer);
    close(listener);
}

namespace {

// Accepts one connection on loopback, and writes a whole answer as soon as it has read a request.
class LargeAnswer
{
public:
    explicit LargeAnswer(std::size_t bodyBytes) : bodyBytes_(bodyBytes)
    {
        auto address = sockaddr_in{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        auto size = socklen_t{sizeof(address)};
        cr_assert_eq(bind(listener_, reinterpret_cast<sockaddr *>(&address), size), 0);
        cr_assert_eq(::listen(listener_, 1), 0);
        getsockname(listener_, reinterpret_cast<sockaddr *>(&address), &size);
        port_ = ntohs(address.sin_port);
    }

    ~LargeAnswer()
    {
        close(listener_);
        close(connection_);
    }
    LargeAnswer(const LargeAnswer &) = delete;
    auto operator=(const LargeAnswer &) -> LargeAnswer & = delete;

    auto port() const -> std::uint16_t { return port_; }

    // Returns whether the answer is written.
    auto tryAnswer() -> bool
    {
        if (connection_ < 0) {
            connection_ = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK);
        }
        auto request = std::array<char, 1'024>();
        if (connection_ < 0 || recv(connection_, request.data(), request.size(), 0) <= 0) {
            return false;
        }
        const auto answer = fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}",
                                        bodyBytes_, std::string(bodyBytes_, 'x'));
        cr_assert_eq(send(connection_, answer.data(), answer.size(), 0),
                     static_cast<ssize_t>(answer.size()));
        return true;
    }

private:
    int           listener_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    int           connection_ = -1;
    std::uint16_t port_ = 0;
    std::size_t   bodyBytes_;
};

// Returns how many other events a busy loop handles until it has read an answer that was there before.
auto countEventsBeforeAnswer(bool isUrgent) -> int
{
    constexpr auto kBodyBytes = std::size_t{60'000};
    constexpr auto kEventsAtOnce = 400;
    auto           loop = EventLoop();
    auto           server = LargeAnswer(kBodyBytes);
    auto           pool = ConnectionPool(loop, {.isProbed = false});
    auto           events = 0;
    auto           storm = std::function<void()>();
    storm = [&] {
        ++events;
        loop.post(storm);
    };
    auto waitForRequest = std::function<void()>();
    waitForRequest = [&] {
        if (!server.tryAnswer()) {
            loop.post(waitForRequest, 1);
            return;
        }
        for (auto number = 0; number < kEventsAtOnce; ++number) {
            loop.post(storm);
        }
    };
    auto call = HttpCall{};
    call.timeoutMs = 60'000;
    call.isUrgent = isUrgent;
    pool.request(fmt::format("127.0.0.1:{}", server.port()), call, [&](const HttpResult &result) {
        cr_assert(result.isComplete);
        cr_assert_eq(result.body.size(), kBodyBytes);
        loop.stop();
    });
    waitForRequest();
    loop.run();
    return events;
}

} // namespace

// An owner's loop has hundreds of events of workers' connections in each round. The list of workers comes in
// pieces of 4 KB a round, and grows faster than it would be read that way.
Test(http, a_large_answer_doesnt_wait_for_the_events_of_a_busy_loop)
{
    const auto plain = countEventsBeforeAnswer(false);
    const auto urgent = countEventsBeforeAnswer(true);
    cr_assert_lt(urgent * 4, plain, "%d events before an urgent answer, %d before another", urgent,
                 plain);
}

// A process may be paused between the check of a term and the bytes: a new connection gets the request only
// once it is connected.
Test(http, a_process_paused_while_it_connects_sends_nothing_after_the_limit)
{
    constexpr TimeMs kLimitMs = 60;
    constexpr auto   kPauseMs = 150;
    auto             loop = EventLoop();
    auto             server = HttpServer(loop, {});
    auto             pool = ConnectionPool(loop, {.isProbed = false});
    auto             arrived = 0;
    auto             answers = 0;
    server.requestArrived.connect([&](const HttpRequest &request) {
        ++arrived;
        server.reply(request.id, {});
    });
    cr_assert(server.listen("127.0.0.1:0").ok());
    auto call = HttpCall{};
    call.sendBy = bootMs() + kLimitMs;
    pool.request(fmt::format("127.0.0.1:{}", server.port()), call, [&](const HttpResult &result) {
        ++answers;
        cr_assert_not(result.isComplete);
    });
    loop.post([] { usleep(kPauseMs * 1'000); });
    loop.post([&] { loop.stop(); }, 2 * kPauseMs);
    loop.run();
    cr_assert_eq(answers, 1);
    cr_assert_eq(arrived, 0);
}
