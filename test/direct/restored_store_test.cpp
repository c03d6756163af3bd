// The store comes back from a copy of itself that is some seconds old.

#include "one_owner_property.h"

using namespace figreach;
using namespace figreach::direct;
using namespace figreach::direct::test;

TEST_GROUP(restored_store_test){};

/// Guards against two owners of a key after a move, a change of leader or a fence was lost.
TEST(restored_store_test, one_owner_and_rising_fences_when_the_store_goes_back)
{
    CHECK_PROPERTY("one owner, rising fences, and all keys owned in the end",
                   [](std::uint64_t seed) { require_one_owner({.store_restored = true}, seed); });
}

/// Guards against an earlier wait being cut short by a resignation in the new era.
TEST(restored_store_test, one_owner_when_leaders_resign_and_no_server_restarts)
{
    CHECK_PROPERTY("one owner, rising fences, and all keys owned in the end",
                   [](std::uint64_t seed) {
                       require_one_owner({.servers_restart = false,
                                          .store_restored = true,
                                          .leaders_resign = true,
                                          .authority = outage_authority,
                                          .calm = seconds{30}},
                                         seed);
                   });
}

/// Checks that the simulation detects violations: each row breaks one rule.
TEST(restored_store_test, the_simulation_detects_leaders_that_mistake_the_era)
{
    struct broken_row {
        const char* name = "";
        simulation_settings settings;
        std::uint64_t first_seed = 1;
    };
    const broken_row rows[] = {
        {"the era is ignored", {.store_restored = true, .ignores_era = true}},
        {"fences are counted on from the store",
         {.store_restored = true, .takes_fences_from_store = true}},
        {"leaders without a lease connect to servers that have restarted",
         {.store_restored = true,
          .former_leaders_continue = true,
          .ignores_processes = true,
          .leaders_resign = true,
          .authority = outage_authority,
          .calm = seconds{30}},
         120},
    };
    for (const auto& row : rows) {
        std::uint32_t violations = 0;
        constexpr std::uint64_t seeds = 40;
        for (std::uint64_t seed = row.first_seed; seed < row.first_seed + seeds; ++seed) {
            auto settings = row.settings;
            settings.seed = seed;
            key_grant_simulation simulation{settings};
            simulation.run();
            violations += simulation.double_owners + simulation.fences_not_above;
        }
        CHECK_TRUE_TEXT(violations > 0, row.name);
    }
}
