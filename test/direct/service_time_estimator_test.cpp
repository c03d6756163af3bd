#include "figreach/direct/service_time_estimator.h"

#include "../property.h"

using namespace figreach;
using namespace figreach::direct;

namespace {

constexpr monotonic_time start{std::chrono::hours{1}};

service_time_sample answers(const char* server, std::uint32_t count, milliseconds each)
{
    return {.server = {server}, .answers = count, .total_time = each * count};
}

} // namespace

TEST_GROUP(service_time_estimator_test){};

TEST(service_time_estimator_test, learns_how_long_work_takes_at_each_server)
{
    service_time_estimator estimator{{}};
    DOUBLES_EQUAL(0.12, estimator.service_time_of({"unknown"}).count(), 0.001);
    estimator.add(answers("slow", 100, milliseconds{200}));
    estimator.add(answers("fast", 100, milliseconds{50}));
    CHECK_TRUE(estimator.service_time_of({"fast"}).count() < 0.06);
    CHECK_TRUE(estimator.service_time_of({"slow"}).count() > 0.19);
    DOUBLES_EQUAL(0.125, estimator.service_time_of({"unknown"}).count(), 0.001);
}

TEST(service_time_estimator_test, a_few_answers_change_little)
{
    service_time_estimator estimator{{}};
    estimator.add(answers("usual", 1000, milliseconds{100}));
    estimator.add(answers("new", 1, milliseconds{500}));
    CHECK_TRUE(estimator.service_time_of({"new"}).count() < 0.2);
}

TEST(service_time_estimator_test, stays_within_bounds_and_forgets)
{
    const service_time_settings settings;
    service_time_estimator estimator{settings};
    for (const auto* usual : {"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"}) {
        estimator.add(answers(usual, 100, milliseconds{100}));
    }
    const auto before = estimator.service_time_of({"a"}).count();
    estimator.add(answers("stuck", 100, seconds{60}));
    CHECK_TRUE(estimator.service_time_of({"stuck"}).count() > 5 * before);
    estimator.decay(start);
    estimator.decay(start + std::chrono::minutes{10});
    DOUBLES_EQUAL(0.12, estimator.service_time_of({"stuck"}).count(), 0.001);
}
