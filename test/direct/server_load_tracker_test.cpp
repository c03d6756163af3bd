#include "figreach/direct/server_load_tracker.h"

#include <set>

#include "../property.h"
#include "figreach/direct/follow.h"
#include "figreach/direct/follow_pace.h"
#include "figreach/retry_budget.h"

using namespace figreach;
using namespace figreach::direct;

namespace {

constexpr monotonic_time start{std::chrono::hours{1}};
const backend_server_id server{"a"};
constexpr std::uint32_t slots = 4;

load_report report(std::uint32_t running, std::uint32_t waiting, double slowdown = 1.0)
{
    return {.running = running, .waiting = waiting, .slots = slots, .slowdown = slowdown};
}

struct wait_row {
    const char* name;
    std::optional<load_report> last_report;
    std::uint32_t sent_after;
    milliseconds age;
    milliseconds wait;
};

/// The service time of this server is 100 ms.
const wait_row wait_rows[] = {
    {"nothing known", std::nullopt, 0, {}, {}},
    {"free slots", report(3, 0), 0, {}, {}},
    {"all slots taken", report(4, 0), 0, {}, milliseconds{25}},
    {"a queue", report(4, 8), 0, {}, milliseconds{225}},
    {"slowed to half", report(4, 8, 2.0), 0, {}, milliseconds{450}},
    {"own requests that the report lacks", report(2, 0), 4, {}, milliseconds{75}},
    {"an old report", report(4, 8), 0, milliseconds{1000}, {}},
};

std::vector<host_id> make_hosts(std::size_t count)
{
    std::vector<host_id> out;
    for (std::size_t i = 0; i < count; ++i) {
        out.push_back({"h" + std::to_string(i)});
    }
    return out;
}

} // namespace

TEST_GROUP(server_load_tracker_test){};

TEST(server_load_tracker_test, expects_a_wait_from_the_last_report)
{
    for (const auto& row : wait_rows) {
        server_load_tracker tracker{{}};
        if (row.last_report) {
            tracker.on_sent(server, start);
            tracker.on_finished(server, send_outcome::shed, {}, row.last_report, start);
        }
        for (std::uint32_t i = 0; i < row.sent_after; ++i) {
            tracker.on_sent(server, start);
        }
        const auto wait = tracker.expected_wait(server, slots, start + row.age);
        CHECK_EQUAL_TEXT(row.wait.count(), wait.count(), row.name);
    }
}

TEST(server_load_tracker_test, learns_the_work_of_answers_without_a_queue)
{
    server_load_tracker tracker{{}};
    const auto answer = [&tracker](milliseconds latency, load_report load) {
        tracker.on_sent(server, start);
        tracker.on_finished(server, send_outcome::answered, latency, load, start);
    };
    answer(milliseconds{200}, report(1, 0));
    answer(milliseconds{900}, report(4, 9));
    answer(milliseconds{600}, report(1, 0, 3.0));
    CHECK_EQUAL(200, tracker.view(server).service_time->count());
    const auto service_times = tracker.take_service_times();
    CHECK_EQUAL(1, service_times.size());
    CHECK_EQUAL(2, service_times[0].answers);
    // The samples include periods in which the server was slow.
    CHECK_EQUAL(800000, service_times[0].total_time.count());
    CHECK_TRUE(tracker.take_service_times().empty());
}

TEST(server_load_tracker_test, a_server_that_fails_costs_more_for_a_while)
{
    server_load_tracker tracker{{}};
    const auto healthy = tracker.cost(server, slots, start);
    tracker.on_sent(server, start);
    tracker.on_finished(server, send_outcome::unreachable, {}, std::nullopt, start);
    CHECK_FALSE(tracker.is_reachable(server, start));
    CHECK_TRUE(tracker.is_reachable(server, start + milliseconds{500}));
    CHECK_TRUE(tracker.cost(server, slots, start) > 2 * healthy);
    CHECK_TRUE(tracker.cost(server, slots, start + seconds{30}) < 1.1 * healthy);
}

/// The servers of a zone restart cold while all hosts have requests for them.
TEST(server_load_tracker_test, all_hosts_together_stay_within_the_rate_of_a_cold_server)
{
    constexpr double rate = 10.0;
    for (const std::size_t count : {1U, 2U, 10U, 12U, 64U}) {
        const auto hosts = make_hosts(count);
        std::vector<server_load_view> views(count);
        std::multiset<monotonic_time> sends;
        for (auto now = start; now < start + seconds{10}; now += milliseconds{10}) {
            for (std::size_t i = 0; i < count; ++i) {
                const auto next = next_cold_send(server, views[i], rate, hosts[i], hosts);
                if (next && now >= *next) {
                    views[i].last_sent_at = now;
                    sends.insert(now);
                }
            }
        }
        CHECK_TRUE(sends.size() >= (count < 10 ? 9 * count : 80));
        for (const auto& first : sends) {
            const auto within =
                std::distance(sends.lower_bound(first), sends.lower_bound(first + seconds{1}));
            CHECK_TRUE(within <= 15);
        }
    }
}

