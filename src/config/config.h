// Configuration rules: the operators' plain text file, one rule a line.
//
//   zone suva-1 region=suva                               # Mere, network desk
//   pool pricing kind=runner budget=0.9                   # Mere, counter opening hours
//   service price pool=pricing time_limit_ms=2000         # Tomasi, counter staff
//   team counter share=60 limit=40                        # Board minute 12
//   key counter-till team=counter sha256=9f86d0...        # Tomasi, new till
//   instance r1 zone=suva-1 rack=k1 pool=pricing slots=8  # Mere, delivery 7
//   plan weekly pool=pricing every_days=42 at_once=1      # Mere, kernel updates
//
// The comment is required and names who requested the rule. Each rule has a unique key, "kind/name".
//
// Index of this file
// [SECTION] Rule kinds
// [SECTION] Parsing
// [SECTION] Rule table
// [SECTION] Differences

#pragma once

#include "base/base.h"

#include <map>
#include <span>
#include <variant>

namespace peridotwalk {

//-----------------------------------------------------------------------------
// [SECTION] Rule kinds
//-----------------------------------------------------------------------------

// A comment of a member names its attribute in the rules file. Attributes without a default here
// are required.

enum class InstanceKind { Runner, Worker };

// A data centre. While it is out, nothing new is started there.
struct ZoneRule {
    std::string name;          // "suva-1"
    std::string region;        // region: where the zone is, "suva"
    bool        isOut = false; // out=yes|no: taken out of service.
};

// A set of instances that do the same work.
struct PoolRule {
    std::string  name;                        // "pricing"
    InstanceKind kind = InstanceKind::Runner; // kind=runner|worker, required.
    double       budget = 0.9;                // budget: minimum available fraction, 0 to 1.
    bool         isSpare = false;             // spare=yes|no: instances are spare for other pools.
};

// What callers name in a request. A service on a worker pool accepts long tasks.
struct ServiceRule {
    std::string  name;                // "price"
    std::string  pool;                // pool: where its requests run.
    bool         isOpen = false;      // open=yes|no: accepts requests without a granted key.
    TimeMs       timeLimitMs = 5'000; // time_limit_ms: a target ends each request within that.
    std::int64_t queueCap = 1'000;    // queue_cap: longest pool queue at an entry. 0: refuses all.
};

// A customer.
struct TeamRule {
    std::string  name;      // "counter"
    double       share = 1; // share: weight among teams that compete for a pool, above 0.
    std::int64_t limit = 0; // limit: maximum running at a time in the whole fleet, required.
};

// A key that authenticates callers of one team.
struct KeyRule {
    std::string name;   // "counter-till"
    std::string team;   // team: whose requests the key authenticates.
    std::string sha256; // sha256: hashKey() of the key. The key itself isn't stored.
};

// One runner or worker. It has exactly one rule and so belongs to exactly one pool.
struct InstanceRule {
    std::string  name;               // "r1"
    std::string  zone;               // zone: data centre.
    std::string  rack;               // rack: failure domain inside the zone.
    std::string  pool;               // pool: what it works for.
    std::int64_t slots = 8;          // slots: concurrent requests of a runner.
    std::int64_t cpus = 0;           // cpus: processors of a worker.
    std::int64_t memoryMb = 0;       // memory_mb: memory of a worker, MB.
    std::int64_t accelerators = 0;   // accelerators: number in a worker.
    bool         isDraining = false; // drain=yes|no: no new work is started on it.
    // maintained_day: when its last maintenance ended, days since 1970. 0: never maintained.
    std::int64_t maintainedDay = 0;
};

// Regular maintenance of all instances of a pool.
struct PlanRule {
    std::string  name;           // "weekly"
    std::string  pool;           // pool: what is maintained.
    std::int64_t everyDays = 42; // every_days: maintenance interval of each instance.
    std::int64_t atOnce = 1;     // at_once: maximum number of instances out at a time.
};

using RuleBody =
    std::variant<ZoneRule, PoolRule, ServiceRule, TeamRule, KeyRule, InstanceRule, PlanRule>;

// One line of the rules file.
struct Rule {
    std::string key;       // "pool/pricing"
    std::string text;      // The line as written, comment included.
    std::string requester; // Who requested it: the comment without '#'.
    RuleBody    body;
};

//-----------------------------------------------------------------------------
// [SECTION] Parsing
//-----------------------------------------------------------------------------

constexpr std::size_t kMaxRuleLineBytes = 512;
constexpr std::size_t kMaxRuleLines = 100'000;
constexpr std::size_t kMaxRuleNameBytes = 64;

// An error in the rules file and its place.
struct RuleError {
    std::size_t line = 0;   // 1 is the first line.
    std::size_t column = 0; // 1 is the first byte.
    std::string reason;
};

// Parses one line. `lineNumber` is used in the error only.
auto parseRule(std::string_view line, std::size_t lineNumber) -> std::variant<Rule, RuleError>;

// A parsed file. Use `rules` only if `errors` is empty.
struct ParsedRules {
    std::vector<Rule>      rules;
    std::vector<RuleError> errors;
};

// Parses a file. Empty lines and comment lines are skipped.
// Reports every error: malformed lines, duplicate keys, and references to undefined rules.
auto parseRules(std::string_view text) -> ParsedRules;

// Returns the line of a rule with one attribute set and the comment replaced.
//   editRule("zone a region=x # Mere", "out", "yes", "Tomasi") == "zone a region=x out=yes # Tomasi"
auto editRule(std::string_view line, std::string_view attribute, std::string_view value,
              std::string_view requester) -> std::string;

// Formats "line 3, column 14: unknown attribute 'shar'".
auto formatRuleError(const RuleError &error) -> std::string;

//-----------------------------------------------------------------------------
// [SECTION] Rule table
//-----------------------------------------------------------------------------

// An active rule and the offset of the record that last set it.
struct VersionedRule {
    Rule   rule;
    Offset version = 0;
};

// All active rules, by key. Queries by kind and name return null if there is no such rule.
class RuleTable
{
public:
    // Commands.
    auto set(Rule rule, Offset version) -> void;
    auto erase(std::string_view key) -> void;

