#include "entry/entry_internal.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <prometheus/text_serializer.h>

#include <sstream>

namespace peridotwalk {

namespace {

using Json = nlohmann::json;

constexpr int kAccepted = 202;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;

constexpr std::int64_t kMaxChangeBytes = 4'194'304;

auto jsonReply(const Json &json, int status = 200) -> HttpReply
{
    return {status,
            "application/json",
            json.dump(2, ' ', false, Json::error_handler_t::replace) + "\n",
            {}};
}

auto targetJson(const Target &target, Now now) -> Json
{
    return {{"name", target.name},
            {"pool", target.pool},
            {"zone", target.zone},
            {"rack", target.rack},
            {"listed", target.isListed},
            {"leaving", target.isLeaving},
            {"outstanding", target.outstanding},
            {"outstanding_elsewhere", target.peerOutstanding},
            {"failure_rate", target.failureRate},
            {"latency_ms", target.latencyMs},
            {"ejected_for_ms", std::max<TimeMs>(0, target.ejectedUntil - now.mono)}};
}

auto teamJson(const TeamStatus &team) -> Json
{
    return {{"team", team.team},
            {"limit", team.limit},
            {"free_here", team.free},
            {"in_use_here", team.inUse},
            {"waiting_here", team.waiting}};
}

auto memberJson(const MemberStatus &member) -> Json
{
    return {{"incarnation", member.incarnation},
            {"zone", member.zone},
            {"applied", member.applied},
            {"reachable", member.isReachable},
            {"suspected", member.isSuspected}};
}

auto statusJson(const EntrySettings &settings, const EngineStatus &status, Now now) -> Json
{
    auto json = Json{{"name", settings.name},
                     {"zone", settings.zone},
                     {"ready", status.isReady},
                     {"member", status.isMember},
                     {"may_start", status.mayStart},
                     {"applied", status.applied},
                     {"log_age_ms", status.logAgeMs},
                     {"waiting", status.waiting},
                     {"running", status.running},
                     {"claims", status.claims},
                     {"claims_ready", status.claimsReady},
                     {"teams", Json::array()},
                     {"targets", Json::array()},
                     {"members", Json::array()}};
    for (const auto &team : status.teams) {
        json["teams"].push_back(teamJson(team));
    }
    for (const auto &target : status.targets) {
        json["targets"].push_back(targetJson(target, now));
    }
    for (const auto &member : status.members) {
        json["members"].push_back(memberJson(member));
    }
    return json;
}

auto rulesJson(const FleetState &state) -> Json
{
    auto json = Json{{"applied", state.applied()}, {"rules", Json::array()}};
    for (const auto &[key, rule] : state.rules().all()) {
        json["rules"].push_back(
            {{"key", key}, {"line", rule.rule.text}, {"version", rule.version}});
    }
    return json;
}

auto changeJson(const FleetState &state, const std::string &id) -> HttpReply
{
    const auto *outcome = state.findOutcome(id);
    if (outcome == nullptr) {
        return jsonReply({{"id", id}, {"state", "pending"}}, kNotFound);
    }
    return jsonReply({{"id", id},
                      {"state", outcome->isApplied ? "applied" : "refused"},
                      {"reason", outcome->reason},
                      {"applied", state.applied()}});
}

auto explainJson(const std::vector<std::pair<TimeMs, Decision>> &decisions) -> Json
{
    auto json = Json::array();
    for (const auto &[at, decision] : decisions) {
        json.push_back({{"wall_ms", at},
                        {"request", decision.requestId},
                        {"team", decision.team},
                        {"service", decision.service},
                        {"step", decision.step},
                        {"chosen", decision.chosen},
                        {"considered", decision.considered},
                        {"reason", decision.reason}});
    }
    return json;
}

auto parseChange(const std::string &text) -> absl::StatusOr<ConfigChange>
{
    try {
        const auto json = Json::parse(text);
        auto       change = ConfigChange{
            json.at("id").get<std::string>(), json.at("author").get<std::string>(), {}};
        for (const auto &edit : json.at("edits")) {
            change.edits.push_back({edit.at("key").get<std::string>(),
                                    edit.at("line").get<std::string>(),
                                    edit.at("base").get<Offset>()});
        }
        return change;
    } catch (const Json::exception &error) {
        return makeError(absl::StatusCode::kInvalidArgument, "change", "operator", error.what());
    }
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Operator task
//-----------------------------------------------------------------------------

OperatorTask::OperatorTask(EventLoop &loop, const EntrySettings &settings, DecisionTask &decisions,
                           PlatformTask &platform)
    : settings_(settings), decisions_(decisions), platform_(platform),
      server_(loop, {settings.maxHeaderBytes, kMaxChangeBytes, settings.callerTimeoutSeconds})
{
    server_.requestArrived.connect([this](const HttpRequest &request) { onRequest(request); });
}

auto OperatorTask::listen() -> absl::Status
{
    return server_.listen(settings_.operatorsAddress);
}

auto OperatorTask::onRequest(const HttpRequest &request) -> void
{
    const auto isChange = request.method == "POST" && request.path == "/v1/changes";
    server_.reply(request.id, isChange ? submitChange(request) : answerQuery(request));
}

auto OperatorTask::answerQuery(const HttpRequest &request) const -> HttpReply
{
    constexpr std::string_view kChanges = "/v1/changes/";
    constexpr std::string_view kExplain = "/v1/explain/";
    const auto                &engine = decisions_.engine();
    if (request.path == "/health") {
        return {200, "text/plain", "ok\n", {}};
    }
    if (request.path == "/metrics") {
        return metrics();
    }
    if (request.path == "/v1/status") {
        const auto now = readClocks();
        return jsonReply(statusJson(settings_, engine.status(now), now));
    }
    if (request.path == "/v1/rules") {
        return jsonReply(rulesJson(engine.state()));
    }
    if (request.path.starts_with(kChanges)) {
        return changeJson(engine.state(), request.path.substr(kChanges.size()));
    }
    if (request.path.starts_with(kExplain)) {
        return jsonReply(explainJson(decisions_.explain(request.path.substr(kExplain.size()))));
    }
    return jsonReply({{"error", "there is nothing at this path"}}, kNotFound);
}

auto OperatorTask::submitChange(const HttpRequest &request) -> HttpReply
{
    const auto change = parseChange(request.body);
    if (!change.ok()) {
        return jsonReply({{"error", std::string(change.status().message())}}, kBadRequest);
    }
    platform_.append({change->id, encodeRecord(*change)});
    return jsonReply({{"id", change->id}, {"state", "pending"}}, kAccepted);
}

auto OperatorTask::metrics() const -> HttpReply
{
    auto text = std::ostringstream();
    prometheus::TextSerializer().Serialize(text, decisions_.registry()->Collect());
    const auto status = decisions_.engine().status(readClocks());
    text << "# TYPE peridotwalk_waiting gauge\nperidotwalk_waiting " << status.waiting << '\n'
         << "# TYPE peridotwalk_running gauge\nperidotwalk_running " << status.running << '\n'
         << "# TYPE peridotwalk_log_age_ms gauge\nperidotwalk_log_age_ms " << status.logAgeMs
         << '\n'
         << "# TYPE peridotwalk_may_start gauge\nperidotwalk_may_start "
         << (status.mayStart ? 1 : 0) << '\n';
    return {200, "text/plain; version=0.0.4", text.str(), {}};
}

} // namespace peridotwalk
