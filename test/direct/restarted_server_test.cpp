// A backend server starts again under its id and address, and its entry shows that later.

#include "../property.h"
#include "key_grant_simulation.h"

using namespace figreach;
using namespace figreach::direct;
using namespace figreach::direct::test;

TEST_GROUP(restarted_server_test){};

/// Guards against giving away keys that the new lifetime got by a renewal meant for the former one.
TEST(restarted_server_test, one_owner_when_the_entry_of_a_restarted_server_is_late)
{
    CHECK_PROPERTY("one owner, rising fences, and all keys owned in the end",
                   [](std::uint64_t seed) {
                       key_grant_simulation simulation{
                           {.seed = seed, .longest_entry_delay = milliseconds{2000}}};
                       simulation.run();
                       RC_ASSERT(simulation.double_owners == 0U);
                       RC_ASSERT(simulation.fences_not_above == 0U);
                       RC_ASSERT(simulation.unowned_for_a_second() == 0U);
                   });
}