    // Queries.
    auto find(std::string_view key) const -> const VersionedRule *;
    auto zone(std::string_view name) const -> const ZoneRule *;
    auto pool(std::string_view name) const -> const PoolRule *;
    auto service(std::string_view name) const -> const ServiceRule *;
    auto team(std::string_view name) const -> const TeamRule *;
    auto instance(std::string_view name) const -> const InstanceRule *;
    auto teamOfKeyHash(std::string_view sha256) const -> const TeamRule *;
    auto keyRuleOfHash(std::string_view sha256) const -> std::string_view; // Empty: unknown hash.
    auto all() const -> const std::map<std::string, VersionedRule, std::less<>> & { return rules_; }

private:
    std::map<std::string, VersionedRule, std::less<>> rules_;
    std::map<std::string, std::string, std::less<>> keyRuleByHash_; // sha256 -> key of the key rule
};

// Returns why `rule` conflicts with `table`, as one sentence: it refers to an undefined rule, or
// its key hash belongs to another key rule already.
auto findRuleConflict(const RuleTable &table, const Rule &rule) -> std::optional<std::string>;

// Returns the key of some rule that refers to the rule with `key`, if there is one.
auto findReferrer(const RuleTable &table, std::string_view key) -> std::optional<std::string>;

//-----------------------------------------------------------------------------
// [SECTION] Differences
//-----------------------------------------------------------------------------

// One edit of one rule.
struct RuleEdit {
    std::string key;
    std::string line;     // The new line. Empty: the rule is deleted.
    Offset      base = 0; // Version that the edit is based on. 0: the rule didn't exist.
};

// Returns the edits that turn `table` into `wanted`.
auto diffRules(const RuleTable &table, std::span<const Rule> wanted) -> std::vector<RuleEdit>;

} // namespace peridotwalk
