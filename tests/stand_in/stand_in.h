// Stand-ins for what surrounds entries: the platform, runners, workers and callers.
// Only for tests and the demo. Each is one process; several can share one.
//
// Index of this file
// [SECTION] Platform
// [SECTION] Runner
// [SECTION] Worker
// [SECTION] Callers

#pragma once

#include "http/http.h"

#include <nlohmann/json.hpp>

#include <deque>
#include <set>

namespace peridotwalk {

using Json = nlohmann::json;

auto jsonReply(const Json &json, int status = 200) -> HttpReply;

//-----------------------------------------------------------------------------
// [SECTION] Platform
//-----------------------------------------------------------------------------

// Log and instance list. POST /control sets faults: {"log_down", "lose_append_answers", "keep_records"}
// and {"instance": {"name", "address", "state"}}.
class PlatformStandIn
{
public:
    explicit PlatformStandIn(EventLoop &loop);

    auto listen(const std::string &address) -> absl::Status { return server_.listen(address); }

private:
    auto onRequest(const HttpRequest &request) -> void;
    auto read(const HttpRequest &request) -> HttpReply;
    auto append(const HttpRequest &request) -> HttpReply;
    auto control(const HttpRequest &request) -> HttpReply;

    HttpServer                  server_;
    std::deque<std::string>     records_;
    std::int64_t                firstOffset_ = 1;
    bool                        isLogDown_ = false;
    bool                        losesAppendAnswers_ = false;
    std::size_t                 keepRecords_ = 1'000'000;
    std::map<std::string, Json> instances_;
};

//-----------------------------------------------------------------------------
// [SECTION] Runner
//-----------------------------------------------------------------------------

// Answers POST /SERVICE after the time in the body, {"ms": 20, "team": "counter"}. At most 8 at once;
// others wait. GET /journal lists what ran. POST /control: {"hang", "break"}.
class RunnerStandIn
{
public:
    RunnerStandIn(EventLoop &loop, std::string name);

    auto listen(const std::string &address) -> absl::Status { return server_.listen(address); }

private:
    auto onRequest(const HttpRequest &request) -> void;
    auto startNext() -> void;
    auto finish(const HttpRequest &request) -> void;

    EventLoop              &loop_;
    std::string             name_;
    HttpServer              server_;
    std::deque<HttpRequest> waiting_;
    std::size_t             running_ = 0;
    bool                    hangs_ = false;
    Json                    journal_ = Json::array(); // {"id", "team", "start_ms", "end_ms"}
};

//-----------------------------------------------------------------------------
// [SECTION] Worker
//-----------------------------------------------------------------------------

// Runs tasks under leases, as docs/PROTOCOL.md says. The payload is {"ms": 500}: how long the whole
// task runs. A checkpoint holds the part that has run. GET /journal lists all runs.
class WorkerStandIn
{
public:
    WorkerStandIn(EventLoop &loop, std::string name);

    auto listen(const std::string &address) -> absl::Status { return server_.listen(address); }

private:
    struct Lease {
        TimeMs      startedAt = 0;
        TimeMs      leaseEnd = 0;
        TimeMs      runMs = 0;         // Left at the start.
        TimeMs      previousRunMs = 0; // From the checkpoint.
        std::string state = "running";
        std::size_t journal = 0;
    };

    auto onRequest(const HttpRequest &request) -> void;
    auto onLease(const HttpRequest &request) -> Json;
    auto start(const std::string &key, const Json &body) -> void;
    auto advance() -> void; // Ends what is done or whose lease has lapsed.
    auto end(Lease &lease, const std::string &state) -> void;

    std::string                  name_;
    HttpServer                   server_;
    std::map<std::string, Lease> leases_;
    bool                         failsAll_ = false;
    Json  journal_ = Json::array(); // {"id", "team", "start_ms", "end_ms", "state"}
    Timer timer_;
};

//-----------------------------------------------------------------------------
// [SECTION] Callers
//-----------------------------------------------------------------------------

struct CallerPlan {
    std::vector<std::string> entries; // Callers' addresses.
    std::vector<std::string> zones;   // Homes of ids of orders.
    std::vector<std::string> keys;    // Taken in turn; the team is "team-N" by index.
    std::string              quickService;
    std::string              orderService;
    std::int64_t             perSecond = 200;
    TimeMs                   durationMs = 10'000;
    TimeMs                   serviceMs = 20;
    TimeMs                   deadlineMs = 5'000;
    std::int64_t             requestsPerOrder = 5; // Each fifth request is an order, sent twice.
};

// Sends the plan's requests and prints what came back as one JSON line.
auto runCallers(const CallerPlan &plan) -> int;

} // namespace peridotwalk
