// A leader that was cut off while another led is the first to reach a restored store.

#include "one_owner_property.h"

using namespace figreach;
using namespace figreach::direct;
using namespace figreach::direct::test;

TEST_GROUP(earlier_leader_test){};

/// Guards against an earlier leader taking its own tables for the present ones.
TEST(earlier_leader_test, one_owner_when_an_earlier_leader_is_the_first_in_a_new_era)
{
    CHECK_PROPERTY("one owner, rising fences, and all keys owned in the end",
                   [](std::uint64_t seed) {
                       require_one_owner({.store_restored = true,
                                          .former_leaders_continue = true,
                                          .leaders_resign = true,
                                          .authority = outage_authority,
                                          .calm = seconds{30}},
                                         seed);
                   });
}
