#include "figreach/direct/server_rate_limits.h"

#include "../property.h"

using namespace figreach;
using namespace figreach::direct;

namespace {

constexpr monotonic_time start{std::chrono::hours{1}};
const backend_server_id server{"a"};

/// An answer of the server, received by this host or reported by another one.
struct statement {
    milliseconds at{0}; ///< when it was received or reported
    std::optional<double> rate;
    std::optional<milliseconds> age; ///< set if another host reported it
};

struct statement_row {
    const char* name;
    std::vector<statement> statements;
    double rate;  ///< negative if unlimited
    bool changed; ///< by the last statement
};

const statement_row statement_rows[] = {
    {"unlimited", {{.at = {}, .rate = {}, .age = {}}}, -1.0, false},
    {"named", {{.at = {}, .rate = 5.0, .age = {}}}, 5.0, true},
    {"named again",
     {{.at = {}, .rate = 5.0, .age = {}}, {.at = seconds{1}, .rate = 5.0, .age = {}}},
     5.0,
     false},
    {"changed",
     {{.at = {}, .rate = 5.0, .age = {}}, {.at = seconds{1}, .rate = 3.0, .age = {}}},
     3.0,
     true},
    {"ended",
     {{.at = {}, .rate = 5.0, .age = {}}, {.at = seconds{1}, .rate = {}, .age = {}}},
     -1.0,
     true},
    {"holds without further answers",
     {{.at = {}, .rate = 5.0, .age = {}}, {.at = std::chrono::hours{1}, .rate = 5.0, .age = {}}},
     5.0,
     false},
    {"reported by another host", {{.at = {}, .rate = 5.0, .age = milliseconds{300}}}, 5.0, true},
    {"an older report",
     {{.at = {}, .rate = 5.0, .age = {}}, {.at = seconds{1}, .rate = 7.0, .age = seconds{2}}},
     5.0,
     false},
    {"an older report after the end",
     {{.at = {}, .rate = 5.0, .age = {}},
      {.at = seconds{1}, .rate = {}, .age = {}},
      {.at = seconds{1}, .rate = 5.0, .age = milliseconds{500}}},
     -1.0,
     false},
    {"a newer report of the end",
     {{.at = {}, .rate = 5.0, .age = {}}, {.at = seconds{1}, .rate = {}, .age = milliseconds{300}}},
     -1.0,
     true},
};

bool apply(server_rate_limits& limits, const statement& one)
{
    const auto now = start + one.at;
    if (one.age) {
        return limits.merge({.server = server, .rate = one.rate, .age = *one.age}, now);
    }
    return limits.on_answer(server, one.rate, now);
}

} // namespace

TEST_GROUP(server_rate_limits_test){};

TEST(server_rate_limits_test, the_latest_answer_of_the_server_counts)
{
    for (const auto& row : statement_rows) {
        server_rate_limits limits{{}};
        bool changed = false;
        for (const auto& one : row.statements) {
            changed = apply(limits, one);
        }
        DOUBLES_EQUAL_TEXT(row.rate, limits.rate_of(server).value_or(-1.0), 0.001, row.name);
        CHECK_EQUAL_TEXT(row.changed, changed, row.name);
        CHECK_EQUAL_TEXT(row.rate < 0 ? 0U : 1U, limits.count(), row.name);
    }
}

TEST(server_rate_limits_test, reports_to_other_hosts_what_this_host_received)
{
    server_rate_limits limits{{}};
    limits.on_answer(server, 5.0, start);
    limits.merge({.server = {"b"}, .rate = 7.0, .age = {}}, start);
    const auto own = limits.take_own_reports(start + milliseconds{20});
    CHECK_EQUAL(1, own.size());
    CHECK_TRUE(own.front() ==
               (rate_limit_report{.server = server, .rate = 5.0, .age = milliseconds{20}}));
    CHECK_TRUE(limits.take_own_reports(start).empty());
    CHECK_EQUAL(2, limits.reports(start).size());
}

TEST(server_rate_limits_test, forgets_servers_that_are_gone_and_limits_that_ended)
{
    server_rate_limits limits{{}};
    limits.on_answer(server, 5.0, start);
    limits.on_answer({"gone"}, 5.0, start);
    limits.on_answer({"ended"}, 5.0, start);
    limits.on_answer({"ended"}, {}, start);
    limits.prune([](const auto& id) { return id.value != "gone"; }, start + seconds{5});
    const auto left = limits.reports(start);
    CHECK_EQUAL(1, left.size());
    STRCMP_EQUAL("a", left.front().server.value.c_str());
}

TEST(server_rate_limits_test, spreads_requests_at_the_rate_of_the_server)
{
    struct rate_row {
        double rate;
        std::uint32_t sent_in_4_s; ///< at most, after a second without requests
    };
    for (const auto& row : {rate_row{0.0, 2}, {0.5, 3}, {2.0, 10}, {6.4, 32}, {100.0, 500}}) {
        server_rate_limits limits{{}};
        limits.on_answer(server, row.rate, start);
        auto now = start + seconds{1};
        std::uint32_t sent = 0;
        while (now < start + seconds{5}) {
            if (limits.delay(server, now) == milliseconds{0}) {
                limits.on_sent(server, now);
                ++sent;
            }
            now += milliseconds{1};
        }
        CHECK_TRUE(sent <= row.sent_in_4_s);
        CHECK_TRUE(sent >= row.rate * 4);
    }
}

TEST(server_rate_limits_test, delays_the_first_request_after_a_burst)
{
    server_rate_limits limits{{}};
    limits.on_answer(server, 4.0, start);
    CHECK_EQUAL(0, limits.delay(server, start).count());
    limits.on_sent(server, start);
    CHECK_EQUAL(250, limits.delay(server, start).count());
    CHECK_EQUAL(0, limits.delay(server, start + milliseconds{250}).count());
    limits.on_answer(server, {}, start);
    CHECK_EQUAL(0, limits.delay(server, start).count());
}

TEST(server_rate_limits_test, tells_refused_requests_different_times)
{
    server_rate_limits limits{{}};
    limits.on_answer(server, 5.0, start);
    limits.on_sent(server, start);
    milliseconds last{0};
    for (int i = 0; i < 5; ++i) {
        const auto next = limits.next_return(server, start);
        CHECK_TRUE(next > last && next <= seconds{1});
        last = next;
    }
    CHECK_TRUE(limits.next_return(server, start) <= seconds{1});
}

TEST(server_rate_limits_test, holds_off_no_longer_than_until_the_next_request)
{
    server_rate_limits limits{{}};
    limits.on_answer(server, 5.0, start);
    limits.hold_off(server, milliseconds{900}, start);
    CHECK_EQUAL(200, limits.held_off_for(server, start).count());
    CHECK_EQUAL(0, limits.held_off_for(server, start + milliseconds{200}).count());
    limits.hold_off(server, milliseconds{50}, start);
    CHECK_EQUAL(50, limits.held_off_for(server, start).count());
}
