#include "node/node_internal.h"

namespace peridotwalk {

namespace {

constexpr int    kOk = 200;
constexpr int    kBadRequest = 400;
constexpr int    kUnauthorized = 401;
constexpr int    kNotFound = 404;
constexpr int    kMethodNotAllowed = 405;
constexpr int    kGone = 410;
constexpr int    kTooLarge = 413;
constexpr int    kUnavailable = 503;
constexpr int    kGatewayTimeout = 504;
constexpr TimeMs kSecondMs = 1'000;

auto verbName(JobVerb verb) -> std::string
{
    switch (verb) {
    case JobVerb::Submit:
        return "submit";
    case JobVerb::Query:
        return "query";
    case JobVerb::Cancel:
        return "cancel";
    case JobVerb::CountPending:
        return "count_pending";
    case JobVerb::Other:
        break;
    }
    return "other";
}

auto logOutcome(std::string_view event, const std::string &job, const PoolAnswer &answer,
                std::int64_t version, TimeMs arrivedAt) -> void
{
    logEvent(LogLevel::Info, event,
             {{"job", job},
              {"outcome", static_cast<int>(answer.status)},
              {"reason", answer.reason},
              {"version", version},
              {"took_ms", bootMs() - arrivedAt}});
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Caller task
//-----------------------------------------------------------------------------

JobCallerTask::JobCallerTask(EventLoop &loop, const NodeSettings &settings, NodeMetrics &metrics,
                             DirectoryTask &directory, OwnershipTask &ownership, RouterTask &router)
    : settings_(settings), metrics_(metrics), directory_(directory), ownership_(ownership),
      router_(router), server_(loop, {settings.maxHeaderBytes, settings.maxBodyBytes}),
      readyServer_(loop, {settings.maxHeaderBytes, settings.maxBodyBytes})
{
    server_.requestArrived.connect([this](const HttpRequest &request) { onRequest(request); });
    server_.callerDisconnected.connect([this](ExchangeId id) { calls_.erase(id); });
    readyServer_.requestArrived.connect([this](const HttpRequest &request) {
        readyServer_.reply(request.id, {isReady() ? kOk : kUnavailable, "text/plain", "", {}});
    });
}

auto JobCallerTask::listen() -> absl::Status
{
    auto status = server_.listen(settings_.callersAddress);
    return status.ok() ? readyServer_.listen(settings_.readyAddress) : status;
}

auto JobCallerTask::isReady() const -> bool
{
    return !isStopping_ && directory_.hasCatalog() && ownership_.lastContactAt() > 0
        && !ownership_.isIsolated();
}

auto JobCallerTask::beginStop() -> void
{
    isStopping_ = true;
}

auto JobCallerTask::deadlineOf(const JobRequest &call) const -> TimeMs
{
    const auto budget = call.budgetMs > 0 ? call.budgetMs : settings_.callBudgetMs;
    return bootMs() + std::max<TimeMs>(0, budget - settings_.callMarginMs);
}

auto JobCallerTask::answer(ExchangeId id, int status, std::string body) -> void
{
    send(id, {status, "application/json", std::move(body), {}});
}

auto JobCallerTask::send(ExchangeId id, HttpReply reply) -> void
{
    if (const auto call = calls_.find(id); call != calls_.end()) {
        metrics_.addCall(call->second.verb, reply.status, bootMs() - call->second.arrivedAt);
        calls_.erase(call);
    }
    if (isStopping_) {
        reply.headers["Connection"] = "close";
    }
    server_.reply(id, reply);
}

auto JobCallerTask::refuse(ExchangeId id, int status, std::string_view reason, TimeMs retryAfterMs)
    -> void
{
    auto reply = HttpReply{status, "application/json", writeError(reason), {}};
    if (retryAfterMs > 0) {
        reply.headers["Retry-After"] = std::to_string((retryAfterMs + kSecondMs - 1) / kSecondMs);
    }
    send(id, std::move(reply));
}

auto JobCallerTask::onRequest(const HttpRequest &request) -> void
{
    const auto call = readJobRequest(request);
    calls_[request.id] = {verbName(call.verb), bootMs()};
    if (!directory_.hasCatalog()) {
        refuse(request.id, kUnavailable, "no rules are known yet", settings_.retryAfterMs);
        return;
    }
    const auto &catalog = directory_.view().catalog;
    const auto *queue = catalog.findQueue(call.host, call.path);
    if (queue == nullptr) {
        refuse(request.id, kNotFound, "there is no such queue");
        return;
    }
    const auto *tenant = catalog.tenantOfKey(call.key);
    if (tenant == nullptr && !queue->isOpen) {
        logEvent(LogLevel::Info, "call.unauthorized",
                 {{"queue", queue->name}, {"version", catalog.version()}});
        refuse(request.id, kUnauthorized, "the key is unknown");
        return;
    }
    if (call.verb == JobVerb::CountPending) {
        routeSimple(request, call, *queue, PoolVerb::CountPending, "");
        return;
    }
    const auto id = parseJobId(call.path, queue->pathPrefix);
    if (!id) {
        refuse(request.id, kNotFound, "a job's id has 16 hexadecimal digits");
        return;
    }
    switch (call.verb) {
    case JobVerb::Submit:
        submit(request, call, *queue, *id);
        break;
    case JobVerb::Query:
        routeSimple(request, call, *queue, PoolVerb::Query, *id);
        break;
    case JobVerb::Cancel:
        routeSimple(request, call, *queue, PoolVerb::Cancel, *id);
        break;
    default:
        refuse(request.id, kMethodNotAllowed, "the method isn't known here");
    }
}

auto JobCallerTask::submit(const HttpRequest &request, const JobRequest &call,
                           const QueueRule &queue, const std::string &id) -> void
{
    auto spec = readJob(request.body);
    if (!spec.ok()) {
        logEvent(LogLevel::Info, "job.invalid",
                 {{"job", id}, {"queue", queue.name}, {"error", spec.status().ToString()}});
        refuse(request.id, kBadRequest, std::string(spec.status().message()));
        return;
    }
    const auto *tenant = directory_.view().catalog.tenantOfKey(call.key);
    spec->id = id;
    spec->queue = queue.name;
    spec->pool = queue.pool;
    spec->tenant = tenant == nullptr ? std::string() : tenant->name;
    spec->rulesVersion = directory_.view().catalog.version();
    spec->maxAttempts = queue.maxAttempts;
    const auto size = checkSize(*spec, settings_.pool.maxRecordBytes);
    if (!size.ok()) {
        logEvent(LogLevel::Info, "job.invalid",
                 {{"job", id}, {"queue", queue.name}, {"error", size.ToString()}});
        refuse(request.id, kTooLarge, std::string(size.message()));
        return;
    }
    const auto version = directory_.view().catalog.version();
    const auto arrivedAt = bootMs();
    router_.route(
        {PoolVerb::Submit, queue.pool, id, queue.name, *std::move(spec), PoolScope::All, version},
        deadlineOf(call),
        [this, exchange = request.id, id, version, arrivedAt](const PoolAnswer &answer) {
            logOutcome("job.submitted", id, answer, version, arrivedAt);
            switch (answer.status) {
            case PoolStatus::Ok:
                this->answer(exchange, kOk, "{}");
                break;
            case PoolStatus::Unknown:
                refuse(exchange, kGatewayTimeout, answer.reason);
                break;
            default:
                refuse(exchange, kUnavailable, answer.reason,
                       std::max(answer.retryAfterMs, settings_.retryAfterMs));
            }
        });
}

auto JobCallerTask::routeSimple(const HttpRequest &request, const JobRequest &call,
                                const QueueRule &queue, PoolVerb verb, const std::string &id)
    -> void
{
    const auto version = directory_.view().catalog.version();
    const auto arrivedAt = bootMs();
    router_.route(
        {verb, queue.pool, id, queue.name, {}, PoolScope::All, version}, deadlineOf(call),
        [this, exchange = request.id, verb, id, version, arrivedAt](const PoolAnswer &answer) {
            if (verb == PoolVerb::Cancel) {
                logOutcome("job.cancelled", id, answer, version, arrivedAt);
            }
            if (answer.status == PoolStatus::Missing) {
                refuse(exchange, kGone, "there is no such job");
            } else if (answer.status != PoolStatus::Ok) {
                const auto isUnknown = answer.status == PoolStatus::Unknown;
                refuse(exchange, isUnknown ? kGatewayTimeout : kUnavailable, answer.reason,
                       settings_.retryAfterMs);
            } else if (verb == PoolVerb::Query) {
                this->answer(exchange, kOk, writeState(answer.state));
            } else if (verb == PoolVerb::CountPending) {
                this->answer(exchange, kOk, writePending(answer.count));
            } else {
                this->answer(exchange, kOk, "{}");
            }
        });
}

} // namespace peridotwalk