/// Guards against a send of each host at the moment at which all learn that a busy server is cold.
TEST(server_load_tracker_test, a_server_that_turns_cold_under_load_gets_what_it_bears)
{
    constexpr double rate = 10.0;
    constexpr int most = 20; // 1.5 times the rate, and 5
    constexpr milliseconds send_interval{31};
    constexpr milliseconds unknown_for{300};
    const auto hosts = make_hosts(12);
    std::vector<server_load_view> views(hosts.size());
    std::multiset<monotonic_time> sends;
    std::size_t next_host = 0;
    for (auto now = start; now < start + unknown_for; now += send_interval) {
        views[next_host++ % hosts.size()].last_sent_at = now;
        sends.insert(now);
    }
    for (auto now = start + unknown_for; now < start + seconds{5}; now += milliseconds{10}) {
        for (std::size_t i = 0; i < hosts.size(); ++i) {
            const auto next = next_cold_send(server, views[i], rate, hosts[i], hosts);
            if (next && now >= *next) {
                views[i].last_sent_at = now;
                sends.insert(now);
            }
        }
    }
    for (const auto& first : sends) {
        const auto within =
            std::distance(sends.lower_bound(first), sends.lower_bound(first + seconds{1}));
        CHECK_TRUE(within <= most);
    }
}

struct full_row {
    const char* name;
    send_outcome outcome;
    std::uint32_t waiting_then; ///< in the report when the send finished
    std::uint32_t waiting_now;
    milliseconds later;
    bool full;
};

const full_row full_rows[] = {
    {"refused with a long queue", send_outcome::shed, 16, 16, milliseconds{50}, true},
    {"reset with a long queue", send_outcome::failed, 16, 16, milliseconds{50}, true},
    {"the queue has become shorter", send_outcome::shed, 16, 14, milliseconds{50}, false},
    {"the queue has become longer", send_outcome::shed, 16, 20, milliseconds{50}, false},
    {"refused with a short queue", send_outcome::shed, 3, 3, milliseconds{50}, false},
    {"answered with a long queue", send_outcome::answered, 16, 16, milliseconds{50}, false},
    {"long ago", send_outcome::shed, 16, 16, milliseconds{6000}, false},
};

TEST(server_load_tracker_test, a_queue_is_full_where_the_server_turned_a_request_away)
{
    for (const auto& row : full_rows) {
        server_load_tracker tracker{{}};
        const auto reported = row.outcome == send_outcome::failed
                                  ? std::optional<load_report>{}
                                  : std::optional{report(4, row.waiting_then)};
        tracker.on_sent(server, start);
        tracker.on_finished(server, send_outcome::answered, milliseconds{120},
                            report(4, row.waiting_then), start);
        tracker.on_sent(server, start);
        tracker.on_finished(server, row.outcome, milliseconds{5}, reported, start);
        const auto now = start + row.later;
        tracker.on_sent(server, now);
        tracker.on_finished(server, send_outcome::answered, milliseconds{120},
                            report(4, row.waiting_now), now);
        CHECK_EQUAL_TEXT(row.full, tracker.queue_fill(server, 4, now) >= 1.0, row.name);
        // Another host that has sent nothing to this server.
        server_load_tracker other{{}};
        for (const auto& load : tracker.reports(now)) {
            other.merge(load, now);
        }
        CHECK_EQUAL_TEXT(row.full, other.queue_fill(server, 4, now) >= 1.0, row.name);
    }
}

TEST(server_load_tracker_test, a_report_that_others_have_seen_counts_if_it_is_newer)
{
    server_load_tracker tracker{{}};
    tracker.on_sent(server, start);
    tracker.on_finished(server, send_outcome::shed, {}, report(4, 8), start);
    tracker.on_sent(server, start + milliseconds{40});
    tracker.on_sent(server, start + milliseconds{80});
    const auto now = start + milliseconds{100};
    tracker.merge({.server = server, .report = report(4, 2), .age = milliseconds{200}}, now);
    CHECK_EQUAL(8, tracker.view(server).report->waiting);
    tracker.merge({.server = server, .report = report(4, 3), .age = milliseconds{50}}, now);
    CHECK_EQUAL(3, tracker.view(server).report->waiting);
    // One request of this host was sent after the report was made.
    CHECK_EQUAL(1, tracker.view(server).sent_since_report);
    const auto reports = tracker.reports(now);
    CHECK_EQUAL(1, reports.size());
    CHECK_EQUAL(50, reports[0].age.count());
    CHECK_TRUE(tracker.reports(now + seconds{2}).empty());
}

