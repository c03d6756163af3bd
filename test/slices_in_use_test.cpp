#include "figreach/slices_in_use.h"

#include <vector>

#include "property.h"

using namespace figreach;

namespace {

/// One request in the reference implementation.
struct past_request {
    key_hash hash = 0;
    bool over = false;
    bool end_known = true;
    monotonic_time deadline{};
};

bool naive_in_use(const std::vector<past_request>& all, key_hash first, key_hash last,
                  monotonic_time now)
{
    bool found = false;
    for (const auto& one : all) {
        const bool inside = first <= one.hash && one.hash <= last;
        const bool runs = !one.over || (!one.end_known && now < one.deadline);
        found = found || (inside && runs);
    }
    return found;
}

key_hash any_hash()
{
    constexpr key_hash some = 16;
    return *rc::gen::inRange<key_hash>(0, some);
}

monotonic_time any_time()
{
    constexpr int some = 50;
    return monotonic_time{milliseconds{*rc::gen::inRange(1, some)}};
}

} // namespace

TEST_GROUP(slices_in_use_test){};

TEST(slices_in_use_test, agrees_with_a_list_of_all_requests)
{
    CHECK_PROPERTY("same as naive", [] {
        slices_in_use uses;
        std::vector<past_request> all;
        const auto now = any_time();
        const auto steps = *rc::gen::inRange(0, 60);
        for (int i = 0; i < steps; ++i) {
            if (all.empty() || *rc::gen::arbitrary<bool>()) {
                all.push_back({.hash = any_hash()});
                uses.begin(all.back().hash, now);
                continue;
            }
            auto& one = all[*rc::gen::inRange<std::size_t>(0, all.size())];
            if (!one.over) {
                one.over = true;
                one.end_known = *rc::gen::arbitrary<bool>();
                one.deadline = any_time();
                uses.end(one.hash, one.end_known, one.deadline);
            }
        }
        const auto first = any_hash();
        const auto last = first + any_hash();
        RC_ASSERT(uses.in_use(first, last, now) == naive_in_use(all, first, last, now));
    });
}
