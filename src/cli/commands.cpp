#include "cli/cli.h"

#include <fmt/format.h>

#include <iostream>
#include <random>
#include <thread>

namespace peridotwalk {

namespace {

using Json = nlohmann::json;

constexpr TimeMs kPollMs = 50;

auto fail(const absl::Status &status, int code) -> int
{
    std::cerr << status.message() << '\n';
    return code;
}

auto makeChangeId(const std::string &author) -> std::string
{
    auto device = std::random_device();
    return fmt::format("change/{}/{:08x}{:08x}", author, device(), device());
}

auto toJson(std::span<const RuleEdit> edits) -> Json
{
    auto json = Json::array();
    for (const auto &edit : edits) {
        json.push_back({{"key", edit.key}, {"line", edit.line}, {"base", edit.base}});
    }
    return json;
}

auto pause() -> void
{
    std::this_thread::sleep_for(std::chrono::milliseconds(kPollMs));
}

// Waits until the change has been applied or refused. Returns its state, or nothing on a timeout.
auto awaitDecision(OperatorClient &client, const std::string &id, TimeMs until)
    -> std::optional<Json>
{
    while (monotonicMs() < until) {
        const auto answer = client.get("/v1/changes/" + id);
        if (answer.ok() && answer->value("state", "") != "pending") {
            return *answer;
        }
        pause();
    }
    return std::nullopt;
}

// Returns the members that haven't applied the record at `offset` yet.
auto findLaggingMembers(OperatorClient &client, Offset offset) -> std::vector<std::string>
{
    auto       laggingMembers = std::vector<std::string>();
    const auto status = client.get("/v1/status");
    if (!status.ok()) {
        return {"no entry answers"};
    }
    for (const auto &member : status->at("members")) {
        if (member.at("applied").get<Offset>() < offset) {
            laggingMembers.push_back(
                fmt::format("{}{}", member.at("incarnation").get<std::string>(),
                            member.at("reachable").get<bool>() ? "" : " (unreachable)"));
        }
    }
    return laggingMembers;
}

// Waits until every member has applied the record at `offset`. Returns the exit code.
auto awaitAllMembers(OperatorClient &client, Offset offset, TimeMs until) -> int
{
    auto laggingMembers = findLaggingMembers(client, offset);
    while (!laggingMembers.empty() && monotonicMs() < until) {
        pause();
        laggingMembers = findLaggingMembers(client, offset);
    }
    for (const auto &member : laggingMembers) {
        std::cerr << "not in force at " << member << '\n';
    }
    std::cout << fmt::format("in force at offset {}{}\n", offset,
                             laggingMembers.empty() ? "" : ", but not everywhere yet");
    return laggingMembers.empty() ? kExitDone : kExitNotEffective;
}

// Publishes edits and waits until every member has applied them.
auto publish(OperatorClient &client, std::span<const RuleEdit> edits, const CommandOptions &options)
    -> int
{
    if (edits.empty()) {
        std::cout << "nothing to change\n";
        return kExitDone;
    }
    const auto until = monotonicMs() + options.waitMs;
    const auto id = makeChangeId(options.author);
    const auto posted = client.post(
        "/v1/changes", {{"id", id}, {"author", options.author}, {"edits", toJson(edits)}});
    if (!posted.ok()) {
        return fail(posted.status(), kExitNoEntry);
    }
    const auto decision = awaitDecision(client, id, until);
    if (!decision) {
        std::cerr << "the change isn't in the log yet; it may still be applied: " << id << '\n';
        return kExitNotEffective;
    }
    if (decision->value("state", "") != "applied") {
        std::cerr << "refused: " << decision->value("reason", "") << '\n';
        return kExitRefused;
    }
    return awaitAllMembers(client, decision->value("applied", Offset{0}), until);
}

// Publishes an edit that sets one attribute of one rule. Returns the exit code.
auto setAttribute(OperatorClient &client, const std::string &key, std::string_view attribute,
                  std::string_view value, const CommandOptions &options) -> int
{
    const auto rules = client.fetchRules();
    if (!rules.ok()) {
        return fail(rules.status(), kExitNoEntry);
    }
    const auto *current = rules->find(key);
    if (current == nullptr) {
        std::cerr << "there is no rule '" << key << "'\n";
        return kExitBadInput;
    }
    const auto line = editRule(current->rule.text, attribute, value, options.requester);
    const auto edit = RuleEdit{key, line, current->version};
    return publish(client, std::span(&edit, 1), options);
}

// Returns the number of outstanding requests of all entries at an instance.
auto outstandingAt(OperatorClient &client, const std::string &instance)
    -> absl::StatusOr<std::int64_t>
{
    const auto status = client.get("/v1/status");
    if (!status.ok()) {
        return status.status();
    }
    for (const auto &target : status->at("targets")) {
        if (target.at("name") == instance) {
            return target.at("outstanding").get<std::int64_t>()
                + target.at("outstanding_elsewhere").get<std::int64_t>();
        }
    }
    return 0;
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Commands
//-----------------------------------------------------------------------------

auto publishRules(OperatorClient &client, const std::string &file, const CommandOptions &options)
    -> int
{
    const auto wanted = readRulesFile(file);
    if (!wanted) {
        return kExitBadInput;
    }
    const auto rules = client.fetchRules();
    if (!rules.ok()) {
        return fail(rules.status(), kExitNoEntry);
    }
    return publish(client, diffRules(*rules, *wanted), options);
}

auto setZoneOut(OperatorClient &client, const std::string &zone, bool isOut,
                const CommandOptions &options) -> int
{
    return setAttribute(client, "zone/" + zone, "out", isOut ? "yes" : "no", options);
}

auto setDrain(OperatorClient &client, const std::string &instance, bool isDraining,
              const CommandOptions &options) -> int
{
    return setAttribute(client, "instance/" + instance, "drain", isDraining ? "yes" : "no",
                        options);
}

auto grantKey(OperatorClient &client, const std::string &name, const std::string &team,
              const std::string &keyFile, const CommandOptions &options) -> int
{
    auto key = readFile(keyFile);
    if (!key.ok()) {
        return fail(key.status(), kExitBadInput);
    }
    while (key->ends_with('\n') || key->ends_with('\r')) {
        key->pop_back();
    }
    const auto rules = client.fetchRules();
    if (!rules.ok()) {
        return fail(rules.status(), kExitNoEntry);
    }
    const auto *current = rules->find("key/" + name);
    const auto  line =
        fmt::format("key {} team={} sha256={} # {}", name, team, hashKey(*key), options.requester);
    const auto edit = RuleEdit{"key/" + name, line, current == nullptr ? 0 : current->version};
    return publish(client, std::span(&edit, 1), options);
}

auto withdrawKey(OperatorClient &client, const std::string &name, const CommandOptions &options)
    -> int
{
    const auto rules = client.fetchRules();
    if (!rules.ok()) {
        return fail(rules.status(), kExitNoEntry);
    }
    const auto *current = rules->find("key/" + name);
    if (current == nullptr) {
        std::cerr << "there is no key '" << name << "'\n";
        return kExitBadInput;
    }
    const auto edit = RuleEdit{"key/" + name, "", current->version};
    return publish(client, std::span(&edit, 1), options);
}

auto moveInstance(OperatorClient &client, const std::string &instance, const std::string &pool,
                  const CommandOptions &options) -> int
{
    const auto drained = setDrain(client, instance, true, options);
    if (drained != kExitDone) {
        return drained;
    }
    const auto until = monotonicMs() + options.waitMs;
    while (true) {
        const auto outstanding = outstandingAt(client, instance);
        if (!outstanding.ok()) {
            return fail(outstanding.status(), kExitNoEntry);
        }
        if (*outstanding == 0) {
            break;
        }
        if (monotonicMs() >= until) {
            std::cerr << fmt::format("{} drains but still has {} requests; run the move again\n",
                                     instance, *outstanding);
            return kExitNotEffective;
        }
        pause();
    }
    const auto moved = setAttribute(client, "instance/" + instance, "pool", pool, options);
    return moved == kExitDone ? setDrain(client, instance, false, options) : moved;
}

} // namespace peridotwalk
