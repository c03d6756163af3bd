#pragma once

#include "../property.h"
#include "key_grant_simulation.h"

namespace figreach::direct::test {

/// Plays one seed. Fails the property if two servers held a key, a fence did not rise, or a key has
/// no owner in the end.
inline void require_one_owner(simulation_settings settings, std::uint64_t seed)
{
    settings.seed = seed;
    key_grant_simulation simulation{settings};
    simulation.run();
    RC_ASSERT(simulation.double_owners == 0U);
    RC_ASSERT(simulation.fences_not_above == 0U);
    RC_ASSERT(simulation.unowned_for_a_second() == 0U);
}

} // namespace figreach::direct::test
