// Operators' and callers' client: commands that change something, and queries that don't.
//
// Exit codes: 0 done, 1 no entry answered, 2 bad input, 4 not in force everywhere yet, 5 refused.
//
// Index of this file
// [SECTION] Client
// [SECTION] Commands
// [SECTION] Queries

#pragma once

#include "config/config.h"
#include "http/http.h"

#include <nlohmann/json.hpp>

namespace peridotwalk {

constexpr int kExitDone = 0;
constexpr int kExitNoEntry = 1;
constexpr int kExitBadInput = 2;
constexpr int kExitNotEffective = 4;
constexpr int kExitRefused = 5;

//-----------------------------------------------------------------------------
// [SECTION] Client
//-----------------------------------------------------------------------------

// Waits for answers of entries. Tries the given addresses in order.
class OperatorClient
{
public:
    OperatorClient(std::vector<std::string> addresses, TimeMs timeoutMs);

    auto get(const std::string &path) -> absl::StatusOr<nlohmann::json>;
    auto post(const std::string &path, const nlohmann::json &body)
        -> absl::StatusOr<nlohmann::json>;
    auto fetchRules() -> absl::StatusOr<RuleTable>;

    auto timeoutMs() const -> TimeMs { return timeoutMs_; }

private:
    auto callAny(const HttpCall &call) -> absl::StatusOr<nlohmann::json>;
    auto callOne(const std::string &address, const HttpCall &call) -> HttpResult;

    std::vector<std::string> addresses_;
    TimeMs                   timeoutMs_;
    EventLoop                loop_;
    ConnectionPool           pool_;
};

// Reads a whole file, up to 16 MB. "-" is standard input.
auto readFile(const std::string &path) -> absl::StatusOr<std::string>;

// Reads and parses a rules file. Prints every error to standard error, and then returns nothing.
auto readRulesFile(const std::string &path) -> std::optional<std::vector<Rule>>;

//-----------------------------------------------------------------------------
// [SECTION] Commands
//-----------------------------------------------------------------------------

// Who changes something and why, as it goes into the rule's comment.
struct CommandOptions {
    std::string author;          // Login of the operator.
    std::string requester;       // Goes into the comment.
    TimeMs      waitMs = 12'000; // For all entries to confirm.
};

auto publishRules(OperatorClient &client, const std::string &file, const CommandOptions &options)
    -> int;
auto setZoneOut(OperatorClient &client, const std::string &zone, bool isOut,
                const CommandOptions &options) -> int;
auto grantKey(OperatorClient &client, const std::string &name, const std::string &team,
              const std::string &keyFile, const CommandOptions &options) -> int;
auto withdrawKey(OperatorClient &client, const std::string &name, const CommandOptions &options)
    -> int;
auto setDrain(OperatorClient &client, const std::string &instance, bool isDraining,
              const CommandOptions &options) -> int;

// Drains the instance, waits until no entry has work there, and then changes its pool.
auto moveInstance(OperatorClient &client, const std::string &instance, const std::string &pool,
                  const CommandOptions &options) -> int;

//-----------------------------------------------------------------------------
// [SECTION] Queries
//-----------------------------------------------------------------------------

auto checkSettings(const std::string &file) -> int;
auto checkRules(const std::string &file) -> int;
auto diffRulesFile(OperatorClient &client, const std::string &file, bool isJson) -> int;
// Shows which instances the maintenance plans would take next, and which pools are held and why.
auto printPlan(OperatorClient &client, bool isJson) -> int;
auto printStatus(OperatorClient &client, bool isJson) -> int;
auto printExplain(OperatorClient &client, const std::string &requestId, bool isJson) -> int;

} // namespace peridotwalk
