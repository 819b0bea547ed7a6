#include "cli/cli.h"
#include "entry/entry.h"

#include <fmt/format.h>

#include <iostream>

namespace peridotwalk {

namespace {

using Json = nlohmann::json;

auto printTeams(const Json &status) -> void
{
    std::cout << fmt::format("{:<24}{:>8}{:>8}{:>8}{:>8}\n", "TEAM", "LIMIT", "FREE", "IN USE",
                             "WAITING");
    for (const auto &team : status.at("teams")) {
        std::cout << fmt::format("{:<24}{:>8}{:>8}{:>8}{:>8}\n", team.at("team").get<std::string>(),
                                 team.at("limit").get<std::int64_t>(),
                                 team.at("free_here").get<std::int64_t>(),
                                 team.at("in_use_here").get<std::int64_t>(),
                                 team.at("waiting_here").get<std::int64_t>());
    }
}

auto printMembers(const Json &status) -> void
{
    std::cout << fmt::format("{:<40}{:<16}{:>10}  {}\n", "ENTRY", "ZONE", "APPLIED", "STATE");
    for (const auto &member : status.at("members")) {
        const auto isReachable = member.at("reachable").get<bool>();
        const auto isSuspected = member.at("suspected").get<bool>();
        std::cout << fmt::format(
            "{:<40}{:<16}{:>10}  {}\n", member.at("incarnation").get<std::string>(),
            member.at("zone").get<std::string>(), member.at("applied").get<Offset>(),
            isSuspected ? "suspected" : (isReachable ? "live" : "silent"));
    }
}

auto printTargets(const Json &status) -> void
{
    std::cout << fmt::format("{:<24}{:<16}{:<16}{:>12}  {}\n", "TARGET", "POOL", "ZONE",
                             "OUTSTANDING", "STATE");
    for (const auto &target : status.at("targets")) {
        const auto  isLeaving = target.at("leaving").get<bool>();
        const auto  isListed = target.at("listed").get<bool>();
        const auto  isEjected = target.at("ejected_for_ms").get<TimeMs>() > 0;
        const auto *state =
            isLeaving ? "leaving" : (isEjected ? "ejected" : (isListed ? "live" : "not listed"));
        std::cout << fmt::format(
            "{:<24}{:<16}{:<16}{:>12}  {}\n", target.at("name").get<std::string>(),
            target.at("pool").get<std::string>(), target.at("zone").get<std::string>(),
            target.at("outstanding").get<std::int64_t>(), state);
    }
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Queries
//-----------------------------------------------------------------------------

auto checkSettings(const std::string &file) -> int
{
    const auto text = readFile(file);
    if (!text.ok()) {
        std::cerr << text.status().message() << '\n';
        return kExitBadInput;
    }
    const auto parsed = parseEntrySettings(*text);
    for (const auto &error : parsed.errors) {
        std::cerr << fmt::format("{}: {}: {}\n", file, error.path.empty() ? "/" : error.path,
                                 error.reason);
    }
    return parsed.errors.empty() ? kExitDone : kExitBadInput;
}

auto checkRules(const std::string &file) -> int
{
    const auto rules = readRulesFile(file);
    if (!rules) {
        return kExitBadInput;
    }
    std::cout << fmt::format("{} rules, no errors\n", rules->size());
    return kExitDone;
}

auto diffRulesFile(OperatorClient &client, const std::string &file, bool isJson) -> int
{
    const auto wanted = readRulesFile(file);
    if (!wanted) {
        return kExitBadInput;
    }
    const auto rules = client.fetchRules();
    if (!rules.ok()) {
        std::cerr << rules.status().message() << '\n';
        return kExitNoEntry;
    }
    auto json = Json::array();
    for (const auto &edit : diffRules(*rules, *wanted)) {
        const auto *current = rules->find(edit.key);
        const auto  before = current == nullptr ? std::string() : current->rule.text;
        json.push_back(
            {{"key", edit.key}, {"before", before}, {"after", edit.line}, {"base", edit.base}});
    }
    if (isJson) {
        std::cout << json.dump(2) << '\n';
        return kExitDone;
    }
    for (const auto &edit : json) {
        if (!edit.at("before").get<std::string>().empty()) {
            std::cout << "- " << edit.at("before").get<std::string>() << '\n';
        }
        if (!edit.at("after").get<std::string>().empty()) {
            std::cout << "+ " << edit.at("after").get<std::string>() << '\n';
        }
    }
    return kExitDone;
}

auto printStatus(OperatorClient &client, bool isJson) -> int
{
    const auto status = client.get("/v1/status");
    if (!status.ok()) {
        std::cerr << status.status().message() << '\n';
        return kExitNoEntry;
    }
    if (isJson) {
        std::cout << status->dump(2) << '\n';
        return kExitDone;
    }
    std::cout << fmt::format(
        "{} in {}: {}, {}, log seen {} ms ago, {} waiting, {} running\n\n",
        status->at("name").get<std::string>(), status->at("zone").get<std::string>(),
        status->at("ready").get<bool>() ? "ready" : "not ready",
        status->at("may_start").get<bool>() ? "starting work" : "fenced",
        status->at("log_age_ms").get<TimeMs>(), status->at("waiting").get<std::int64_t>(),
        status->at("running").get<std::int64_t>());
    printMembers(*status);
    std::cout << '\n';
    printTeams(*status);
    std::cout << '\n';
    printTargets(*status);
    return kExitDone;
}

auto printExplain(OperatorClient &client, const std::string &requestId, bool isJson) -> int
{
    const auto decisions = client.get("/v1/explain/" + requestId);
    if (!decisions.ok()) {
        std::cerr << decisions.status().message() << '\n';
        return kExitNoEntry;
    }
    if (isJson) {
        std::cout << decisions->dump(2) << '\n';
        return kExitDone;
    }
    for (const auto &decision : *decisions) {
        std::cout << fmt::format(
            "{} {:<8} {:<24} {} (of {})\n", decision.at("wall_ms").get<std::int64_t>(),
            decision.at("step").get<std::string>(), decision.at("chosen").get<std::string>(),
            decision.at("reason").get<std::string>(),
            decision.at("considered").get<std::int64_t>());
    }
    if (decisions->empty()) {
        std::cout << "this entry has no decision on that request; another may\n";
    }
    return kExitDone;
}

} // namespace peridotwalk
