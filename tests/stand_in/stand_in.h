// Stand-ins for what an entry communicates with: the platform, runners, workers and callers. For
// tests, benchmarks and the demo. Each is usually a process; several can share one event loop.
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

// Log and instance list. POST /control injects faults and edits the list. Its body has any of
//   "log_down"             true: calls to the log fail with 503
//   "lose_append_answers"  true: appends take effect, but are answered with 503
//   "keep_records"         number of newest records to keep
//   "instance"             {"name", "address", "state"}: the instance to add or replace
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
    std::deque<std::string>     records_;         // Oldest first.
    std::int64_t                firstOffset_ = 1; // Offset of the first of them.
    bool                        isLogDown_ = false;
    bool                        losesAppendAnswers_ = false;
    std::size_t                 keepRecords_ = 1'000'000;
    std::map<std::string, Json> instances_; // By name.
};

//-----------------------------------------------------------------------------
// [SECTION] Runner
//-----------------------------------------------------------------------------

// Answers POST /SERVICE after the time in the body, {"ms": 20, "team": "counter"}. Runs at most 8
// requests at a time; others wait. GET /journal lists all runs; `end_ms` is null while one goes on.
// POST /control {"hang": true}: requests that start from then on are never answered.
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

// Runs tasks under leases, as docs/PROTOCOL.md says. The payload is {"ms": 500}, the run time of
// the whole task. A checkpoint is the time that has run, ms. GET /journal lists all runs.
// POST /control {"fail_all": true}: tasks that start from then on fail immediately.
class WorkerStandIn
{
public:
    WorkerStandIn(EventLoop &loop, std::string name);

    auto listen(const std::string &address) -> absl::Status { return server_.listen(address); }

private:
    struct Lease {
        TimeMs      startedAt = 0;     // On monotonicMs().
        TimeMs      leaseEnd = 0;      // On monotonicMs().
        TimeMs      remainingMs = 0;   // Run time left when this run started.
        TimeMs      previousRunMs = 0; // Run time of earlier runs, from the checkpoint.
        std::string state = "running"; // "running", "done", "failed" or "stopped"
        std::size_t journalIndex = 0;
    };

    auto onRequest(const HttpRequest &request) -> void;
    auto onLease(const HttpRequest &request) -> Json;
    auto start(const std::string &key, const Json &body) -> void;
    auto endDueLeases() -> void; // Of runs that are done or whose lease has expired.
    auto end(Lease &lease, const std::string &state) -> void;

    std::string                  name_;
    HttpServer                   server_;
    std::map<std::string, Lease> leases_; // By "zone/uuid/attempt".
    bool                         failsAll_ = false;
    Json  journal_ = Json::array(); // {"id", "team", "start_ms", "end_ms", "state"}
    Timer timer_;
};

//-----------------------------------------------------------------------------
// [SECTION] Callers
//-----------------------------------------------------------------------------

// The requests to send. An order is a request that must not repeat.
struct CallerPlan {
    std::vector<std::string> entries;           // Callers' addresses of entries.
    std::vector<std::string> zones;             // Zones of the ids of orders.
    std::vector<std::string> keys;              // Used in turn. The team of key N is "team-N".
    std::string              repeatableService; // Service of repeatable requests.
    std::string              orderService;      // Service of orders.
    std::int64_t             perSecond = 200;
    TimeMs                   durationMs = 10'000;  // No request is sent after that.
    TimeMs                   serviceMs = 20;       // Run time of each request.
    TimeMs                   deadlineMs = 5'000;   // Of each request, from when it is sent.
    std::int64_t             requestsPerOrder = 5; // Every fifth request is an order. 0: none.
};

// Sends the requests, waits for all answers, and prints the results as one line of JSON.
auto runCallers(const CallerPlan &plan) -> int;

} // namespace peridotwalk
