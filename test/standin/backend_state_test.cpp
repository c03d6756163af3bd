#include "backend_state.h"

#include <limits>

#include <boost/json/parse.hpp>

#include "property.h"

using namespace figreach;
using namespace figreach::standin;

namespace {

constexpr monotonic_time begin{seconds{1000}};
constexpr milliseconds grant_time{1000};

incoming_request with_fence(std::uint64_t fence)
{
    return {.request_id = "r", .idempotency_key = {}, .key = "k", .method = "GET", .fence = fence};
}

grant whole_range(std::uint64_t term, std::uint64_t sequence, std::uint64_t after,
                  std::uint64_t fence)
{
    return {.coordinator = {"h"},
            .sequence = sequence,
            .term = term,
            .after = after,
            .duration = grant_time,
            .slices = {{.first = 0, .last = std::numeric_limits<key_hash>::max(), .fence = fence}}};
}

void set_faults(backend_state& state, const char* json, monotonic_time now)
{
    CHECK_TRUE(state.set_faults(boost::json::parse(json).as_object(), now));
}

std::int64_t count_of(const backend_state& state, const char* name)
{
    return state.counts().at(name).to_number<std::int64_t>();
}

struct fence_row {
    const char* name;
    std::uint64_t fence;
    milliseconds after_grant;
    bool runs;
};

const fence_row fence_rows[] = {
    {"granted", 3, milliseconds{0}, true},
    {"lower fence", 2, milliseconds{0}, false},
    {"higher fence", 4, milliseconds{0}, false},
    {"shortly before the end", 3, grant_time - milliseconds{1}, true},
    {"at the end", 3, grant_time, false},
};

struct grant_row {
    const char* name = "";
    grant second;
    bool accepted = false;
};

const grant_row grant_rows[] = {
    {"next sequence", whole_range(5, 11, 10, 3), true},
    {"same sequence", whole_range(5, 10, 10, 3), false},
    {"lower sequence", whole_range(5, 9, 0, 3), false},
    {"higher term", whole_range(6, 1, 0, 3), true},
    {"lower term", whole_range(4, 11, 0, 3), false},
};

} // namespace

TEST_GROUP(backend_state_test){};

TEST(backend_state_test, runs_a_request_only_under_its_fence_inside_a_running_grant)
{
    for (const auto& row : fence_rows) {
        backend_state state{{.name = "s"}};
        CHECK_TRUE(state.handle_grant(whole_range(5, 10, 0, 3), begin).accepted);
        const auto refused = state.start(with_fence(row.fence), begin + row.after_grant);
        CHECK_EQUAL_TEXT(row.runs, !refused.has_value(), row.name);
    }
}

TEST(backend_state_test, accepts_only_later_grants)
{
    for (const auto& row : grant_rows) {
        backend_state state{{.name = "s"}};
        (void)state.handle_grant(whole_range(5, 10, 0, 3), begin);
        CHECK_EQUAL_TEXT(row.accepted, state.handle_grant(row.second, begin).accepted, row.name);
    }
}

TEST(backend_state_test, a_delayed_grant_is_counted_from_the_answer_that_it_names)
{
    backend_state state{{.name = "s"}};
    (void)state.handle_grant(whole_range(5, 1, 0, 3), begin);
    (void)state.handle_grant(whole_range(5, 2, 1, 3), begin + milliseconds{900});
    CHECK_FALSE(state.start(with_fence(3), begin + milliseconds{999}).has_value());
    CHECK_TRUE(state.start(with_fence(3), begin + grant_time).has_value());
}

TEST(backend_state_test, a_grant_that_names_an_unknown_answer_grants_nothing)
{
    backend_state state{{.name = "s"}};
    CHECK_TRUE(state.handle_grant(whole_range(5, 7, 6, 3), begin).accepted);
    CHECK_TRUE(state.start(with_fence(3), begin).has_value());
}

TEST(backend_state_test, runs_no_more_at_once_than_it_has_slots)
{
    backend_state state{{.name = "s", .checks_fences = false, .slots = 2}};
    CHECK_FALSE(state.start(with_fence(0), begin).has_value());
    const auto first = state.last_started();
    CHECK_FALSE(state.start(with_fence(0), begin).has_value());
    CHECK_TRUE(state.start(with_fence(0), begin) == error_kind::overloaded);
    LONGS_EQUAL(1, count_of(state, "over_slots"));
    LONGS_EQUAL(3, count_of(state, "most_concurrent"));
    state.finish(first, begin, false);
    CHECK_FALSE(state.start(with_fence(0), begin).has_value());
}

