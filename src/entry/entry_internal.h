// The tasks of an entry. Each owns its sockets and state; signals carry messages between them.
// Internal to this library.
//
// Index of this file
// [SECTION] Decision task
// [SECTION] Platform task
// [SECTION] Peer task
// [SECTION] Target task
// [SECTION] Caller task
// [SECTION] Operator task

#pragma once

#include "entry/entry.h"
#include "logservice/logservice.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

struct bufferevent;
struct evconnlistener;
struct sockaddr;

namespace peridotwalk {

// Returns the current time of both clocks.
auto readClocks() -> Now;

//-----------------------------------------------------------------------------
// [SECTION] Decision task
//-----------------------------------------------------------------------------

// Owns the engine. Emits its effects as signals, and writes a log line for each decision.
class DecisionTask
{
public:
    DecisionTask(EventLoop &loop, const EntrySettings &settings, Incarnation incarnation);

    // Commands. Passes an event to the engine and emits the resulting effects.
    auto handle(const std::function<void(Engine &, Now)> &event) -> void;

    // Queries.
    auto engine() const -> const Engine & { return engine_; }
    auto explain(std::string_view requestId) const -> std::vector<std::pair<TimeMs, Decision>>;
    auto registry() const -> const std::shared_ptr<prometheus::Registry> & { return registry_; }

    sigc::signal<void(const ConnectTarget &)> connectTarget;
    sigc::signal<void(const CallTarget &)>    callTarget;
    sigc::signal<void(const DropAttempt &)>   dropAttempt;
    sigc::signal<void(const ReplyCaller &)>   replyCaller;
    sigc::signal<void(const SendPeer &)>      sendPeer;
    sigc::signal<void(const AppendRecord &)>  appendRecord;
    sigc::signal<void(const SetPeers &)>      setPeers;
    sigc::signal<void(const Retire &)>        retire; // This entry has to stop.

private:
    auto carryOut(const Effect &effect) -> void;
    auto recordDecision(const Decision &decision) -> void;

    Engine                                  engine_;
    std::size_t                             maxRecentDecisions_;
    std::deque<std::pair<TimeMs, Decision>> recentDecisions_; // With wall clock time, oldest first.
    std::shared_ptr<prometheus::Registry>   registry_;
    prometheus::Family<prometheus::Counter> &decisions_;
    prometheus::Family<prometheus::Counter> &replies_;
    std::unique_ptr<Timer>                   tick_;
};

//-----------------------------------------------------------------------------
// [SECTION] Platform task
//-----------------------------------------------------------------------------

// Polls the log and the instance list, and repeats each append until the log has confirmed it.
class PlatformTask
{
public:
    PlatformTask(EventLoop &loop, const EntrySettings &settings, DecisionTask &decisions);

    auto append(const AppendRecord &record) -> void;

private:
    auto readLog() -> void;
    auto onPage(TimeMs asOf, absl::StatusOr<LogPage> page) -> void;
    auto readList() -> void;
    auto onList(absl::StatusOr<std::vector<InstanceEntry>> list) -> void;
    auto sendAppends() -> void;

    DecisionTask                      &decisions_;
    ConnectionPool                     pool_;
    std::unique_ptr<LogService>        log_;
    std::unique_ptr<InstanceList>      list_;
    std::map<std::string, std::string> pendingAppends_; // Texts not yet confirmed, by record id.
    std::set<std::string>              inFlight_; // Ids of records whose append has no reply yet.
    bool                               isReading_ = false; // A read of the log has no reply yet.
    bool                               isListing_ = false; // A read of the list has no reply yet.
    std::unique_ptr<Timer>             logTimer_;
    std::unique_ptr<Timer>             listTimer_;
};

//-----------------------------------------------------------------------------
// [SECTION] Peer task
//-----------------------------------------------------------------------------

class PeerLink;

// Keeps a connection to each peer for sending, and accepts theirs for receiving.
class PeerTask
{
public:
    PeerTask(EventLoop &loop, const EntrySettings &settings, Incarnation incarnation,
             DecisionTask &decisions);
    ~PeerTask();
    PeerTask(const PeerTask &) = delete;
    auto operator=(const PeerTask &) -> PeerTask & = delete;

