#include "figreach/direct/takeover.h"

#include "../property.h"
#include "key_grant_simulation.h"

using namespace figreach;
using namespace figreach::direct;
using namespace figreach::direct::test;

namespace {

constexpr milliseconds last_grant{3356}; ///< order time-out, hold of 2.8 s, 2 % clock drift, margin

struct wait_row {
    const char* name = "";
    predecessor former;
    milliseconds wait{0};
    store_era era{};
};

constexpr store_era second_era{2};
constexpr std::uint64_t term_of_second_era = std::uint64_t{2} << 32U;

const wait_row wait_rows[] = {
    {"no earlier leader", {}, milliseconds{0}},
    {"it may still lead", {.stored = {.term = 3, .host = {"h2"}}}, last_grant + outage_authority},
    {"it has resigned", {.stored = {.term = 3, .host = {"h2"}, .resigned = true}}, last_grant},
    {"it has resigned while it waited for another",
     {.stored = {.term = 3, .host = {"h2"}, .resigned = true, .former_orders = milliseconds{9000}}},
     milliseconds{9000}},
    {"this process led", {.stored = {.term = 3, .host = {"h1"}}, .was_self = true}, last_grant},
    {"this process led and handed the term over",
     {.stored = {.term = 3, .host = {"h1"}}, .was_self = true, .handed_over_term = 3},
     last_grant + outage_authority},
    {"this process has handed over an earlier term",
     {.stored = {.term = 3, .host = {"h1"}}, .was_self = true, .handed_over_term = 2},
     last_grant},
    {"it gave longer grants",
     {.stored = {.term = 3, .host = {"h2"}, .resigned = true, .hold = milliseconds{3800}}},
     last_grant + milliseconds{1020}},
    {"a resignation in an earlier era, after which terms may be lost",
     {.stored = {.term = 3, .host = {"h2"}, .resigned = true}},
     last_grant + outage_authority,
     second_era},
    {"this process led in an earlier era",
     {.stored = {.term = 3, .host = {"h1"}}, .was_self = true},
     last_grant + outage_authority,
     second_era},
    {"a resignation in this era",
     {.stored = {.term = term_of_second_era, .host = {"h2"}, .resigned = true}},
     last_grant,
     second_era},
    {"a resignation before a term that the store has lost",
     {.stored = {.term = 3, .host = {"h2"}, .resigned = true}, .known_term = 4},
     last_grant + outage_authority},
    {"the store has lost all terms", {.known_term = 4}, last_grant + outage_authority},
    // Guards against two owners: a host that starts into a restored store knows no term either.
    {"the store has lost all terms and this process has just started",
     {},
     last_grant + outage_authority,
     second_era},
};

struct number_row {
    const char* name = "";
    std::uint64_t latest = 0;
    store_era era{};
    std::uint64_t next = 0;
};

const number_row number_rows[] = {
    {"the first term", 0, store_era{0}, 1},
    {"the next term", 7, store_era{0}, 8},
    {"the first term of an era", 7, second_era, term_of_second_era},
    {"the next term of an era", term_of_second_era, second_era, term_of_second_era + 1},
    {"a term of a later era than the store's", term_of_second_era, store_era{1},
     term_of_second_era + 1},
};

struct adopted_row {
    const char* name = "";
    std::optional<std::uint64_t> next_fence; ///< of the stored table; empty if there is none
    store_era era{};
    bool trusted = false; ///< whether the stored owners are the present ones
};

const adopted_row adopted_rows[] = {
    {"a table of a store without eras", 8, store_era{0}, true},
    {"a table of this era", term_of_second_era + 8, second_era, true},
    {"a table of an earlier era", 8, second_era, false},
    {"no table", std::nullopt, store_era{0}, false},
    {"no table in a later era", std::nullopt, second_era, false},
};

struct claim_row {
    const char* name = "";
    leader_term stored;
    bool is_own = false;
    own_claims claims;
    std::uint64_t former = 0; ///< number of the term before the claim
};

const leader_term replaced_term{.term = 3, .host = {"h2"}};

const claim_row claim_rows[] = {
    {"another host led", {.term = 5, .host = {"h3"}}, false, {}, 5},
    {"this process led", {.term = 5, .host = {"h1"}}, true, {.led_term = 5}, 5},
    {"an unanswered claim took effect",
     {.term = 4, .host = {"h1"}},
     true,
     {.led_term = 0, .replaced = replaced_term},
     3},
    {"an unanswered claim took effect after a term of this process",
     {.term = 4, .host = {"h1"}},
     true,
     {.led_term = 2, .replaced = replaced_term},
     3},
    {"an unanswered claim had no effect",
     {.term = 4, .host = {"h3"}},
     false,
     {.led_term = 2, .replaced = replaced_term},
     4},
};

} // namespace

TEST_GROUP(takeover_test){};

/// Guards against two owners: a host that claims the lead twice takes its first claim, whose answer
/// was lost, for a term in which it led, and waits for no grants of the leader before.
TEST(takeover_test, a_claim_without_an_answer_is_no_term_that_was_led)
{
    for (const auto& row : claim_rows) {
        CHECK_EQUAL_TEXT(row.former, former_term(row.stored, row.is_own, row.claims).term,
                         row.name);
    }
}

TEST(takeover_test, waits_for_grants_that_earlier_leaders_may_have_given)
{
    for (const auto& row : wait_rows) {
        CHECK_EQUAL_TEXT(row.wait.count(), former_orders_wait(row.former, row.era, {}).count(),
                         row.name);
    }
}

TEST(takeover_test, numbers_of_an_era_are_above_those_of_earlier_eras)
{
    for (const auto& row : number_rows) {
        CHECK_EQUAL_TEXT(row.next, next_term(row.latest, row.era), row.name);
        CHECK_TRUE_TEXT(row.next >= first_number_of(row.era), row.name);
    }
}

TEST(takeover_test, owners_in_a_table_of_an_earlier_era_are_unknown)
{
    for (const auto& row : adopted_rows) {
        std::optional<key_table> stored;
        if (row.next_fence) {
            stored = make_key_table({"lessons"});
            stored->ranges.front().owner = {"a"};
            stored->ranges.front().fence = *row.next_fence - 1;
            stored->next_fence = *row.next_fence;
        }
        const auto adopted = adopt_table({"lessons"}, stored, row.era);
        CHECK_TRUE_TEXT(covers_all_keys(adopted), row.name);
        CHECK_TRUE_TEXT(adopted.next_fence > first_number_of(row.era), row.name);
        const auto& range = adopted.ranges.front();
        CHECK_EQUAL_TEXT(row.trusted, !range.owner.empty(), row.name);
        CHECK_EQUAL_TEXT(row.trusted, !range.moving, row.name);
        CHECK_EQUAL_TEXT(row.trusted, stored && adopted == *stored, row.name);
    }
}