TEST(backend_state_test, loses_its_state_when_loaded_beyond_its_cold_capacity)
{
    backend_state state{{.name = "s", .checks_fences = false}};
    set_faults(state, R"({"cold":true,"cold_ramp_ms":1000})", begin);
    CHECK_FALSE(state.start(with_fence(0), begin).has_value());
    LONGS_EQUAL(0, count_of(state, "cold_violations"));
    CHECK_FALSE(state.start(with_fence(0), begin).has_value());
    LONGS_EQUAL(1, count_of(state, "cold_violations"));
    LONGS_EQUAL(2, count_of(state, "incarnation"));
}

TEST(backend_state_test, runs_more_at_once_as_it_warms_up)
{
    backend_state state{{.name = "s", .checks_fences = false}};
    set_faults(state, R"({"cold":true,"cold_ramp_ms":1000})", begin);
    const auto warmer = begin + milliseconds{500};
    CHECK_FALSE(state.start(with_fence(0), warmer).has_value());
    CHECK_FALSE(state.start(with_fence(0), warmer).has_value());
    LONGS_EQUAL(0, count_of(state, "cold_violations"));
}

TEST(backend_state_test, forgets_its_grant_with_its_state)
{
    backend_state state{{.name = "s"}};
    (void)state.handle_grant(whole_range(5, 10, 0, 3), begin);
    set_faults(state, R"({"new_incarnation":true})", begin);
    CHECK_TRUE(state.start(with_fence(3), begin).has_value());
}

TEST(backend_state_test, counts_work_that_arrives_long_after_it_began_to_leave)
{
    backend_state state{{.name = "s", .checks_fences = false}};
    set_faults(state, R"({"leaving":true})", begin);
    CHECK_FALSE(state.start(with_fence(0), begin + seconds{1}).has_value());
    LONGS_EQUAL(0, count_of(state, "late_arrivals"));
    CHECK_FALSE(state.start(with_fence(0), begin + seconds{4}).has_value());
    LONGS_EQUAL(1, count_of(state, "late_arrivals"));
}

TEST(backend_state_test, reports_its_load_late_while_the_report_lags)
{
    backend_state state{{.name = "s", .checks_fences = false}};
    set_faults(state, R"({"load_lag_ms":1000})", begin);
    (void)state.handle_grant(whole_range(1, 1, 0, 1), begin);
    CHECK_FALSE(state.start(with_fence(0), begin).has_value());
    const auto early = state.handle_grant(whole_range(1, 2, 1, 1), begin + milliseconds{500});
    const auto late = state.handle_grant(whole_range(1, 3, 2, 1), begin + milliseconds{1500});
    LONGS_EQUAL(0, early.in_flight);
    LONGS_EQUAL(1, late.in_flight);
}

TEST(backend_state_test, sheds_the_configured_fraction)
{
    backend_state state{{.name = "s", .checks_fences = false}};
    set_faults(state, R"({"shedding":0.25})", begin);
    int refused = 0;
    for (int i = 0; i < 8; ++i) {
        if (state.start(with_fence(0), begin)) {
            ++refused;
        }
        else {
            state.finish(state.last_started(), begin, false);
        }
    }
    LONGS_EQUAL(2, refused);
}

TEST(backend_state_test, keeps_a_bounded_record_and_counts_what_it_dropped)
{
    backend_state state{{.name = "s", .checks_fences = false, .max_executions = 2}};
    for (int i = 0; i < 5; ++i) {
        CHECK_FALSE(state.start(with_fence(0), begin).has_value());
        state.finish(state.last_started(), begin, false);
    }
    LONGS_EQUAL(3, state.executions().at("dropped").to_number<std::int64_t>());
    LONGS_EQUAL(2, state.executions().at("executions").as_array().size());
}

TEST(backend_state_test, rejects_malformed_faults_as_a_whole)
{
    backend_state state{{.name = "s", .checks_fences = false}};
    const auto bad = boost::json::parse(R"({"frozen":true,"shedding":"much"})").as_object();
    CHECK_FALSE(state.set_faults(bad, begin));
    CHECK_FALSE(state.frozen());
}
