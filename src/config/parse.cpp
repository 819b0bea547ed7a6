#include "config/config.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <limits>
#include <set>

namespace peridotwalk {

namespace {

constexpr std::string_view kBlank = " \t";

// A word of a line and the column at which it starts.
struct Word {
    std::string_view text;
    std::size_t      column = 1;
};

// One "name=value" of a line. AttributeReader sets `isUsed` when the attribute is read by name.
struct Attribute {
    std::string_view name;
    std::string_view value;
    std::size_t      column = 1;
    bool             isUsed = false;
};

auto isNameCharacter(char character) -> bool
{
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
        || (character >= '0' && character <= '9') || character == '-' || character == '_'
        || character == '.';
}

auto isName(std::string_view text) -> bool
{
    return !text.empty() && text.size() <= kMaxRuleNameBytes
        && std::ranges::all_of(text, isNameCharacter);
}

auto splitWords(std::string_view text) -> std::vector<Word>
{
    auto words = std::vector<Word>();
    auto position = text.find_first_not_of(kBlank);
    while (position != std::string_view::npos) {
        const auto end = std::min(text.find_first_of(kBlank, position), text.size());
        words.push_back({text.substr(position, end - position), position + 1});
        position = text.find_first_not_of(kBlank, end);
    }
    return words;
}

// Reads the attributes of one line by name and type. Keeps the first error.
class AttributeReader
{
public:
    AttributeReader(std::span<const Word> words, std::size_t line) : line_(line)
    {
        for (const auto &word : words) {
            readWord(word);
        }
    }

    auto text(std::string_view name, bool isRequired) -> std::string
    {
        auto *attribute = consume(name);
        if (attribute == nullptr) {
            if (isRequired) {
                fail(1, fmt::format("attribute '{}' is missing", name));
            }
            return {};
        }
        if (!isName(attribute->value)) {
            fail(attribute->column, fmt::format("'{}' is no name", attribute->value));
        }
        return std::string(attribute->value);
    }

    auto integer(std::string_view name, std::int64_t fallback, std::int64_t low, std::int64_t high)
        -> std::int64_t
    {
        auto *attribute = consume(name);
        if (attribute == nullptr) {
            return fallback;
        }
        const auto value = parseInteger(attribute->value);
        if (!value || *value < low || *value > high) {
            fail(attribute->column,
                 fmt::format("'{}' takes a whole number from {} to {}", name, low, high));
        }
        return value.value_or(fallback);
    }

    auto number(std::string_view name, double fallback, double low, double high) -> double
    {
        auto *attribute = consume(name);
        if (attribute == nullptr) {
            return fallback;
        }
        const auto text = attribute->value;
        auto       value = fallback;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        const auto isNumber = error == std::errc() && end == text.data() + text.size();
        if (!isNumber || !(value >= low && value <= high)) {
            fail(attribute->column,
                 fmt::format("'{}' takes a number from {} to {}", name, low, high));
        }
        return value;
    }

    auto flag(std::string_view name) -> bool
    {
        auto *attribute = consume(name);
        if (attribute == nullptr || attribute->value == "no") {
            return false;
        }
        if (attribute->value != "yes") {
            fail(attribute->column, fmt::format("'{}' takes yes or no", name));
        }
        return true;
    }

    auto require(std::string_view name) -> void
    {
        if (std::ranges::find(attributes_, name, &Attribute::name) == attributes_.end()) {
            fail(1, fmt::format("attribute '{}' is missing", name));
        }
    }

    // Returns the first error. An attribute that wasn't read is an unknown attribute.
    auto finish() -> std::optional<RuleError>
    {
        for (const auto &attribute : attributes_) {
            if (!attribute.isUsed) {
                fail(attribute.column, fmt::format("unknown attribute '{}'", attribute.name));
            }
        }
        return error_;
    }

    auto fail(std::size_t column, std::string reason) -> void
    {
        if (!error_) {
            error_ = RuleError{line_, column, std::move(reason)};
        }
    }

private:
    auto readWord(const Word &word) -> void
    {
        const auto equals = word.text.find('=');
        if (equals == std::string_view::npos || equals == 0) {
            fail(word.column, fmt::format("'{}' is not name=value", word.text));
            return;
        }
        const auto name = word.text.substr(0, equals);
        if (std::ranges::find(attributes_, name, &Attribute::name) != attributes_.end()) {
            fail(word.column, fmt::format("attribute '{}' is given twice", name));
        }
        attributes_.push_back({name, word.text.substr(equals + 1), word.column});
    }

