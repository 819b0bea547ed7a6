// Replicated state: races of operators, idempotent records, members and the grants of limits.

#include "fleet/fleet.h"

#include <criterion/criterion.h>

using namespace peridotwalk;

namespace {

auto change(std::string id, std::vector<RuleEdit> edits) -> ConfigChange
{
    return {std::move(id), "mere", std::move(edits)};
}

auto join(const Incarnation &incarnation) -> MemberJoin
{
    auto member = Member{};
    member.incarnation = incarnation;
    member.zone = "a";
    member.rack = "k-" + incarnation;
    return {"join/" + incarnation, member};
}

auto granted(const FleetState &state, std::string_view team) -> std::int64_t
{
    std::int64_t sum = 0;
    for (const auto &[member, units] : state.grantsOf(team)->grants) {
        sum += units;
    }
    return sum + state.grantsOf(team)->pot;
}

} // namespace

Test(fleet_state, the_loser_of_a_race_changes_nothing)
{
    auto state = FleetState();
    cr_assert(state.apply(1, change("c1", {{"zone/a", "zone a region=x # Mere", 0}})).isApplied);
    cr_assert(state.apply(2, change("c2", {{"zone/a", "zone a region=y # Ana", 1}})).isApplied);
    const auto lost = state.apply(3, change("c3", {{"zone/a", "zone a region=z # Tomasi", 1}}));
    cr_assert_not(lost.isApplied);
    cr_assert_eq(state.rules().zone("a")->region, "y");
    cr_assert_eq(state.applied(), 3);
}

Test(fleet_state, a_change_is_applied_as_a_whole_or_not_at_all)
{
    auto       state = FleetState();
    const auto result = state.apply(1,
                                    change("c1",
                                           {{"zone/a", "zone a region=x # Mere", 0},
                                            {"plan/p", "plan p pool=none # Mere", 0}}));
    cr_assert_not(result.isApplied);
    cr_assert_null(state.rules().zone("a"));
}

Test(fleet_state, a_record_appended_twice_counts_once)
{
    auto       state = FleetState();
    const auto create = change("c1", {{"zone/a", "zone a region=x # Mere", 0}});
    cr_assert(state.apply(1, create).isApplied);
    cr_assert(state.apply(2, change("c2", {{"zone/a", "", 1}})).isApplied);
    cr_assert_not(state.apply(3, create).isApplied);
    cr_assert_null(state.rules().zone("a"));
}

Test(fleet_state, a_rule_in_use_cannot_be_removed)
{
    auto state = FleetState();
    state.apply(1,
                change("c1",
                       {{"team/t", "team t limit=3 # Mere", 0},
                        {"key/k", "key k team=t sha256=" + hashKey("s") + " # Mere", 0}}));
    cr_assert_not(state.apply(2, change("c2", {{"team/t", "", 1}})).isApplied);
    cr_assert_not_null(state.rules().teamOfKeyHash(hashKey("s")));
}

Test(fleet_state, an_instance_moves_only_while_it_drains)
{
    auto state = FleetState();
    state.apply(1,
                change("c1",
                       {{"zone/a", "zone a region=x # Mere", 0},
                        {"pool/p", "pool p kind=runner # Mere", 0},
                        {"pool/q", "pool q kind=runner # Mere", 0},
                        {"instance/i", "instance i zone=a rack=k pool=p # Mere", 0}}));
    const auto moved = "instance i zone=a rack=k pool=q # Mere";
    cr_assert_not(state.apply(2, change("c2", {{"instance/i", moved, 1}})).isApplied);
    const auto drained = "instance i zone=a rack=k pool=p drain=yes # Mere";
    cr_assert(state.apply(3, change("c3", {{"instance/i", drained, 1}})).isApplied);
    cr_assert(state.apply(4, change("c4", {{"instance/i", moved, 3}})).isApplied);
    cr_assert_eq(state.rules().instance("i")->pool, "q");
}

Test(fleet_state, grants_always_add_up_to_the_limit)
{
    auto state = FleetState();
    state.apply(1, change("c1", {{"team/t", "team t limit=7 # Mere", 0}}));
    state.apply(2, join("e1#1"));
    state.apply(3, join("e2#1"));
    cr_assert_eq(granted(state, "t"), 7);
    state.apply(4, change("c2", {{"team/t", "team t limit=2 # Mere", 1}}));
    cr_assert_eq(granted(state, "t"), 2);
    state.apply(5, MemberRemove{"g", "e1#1", "e2#1", RemovalReason::Left, 0});
    cr_assert_eq(granted(state, "t"), 2,
                 "the grant of the removed entry is kept until it is settled");
    state.apply(6, MemberSettle{"s", "e1#1", "e2#1", {{"t", 3, 1}}});
    cr_assert_eq(granted(state, "t"), 2);
    cr_assert_eq(state.grant("t", "e2#1"), 2);
}

Test(fleet_state, a_refuted_suspicion_evicts_nobody)
{
    auto state = FleetState();
    state.apply(1, join("e1#1"));
    state.apply(2, join("e2#1"));
    state.apply(3, MemberSuspect{"s1", "e1#1", "e2#1"});
    state.apply(4, MemberRefute{"r1", "e1#1", "e1#1"});
    cr_assert_not(
        state.apply(5, MemberRemove{"g1", "e1#1", "e2#1", RemovalReason::Silent, 3}).isApplied);
    cr_assert_not_null(state.member("e1#1"));
    cr_assert_not(state.apply(6, MemberJoin{"j", *state.member("e1#1")}).isApplied);
}

Test(fleet_state, a_dump_restores_the_same_state_and_never_an_older_one)
{
    auto state = FleetState();
    state.apply(1, change("c1", {{"team/t", "team t limit=7 # Mere", 0}}));
    state.apply(2, join("e1#1"));
    const auto older = state.dump();
    state.apply(3, change("c2", {{"team/t", "team t limit=9 # Mere", 1}}));
    auto copy = FleetState();
    cr_assert(copy.restore(state.dump()).ok());
    cr_assert_eq(copy.dump(), state.dump());
    cr_assert(copy.restore(older).ok());
    cr_assert_eq(copy.rules().team("t")->limit, 9);
    cr_assert_not(copy.restore("{\"applied\": 99}").ok());
    cr_assert_eq(copy.applied(), 3);
}

Test(records, round_trip_and_reject_invalid_text)
{
    const auto text = encodeRecord(change("c1", {{"zone/a", "zone a region=x # Mere", 4}}));
    const auto decoded = decodeRecord(text);
    cr_assert(decoded.ok());
    cr_assert_eq(std::get<ConfigChange>(*decoded).edits[0].base, 4);
    for (const auto *bad :
         {"", "[]", "{\"kind\":\"tea\",\"body\":{}}", "{\"kind\":\"change\",\"body\":{}}"}) {
        cr_assert_not(decodeRecord(bad).ok());
    }
}
