#include "entry/entry_internal.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace peridotwalk {

namespace {

constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;
constexpr int kBadGateway = 502;
constexpr int kServiceUnavailable = 503;

constexpr std::string_view kServicesPath = "/v1/services/";
constexpr std::string_view kTasksPath = "/v1/tasks";
constexpr std::size_t      kMaxIdBytes = 128;
constexpr TimeMs           kMaxDeadlineMs = 600'000;

auto statusOf(const Refusal &refusal) -> int
{
    if (refusal.outcome == Outcome::Unknown) {
        return kBadGateway;
    }
    if (refusal.step == "key") {
        return kUnauthorized;
    }
    if (refusal.step == "service" || refusal.step == "task") {
        return kNotFound;
    }
    return refusal.step == "request-id" ? kBadRequest : kServiceUnavailable;
}

// Parses the body of a task's submission.
auto parseTaskSpec(const std::string &body) -> absl::StatusOr<TaskSpec>
{
    constexpr std::int64_t kMaxSize = 1'000'000'000;
    try {
        const auto json = nlohmann::json::parse(body);
        auto       spec = TaskSpec{};
        spec.service = json.at("service").get<std::string>();
        spec.payload = json.value("payload", "");
        spec.cpus = json.value("cpus", spec.cpus);
        spec.memoryMb = json.value("memory_mb", spec.memoryMb);
        spec.accelerators = json.value("accelerators", spec.accelerators);
        spec.expectedMs = json.value("expected_ms", spec.expectedMs);
        spec.isRepeatable = json.value("repeatable", false);
        spec.isUrgent = json.value("urgent", false);
        for (const auto size : {spec.cpus, spec.memoryMb, spec.accelerators, spec.expectedMs}) {
            if (size < 0 || size > kMaxSize) {
                return makeError(absl::StatusCode::kInvalidArgument, "task", "caller",
                                 "a size is out of range");
            }
        }
        return spec;
    } catch (const nlohmann::json::exception &error) {
        return makeError(absl::StatusCode::kInvalidArgument, "task", "caller", error.what());
    }
}

auto isPlainId(std::string_view id) -> bool
{
    return id.size() <= kMaxIdBytes && id.find_first_of("\" \\\t\n") == std::string_view::npos;
}

} // namespace

auto toHttpReply(const Reply &reply) -> HttpReply
{
    auto http = HttpReply{};
    http.headers["Peridot-Outcome"] = std::string(outcomeName(reply.outcome));
    if (reply.outcome == Outcome::Answered) {
        http.status = static_cast<int>(reply.answer.status);
        http.contentType = reply.answer.contentType.empty() ? "application/octet-stream"
                                                            : reply.answer.contentType;
        http.body = reply.answer.body;
        return http;
    }
    http.status = statusOf(reply.refusal);
    http.body = nlohmann::json{{"outcome", outcomeName(reply.outcome)},
                               {"step", reply.refusal.step},
                               {"peer", reply.refusal.peer},
                               {"reason", reply.refusal.reason},
                               {"retry_after_ms", reply.refusal.retryAfterMs}}
                    .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return http;
}

//-----------------------------------------------------------------------------
// [SECTION] Caller task
//-----------------------------------------------------------------------------

CallerTask::CallerTask(EventLoop &loop, const EntrySettings &settings, DecisionTask &decisions)
    : settings_(settings), decisions_(decisions),
      server_(loop,
              {settings.maxHeaderBytes,
               static_cast<std::int64_t>(settings.engine.requests.maxBodyBytes),
               settings.callerTimeoutSeconds})
{
    server_.requestArrived.connect([this](const HttpRequest &request) { onRequest(request); });
    server_.callerDisconnected.connect([this](ExchangeId id) {
        decisions_.handle([&](Engine &engine, Now now) { engine.onCallerDisconnected(now, id); });
    });
}

auto CallerTask::listen() -> absl::Status
{
    return server_.listen(settings_.callersAddress);
}

auto CallerTask::refuse(ExchangeId id, std::string_view step, std::string_view reason, int status)
    -> void
{
    auto refusal = Refusal{Outcome::NotRun, std::string(step), "", std::string(reason), 0};
    auto http = toHttpReply(Reply{Outcome::NotRun, {}, std::move(refusal)});
    http.status = status;
    server_.reply(id, http);
}