    auto consume(std::string_view name) -> Attribute *
    {
        const auto found = std::ranges::find(attributes_, name, &Attribute::name);
        if (found == attributes_.end()) {
            return nullptr;
        }
        found->isUsed = true;
        return &*found;
    }

    std::size_t              line_;
    std::vector<Attribute>   attributes_;
    std::optional<RuleError> error_;
};

constexpr std::int64_t kMaxTimeLimitMs = 600'000;
constexpr std::int64_t kMaxCount = 1'000'000;
constexpr double       kMaxShare = 1'000'000;

auto readZone(AttributeReader &reader, std::string name) -> RuleBody
{
    return ZoneRule{std::move(name), reader.text("region", true), reader.flag("out")};
}

auto readPool(AttributeReader &reader, std::string name) -> RuleBody
{
    const auto kind = reader.text("kind", true);
    if (kind != "runner" && kind != "worker") {
        reader.fail(1, "'kind' takes runner or worker");
    }
    return PoolRule{std::move(name), kind == "worker" ? InstanceKind::Worker : InstanceKind::Runner,
                    reader.number("budget", PoolRule{}.budget, 0, 1), reader.flag("spare")};
}

auto readService(AttributeReader &reader, std::string name) -> RuleBody
{
    const auto defaults = ServiceRule{};
    return ServiceRule{std::move(name), reader.text("pool", true), reader.flag("open"),
                       reader.integer("time_limit_ms", defaults.timeLimitMs, 1, kMaxTimeLimitMs),
                       reader.integer("queue_cap", defaults.queueCap, 0, kMaxCount)};
}

auto readTeam(AttributeReader &reader, std::string name) -> RuleBody
{
    reader.require("limit");
    constexpr auto kMinShare = 1e-6;
    return TeamRule{std::move(name), reader.number("share", TeamRule{}.share, kMinShare, kMaxShare),
                    reader.integer("limit", 0, 0, kMaxCount)};
}

auto readKey(AttributeReader &reader, std::string name) -> RuleBody
{
    auto rule = KeyRule{std::move(name), reader.text("team", true), reader.text("sha256", true)};
    const auto isHex = rule.sha256.find_first_not_of("0123456789abcdef") == std::string::npos;
    constexpr std::size_t kSha256HexDigits = 64;
    if (!isHex || rule.sha256.size() != kSha256HexDigits) {
        reader.fail(1, "'sha256' takes 64 lower-case hexadecimal digits");
    }
    return rule;
}

auto readInstance(AttributeReader &reader, std::string name) -> RuleBody
{
    auto rule = InstanceRule{};
    rule.name = std::move(name);
    rule.zone = reader.text("zone", true);
    rule.rack = reader.text("rack", true);
    rule.pool = reader.text("pool", true);
    rule.slots = reader.integer("slots", rule.slots, 1, kMaxCount);
    rule.cpus = reader.integer("cpus", rule.cpus, 0, kMaxCount);
    rule.memoryMb = reader.integer("memory_mb", rule.memoryMb, 0, std::numeric_limits<int>::max());
    rule.accelerators = reader.integer("accelerators", rule.accelerators, 0, kMaxCount);
    rule.isDraining = reader.flag("drain");
    rule.maintainedDay = reader.integer("maintained_day", rule.maintainedDay, 0, kMaxCount);
    return rule;
}

auto readPlan(AttributeReader &reader, std::string name) -> RuleBody
{
    const auto             defaults = PlanRule{};
    constexpr std::int64_t kMaxDays = 3'650;
    return PlanRule{std::move(name), reader.text("pool", true),
                    reader.integer("every_days", defaults.everyDays, 1, kMaxDays),
                    reader.integer("at_once", defaults.atOnce, 1, kMaxCount)};
}

// Reads the attributes of one kind of rule.
struct KindReader {
    std::string_view kind;
    auto(*read)(AttributeReader &, std::string) -> RuleBody;
};

constexpr KindReader kKindReaders[] = {
    {"zone", readZone}, {"pool", readPool},         {"service", readService}, {"team", readTeam},
    {"key", readKey},   {"instance", readInstance}, {"plan", readPlan},
};

auto trimmed(std::string_view text) -> std::string_view
{
    const auto begin = text.find_first_not_of(kBlank);
    if (begin == std::string_view::npos) {
        return {};
    }
    return text.substr(begin, text.find_last_not_of(kBlank) - begin + 1);
}

auto hasControlCharacter(std::string_view text) -> bool
{
    return std::ranges::any_of(text, [](char character) {
        const auto code = static_cast<unsigned char>(character);
        return (code < ' ' && character != '\t') || code == 127;
    });
}

auto checkReferences(const RuleTable &table, std::span<const Rule> rules,
                     std::span<const std::size_t> lines, std::vector<RuleError> &errors) -> void
{
    for (std::size_t index = 0; index < rules.size(); ++index) {
        if (auto reason = findRuleConflict(table, rules[index])) {
            errors.push_back({lines[index], 1, *std::move(reason)});
        }
    }
}

} // namespace

//-----------------------------------------------------------------------------
// [SECTION] Parsing
//-----------------------------------------------------------------------------

auto parseRule(std::string_view line, std::size_t lineNumber) -> std::variant<Rule, RuleError>
{
    if (line.size() > kMaxRuleLineBytes) {
        return RuleError{lineNumber, kMaxRuleLineBytes + 1, "the line is too long"};
    }
    if (hasControlCharacter(line)) {
        return RuleError{lineNumber, 1, "the line holds a control character"};
    }
    const auto hash = line.find('#');
    const auto requester = hash == std::string_view::npos ? "" : trimmed(line.substr(hash + 1));
    if (requester.empty()) {
        return RuleError{lineNumber, line.size() + 1, "a comment on who asked is missing"};
    }
    const auto words = splitWords(line.substr(0, hash));
    if (words.size() < 2 || !isName(words[1].text)) {
        return RuleError{lineNumber, words.size() < 2 ? 1 : words[1].column,
                         "a rule starts with its kind and its name"};
    }
    const auto reader = std::ranges::find(kKindReaders, words[0].text, &KindReader::kind);
    if (reader == std::end(kKindReaders)) {
        return RuleError{lineNumber, words[0].column,
                         fmt::format("unknown kind of rule '{}'", words[0].text)};
    }
    auto attributes = AttributeReader(std::span(words).subspan(2), lineNumber);
    auto rule = Rule{fmt::format("{}/{}", words[0].text, words[1].text), std::string(line),
                     std::string(requester), reader->read(attributes, std::string(words[1].text))};
    if (auto error = attributes.finish()) {
        return *std::move(error);
    }
    return rule;
}

auto parseRules(std::string_view text) -> ParsedRules
{
    auto        parsed = ParsedRules{};
    auto        table = RuleTable();
    auto        lines = std::vector<std::size_t>();
    std::size_t lineNumber = 0;
    for (auto line : splitText(text, '\n')) {
        ++lineNumber;
        if (lineNumber > kMaxRuleLines) {
            parsed.errors.push_back({lineNumber, 1, "the file has too many lines"});
            break;
        }
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        const auto content = trimmed(line);
        if (content.empty() || content.starts_with('#')) {
            continue;
        }
        auto result = parseRule(line, lineNumber);
        if (auto *error = std::get_if<RuleError>(&result)) {
            parsed.errors.push_back(std::move(*error));
            continue;
        }
        auto &rule = std::get<Rule>(result);
        if (table.find(rule.key) != nullptr) {
            parsed.errors.push_back({lineNumber, 1, fmt::format("'{}' stands twice", rule.key)});
            continue;
        }
        table.set(rule, 0);
        lines.push_back(lineNumber);
        parsed.rules.push_back(std::move(rule));
    }
    checkReferences(table, parsed.rules, lines, parsed.errors);
    std::ranges::stable_sort(parsed.errors, {}, &RuleError::line);
    return parsed;
}

auto editRule(std::string_view line, std::string_view attribute, std::string_view value,
              std::string_view requester) -> std::string
{
    auto edited = std::string();
    for (const auto &word : splitWords(line.substr(0, line.find('#')))) {
        if (word.text.substr(0, word.text.find('=')) != attribute) {
            edited += fmt::format("{} ", word.text);
        }
    }
    return fmt::format("{}{}={} # {}", edited, attribute, value, requester);
}

auto formatRuleError(const RuleError &error) -> std::string
{
    return fmt::format("line {}, column {}: {}", error.line, error.column, error.reason);
}

} // namespace peridotwalk
