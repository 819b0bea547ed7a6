// Operators' command-line client: commands that change rules, and queries that don't.
//
// Exit codes: 0 done, 1 no entry answered, 2 bad input, 4 not effective everywhere yet, 5 refused.
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

// Blocking HTTP client. Tries the operators' addresses of entries in order until one answers.
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

// Reads a file of up to 16 MB. "-" is standard input.
auto readFile(const std::string &path) -> absl::StatusOr<std::string>;

// Reads and parses a rules file. Prints its errors to standard error and then returns nothing.
auto readRulesFile(const std::string &path) -> std::optional<std::vector<Rule>>;

//-----------------------------------------------------------------------------
// [SECTION] Commands
//-----------------------------------------------------------------------------

// Who makes a change, who requested it, and how long to wait for it.
struct CommandOptions {
    std::string author;          // Login of the operator.
    std::string requester;       // Who requested the change, for the comment of the rule.
    TimeMs      waitMs = 12'000; // Maximum wait until all entries have applied the change.
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

// Drains the instance, waits until no entry has work there, changes its pool, and ends the drain.
auto moveInstance(OperatorClient &client, const std::string &instance, const std::string &pool,
                  const CommandOptions &options) -> int;

//-----------------------------------------------------------------------------
// [SECTION] Queries
//-----------------------------------------------------------------------------

auto checkSettings(const std::string &file) -> int;
auto checkRules(const std::string &file) -> int;
auto diffRulesFile(OperatorClient &client, const std::string &file, bool isJson) -> int;

// Prints the instances that maintenance would drain next, and the pools where it may not, and why.
auto printPlan(OperatorClient &client, bool isJson) -> int;
auto printStatus(OperatorClient &client, bool isJson) -> int;
auto printExplain(OperatorClient &client, const std::string &requestId, bool isJson) -> int;

// What `where` asks a scheduling node.
struct WhereQuery {
    std::string file; // Body of a submission. "-" is standard input.
    std::string queue;
    std::string tenant; // Empty: none, for a queue that is open to all.
    std::string node;   // HOST:PORT, peers' address of any node.
    TimeMs      timeoutMs = 5'000;
    bool        isJson = false;
};

// Prints where the job would be placed now, without submitting it. Exit codes: done, or 1 with an error on
// standard error.
auto printWhere(const WhereQuery &query) -> int;

} // namespace peridotwalk
