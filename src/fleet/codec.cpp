#include "fleet/fleet_internal.h"

#include <fmt/format.h>

namespace peridotwalk {

namespace {

using Json = nlohmann::json;

constexpr std::string_view kRecordStep = "record";
constexpr std::string_view kSnapshotStep = "snapshot";

auto kindName(const Record &record) -> std::string_view
{
    constexpr std::string_view kNames[] = {"change", "join",   "suspect", "refute",
                                           "gone",   "settle", "tasks",   "snapshot"};
    return kNames[record.index()];
}

auto recordOfKind(std::string_view kind, const Json &body) -> std::optional<Record>
{
    if (kind == "change") {
        return body.get<ConfigChange>();
    }
    if (kind == "join") {
        return body.get<MemberJoin>();
    }
    if (kind == "suspect") {
        return body.get<MemberSuspect>();
    }
    if (kind == "refute") {
        return body.get<MemberRefute>();
    }
    if (kind == "gone") {
        return body.get<MemberRemove>();
    }
    if (kind == "settle") {
        return body.get<MemberSettle>();
    }
    if (kind == "tasks") {
        return body.get<TaskBatch>();
    }
    if (kind == "snapshot") {
        return body.get<Snapshot>();
    }
    return std::nullopt;
}

auto dumpRules(const RuleTable &rules) -> Json
{
    auto lines = Json::array();
    for (const auto &[key, rule] : rules.all()) {
        lines.push_back({{"line", rule.rule.text}, {"version", rule.version}});
    }
    return lines;
}

auto restoreRules(const Json &lines) -> RuleTable
{
    auto rules = RuleTable();
    for (const auto &entry : lines) {
        auto parsed = parseRule(entry.at("line").get<std::string>(), 1);
        if (auto *rule = std::get_if<Rule>(&parsed)) {
            rules.set(std::move(*rule), entry.at("version").get<Offset>());
        }
    }
    return rules;
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Record text
//-----------------------------------------------------------------------------

auto encodeRecord(const Record &record) -> std::string
{
    auto body = std::visit([](const auto &typed) { return Json(typed); }, record);
    return Json{{"kind", kindName(record)}, {"body", std::move(body)}}.dump(
        -1, ' ', false, Json::error_handler_t::replace);
}

auto decodeRecord(std::string_view text) -> absl::StatusOr<Record>
{
    if (text.size() > kMaxRecordBytes) {
        return makeError(absl::StatusCode::kInvalidArgument, kRecordStep, "log", "too large");
    }
    try {
        const auto json = Json::parse(text);
        const auto kind = json.at("kind").get<std::string>();
        if (auto record = recordOfKind(kind, json.at("body"))) {
            return *std::move(record);
        }
        return makeError(absl::StatusCode::kInvalidArgument, kRecordStep, "log",
                         fmt::format("unknown kind '{}'", kind));
    } catch (const Json::exception &error) {
        return makeError(absl::StatusCode::kInvalidArgument, kRecordStep, "log", error.what());
    }
}

auto recordId(const Record &record) -> std::string_view
{
    return std::visit([](const auto &body) -> std::string_view { return body.id; }, record);
}

//-----------------------------------------------------------------------------
// [SECTION] Fleet state
//-----------------------------------------------------------------------------

auto FleetState::dump() const -> std::string
{
    auto outcomes = Json::array();
    for (const auto &id : outcomeOrder_) {
        outcomes.push_back({{"id", id}, {"result", outcomes_.at(id)}});
    }
    const auto state = Json{{"applied", applied_},
                            {"rules", dumpRules(rules_)},
                            {"members", members_},
                            {"gone", removed_},
                            {"goneOrder", removalOrder_},
                            {"lastSnapshot", lastSnapshot_},
                            {"zoneEpochs", zoneEpochs_},
                            {"teams", teams_},
                            {"tasks", tasks_},
                            {"endedTasks", endedTasks_},
                            {"outcomes", outcomes}};
    return state.dump(-1, ' ', false, Json::error_handler_t::replace);
}

auto FleetState::restore(std::string_view dumped) -> absl::Status
{
    try {
        const auto json = Json::parse(dumped);
        if (json.at("applied").get<Offset>() <= applied_) {
            return absl::OkStatus(); // Not newer than this state.
        }
        auto next = FleetState();
        json.at("applied").get_to(next.applied_);
        next.rules_ = restoreRules(json.at("rules"));
        json.at("members").get_to(next.members_);
        json.at("gone").get_to(next.removed_);
        json.at("goneOrder").get_to(next.removalOrder_);
        json.at("lastSnapshot").get_to(next.lastSnapshot_);
        json.at("zoneEpochs").get_to(next.zoneEpochs_);
        json.at("teams").get_to(next.teams_);
        json.at("tasks").get_to(next.tasks_);
        json.at("endedTasks").get_to(next.endedTasks_);
        for (const auto &entry : json.at("outcomes")) {
            next.rememberOutcome(entry.at("id").get<std::string>(),
                                 entry.at("result").get<ApplyResult>());
        }
        next.indexTasks();
        *this = std::move(next);
        return absl::OkStatus();
    } catch (const Json::exception &error) {
        return makeError(absl::StatusCode::kInvalidArgument, kSnapshotStep, "peer", error.what());
    }
}

} // namespace peridotwalk
