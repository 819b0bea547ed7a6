#include "node/node_internal.h"

namespace peridotwalk {

namespace {

constexpr int kHttpOk = 200;

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Messages between nodes
//-----------------------------------------------------------------------------

auto addressOf(std::string_view member) -> std::string
{
    const auto at = member.find('@');
    const auto hash = member.find('#');
    if (at == std::string_view::npos || hash == std::string_view::npos || hash < at) {
        return {};
    }
    return std::string(member.substr(at + 1, hash - at - 1));
}

auto isOtherIncarnation(std::string_view member, std::string_view other) -> bool
{
    const auto nodeOf = [](std::string_view name) { return name.substr(0, name.find('#')); };
    return member != other && nodeOf(member) == nodeOf(other);
}

//-----------------------------------------------------------------------------
// [SECTION] Router task
//-----------------------------------------------------------------------------

auto OwnerReachability::onAnswer(const std::string &address, bool isComplete) -> void
{
    if (isComplete) {
        unresponsive_.erase(address);
    } else {
        unresponsive_.insert(address);
    }
}

auto OwnerReachability::mayCall(const std::string &address, bool isIsolated) -> bool
{
    if (!isIsolated) {
        unresponsive_.clear();
    }
    return !unresponsive_.contains(address);
}

auto OwnerReachability::mayRetry(TimeMs now, TimeMs deadline, TimeMs retryMs, bool isIsolated) const
    -> bool
{
    return !isIsolated && now + retryMs < deadline;
}

RouterTask::RouterTask(EventLoop &loop, ConnectionPool &peers, const NodeSettings &settings,
                       PoolsTask &pools, OwnershipTask &ownership)
    : loop_(loop), peers_(peers), settings_(settings), pools_(pools), ownership_(ownership)
{
}

auto RouterTask::route(const PoolCall &call, TimeMs deadline, PoolAnswerSlot slot) -> void
{
    attempt(std::make_shared<RoutedCall>(RoutedCall{call, deadline, std::move(slot)}));
}

auto RouterTask::attempt(const std::shared_ptr<RoutedCall> &routed) -> void
{
    const auto now = bootMs();
    const auto member = ownership_.memberOf(routed->call.pool);
    const auto slot = [this, routed](const PoolAnswer &answer) { onAnswer(routed, answer); };
    ++routed->attempts;
    if (member == ownership_.member()) {
        handleHere(routed);
        return;
    }
    const auto address = addressOf(member);
    if (address.empty() || now >= routed->deadline) {
        onAnswer(routed, {PoolStatus::NotOwner, JobState::Queued, 0, "the pool has no owner", 0});
        return;
    }
    if (!reachability_.mayCall(address, ownership_.isIsolated())) {
        onAnswer(routed,
                 {PoolStatus::NotOwner, JobState::Queued, 0,
                  "neither the store nor the pool's owner can be reached", 0});
        return;
    }
    const auto timeout = std::min(settings_.ownerCallTimeoutMs, routed->deadline - now);
    auto       call = HttpCall{"POST",
                         std::string(kPoolsPath),
                         {{"Content-Type", "application/msgpack"}},
                         packCall(routed->call),
                         timeout};
    peers_.request(address, std::move(call), [this, address, slot](const HttpResult &result) {
        reachability_.onAnswer(address, result.isComplete);
        if (!result.isComplete) {
            slot({result.isWritten ? PoolStatus::Unknown : PoolStatus::NotOwner, JobState::Queued,
                  0, "the pool's owner: " + result.error, 0});
            return;
        }
        const auto answer = result.status == kHttpOk
            ? unpackAnswer(result.body)
            : makeError(absl::StatusCode::kUnavailable, "peer.call", "", "not an answer");
        slot(answer.ok() ? *answer
                         : PoolAnswer{PoolStatus::Unknown, JobState::Queued, 0,
                                      std::string(answer.status().message()), 0});
    });
}

// The owner may wait for the journal longer than the caller does.
auto RouterTask::handleHere(const std::shared_ptr<RoutedCall> &routed) -> void
{
    const auto isAnswered = std::make_shared<bool>(false);
    const auto slot = [this, routed, isAnswered](const PoolAnswer &answer) {
        if (!std::exchange(*isAnswered, true)) {
            onAnswer(routed, answer);
        }
    };
    pools_.handle(routed->call, slot);
    // A queue that is released late is still adopted by the calls that wait for it.
    if (!*isAnswered && routed->call.verb != PoolVerb::ReleaseQueue) {
        loop_.post(
            [slot] {
                slot({PoolStatus::Unknown, JobState::Queued, 0, "the journal hasn't answered", 0});
            },
            std::max<TimeMs>(0, routed->deadline - bootMs()));
    }
}

auto RouterTask::onAnswer(const std::shared_ptr<RoutedCall> &routed, const PoolAnswer &answer)
    -> void
{
    routed->isUnknown = routed->isUnknown || answer.status == PoolStatus::Unknown;
    if (answer.status == PoolStatus::Elsewhere) {
        askEarlierHomes(
            routed,
            std::make_shared<EarlierHomes>(EarlierHomes{answer.earlierPools, 0, answer.count}));
        return;
    }
    const auto isFinal = answer.status == PoolStatus::Ok || answer.status == PoolStatus::Missing;
    const auto isRefused = answer.status == PoolStatus::Refused;
    if (isFinal || (isRefused && !routed->isUnknown)) {
        routed->slot(answer);
        return;
    }
    const auto mayRetry = reachability_.mayRetry(bootMs(), routed->deadline, settings_.routeRetryMs,
                                                 ownership_.isIsolated());
    if (isRefused || !mayRetry) {
        auto last = answer;
        last.status = routed->isUnknown ? PoolStatus::Unknown : PoolStatus::NotOwner;
        routed->slot(last);
        return;
    }
    ownership_.refreshOwners();
    loop_.post([this, routed] { attempt(routed); }, settings_.routeRetryMs);
}

auto RouterTask::askEarlierHomes(const std::shared_ptr<RoutedCall> &routed,
                                 const EarlierHomesPtr             &homes) -> void
{
    if (homes->next < homes->pools.size()) {
        auto call = routed->call;
        call.pool = homes->pools[homes->next++];
        call.scope = PoolScope::Held;
        route(call, routed->deadline, [this, routed, homes](const PoolAnswer &answer) {
            onEarlierHome(routed, homes, answer);
        });
    } else if (routed->call.verb == PoolVerb::CountPending) {
        routed->slot({PoolStatus::Ok, JobState::Queued, homes->count});
    } else {
        routed->call.scope = PoolScope::New;
        attempt(routed);
    }
}

// A job is held by one pool. Pending jobs may be held by all of them.
auto RouterTask::onEarlierHome(const std::shared_ptr<RoutedCall> &routed,
                               const EarlierHomesPtr &homes, const PoolAnswer &answer) -> void
{
    const auto isCounted =
        answer.status == PoolStatus::Ok && routed->call.verb == PoolVerb::CountPending;
    if (isCounted || answer.status == PoolStatus::Missing) {
        homes->count += answer.count;
        askEarlierHomes(routed, homes);
    } else {
        routed->slot(answer);
    }
}

//-----------------------------------------------------------------------------
// [SECTION] Peer task
//-----------------------------------------------------------------------------

PeerServerTask::PeerServerTask(EventLoop &loop, const NodeSettings &settings, HttpClient &store,
                               PoolsTask &pools, CoordinatorTask &coordinator,
                               ExplanationTask &explanations)
    : settings_(settings), store_(store), pools_(pools), coordinator_(coordinator),
      explanations_(explanations),
      server_(loop, {settings.maxHeaderBytes, 2 * settings.maxBodyBytes})
{
    server_.requestArrived.connect([this](const HttpRequest &request) { onRequest(request); });
}

auto PeerServerTask::listen() -> absl::Status
{
    return server_.listen(settings_.peersAddress);
}

auto PeerServerTask::onRequest(const HttpRequest &request) -> void
{
    if (request.path == kPoolsPath) {
        onCall(request);
    } else if (request.path == kCoordinatorPath) {
        onReport(request);
    } else if (request.path == kStoreCallPath) {
        onStoreCall(request);
    } else if (request.path == kWherePath) {
        explanations_.handle(request.body, [this, id = request.id](const HttpReply &reply) {
            server_.reply(id, reply);
        });
    } else {
        refuse(request, makeError(absl::StatusCode::kNotFound, "peer.path", "", request.path));
    }
}

auto PeerServerTask::onCall(const HttpRequest &request) -> void
{
    const auto call = unpackCall(request.body);
    auto       status = call.status();
    if (status.ok() && call->verb == PoolVerb::Submit) {
        status = checkJob(call->spec);
    }
    if (!status.ok()) {
        refuse(request, status);
        return;
    }
    pools_.handle(*call, [this, id = request.id](const PoolAnswer &answer) {
        server_.reply(id, {kHttpOk, "application/msgpack", packAnswer(answer), {}});
    });
}

auto PeerServerTask::onReport(const HttpRequest &request) -> void
{
    constexpr int kMisdirected = 421;
    const auto    report = unpackReport(request.body);
    if (!report.ok()) {
        refuse(request, report.status());
        return;
    }
    const auto direction = coordinator_.handle(*report);
    if (direction) {
        server_.reply(request.id, {kHttpOk, "application/msgpack", packDirection(*direction), {}});
    } else {
        server_.reply(request.id, {kMisdirected, "text/plain", "not the coordinator\n", {}});
    }
}

auto PeerServerTask::onStoreCall(const HttpRequest &request) -> void
{
    auto call = unpackStoreCall(request.body);
    if (!call.ok()) {
        refuse(request, call.status());
        return;
    }
    store_.request(
        settings_.platform.store, *std::move(call),
        [this, id = request.id](const HttpResult &result) {
            server_.reply(id, {kHttpOk, "application/msgpack", packStoreResult(result), {}});
        });
}

auto PeerServerTask::refuse(const HttpRequest &request, const absl::Status &status) -> void
{
    constexpr int kBadRequest = 400;
    logEvent(LogLevel::Warning, "peer.bad_call",
             {{"path", request.path}, {"error", status.ToString()}});
    server_.reply(request.id, {kBadRequest, "text/plain", "not a call\n", {}});
}

} // namespace peridotwalk
