#include "figreach/direct/takeover.h"

#include "../property.h"
#include "key_grant_simulation.h"

using namespace figreach;
using namespace figreach::direct;
using namespace figreach::direct::test;

namespace {

constexpr milliseconds last_grant{3356}; ///< order time-out, hold of 2.8 s, 2 % clock drift, margin

struct wait_row {
    const char* name;
    leader_term former;
    bool was_self;
    milliseconds wait;
};

const wait_row wait_rows[] = {
    {"no earlier leader", {}, false, milliseconds{0}},
    {"it may still lead", {.term = 3, .host = {"h2"}}, false, last_grant + outage_authority},
    {"it has resigned", {.term = 3, .host = {"h2"}, .resigned = true}, false, last_grant},
    {"it has resigned while it waited for another",
     {.term = 3, .host = {"h2"}, .resigned = true, .former_orders = milliseconds{9000}},
     false,
     milliseconds{9000}},
    {"this process led", {.term = 3, .host = {"h1"}}, true, last_grant},
    {"it gave longer grants",
     {.term = 3, .host = {"h2"}, .resigned = true, .hold = milliseconds{3800}},
     false,
     last_grant + milliseconds{1020}},
};

} // namespace

TEST_GROUP(takeover_test){};

TEST(takeover_test, waits_for_grants_that_earlier_leaders_may_have_given)
{
    for (const auto& row : wait_rows) {
        CHECK_EQUAL_TEXT(row.wait.count(), former_orders_wait(row.former, row.was_self, {}).count(),
                         row.name);
    }
}
