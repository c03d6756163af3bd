#include "figreach/runtime/ring.h"

#include <thread>

#include "figreach/runtime/wake_signal.h"
#include "property.h"

using namespace figreach;

TEST_GROUP(ring_test){};

TEST(ring_test, refuses_and_counts_when_full)
{
    ring<int> small{2, [] {}};
    CHECK_TRUE(small.push(1));
    CHECK_TRUE(small.push(2));
    CHECK_FALSE(small.push(3));
    CHECK_EQUAL(1U, small.refusals());
    CHECK_EQUAL(1, *small.pop());
    CHECK_TRUE(small.push(4));
}

TEST(ring_test, carries_every_item_in_order_between_threads)
{
    constexpr int count = 100000;
    wake_signal wakeup;
    ring<int> items{64, [&wakeup] { wakeup.notify(); }};
    std::thread producer{[&items] {
        for (int next = 0; next < count;) {
            next += items.push(next) ? 1 : 0;
        }
    }};
    int expected = 0;
    while (expected < count) {
        wakeup.wait_until(monotonic_time::clock::now() + milliseconds{10});
        while (const auto item = items.pop()) {
            CHECK_EQUAL(expected, *item);
            ++expected;
        }
    }
    producer.join();
}
