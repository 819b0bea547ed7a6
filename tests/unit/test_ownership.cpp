// Terms and tokens: a partition keeps its token while it is held without interruption, and gets a new one
// after an interruption.

#include "ownership/ownership.h"

#include <criterion/criterion.h>

using namespace peridotwalk;

Test(ownership, keeps_its_token_while_renewals_are_uninterrupted)
{
    auto       ownership = Ownership({});
    const auto first = ownership.onRenewed(1'000, 1'010, {5, {3, 4}});
    cr_assert_eq(first.acquired.size(), 2U);
    cr_assert_eq(first.acquired.at(3), 5);
    const auto second = ownership.onRenewed(1'700, 1'710, {6, {3}});
    cr_assert(second.acquired.empty());
    cr_assert(second.lost.contains(4));
    cr_assert_eq(ownership.tokens().at(3), 5);
}

Test(ownership, counts_its_term_from_before_the_renewal_was_sent)
{
    const auto settings = OwnershipSettings{};
    auto       ownership = Ownership(settings);
    ownership.onRenewed(1'000, 2'000, {5, {3}});
    cr_assert_eq(ownership.termUntil(), 1'000 + settings.ttlMs - settings.marginMs);
}

Test(ownership, gets_a_new_token_after_an_interruption_in_which_others_may_have_owned)
{
    auto ownership = Ownership({});
    ownership.onRenewed(1'000, 1'010, {5, {3}});
    const auto change = ownership.onRenewed(9'000, 9'010, {8, {3}});
    cr_assert(change.lost.contains(3));
    cr_assert_eq(change.acquired.at(3), 8);
}

// Guards against a service without a scheduler: another member had the partition between two renewals and
// has fenced the old token, so the store refuses everything under it.
Test(ownership, gets_a_new_token_after_a_reassignment_to_another_member_and_back)
{
    auto ownership = Ownership({});
    ownership.onRenewed(1'000, 1'010, {5, {3}});
    cr_assert(ownership.onRenewed(1'450, 1'460, {7, {3}}).isEmpty());
    cr_assert(ownership.unchecked().contains(3));
    const auto change = ownership.onChecked(3, 5, false);
    cr_assert(change.lost.contains(3));
    cr_assert_eq(change.acquired.at(3), 7);
    cr_assert_eq(ownership.tokens().at(3), 7);
}

Test(ownership, keeps_its_token_if_the_store_says_that_it_was_held_throughout)
{
    auto ownership = Ownership({});
    ownership.onRenewed(1'000, 1'010, {5, {3}});
    ownership.onRenewed(1'450, 1'460, {8, {3}});
    cr_assert(ownership.onChecked(3, 5, true).isEmpty());
    cr_assert(ownership.unchecked().empty());
    cr_assert_eq(ownership.tokens().at(3), 5);
}

// Guards against a second token for one takeover: answers on an earlier token come late.
Test(ownership, ignores_answers_on_tokens_that_it_no_longer_has)
{
    auto ownership = Ownership({});
    ownership.onRenewed(1'000, 1'010, {5, {3}});
    ownership.onRenewed(1'450, 1'460, {7, {3}});
    ownership.onChecked(3, 5, false);
    ownership.onRenewed(1'900, 1'910, {8, {3}});
    cr_assert(ownership.onChecked(3, 5, false).isEmpty());
    cr_assert_eq(ownership.tokens().at(3), 7);
}

Test(ownership, keeps_its_token_after_an_outage_in_which_the_group_didnt_change)
{
    auto ownership = Ownership({});
    ownership.onRenewed(1'000, 1'010, {5, {3}});
    const auto change = ownership.onRenewed(9'000, 9'010, {5, {3}});
    cr_assert(change.isEmpty());
    cr_assert_eq(ownership.tokens().at(3), 5);
}

// A reply that is processed late, because the process was suspended, must not lengthen the term.
Test(ownership, a_late_reply_extends_the_term_only_from_its_renewal)
{
    auto ownership = Ownership({});
    ownership.onRenewed(1'000, 1'010, {5, {3}});
    ownership.onRenewed(1'700, 8'000, {5, {3}});
    cr_assert_leq(ownership.termUntil(), 1'700 + 2'500);
}

Test(ownership, gives_everything_up_when_it_leaves)
{
    auto ownership = Ownership({});
    ownership.onRenewed(1'000, 1'010, {5, {3, 4}});
    cr_assert_eq(ownership.leave().lost.size(), 2U);
    cr_assert_eq(ownership.termUntil(), 0);
}
