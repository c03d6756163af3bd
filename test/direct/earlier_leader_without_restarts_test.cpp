// As earlier_leader_test, with servers that do not restart.

#include "one_owner_property.h"

using namespace figreach;
using namespace figreach::direct;
using namespace figreach::direct::test;

TEST_GROUP(earlier_leader_without_restarts_test){};

/// Guards against an earlier leader taking its own tables for the present ones.
TEST(earlier_leader_without_restarts_test, one_owner_when_no_server_restarts)
{
    CHECK_PROPERTY("one owner, rising fences, and all keys owned in the end",
                   [](std::uint64_t seed) {
                       require_one_owner({.servers_restart = false,
                                          .store_restored = true,
                                          .former_leaders_continue = true,
                                          .leaders_resign = true,
                                          .authority = outage_authority,
                                          .calm = seconds{30}},
                                         seed);
                   });
}
