#include "../property.h"
#include "key_grant_simulation.h"

using namespace figreach;
using namespace figreach::direct;
using namespace figreach::direct::test;

TEST_GROUP(restarted_server_test){};

/// Servers start again under their ids. Leaders learn of that at different times, and their orders
/// reach the next life before.
TEST(restarted_server_test, one_owner_while_leaders_do_not_know_that_a_server_restarted)
{
    CHECK_PROPERTY(
        "one owner, rising fences, and all keys owned in the end", [](std::uint64_t seed) {
            key_grant_simulation simulation{{.seed = seed, .longest_news = milliseconds{2000}}};
            simulation.run();
            RC_ASSERT(simulation.double_owners == 0U);
            RC_ASSERT(simulation.fences_not_above == 0U);
            RC_ASSERT(simulation.unowned_for_a_second() == 0U);
        });
}
