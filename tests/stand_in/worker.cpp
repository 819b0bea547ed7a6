#include "stand_in.h"

#include <fmt/format.h>

namespace peridotwalk {

namespace {

constexpr TimeMs kCheckMs = 10;

auto parseObject(const std::string &text) -> Json
{
    auto json = Json::parse(text, nullptr, false);
    return json.is_object() ? json : Json::object();
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Worker
//-----------------------------------------------------------------------------

WorkerStandIn::WorkerStandIn(EventLoop &loop, std::string name)
    : name_(std::move(name)), server_(loop, {65'536, 16'777'216, 3'600}),
      timer_(loop, kCheckMs, [this] { endDueLeases(); })
{
    server_.requestArrived.connect([this](const HttpRequest &request) { onRequest(request); });
}

auto WorkerStandIn::onRequest(const HttpRequest &request) -> void
{
    endDueLeases();
    if (request.path == "/journal") {
        server_.reply(request.id, jsonReply(journal_));
    } else if (request.path == "/control") {
        failsAll_ = parseObject(request.body).value("fail_all", failsAll_);
        server_.reply(request.id, jsonReply({{"ok", true}}));
    } else if (request.path.starts_with("/leases/")) {
        server_.reply(request.id, jsonReply(onLease(request)));
    } else {
        server_.reply(request.id, jsonReply({{"ok", true}}));
    }
}

// POST /leases/ZONE/UUID/ATTEMPT[/renew|/checkpoint|/stop]
auto WorkerStandIn::onLease(const HttpRequest &request) -> Json
{
    const auto            parts = splitText(request.path, '/');
    constexpr std::size_t kPartsOfStart = 5;
    if (parts.size() < kPartsOfStart) {
        return {{"state", "failed"}, {"result", "bad path"}};
    }
    const auto key = fmt::format("{}/{}/{}", parts[2], parts[3], parts[4]);
    const auto action = parts.size() > kPartsOfStart ? parts[kPartsOfStart] : std::string_view();
    const auto body = parseObject(request.body);
    if (action.empty() && !leases_.contains(key)) {
        start(key, body);
    }
    const auto found = leases_.find(key);
    if (found == leases_.end()) {
        return {{"state", "unknown"}};
    }
    auto &lease = found->second;
    if (action == "renew" && lease.state == "running") {
        lease.leaseEnd = monotonicMs() + body.value("lease_ms", 0);
    } else if ((action == "checkpoint" || action == "stop") && lease.state == "running") {
        end(lease, "stopped");
    }
    const auto ran = lease.previousRunMs + (monotonicMs() - lease.startedAt);
    return {{"state", lease.state}, {"checkpoint", std::to_string(ran)}, {"result", name_}};
}

auto WorkerStandIn::start(const std::string &key, const Json &body) -> void
{
    auto      &lease = leases_[key];
    const auto checkpoint = parseInteger(body.value("checkpoint", "")).value_or(0);
    lease.startedAt = monotonicMs();
    lease.leaseEnd = lease.startedAt + body.value("lease_ms", 0);
    lease.previousRunMs = checkpoint;
    lease.remainingMs = parseObject(body.value("payload", "")).value("ms", 100) - checkpoint;
    lease.journalIndex = journal_.size();
    journal_.push_back({{"id", key.substr(0, key.rfind('/'))},
                        {"team", body.value("team", "")},
                        {"start_ms", lease.startedAt},
                        {"end_ms", nullptr},
                        {"state", "running"}});
    if (failsAll_) {
        end(lease, "failed");
    }
}

auto WorkerStandIn::endDueLeases() -> void
{
    const auto now = monotonicMs();
    for (auto &[key, lease] : leases_) {
        if (lease.state != "running") {
            continue;
        }
        if (now - lease.startedAt >= lease.remainingMs) {
            end(lease, "done");
        } else if (now >= lease.leaseEnd) {
            end(lease, "stopped");
        }
    }
}

auto WorkerStandIn::end(Lease &lease, const std::string &state) -> void
{
    lease.state = state;
    journal_[lease.journalIndex]["state"] = state;
    journal_[lease.journalIndex]["end_ms"] = monotonicMs();
}

} // namespace peridotwalk
