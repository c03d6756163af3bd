// Keys after the last fault, without load.

#include "../property.h"
#include "key_grant_simulation.h"

using namespace figreach;
using namespace figreach::direct;
using namespace figreach::direct::test;

namespace {

/// The next fence of the table after a calm time; it rises with each change of the table.
std::uint64_t fence_after(std::uint64_t seed, milliseconds calm)
{
    key_grant_simulation simulation{{.seed = seed, .calm = calm}};
    simulation.run();
    return simulation.table().next_fence;
}

} // namespace

TEST_GROUP(keys_at_rest_test){};

/// Guards against keys that change owners again and again though nothing asks for them.
TEST(keys_at_rest_test, keys_stay_where_they_are_once_faults_have_ended)
{
    constexpr std::uint64_t seeds = 30;
    std::uint32_t moving = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        moving += fence_after(seed, seconds{20}) != fence_after(seed, seconds{40}) ? 1U : 0U;
    }
    CHECK_EQUAL(0, moving);
}
