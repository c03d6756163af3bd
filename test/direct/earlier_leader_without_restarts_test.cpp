// As earlier_leader_test, with servers that do not restart.

#include "../property.h"
#include "key_grant_simulation.h"

using namespace figreach;
using namespace figreach::direct;
using namespace figreach::direct::test;

TEST_GROUP(earlier_leader_without_restarts_test){};

/// Guards against an earlier leader taking its own tables for the present ones.
TEST(earlier_leader_without_restarts_test, one_owner_when_no_server_restarts)
{
    CHECK_PROPERTY("one owner, rising fences, and all keys owned in the end",
                   [](std::uint64_t seed) {
                       key_grant_simulation simulation{{.seed = seed,
                                                        .servers_restart = false,
                                                        .store_restored = true,
                                                        .former_leaders_continue = true,
                                                        .leaders_resign = true,
                                                        .authority = outage_authority,
                                                        .calm = seconds{30}}};
                       simulation.run();
                       RC_ASSERT(simulation.double_owners == 0U);
                       RC_ASSERT(simulation.fences_not_above == 0U);
                       RC_ASSERT(simulation.unowned_for_a_second() == 0U);
                   });
}
