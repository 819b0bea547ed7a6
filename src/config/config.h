// Rules: the operators' plain text file, one rule a line.
//
//   zone suva-1 region=suva                               # Mere, network desk
//   pool pricing zone=suva-1 kind=runner budget=0.9       # Mere, counter opening hours
//   service price pool=pricing time_limit_ms=2000         # Tomasi, counter staff
//   team counter share=60 limit=40                        # Board minute 12
//   key counter-till team=counter sha256=9f86d0...        # Tomasi, new till
//   instance r1 zone=suva-1 rack=k1 pool=pricing slots=8  # Mere, delivery 7
//   plan weekly pool=pricing every_days=42 at_once=1      # Mere, kernel updates
//
// The comment is compulsory: it says who asked. Each rule has a key, "kind/name", which is unique.
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

enum class InstanceKind { Runner, Worker };

// A data centre. `out` stops every start there.
struct ZoneRule {
    std::string name;          // "suva-1"
    std::string region;        // Attribute region, required.
    bool        isOut = false; // Attribute out=yes|no, default no.
};

// A set of instances that do the same work.
struct PoolRule {
    std::string  name;                        // "pricing"
    InstanceKind kind = InstanceKind::Runner; // Attribute kind=runner|worker, required.
    double       budget = 0.9;                // Attribute budget: smallest available part, 0 to 1.
    bool         isSpare = false;             // Attribute spare=yes|no: lends instances to others.
};

// What callers name in a request. A service on a worker pool takes long tasks.
struct ServiceRule {
    std::string name;                // "price"
    std::string pool;                // Attribute pool, required.
    bool        isOpen = false;      // Attribute open=yes|no: takes requests without a key.
    TimeMs      timeLimitMs = 5'000; // Attribute time_limit_ms: a target ends each request by then.
    std::int64_t queueCap = 1'000;   // Attribute queue_cap: waiting requests per entry.
};

// A customer.
struct TeamRule {
    std::string  name;      // "counter"
    double       share = 1; // Attribute share: weight when all is full, above 0.
    std::int64_t limit = 0; // Attribute limit: most running at once, whole fleet. Required.
};

// A key that callers of one team show.
struct KeyRule {
    std::string name;   // "counter-till"
    std::string team;   // Attribute team, required.
    std::string sha256; // Attribute sha256: hashKey() of the key, required. The key is never kept.
};

// One machine that does work. It belongs to exactly one pool since it has exactly one rule.
struct InstanceRule {
    std::string  name;               // "r1"
    std::string  zone;               // Attribute zone, required.
    std::string  rack;               // Attribute rack, required.
    std::string  pool;               // Attribute pool, required.
    std::int64_t slots = 8;          // Attribute slots: requests at once on a runner.
    std::int64_t cpus = 0;           // Attribute cpus: processors of a worker.
    std::int64_t memoryMb = 0;       // Attribute memory_mb: memory of a worker, MB.
    std::int64_t accelerators = 0;   // Attribute accelerators: of a worker.
    bool         isDraining = false; // Attribute drain=yes|no: gets no new work.
    std::int64_t maintainedDay =
        0; // Attribute maintained_day: end of its last maintenance, days since 1970.
};

// Regular maintenance of all instances of a pool.
struct PlanRule {
    std::string  name;           // "weekly"
    std::string  pool;           // Attribute pool, required.
    std::int64_t everyDays = 42; // Attribute every_days: each instance once in that time.
    std::int64_t atOnce = 1;     // Attribute at_once: most instances out for this plan.
};

using RuleBody =
    std::variant<ZoneRule, PoolRule, ServiceRule, TeamRule, KeyRule, InstanceRule, PlanRule>;

// One line of the rules file.
struct Rule {
    std::string key;       // "pool/pricing"
    std::string text;      // The line as written, comment included.
    std::string requester; // The comment without '#'.
    RuleBody    body;
};

//-----------------------------------------------------------------------------
// [SECTION] Parsing
//-----------------------------------------------------------------------------

constexpr std::size_t kMaxRuleLineBytes = 512;
constexpr std::size_t kMaxRuleLines = 100'000;
constexpr std::size_t kMaxRuleNameBytes = 64;

// A place in the rules file that can't be taken.
struct RuleError {
    std::size_t line = 0;   // 1 is the first line.
    std::size_t column = 0; // 1 is the first byte.
    std::string reason;
};

// Parses one line. `lineNumber` only goes into the error.
auto parseRule(std::string_view line, std::size_t lineNumber) -> std::variant<Rule, RuleError>;

// A whole file after parsing. Take `rules` only if `errors` is empty.
struct ParsedRules {
    std::vector<Rule>      rules;
    std::vector<RuleError> errors;
};

// Parses a file. Empty lines and lines of comment only are passed over.
// Reports every error: bad lines, keys given twice, and names that no rule defines.
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

// A rule in force and the offset of the record that last set it.
struct VersionedRule {
    Rule   rule;
    Offset version = 0;
};

// All rules in force, by key. Queries by kind and name return null if there is no such rule.
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
    auto keyRuleOfHash(std::string_view sha256) const -> std::string_view; // Empty: none has it.
    auto all() const -> const std::map<std::string, VersionedRule, std::less<>> & { return rules_; }

private:
    std::map<std::string, VersionedRule, std::less<>> rules_;
    std::map<std::string, std::string, std::less<>> keyRuleByHash_; // sha256 -> key of the key rule
};

// Returns why `rule` can't stand beside the others of `table`, as one sentence: a name that no
// rule defines, or a key hash that another key rule has already.
auto findRuleConflict(const RuleTable &table, const Rule &rule) -> std::optional<std::string>;

// Returns the key of a rule that still refers to the rule with `key`, if any does.
auto findReferrer(const RuleTable &table, std::string_view key) -> std::optional<std::string>;

//-----------------------------------------------------------------------------
// [SECTION] Differences
//-----------------------------------------------------------------------------

// One edit of one rule. `base` is the version it was made against, 0 for a rule that wasn't there.
struct RuleEdit {
    std::string key;
    std::string line; // The new line. Empty: the rule goes.
    Offset      base = 0;
};

// Returns the edits that turn `table` into `wanted`.
auto diffRules(const RuleTable &table, std::span<const Rule> wanted) -> std::vector<RuleEdit>;

} // namespace peridotwalk