    auto listen() -> absl::Status;
    auto setPeers(const SetPeers &peers) -> void;
    auto send(const SendPeer &message) -> void;

private:
    friend class PeerLink;

    static auto onAccept(evconnlistener *listener, int socket, sockaddr *address, int length,
                         void *self) -> void;
    auto        connectMissing() -> void;
    auto        onLinkHello(PeerLink &link, const Hello &hello) -> void;
    auto        onLinkClosed(PeerLink &link) -> void;

    EventLoop                                       &loop_;
    const EntrySettings                             &settings_;
    Incarnation                                      self_;
    DecisionTask                                    &decisions_;
    evconnlistener                                  *listener_ = nullptr;
    std::set<std::string>                            addresses_;  // All peers to connect to.
    std::map<std::string, std::unique_ptr<PeerLink>> outgoing_;   // By address.
    std::map<Incarnation, PeerLink *, std::less<>>   linkByPeer_; // Outgoing links after the Hello.
    std::vector<std::unique_ptr<PeerLink>>           incoming_;   // Made by peers.
    std::unique_ptr<Timer>                           connectTimer_;
};

//-----------------------------------------------------------------------------
// [SECTION] Target task
//-----------------------------------------------------------------------------

// Calls targets on pooled connections. The engine decides again between connect() and call().
class TargetTask
{
public:
    TargetTask(EventLoop &loop, DecisionTask &decisions);

    auto connect(const ConnectTarget &target) -> void;
    auto call(const CallTarget &call) -> void;
    auto drop(const DropAttempt &attempt) -> void; // Releases a connection without a call.

private:
    auto end(AttemptId attempt, AttemptEnd end) -> void;

    DecisionTask                           &decisions_;
    ConnectionPool                          pool_;
    std::map<AttemptId, PooledConnection *> ready_; // Connected, and no request written yet.
};

//-----------------------------------------------------------------------------
// [SECTION] Caller task
//-----------------------------------------------------------------------------

// Accepts callers' HTTP requests.
class CallerTask
{
public:
    CallerTask(EventLoop &loop, const EntrySettings &settings, DecisionTask &decisions);

    auto listen() -> absl::Status;
    auto reply(const ReplyCaller &reply) -> void;
    auto stopAccepting() -> void { server_.stopAccepting(); }
    auto open() const -> std::size_t { return server_.open(); } // Requests without a reply.

private:
    auto onRequest(const HttpRequest &request) -> void;
    auto onServiceRequest(const HttpRequest &request, std::string_view service) -> void;
    auto onTaskRequest(const HttpRequest &request) -> void;
    auto replyTaskState(const HttpRequest &request, std::string_view taskId) -> void;
    auto refuse(ExchangeId id, std::string_view step, std::string_view reason, int status) -> void;

    const EntrySettings &settings_;
    DecisionTask        &decisions_;
    HttpServer           server_;
    std::int64_t         lastGeneratedNumber_ = 0; // Number in the last generated request id.
};

// Converts a reply of the engine to HTTP.
auto toHttpReply(const Reply &reply) -> HttpReply;

//-----------------------------------------------------------------------------
// [SECTION] Operator task
//-----------------------------------------------------------------------------

// Answers operators' queries and appends their changes to the log.
class OperatorTask
{
public:
    OperatorTask(EventLoop &loop, const EntrySettings &settings, DecisionTask &decisions,
                 PlatformTask &platform);

    auto listen() -> absl::Status;

private:
    auto onRequest(const HttpRequest &request) -> void;
    auto answerQuery(const HttpRequest &request) const -> HttpReply;
    auto submitChange(const HttpRequest &request) -> HttpReply;
    auto metrics() const -> HttpReply;

    const EntrySettings &settings_;
    DecisionTask        &decisions_;
    PlatformTask        &platform_;
    HttpServer           server_;
};

} // namespace peridotwalk