/// In a large fleet, a host that sent the reports of all servers in each call would return most of
/// them to the hosts that they came from.
TEST(server_load_tracker_test, tells_only_reports_that_it_has_seen_itself_and_not_told_yet)
{
    server_load_tracker tracker{{}};
    tracker.on_sent(server, start);
    tracker.on_finished(server, send_outcome::answered, {}, report(4, 1), start);
    tracker.merge({.server = {"other"}, .report = report(2, 0), .age = {}}, start);
    const auto reports = tracker.take_own_reports(start);
    CHECK_EQUAL(1, reports.size());
    CHECK_TRUE(reports[0].server == server);
    CHECK_TRUE(tracker.take_own_reports(start).empty());
    CHECK_EQUAL(2, tracker.reports(start).size());
    tracker.on_sent(server, start);
    tracker.on_finished(server, send_outcome::answered, {}, report(4, 2), start + milliseconds{10});
    CHECK_EQUAL(1, tracker.take_own_reports(start + milliseconds{10}).size());
}

/// Guards against a leader that sends the loads of all servers to all hosts in each answer: that is
/// more than its link carries, and all hosts lose it at once.
TEST(server_load_tracker_test, news_for_all_hosts_fit_the_link_of_a_leader)
{
    constexpr std::size_t hosts = 195;
    constexpr std::uint64_t servers = 719;
    constexpr std::uint64_t requests_per_second = 2530;
    constexpr std::uint64_t busy_slots = 1690; ///< 2530 requests a second of 0.67 s each
    constexpr std::uint64_t bytes_per_second = 200'000'000 / 8;
    const auto interval = follow_pace{.hosts = hosts}.pause();
    server_load_tracker leader{{}};
    std::uint64_t random = 20261204;
    std::uint64_t cursor = 0;
    std::uint64_t bytes = 0;
    auto next_poll = start;
    auto last_number = std::uint64_t{0};
    for (auto now = start; now < start + seconds{10}; now += milliseconds{1}) {
        const auto passed = static_cast<std::uint64_t>((now - start) / milliseconds{1});
        for (; last_number < passed * requests_per_second / 1000; ++last_number) {
            const backend_server_id id{"i-" +
                                       std::to_string(4200000000 + next_random(random) % servers)};
            std::uint32_t running = 0;
            for (std::uint64_t slot = 0; slot < 2ULL * slots; ++slot) {
                running += next_random(random) % (2 * servers * slots) < busy_slots ? 1 : 0;
            }
            leader.merge(
                {.server = id,
                 .report = report(std::min(running, slots), running - std::min(running, slots)),
                 .age = {}},
                now);
        }
        if (now >= next_poll) {
            const follow_answer out{.parts = {},
                                    .server_loads = leader.reports(now, cursor),
                                    .rate_limits = {},
                                    .crashes = {},
                                    .era = {},
                                    .load_cursor = leader.report_cursor()};
            cursor = out.load_cursor;
            bytes += hosts * encode(out).size();
            next_poll = now + interval;
        }
    }
    CHECK_COMPARE(bytes / 10, <, bytes_per_second / 2);
}

struct news_row {
    const char* name;
    load_report before;
    load_report after;
    milliseconds later;
    std::size_t count; ///< of reports that are news after the first
};

TEST(server_load_tracker_test, tells_each_report_of_a_queue_and_few_of_free_slots)
{
    const news_row rows[] = {
        {"free slots, soon after", report(1, 0), report(2, 0), milliseconds{100}, 0},
        {"free slots, later", report(1, 0), report(2, 0), milliseconds{600}, 1},
        {"a queue begins", report(1, 0), report(4, 1), milliseconds{1}, 1},
        {"all slots are in use", report(3, 0), report(4, 0), milliseconds{1}, 1},
        {"a queue goes on", report(4, 2), report(4, 3), milliseconds{1}, 1},
        {"a queue ends", report(4, 2), report(1, 0), milliseconds{1}, 1},
    };
    for (const auto& row : rows) {
        server_load_tracker tracker{{}};
        tracker.merge({.server = server, .report = row.before, .age = {}}, start);
        const auto cursor = tracker.report_cursor();
        CHECK_EQUAL_TEXT(0, tracker.reports(start, cursor).size(), row.name);
        const auto now = start + row.later;
        tracker.merge({.server = server, .report = row.after, .age = {}}, now);
        CHECK_EQUAL_TEXT(row.count, tracker.reports(now, cursor).size(), row.name);
        CHECK_EQUAL_TEXT(1, tracker.reports(now).size(), row.name);
        // The cursor of another process.
        CHECK_EQUAL_TEXT(1, tracker.reports(now, cursor + 100).size(), row.name);
    }
}

TEST(server_load_tracker_test, takes_the_cheaper_of_two)
{
    std::uint64_t state = 1;
    CHECK_FALSE(cheaper_of_two({}, state).has_value());
    int cheapest = 0;
    constexpr int draws = 3000;
    for (int i = 0; i < draws; ++i) {
        cheapest += *cheaper_of_two({3.0, 1.0, 2.0}, state) == 1 ? 1 : 0;
    }
    // Five of nine pairs contain the cheapest one.
    CHECK_TRUE(cheapest > draws / 2);
    CHECK_TRUE(cheapest < draws * 6 / 10);
}
