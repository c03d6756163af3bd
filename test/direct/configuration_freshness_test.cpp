#include "figreach/direct/tenants/configuration_freshness.h"

#include <vector>

#include "../property.h"

using namespace figreach;
using namespace figreach::direct;

namespace {

struct serve_row {
    const char* name;
    std::vector<int> asked_ms; ///< when the questions were sent whose answers confirmed
    int arrival_ms;
    bool may_serve;
};

const serve_row serve_rows[] = {
    {"never confirmed", {}, 6000, false},
    {"just confirmed", {10'000}, 10'000, true},
    {"within the limit", {10'000}, 14'900, true},
    {"within the margin for drift", {10'000}, 14'901, false},
    {"after the limit", {10'000}, 15'001, false},
    {"an answer that was held up confirms an early time only", {10'000, 4'000}, 14'900, true},
    {"a held-up answer alone", {4'000}, 9'500, false},
};

} // namespace

TEST_GROUP(configuration_freshness_test){};

/// Guards against a revoked key that is accepted later than the limit by a host which was cut off
/// or suspended.
TEST(configuration_freshness_test, serves_while_a_revocation_cannot_bind_yet)
{
    constexpr milliseconds limit{5000};
    for (const auto& row : serve_rows) {
        configuration_freshness freshness;
        for (const auto asked : row.asked_ms) {
            freshness.confirm(monotonic_time{milliseconds{asked}});
        }
        const auto arrival = monotonic_time{milliseconds{row.arrival_ms}};
        CHECK_EQUAL_TEXT(row.may_serve, freshness.may_serve(arrival, limit), row.name);
    }
}
