#include "figreach/slice_loads.h"

#include <CppUTest/TestHarness.h>

#include "assignment_fixture.h"

using namespace figreach;
using namespace figreach::fixture;

namespace {

constexpr milliseconds settling_time{1500};
constexpr milliseconds report_lifetime{5000};
constexpr double tolerance = 1e-6;

monotonic_time at(milliseconds since_start)
{
    return monotonic_time{std::chrono::hours{1} + since_start};
}

partition one_slice()
{
    return {.id = lessons_0,
            .version = 1,
            .writer = "w",
            .backend_servers = {{"s0"}},
            .slices = {{.first = 0, .owner = 0, .fence = 1}}};
}

partition split_in_two()
{
    auto out = one_slice();
    constexpr key_hash middle = key_hash{1} << 63U;
    out.slices.push_back({.first = middle, .owner = 0, .fence = 1});
    return out;
}

load_report report_of(const partition& document, const std::vector<double>& rates)
{
    load_report out{.id = lessons_0, .server = {"s0"}};
    for (std::size_t i = 0; i < rates.size(); ++i) {
        out.slices.push_back({.first = document.slices[i].first, .requests_per_second = rates[i]});
    }
    return out;
}

} // namespace

TEST_GROUP(slice_loads_test){};

TEST(slice_loads_test, a_split_slice_keeps_its_load_until_its_reports_count)
{
    slice_loads subject{settling_time, report_lifetime};
    subject.on_report(report_of(one_slice(), {100.0}), at(milliseconds{0}));
    DOUBLES_EQUAL(100.0, subject.update(one_slice(), at(milliseconds{0}))[0].requests_per_second,
                  tolerance);
    const auto halves = split_in_two();
    const struct {
        milliseconds time;
        std::vector<double> rates;
        double first;
        bool measured;
    } rows[] = {
        {milliseconds{100}, {}, 50.0, false},
        // Too early after the split: the report may still cover the undivided slice.
        {milliseconds{1000}, {100.0}, 50.0, false},
        {milliseconds{1600}, {90.0, 10.0}, 90.0, true},
    };
    for (const auto& row : rows) {
        if (!row.rates.empty()) {
            subject.on_report(report_of(halves, row.rates), at(row.time));
        }
        const auto& seen = subject.update(halves, at(row.time));
        DOUBLES_EQUAL(row.first, seen[0].requests_per_second, tolerance);
        CHECK_EQUAL(row.measured, seen[0].measured);
    }
}

TEST(slice_loads_test, a_part_with_nearly_all_load_counts_as_a_concentrated_split)
{
    const struct {
        std::vector<double> rates;
        std::uint32_t concentrated;
    } rows[] = {{{95.0, 5.0}, 1}, {{60.0, 40.0}, 0}};
    for (const auto& row : rows) {
        slice_loads subject{settling_time, report_lifetime};
        subject.on_report(report_of(one_slice(), {100.0}), at(milliseconds{0}));
        [[maybe_unused]] const auto before = subject.update(one_slice(), at(milliseconds{0}));
        const auto halves = split_in_two();
        [[maybe_unused]] const auto fresh = subject.update(halves, at(milliseconds{100}));
        subject.on_report(report_of(halves, row.rates), at(milliseconds{2000}));
        const auto& seen = subject.update(halves, at(milliseconds{2000}));
        LONGS_EQUAL(row.concentrated, seen[0].concentrated_splits);
    }
}

TEST(slice_loads_test, merged_slices_have_the_sum_of_their_loads)
{
    slice_loads subject{settling_time, report_lifetime};
    const auto halves = split_in_two();
    subject.on_report(report_of(halves, {30.0, 12.0}), at(milliseconds{0}));
    [[maybe_unused]] const auto before = subject.update(halves, at(milliseconds{0}));
    const auto& seen = subject.update(one_slice(), at(milliseconds{100}));
    DOUBLES_EQUAL(42.0, seen[0].requests_per_second, tolerance);
}

TEST(slice_loads_test, a_condition_counts_for_its_lifetime)
{
    slice_loads subject{settling_time, report_lifetime};
    auto report = report_of(one_slice(), {});
    report.condition = server_condition::lost;
    subject.on_report(report, at(milliseconds{0}));
    CHECK_TRUE(subject.condition({"s0"}, at(report_lifetime)) == server_condition::lost);
    CHECK_TRUE(subject.condition({"s0"}, at(report_lifetime + milliseconds{1})) ==
               server_condition::serving);
}
