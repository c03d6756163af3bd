#include "figreach/direct/key_table_delta.h"

#include "../property.h"
#include "figreach/retry_budget.h"

using namespace figreach;
using namespace figreach::direct;

namespace {

constexpr store_era era{3};

/// Returns a table whose ranges are split at random keys.
key_table random_table(std::uint64_t& state, std::uint64_t next_fence)
{
    auto table = make_key_table({"lessons"});
    table.next_fence = next_fence;
    const auto cuts = next_random(state) % 12;
    for (std::uint64_t i = 0; i < cuts; ++i) {
        const auto key = static_cast<std::uint32_t>(next_random(state) % key_count);
        for (std::size_t at = 0; at < table.ranges.size(); ++at) {
            auto& range = table.ranges[at];
            if (key > range.keys.first && key <= range.keys.last) {
                auto right = range;
                right.keys.first = key;
                right.fence = next_random(state) % next_fence;
                range.keys.last = key - 1;
                table.ranges.insert(table.ranges.begin() + static_cast<std::ptrdiff_t>(at) + 1,
                                    right);
                break;
            }
        }
    }
    return table;
}

} // namespace

TEST_GROUP(key_table_delta_test){};

TEST(key_table_delta_test, leads_from_one_version_to_the_next)
{
    CHECK_PROPERTY("the newer table comes out", [](std::uint64_t seed) {
        std::uint64_t state = seed;
        const auto older = random_table(state, 50);
        const auto newer = random_table(state, 90);
        const auto delta = make_delta(older, {era, 7}, newer);
        const auto decoded = decode_key_table_delta(encode(delta), era);
        RC_ASSERT(decoded == delta);
        RC_ASSERT(apply_delta(older, *decoded) == newer);
    });
}

TEST(key_table_delta_test, holds_only_what_differs)
{
    std::uint64_t state = 3;
    const auto older = random_table(state, 50);
    CHECK_TRUE(make_delta(older, {era, 7}, older).changed.empty());
    auto newer = older;
    newer.ranges[1].moving = !newer.ranges[1].moving;
    CHECK_EQUAL(1, make_delta(older, {era, 7}, newer).changed.size());
}

TEST(key_table_delta_test, refuses_what_does_not_fit)
{
    const auto table = make_key_table({"lessons"});
    auto delta = make_delta(table, {era, 1}, table);
    delta.service = {"media"};
    CHECK_FALSE(apply_delta(table, delta).has_value());
    delta.service = {"lessons"};
    delta.changed = {{.keys = {.first = 5, .last = 9}}};
    CHECK_FALSE(apply_delta(table, delta).has_value());
    CHECK_FALSE(decode_key_table_delta("\xff", era).has_value());
}
