#include "figreach/direct/server_queue.h"

#include "../property.h"

using namespace figreach::direct;

namespace {

constexpr server_queue queue{.service_time = std::chrono::duration<double>{0.1}, .slots = 4.0};

} // namespace

TEST_GROUP(server_queue_test){};

TEST(server_queue_test, an_idle_server_costs_the_time_of_the_work)
{
    DOUBLES_EQUAL(0.1, queue.marginal_cost(0.0), 0.0001);
    DOUBLES_EQUAL(0.5, queue.utilization(20.0), 0.0001);
}

TEST(server_queue_test, each_further_request_costs_more)
{
    CHECK_PROPERTY("rises", [](std::uint16_t rate, std::uint16_t more) {
        const double before = rate / 100.0;
        const double after = before + (more + 1) / 100.0;
        RC_ASSERT(queue.marginal_cost(after) > queue.marginal_cost(before));
    });
}

TEST(server_queue_test, a_busy_fast_server_may_cost_more_than_an_idle_slow_one)
{
    const server_queue slow{.service_time = std::chrono::duration<double>{0.23}, .slots = 4.0};
    CHECK_TRUE(queue.marginal_cost(20.0) < slow.marginal_cost(0.0));
    CHECK_TRUE(queue.marginal_cost(34.0) > slow.marginal_cost(0.0));
}

TEST(server_queue_test, a_limited_server_is_full_at_its_limit)
{
    const server_queue limited{
        .service_time = queue.service_time, .slots = queue.slots, .max_rate = 5.0};
    DOUBLES_EQUAL(5.0, limited.capacity(), 0.0001);
    DOUBLES_EQUAL(1.0, limited.utilization(5.0), 0.0001);
    CHECK_TRUE(limited.marginal_cost(5.0) > queue.marginal_cost(30.0));
    const server_queue high{
        .service_time = queue.service_time, .slots = queue.slots, .max_rate = 500.0};
    DOUBLES_EQUAL(queue.marginal_cost(30.0), high.marginal_cost(30.0), 0.0001);
}
