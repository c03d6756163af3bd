#include <algorithm>

#include "../property.h"
#include "quota_simulation.h"

using namespace figreach;
using namespace figreach::direct;

namespace {

struct spread_row {
    const char* name = "";
    quota_load load;
};

const spread_row spread_rows[] = {
    {"a flood", {.senders = 40, .rate = 10.0, .burst = 10.0, .demand = 4.7}},
    {"a flood through all hosts", {.rate = 10.0, .burst = 10.0, .demand = 4.7}},
    {"a flood of one request a second at each host",
     {.senders = 40, .rate = 40.0, .burst = 40.0, .demand = 4.7}},
    {"a little more than the limit", {.senders = 40, .rate = 40.0, .burst = 40.0, .demand = 1.2}},
    {"just the limit", {.senders = 40, .rate = 40.0, .burst = 40.0}},
    {"just the limit, through all hosts", {.rate = 40.0, .burst = 40.0}},
};

} // namespace

TEST_GROUP(quota_spread_flood_test){};

/// Guards against a limit of which a part is lost because the tenant's requests are spread over
/// more hosts than its buckets have tokens. The 95 % is the users' target.
TEST(quota_spread_flood_test, the_limit_of_a_small_tenant_can_be_used_through_many_hosts)
{
    constexpr double whole_limit = 0.95;
    constexpr std::uint64_t seeds = 5;
    for (const auto& row : spread_rows) {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            const auto result = quota_simulation{row.load, seed}.play();
            const double share = result.run / result.requests * std::max(row.load.demand, 1.0);
            const auto shown = std::string{row.name} + ", seed " + std::to_string(seed) + ": " +
                               std::to_string(share);
            CHECK_TRUE_TEXT(share >= whole_limit, shown.c_str());
            CHECK_TRUE_TEXT(result.most_over_bound <= 0.0, shown.c_str());
        }
    }
}
