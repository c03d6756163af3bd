// As restored_store_test, with leaders that resign and servers that restart under their ids.

#include "../property.h"
#include "key_grant_simulation.h"

using namespace figreach;
using namespace figreach::direct;
using namespace figreach::direct::test;

TEST_GROUP(restored_store_resign_test){};

/// Guards against an earlier wait being cut short by a resignation in the new era.
TEST(restored_store_resign_test, one_owner_when_leaders_resign_and_the_store_goes_back)
{
    CHECK_PROPERTY("one owner, rising fences, and all keys owned in the end",
                   [](std::uint64_t seed) {
                       key_grant_simulation simulation{{.seed = seed,
                                                        .store_restored = true,
                                                        .leaders_resign = true,
                                                        .authority = outage_authority,
                                                        .calm = seconds{30}}};
                       simulation.run();
                       RC_ASSERT(simulation.double_owners == 0U);
                       RC_ASSERT(simulation.fences_not_above == 0U);
                       RC_ASSERT(simulation.unowned_for_a_second() == 0U);
                   });
}
