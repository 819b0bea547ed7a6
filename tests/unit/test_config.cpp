// Parsing of rules: what is accepted, what is rejected, and the position of errors.

#include "config/config.h"

#include <criterion/criterion.h>

using namespace peridotwalk;

namespace {

auto errorOf(std::string_view line) -> RuleError
{
    auto        parsed = parseRule(line, 7);
    const auto *error = std::get_if<RuleError>(&parsed);
    return error == nullptr ? RuleError{} : *error;
}

} // namespace

Test(rules, accepts_a_whole_file)
{
    const auto parsed = parseRules("# Who runs this: network desk\n"
                                   "\n"
                                   "zone a region=r  # Mere\n"
                                   "pool p kind=runner budget=0.5  # Mere\r\n"
                                   "instance i zone=a rack=k pool=p slots=4  # Mere\n");
    cr_assert(parsed.errors.empty());
    cr_assert_eq(parsed.rules.size(), 3U);
    cr_assert_eq(std::get<InstanceRule>(parsed.rules[2].body).slots, 4);
    cr_assert_eq(parsed.rules[1].requester, "Mere");
}

Test(rules, reports_line_column_and_reason)
{
    cr_assert_eq(formatRuleError(errorOf("zone a region=x")),
                 "line 7, column 16: a comment on who asked is missing");
    cr_assert_eq(formatRuleError(errorOf("zone a region=x colour=red # Mere")),
                 "line 7, column 17: unknown attribute 'colour'");
    cr_assert_eq(errorOf("region a # Mere").reason, "unknown kind of rule 'region'");
    cr_assert_eq(errorOf("team t share=1 # Mere").reason, "attribute 'limit' is missing");
    cr_assert_eq(errorOf("team t limit=9 limit=9 # Mere").reason,
                 "attribute 'limit' is given twice");
    cr_assert_eq(errorOf("team t limit=-1 # Mere").column, 8U);
    cr_assert_eq(errorOf("zone a\x01 region=x # Mere").reason,
                 "the line holds a control character");
    cr_assert_eq(errorOf(std::string(600, 'z')).reason, "the line is too long");
}

Test(rules, reports_all_errors_of_a_file)
{
    const auto parsed = parseRules("zone a region=r # Mere\n"
                                   "zone a region=r # Mere\n"
                                   "instance i zone=b rack=k pool=p # Mere\n"
                                   "nonsense\n");
    cr_assert_eq(parsed.errors.size(), 3U);
    cr_assert_eq(parsed.errors[1].reason, "there is no zone 'b'");
}

Test(rules, rejects_a_duplicate_key_hash)
{
    const auto hash = hashKey("secret");
    const auto parsed = parseRules("team t limit=1 # Mere\n"
                                   "key one team=t sha256="
                                   + hash
                                   + " # Mere\n"
                                     "key two team=t sha256="
                                   + hash + " # Mere\n");
    cr_assert_eq(parsed.errors.size(), 1U);
}

Test(rules, edits_one_attribute_and_the_comment)
{
    cr_assert_eq(editRule("zone a region=x # Mere", "out", "yes", "Tomasi"),
                 "zone a region=x out=yes # Tomasi");
    cr_assert_eq(editRule("zone a out=no region=x # Mere", "out", "yes", "Tomasi"),
                 "zone a region=x out=yes # Tomasi");
}
