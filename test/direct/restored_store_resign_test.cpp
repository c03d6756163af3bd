// As restored_store_test, with leaders that resign and servers that restart under their ids.

#include "one_owner_property.h"

using namespace figreach;
using namespace figreach::direct;
using namespace figreach::direct::test;

TEST_GROUP(restored_store_resign_test){};

/// Guards against an earlier wait being cut short by a resignation in the new era.
TEST(restored_store_resign_test, one_owner_when_leaders_resign_and_the_store_goes_back)
{
    CHECK_PROPERTY("one owner, rising fences, and all keys owned in the end",
                   [](std::uint64_t seed) {
                       require_one_owner({.store_restored = true,
                                          .leaders_resign = true,
                                          .authority = outage_authority,
                                          .calm = seconds{30}},
                                         seed);
                   });
}