auto CallerTask::onRequest(const HttpRequest &request) -> void
{
    if (request.path == "/health" || request.path == "/ready") {
        const auto isReady = decisions_.engine().isReady();
        server_.reply(request.id,
                      {isReady ? 200 : kServiceUnavailable,
                       "text/plain",
                       isReady ? "ready\n" : "not ready\n",
                       {}});
        return;
    }
    if (request.path.starts_with(kTasksPath)) {
        onTaskRequest(request);
        return;
    }
    if (!request.path.starts_with(kServicesPath)) {
        refuse(request.id, "path", "there is nothing at this path", kNotFound);
        return;
    }
    if (request.method != "POST") {
        refuse(request.id, "method", "requests to services are sent with POST", kMethodNotAllowed);
        return;
    }
    onServiceRequest(request, std::string_view(request.path).substr(kServicesPath.size()));
}

auto CallerTask::onServiceRequest(const HttpRequest &request, std::string_view service) -> void
{
    const auto repeatable = request.header("peridot-repeatable");
    if (!repeatable.empty() && repeatable != "yes" && repeatable != "no") {
        refuse(request.id, "header", "Peridot-Repeatable takes yes or no", kBadRequest);
        return;
    }
    auto call = CallerRequest{};
    call.isRepeatable = repeatable == "yes";
    call.id = request.header("peridot-request-id");
    if (call.id.empty() && !call.isRepeatable) {
        refuse(request.id, "header",
               "a request without Peridot-Repeatable: yes needs a Peridot-Request-Id", kBadRequest);
        return;
    }
    if (!isPlainId(call.id)) {
        refuse(request.id, "header", "Peridot-Request-Id is too long or holds blanks or quotes",
               kBadRequest);
        return;
    }
    const auto deadline = request.header("peridot-deadline-ms");
    const auto timeoutMs =
        deadline.empty() ? std::optional(settings_.defaultDeadlineMs) : parseInteger(deadline);
    if (!timeoutMs || *timeoutMs <= 0 || *timeoutMs > kMaxDeadlineMs) {
        refuse(request.id, "header",
               fmt::format("Peridot-Deadline-Ms takes a whole number from 1 to {}", kMaxDeadlineMs),
               kBadRequest);
        return;
    }
    if (call.id.empty()) {
        call.id = fmt::format("{}.{}", settings_.engine.incarnation, ++lastGeneratedNumber_);
    }
    const auto key = request.header("peridot-key");
    call.keyHash = key.empty() ? std::string() : hashKey(key);
    call.service = std::string(service);
    call.contentType = request.header("content-type");
    call.body = request.body;
    call.timeoutMs = *timeoutMs;
    decisions_.handle(
        [&](Engine &engine, Now now) { engine.onCallerRequest(now, request.id, std::move(call)); });
}

// POST /v1/tasks submits a task. GET and DELETE /v1/tasks/ID return its state and cancel it.
auto CallerTask::onTaskRequest(const HttpRequest &request) -> void
{
    const auto key = request.header("peridot-key");
    const auto keyHash = key.empty() ? std::string() : hashKey(key);
    const auto rest = std::string_view(request.path).substr(kTasksPath.size());
    const auto taskId = rest.empty() ? rest : rest.substr(1);
    if (request.method == "GET" && !taskId.empty()) {
        replyTaskState(request, taskId);
        return;
    }
    if (request.method == "DELETE" && !taskId.empty()) {
        decisions_.handle([&](Engine &engine, Now now) {
            engine.onTaskCancel(now, request.id, taskId, keyHash);
        });
        return;
    }
    if (request.method != "POST" || !taskId.empty()) {
        refuse(request.id, "method", "tasks take POST, or GET and DELETE with an id",
               kMethodNotAllowed);
        return;
    }
    auto       spec = parseTaskSpec(request.body);
    const auto id = request.header("peridot-request-id");
    if (!spec.ok() || !isPlainId(id)) {
        refuse(request.id, "task",
               spec.ok() ? "Peridot-Request-Id is too long or holds blanks or quotes"
                         : std::string(spec.status().message()),
               kBadRequest);
        return;
    }
    decisions_.handle([&](Engine &engine, Now now) {
        engine.onTaskSubmit(now, request.id, id, keyHash, *std::move(spec));
    });
}

auto CallerTask::replyTaskState(const HttpRequest &request, std::string_view taskId) -> void
{
    const auto &state = decisions_.engine().state();
    const auto *task = state.task(taskId);
    const auto *team = state.rules().teamOfKeyHash(hashKey(request.header("peridot-key")));
    if (task == nullptr || team == nullptr || team->name != task->spec.team) {
        refuse(request.id, "task", "there is no such task of this team", kNotFound);
        return;
    }
    auto http = toHttpReply(Reply{Outcome::Answered, describeTask(*task), {}});
    server_.reply(request.id, http);
}

auto CallerTask::reply(const ReplyCaller &reply) -> void
{
    server_.reply(reply.handle, toHttpReply(reply.reply));
}

} // namespace peridotwalk
