#include "../property.h"
#include "quota_simulation.h"

using namespace figreach;
using namespace figreach::direct;

TEST_GROUP(quota_spread_flood_test){};

/// Guards against a limit of which a part is lost because the tenant's requests are spread over
/// more hosts than its buckets have tokens. The 95 % is the users' target.
TEST(quota_spread_flood_test, the_limit_of_a_small_tenant_can_be_used_through_many_hosts)
{
    constexpr double whole_limit = 0.95;
    constexpr std::uint64_t seeds = 5;
    const quota_load load{.senders = 40, .rate = 10.0, .burst = 10.0, .demand = 4.7};
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const auto result = quota_simulation{load, seed}.play();
        const double share = result.run * load.demand / result.requests;
        CHECK_TRUE_TEXT(share >= whole_limit,
                        ("seed " + std::to_string(seed) + ": " + std::to_string(share)).c_str());
    }
}
