// Leaders that take over and resign while an earlier one goes on without the store.

#include "one_owner_property.h"

using namespace figreach;
using namespace figreach::direct;
using namespace figreach::direct::test;

TEST_GROUP(successive_leaders_test){};

/// Guards against forgetting the wait for a leader without the store when its successor resigns.
TEST(successive_leaders_test, one_owner_when_a_successor_resigns)
{
    CHECK_PROPERTY(
        "one owner, rising fences, and all keys owned in the end", [](std::uint64_t seed) {
            require_one_owner(
                {.leaders_resign = true, .authority = outage_authority, .calm = seconds{30}}, seed);
        });
}
