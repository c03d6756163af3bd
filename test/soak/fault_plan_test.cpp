#include "fault_plan.h"

#include <algorithm>
#include <set>

#include "../property.h"

using namespace figreach;
using namespace figreach::soak;

TEST_GROUP(fault_plan_test){};

TEST(fault_plan_test, is_the_same_for_the_same_seed_and_covers_all_kinds)
{
    std::set<fault_kind> seen;
    constexpr std::uint64_t seeds = 50;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const plan_settings settings{.seed = seed};
        const auto plan = make_plan(settings);
        const auto again = make_plan(settings);
        CHECK_FALSE(plan.empty());
        CHECK_EQUAL(plan.size(), again.size());
        for (std::size_t i = 0; i < plan.size(); ++i) {
            CHECK_TRUE(plan[i].kind == again[i].kind && plan[i].at == again[i].at);
            CHECK_TRUE(plan[i].at >= settings.earliest_start && plan[i].at < settings.latest_start);
            CHECK_TRUE(plan[i].duration >= settings.min_duration &&
                       plan[i].duration < settings.max_duration);
            seen.insert(plan[i].kind);
        }
    }
    CHECK_EQUAL(static_cast<std::size_t>(fault_kind::kinds), seen.size());
}

TEST(fault_plan_test, leaves_the_other_faults_as_they_are_without_restores)
{
    constexpr std::uint64_t seeds = 50;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        auto all = make_plan({.seed = seed});
        std::erase_if(all, [](const auto& one) { return one.kind == fault_kind::store_restored; });
        const auto plan = make_plan({.seed = seed, .store_restores = false});
        CHECK_EQUAL(all.size(), plan.size());
        CHECK_TRUE(std::equal(
            all.begin(), all.end(), plan.begin(), [](const auto& left, const auto& right) {
                return left.kind == right.kind && left.at == right.at &&
                       left.target == right.target && left.duration == right.duration;
            }));
    }
}

TEST(fault_plan_test, crashing_requests_leave_the_other_faults_of_a_seed_as_they_are)
{
    constexpr std::uint64_t seeds = 50;
    std::size_t with_a_crash = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const auto without = make_plan({.seed = seed, .crashing_requests = 0});
        auto with = make_plan({.seed = seed, .crashing_requests = 3});
        const auto crashes = [](const planned_fault& one) {
            return one.kind == fault_kind::crashing_request;
        };
        CHECK_EQUAL(3, std::erase_if(with, crashes));
        CHECK_TRUE(std::equal(with.begin(), with.end(), without.begin(), without.end(),
                              [](const auto& left, const auto& right) {
                                  return left.at == right.at && left.kind == right.kind &&
                                         left.target == right.target &&
                                         left.duration == right.duration;
                              }));
        const auto drawn = make_plan({.seed = seed});
        with_a_crash += std::any_of(drawn.begin(), drawn.end(), crashes) ? 1U : 0U;
    }
    CHECK_TRUE(with_a_crash > seeds / 3 && with_a_crash < 2 * seeds / 3);
}

TEST(fault_plan_test, names_each_kind)
{
    std::set<std::string> names;
    for (int i = 0; i < static_cast<int>(fault_kind::kinds); ++i) {
        names.insert(name_of(static_cast<fault_kind>(i)));
    }
    CHECK_EQUAL(static_cast<std::size_t>(fault_kind::kinds), names.size());
    CHECK_FALSE(names.contains("unknown"));
}
