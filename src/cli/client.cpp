#include "cli/cli.h"

#include <fmt/format.h>

#include <fstream>
#include <iostream>

namespace peridotwalk {

namespace {

using Json = nlohmann::json;

constexpr std::streamsize kMaxFileBytes = 16'777'216;
// Answers with a lower status have a body to return: 404 is a pending change, for example.
constexpr int             kFirstBadStatus = 500;

} // namespace

auto readFile(const std::string &path) -> absl::StatusOr<std::string>
{
    auto file = std::ifstream(path == "-" ? "/dev/stdin" : path, std::ios::binary);
    if (!file) {
        return makeError(absl::StatusCode::kNotFound, "read", path, "the file can't be opened");
    }
    auto text = std::string(kMaxFileBytes, '\0');
    file.read(text.data(), kMaxFileBytes);
    text.resize(static_cast<std::size_t>(file.gcount()));
    if (file.peek() != std::ifstream::traits_type::eof()) {
        return makeError(absl::StatusCode::kOutOfRange, "read", path, "the file is too large");
    }
    return text;
}

auto readRulesFile(const std::string &path) -> std::optional<std::vector<Rule>>
{
    const auto text = readFile(path);
    if (!text.ok()) {
        std::cerr << text.status().message() << '\n';
        return std::nullopt;
    }
    auto parsed = parseRules(*text);
    for (const auto &error : parsed.errors) {
        std::cerr << path << ": " << formatRuleError(error) << '\n';
    }
    if (!parsed.errors.empty()) {
        return std::nullopt;
    }
    return std::move(parsed.rules);
}

//-----------------------------------------------------------------------------
// [SECTION] Client
//-----------------------------------------------------------------------------

OperatorClient::OperatorClient(std::vector<std::string> addresses, TimeMs timeoutMs)
    : addresses_(std::move(addresses)), timeoutMs_(timeoutMs), pool_(loop_, ConnectionPoolLimits{})
{
}

auto OperatorClient::callOne(const std::string &address, const HttpCall &call) -> HttpResult
{
    auto answered = HttpResult{};
    pool_.request(address, call, [&](HttpResult result) {
        answered = std::move(result);
        loop_.stop();
    });
    loop_.run();
    return answered;
}

auto OperatorClient::callAny(const HttpCall &call) -> absl::StatusOr<Json>
{
    auto last = makeError(absl::StatusCode::kUnavailable, "client", "", "no entry was given");
    for (const auto &address : addresses_) {
        const auto result = callOne(address, call);
        if (!result.isComplete || result.status >= kFirstBadStatus) {
            last = makeError(absl::StatusCode::kUnavailable, "client", address,
                             result.isComplete ? fmt::format("status {}", result.status)
                                               : result.error);
            continue;
        }
        try {
            return Json::parse(result.body);
        } catch (const Json::exception &error) {
            last = makeError(absl::StatusCode::kInvalidArgument, "client", address, error.what());
        }
    }
    return last;
}

auto OperatorClient::get(const std::string &path) -> absl::StatusOr<Json>
{
    return callAny({"GET", path, {}, {}, timeoutMs_});
}

auto OperatorClient::post(const std::string &path, const Json &body) -> absl::StatusOr<Json>
{
    return callAny({"POST", path, {{"Content-Type", "application/json"}}, body.dump(), timeoutMs_});
}

auto OperatorClient::fetchRules() -> absl::StatusOr<RuleTable>
{
    const auto json = get("/v1/rules");
    if (!json.ok()) {
        return json.status();
    }
    auto table = RuleTable();
    for (const auto &entry : json->at("rules")) {
        auto parsed = parseRule(entry.at("line").get<std::string>(), 1);
        if (auto *rule = std::get_if<Rule>(&parsed)) {
            table.set(std::move(*rule), entry.at("version").get<Offset>());
        }
    }
    return table;
}

} // namespace peridotwalk
