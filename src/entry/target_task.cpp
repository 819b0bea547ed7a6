#include "entry/entry_internal.h"

namespace peridotwalk {

//-----------------------------------------------------------------------------
// [SECTION] Target task
//-----------------------------------------------------------------------------

TargetTask::TargetTask(EventLoop &loop, DecisionTask &decisions)
    : decisions_(decisions), pool_(loop, ConnectionPoolLimits{})
{
}

auto TargetTask::connect(const ConnectTarget &target) -> void
{
    const auto attempt = target.attempt;
    pool_.acquire(target.address, [this, attempt](absl::StatusOr<PooledConnection *> connection) {
        if (!connection.ok()) {
            end(attempt,
                {AttemptEndKind::NotWritten, {}, std::string(connection.status().message())});
            return;
        }
        ready_[attempt] = *connection;
        decisions_.handle([&](Engine &engine, Now now) { engine.onAttemptReady(now, attempt); });
    });
}

auto TargetTask::call(const CallTarget &call) -> void
{
    const auto found = ready_.find(call.attempt);
    if (found == ready_.end()) {
        end(call.attempt, {AttemptEndKind::NotWritten, {}, "the connection was given back"});
        return;
    }
    auto *connection = found->second;
    ready_.erase(found);
    auto http = HttpCall{call.method, call.path, {}, call.body, call.timeoutMs};
    http.headers["Peridot-Request-Id"] = call.requestId;
    http.headers["Content-Type"] =
        call.contentType.empty() ? "application/octet-stream" : call.contentType;
    pool_.call(connection, http, [this, attempt = call.attempt](HttpResult result) {
        if (result.isComplete) {
            auto type = result.headers["content-type"];
            end(attempt,
                {AttemptEndKind::Answered,
                 {result.status, std::move(type), std::move(result.body)},
                 {}});
            return;
        }
        const auto kind = result.isWritten ? AttemptEndKind::Broken : AttemptEndKind::NotWritten;
        end(attempt, {kind, {}, std::move(result.error)});
    });
}

auto TargetTask::drop(const DropAttempt &attempt) -> void
{
    const auto found = ready_.find(attempt.attempt);
    if (found != ready_.end()) {
        pool_.release(found->second);
        ready_.erase(found);
    }
}

auto TargetTask::end(AttemptId attempt, AttemptEnd end) -> void
{
    decisions_.handle(
        [&](Engine &engine, Now now) { engine.onAttemptEnd(now, attempt, std::move(end)); });
}

} // namespace peridotwalk
