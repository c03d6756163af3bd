#include "one_owner_property.h"

using namespace figreach;
using namespace figreach::direct;
using namespace figreach::direct::test;

TEST_GROUP(restarted_server_test){};

/// Servers start again under their ids. Leaders learn of that at different times, and their orders
/// reach the next life before.
TEST(restarted_server_test, one_owner_while_leaders_do_not_know_that_a_server_restarted)
{
    CHECK_PROPERTY(
        "one owner, rising fences, and all keys owned in the end",
        [](std::uint64_t seed) { require_one_owner({.longest_news = milliseconds{2000}}, seed); });
}
