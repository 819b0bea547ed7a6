// Random input for every parser of external data. The seed and the number of cases are fixed.

#include "config/config.h"
#include "entry/entry.h"
#include "fleet/fleet.h"
#include "peer/peer.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace peridotwalk;

namespace {

// Checks a property with a fixed seed and number of cases.
template <typename Property>
auto propertyHolds(const std::string &description, Property property) -> bool
{
    auto parameters = rc::detail::TestParams{};
    parameters.seed = 20'261'204;
    parameters.maxSuccess = 2'000;
    auto metadata = rc::detail::TestMetadata{};
    metadata.id = description;
    metadata.description = description;
    const auto result = rc::detail::checkTestable(property, metadata, parameters);
    return result.template is<rc::detail::SuccessResult>();
}

auto decodeAll(FrameDecoder &decoder) -> void
{
    while (true) {
        const auto next = decoder.next();
        if (!next.ok() || !*next) {
            return;
        }
    }
}

} // namespace

Test(fuzz, frames_of_random_bytes_are_refused)
{
    cr_assert(propertyHolds("random bytes", [](const std::string &bytes) {
        auto decoder = FrameDecoder();
        decoder.append(bytes);
        decodeAll(decoder);
    }));
}

Test(fuzz, frames_with_one_wrong_byte_never_crash)
{
    auto claim = Claim{};
    claim.id = "z0/0190b8a4-0000-7000-8000-000000000001";
    const auto frame = encodeFrame(ClaimSync{7, 0, 1, {claim}, {}});
    cr_assert(propertyHolds("one wrong byte", [&](std::size_t position, char byte) {
        auto changed = frame;
        changed[position % changed.size()] = byte;
        auto decoder = FrameDecoder();
        decoder.append(changed);
        decodeAll(decoder);
    }));
}

Test(fuzz, frames_arrive_complete_however_they_are_split)
{
    cr_assert(propertyHolds(
        "split frames", [](const std::string &key, std::int64_t wanted, std::size_t split) {
            const auto frame = encodeFrame(UnitsWanted{{{key, wanted}}});
            const auto first = split % (frame.size() + 1);
            auto       decoder = FrameDecoder();
            decoder.append(std::string_view(frame).substr(0, first));
            const auto early = decoder.next();
            RC_ASSERT(early.ok());
            RC_ASSERT(early->has_value() == (first == frame.size()));
            decoder.append(std::string_view(frame).substr(first));
            const auto late = first == frame.size() ? early : decoder.next();
            RC_ASSERT(late.ok() && late->has_value());
            RC_ASSERT(std::get<UnitsWanted>(**late).requests[0].resource == key);
        }));
}

Test(fuzz, oversized_and_foreign_frames_close_the_connection)
{
    auto decoder = FrameDecoder();
    decoder.append(std::string("\x7f\xff\xff\xff", 4));
    cr_assert_not(decoder.next().ok());
    // 4 bytes: an array of version 99, message number 0 and an empty array of fields.
    auto foreign = FrameDecoder();
    foreign.append(std::string("\x00\x00\x00\x04\x93\x63\x00\x90", 8));
    cr_assert_not(foreign.next().ok(), "another version");
}

Test(fuzz, parsers_of_rules_records_and_settings_handle_any_text)
{
    cr_assert(propertyHolds("any text", [](const std::string &text) {
        parseRules(text);
        parseRule("team t limit=1 " + text + " # x", 1);
        RC_ASSERT(!decodeRecord(text).ok());
        RC_ASSERT(!parseEntrySettings(text).errors.empty());
        auto state = FleetState();
        RC_ASSERT(!state.restore(text).ok());
    }));
}

Test(fuzz, a_rule_that_parses_parses_again)
{
    cr_assert(propertyHolds("rules", [](std::uint16_t limit, const std::string &requester) {
        const auto line = "team t limit=" + std::to_string(limit) + " # " + requester;
        const auto first = parseRule(line, 1);
        if (const auto *rule = std::get_if<Rule>(&first)) {
            RC_ASSERT(std::get<Rule>(parseRule(rule->text, 1)).key == rule->key);
        }
    }));
}
