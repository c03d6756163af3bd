#include "figreach/direct/crash_suspects.h"

#include <algorithm>
#include <variant>

#include "../property.h"
#include "crash_simulation.h"

using namespace figreach;
using namespace figreach::direct;

namespace {

constexpr monotonic_time start{std::chrono::hours{100}};
constexpr request_digest digest{.high = 1, .low = 2};

/// One event of a script; times are milliseconds after the start.
struct lost {
    int at;
    const char* server;
    int sent_at;
    const char* domain = "d";
    const char* sender = "h1";
};
struct answered {
    int at;
};
struct alive {
    int at;
    const char* server;
    std::uint64_t lifetime = 1;
};
/// Service discovery shows a report of the server.
struct discovered {
    int at;
    const char* server;
    std::uint64_t report;
    std::uint64_t lifetime = 1;
};
struct tried {
    int at;
    bool sent;
};
using event = std::variant<lost, answered, alive, discovered, tried>;

monotonic_time time_of(int at)
{
    return start + milliseconds{at};
}

struct play_event {
    crash_suspects& suspects;

    void operator()(const lost& one) const
    {
        this->suspects.on_lost({.digest = digest,
                                .server = {.server = {one.server}, .lifetime = 1},
                                .failure_domain = {one.domain},
                                .sender = {one.sender},
                                .sent_at = time_of(one.sent_at)},
                               time_of(one.at));
    }
    void operator()(const answered& one) const
    {
        this->suspects.on_answered(digest, time_of(one.at));
    }
    void operator()(const alive& one) const
    {
        this->suspects.on_alive({.server = {one.server}, .lifetime = one.lifetime},
                                time_of(one.at));
    }
    void operator()(const discovered& one) const
    {
        const auto find = [&](const backend_server_id& id) -> std::optional<discovered_server> {
            if (id.value != one.server) {
                return std::nullopt;
            }
            return discovered_server{.lifetime = one.lifetime, .report = one.report};
        };
        this->suspects.on_tick(find, time_of(one.at));
    }
    void operator()(const tried& one) const
    {
        CHECK_TRUE(this->suspects.try_start(digest, {"t"}, time_of(one.at)));
        this->suspects.finish(digest, one.sent);
    }
};

void refresh(crash_suspects& suspects, monotonic_time now)
{
    suspects.on_tick([](const backend_server_id&) { return std::nullopt; }, now);
}

struct level_row {
    const char* name;
    std::vector<event> events;
    int at;
    std::size_t count;
    crash_level level;
};

using enum crash_level;

const lost first{.at = 0, .server = "a", .sent_at = -10};
const lost second{.at = 500, .server = "b", .sent_at = 480};
const lost third{.at = 1000, .server = "c", .sent_at = 980};

const level_row level_rows[] = {
    {"nothing", {}, 0, 0, none},
    {"one server", {first}, 0, 1, none},
    {"two servers", {first, second}, 500, 2, suspected},
    {"three servers", {first, second, third}, 1000, 3, held},
    {"one lifetime twice", {first, lost{.at = 500, .server = "a", .sent_at = 480}}, 500, 1, none},
    // refuted
    {"the server answers later", {first, second, alive{900, "b"}}, 900, 1, none},
    {"the answer may have been before", {first, second, alive{800, "b"}}, 900, 2, suspected},
    {"the next lifetime answers", {first, second, alive{900, "b", 2}}, 900, 2, suspected},
    {"lost for good after it had answered",
     {first, second, alive{900, "b"}, lost{.at = 2000, .server = "b", .sent_at = 1900}},
     2000,
     2,
     suspected},
    {"three reports of the lifetime",
     {first, second, discovered{600, "b", 7}, discovered{1500, "b", 8}, discovered{2300, "b", 9},
      discovered{3200, "b", 10}},
     3200,
     1,
     none},
    {"reports that were on their way",
     {first, second, discovered{600, "b", 7}, discovered{1500, "b", 8}, discovered{2300, "b", 9}},
     3200,
     2,
     suspected},
    {"reports that come at once after the store was away",
     {first, second, discovered{600, "b", 7}, discovered{9000, "b", 20}},
     9000,
     2,
     suspected},
    {"reports of the next lifetime",
     {first, second, discovered{600, "b", 7}, discovered{1500, "b", 1, 2},
      discovered{2300, "b", 2, 2}, discovered{3200, "b", 3, 2}, discovered{4000, "b", 4, 2}},
     4000,
     2,
     suspected},
    // one moment
    {"a domain loses power",
     {first, lost{.at = 100, .server = "b", .sent_at = -50, .sender = "h2"},
      lost{.at = 250, .server = "c", .sent_at = -50, .sender = "h3"}},
     250,
     1,
     none},
    {"a host is cut off",
     {first, lost{.at = 1, .server = "b", .sent_at = -50, .domain = "e"},
      lost{.at = 2, .server = "c", .sent_at = -50, .domain = "f"}},
     2,
     1,
     none},
    {"sent again at once",
     {first, lost{.at = 100, .server = "b", .sent_at = 20}},
     100,
     2,
     suspected},
    {"a second later in the domain",
     {first, lost{.at = 1000, .server = "b", .sent_at = -50, .sender = "h2"}},
     1000,
     2,
     suspected},
    {"at one moment at other hosts and domains",
     {first, lost{.at = 1, .server = "b", .sent_at = -50, .domain = "e", .sender = "h2"}},
     1,
     2,
     suspected},
    // cleared
    {"answered", {first, second, third, answered{1100}}, 1100, 0, none},
    {"answered between", {first, second, answered{600}, third}, 1000, 1, none},
    {"answered before", {answered{-10}, first, second}, 500, 2, suspected},
    // holds and trials
    {"shortly before the end of the hold", {first, second, third}, 60'999, 3, held},
    {"after the hold", {first, second, third}, 61'000, 3, trial},
    {"a trial is under way or had no verdict",
     {first, second, third, tried{61'000, true}},
     120'999,
     3,
     held},
    {"after a trial without a verdict",
     {first, second, third, tried{61'000, true}},
     121'000,
     3,
     trial},
    {"a trial that was not sent", {first, second, third, tried{61'000, false}}, 61'001, 3, trial},
    {"a trial that crashed",
     {first, second, third, tried{61'000, true}, lost{61'100, "t", 61'000}},
     301'099,
     4,
     held},
    {"after the second hold",
     {first, second, third, tried{61'000, true}, lost{61'100, "t", 61'000}},
     301'100,
     4,
     trial},
    {"a trial that was answered",
     {first, second, third, tried{61'000, true}, answered{61'100}},
     61'100,
     0,
     none},
    // memory
    {"two losses are remembered", {first, second}, 600'499, 2, suspected},
    {"and forgotten", {first, second}, 600'500, 0, none},
    {"a held request is remembered longer", {first, second, third}, 660'999, 3, trial},
    {"and forgotten ten minutes after its hold", {first, second, third}, 661'000, 0, none},
};

crash_suspects play(const std::vector<event>& events)
{
    crash_suspects out{crash_suspects_settings{}};
    for (const auto& one : events) {
        std::visit(play_event{out}, one);
    }
    return out;
}

} // namespace

TEST_GROUP(crash_suspects_test){};

TEST(crash_suspects_test, losses_of_servers_that_ended_count)
{
    for (const auto& row : level_rows) {
        auto suspects = play(row.events);
        refresh(suspects, time_of(row.at));
        CHECK_EQUAL_TEXT(row.count, suspects.count(digest), row.name);
        STRCMP_EQUAL_TEXT(std::string{name_of(row.level)}.c_str(),
                          std::string{name_of(suspects.level(digest, time_of(row.at)))}.c_str(),
                          row.name);
    }
}

/// Guards against holding all requests that ran on the servers that one of them crashed.
TEST(crash_suspects_test, requests_lost_with_the_same_servers_are_tried_alone)
{
    const request_digest other{.high = 3, .low = 4};
    const auto lose = [&](crash_suspects& suspects, const request_digest& one, const lost& row) {
        suspects.on_lost({.digest = one,
                          .server = {.server = {row.server}, .lifetime = 1},
                          .failure_domain = {row.domain},
                          .sender = {row.sender},
                          .sent_at = time_of(row.sent_at)},
                         time_of(row.at));
    };
    const lost fourth{.at = 2000, .server = "d", .sent_at = 1980};
    struct company_row {
        const char* name;
        std::vector<lost> own;
        std::vector<lost> others;
        bool other_answered;
        crash_level level;
        crash_level other_level;
    };
    const company_row rows[] = {
        {"the same servers",
         {first, second, third},
         {first, second, third},
         false,
         suspected,
         suspected},
        {"one more when alone",
         {first, second, third, fourth},
         {first, second, third},
         false,
         held,
         suspected},
        {"the other is answered", {first, second, third}, {first, second, third}, true, held, none},
        {"one server of its own",
         {first, second, third},
         {second, third, fourth},
         false,
         held,
         held},
        {"the other has fewer", {first, second, third}, {second, third}, false, held, suspected},
    };
    for (const auto& row : rows) {
        crash_suspects suspects{crash_suspects_settings{}};
        for (const auto& one : row.own) {
            lose(suspects, digest, one);
        }
        for (const auto& one : row.others) {
            lose(suspects, other, one);
        }
        const auto now = time_of(2500);
        if (row.other_answered) {
            suspects.on_answered(other, now);
        }
        ENUMS_EQUAL_INT_TEXT(row.level, suspects.level(digest, now), row.name);
        ENUMS_EQUAL_INT_TEXT(row.other_level, suspects.level(other, now), row.name);
    }
}

TEST(crash_suspects_test, a_hold_grows_to_ten_minutes)
{
    auto suspects = play({first, second, third});
    auto now = time_of(1000);
    for (const int hold : {60, 240, 600, 600, 600, 600, 600}) {
        refresh(suspects, now + seconds{hold} - milliseconds{1});
        ENUMS_EQUAL_INT(held, suspects.level(digest, now + seconds{hold} - milliseconds{1}));
        now += seconds{hold};
        ENUMS_EQUAL_INT(trial, suspects.level(digest, now));
        CHECK_TRUE(suspects.try_start(digest, {"t"}, now));
        suspects.on_lost(
            {.digest = digest,
             .server = {.server = {std::to_string(hold)},
                        .lifetime = static_cast<std::uint64_t>(now.time_since_epoch().count())},
             .failure_domain = {},
             .sender = {"h1"},
             .sent_at = now},
            now);
        suspects.finish(digest, true);
    }
}

TEST(crash_suspects_test, suspects_run_one_at_a_time_on_a_server)
{
    const request_digest other{.high = 3, .low = 4};
    auto suspects = play({first, second});
    const auto now = time_of(600);
    CHECK_TRUE(suspects.try_start(digest, {"x"}, now));
    CHECK_FALSE(suspects.try_start(digest, {"y"}, now));
    CHECK_FALSE(suspects.try_start(other, {"x"}, now));
    CHECK_TRUE(suspects.try_start(other, {"y"}, now));
    suspects.finish(digest, true);
    CHECK_TRUE(suspects.try_start(digest, {"x"}, now));
    std::visit(play_event{suspects}, event{third});
    suspects.finish(digest, true);
    CHECK_FALSE(suspects.try_start(digest, {"z"}, time_of(1000)));
}

TEST(crash_suspects_test, own_losses_are_told_once_to_each_leader)
{
    auto suspects = play({first, second});
    crash_suspects leader{crash_suspects_settings{}};
    const auto now = time_of(600);
    const auto told = suspects.take_own_reports(now);
    CHECK_EQUAL(1, told.size());
    CHECK_EQUAL(2, told.front().losses.size());
    CHECK_TRUE(suspects.take_own_reports(now).empty());
    leader.merge(told.front(), now);
    ENUMS_EQUAL_INT(suspected, leader.level(digest, now));
    // What others have told is not told again.
    CHECK_TRUE(leader.take_own_reports(now).empty());
    leader.tell_again();
    CHECK_TRUE(leader.take_own_reports(now).empty());
    suspects.tell_again();
    CHECK_TRUE(told == suspects.take_own_reports(now));
    suspects.on_answered(digest, now);
    const auto cleared = suspects.take_own_reports(now);
    CHECK_EQUAL(1, cleared.size());
    CHECK_TRUE(cleared.front().cleared_age.has_value());
    CHECK_TRUE(suspects.take_own_reports(now).empty());
    leader.merge(cleared.front(), now);
    ENUMS_EQUAL_INT(none, leader.level(digest, now));
    CHECK_EQUAL(1, leader.reports(now).size());
    suspects.tell_again();
    CHECK_TRUE(cleared == suspects.take_own_reports(now));
}

TEST(crash_suspects_test, only_requests_with_two_losses_are_told_to_all)
{
    CHECK_TRUE(play({first}).reports(time_of(1)).empty());
    CHECK_EQUAL(1, play({first, second}).reports(time_of(600)).size());
    CHECK_TRUE(play({first, answered{10}}).reports(time_of(20)).empty());
    auto cleared = play({first, second, answered{600}});
    CHECK_EQUAL(1, cleared.reports(time_of(700)).size());
    refresh(cleared, time_of(31'000));
    CHECK_EQUAL(0, cleared.size());
}

TEST(crash_suspects_test, changes_are_told_once)
{
    auto suspects = play({first, second, third, answered{1100}});
    const auto changes = suspects.take_changes();
    CHECK_EQUAL(3, changes.size());
    ENUMS_EQUAL_INT(suspected, changes[0].to);
    CHECK_EQUAL(2, changes[0].losses.size());
    ENUMS_EQUAL_INT(held, changes[1].to);
    ENUMS_EQUAL_INT(none, changes[2].to);
    CHECK_TRUE(suspects.take_changes().empty());
}

/// Guards against digests that push out those that are held.
TEST(crash_suspects_test, the_oldest_with_the_fewest_losses_is_evicted)
{
    auto suspects = play({first, second, third});
    const auto size = crash_suspects_settings{}.max_digests;
    for (std::uint64_t i = 0; i < size + 100; ++i) {
        suspects.on_lost({.digest = {.high = 9, .low = i},
                          .server = {.server = {"s"}, .lifetime = i},
                          .failure_domain = {"d"},
                          .sender = {"h1"},
                          .sent_at = start},
                         time_of(2000 + static_cast<int>(i)));
    }
    CHECK_EQUAL(size, suspects.size());
    ENUMS_EQUAL_INT(held, suspects.level(digest, time_of(10'000)));
    CHECK_EQUAL(0, suspects.count({.high = 9, .low = 0}));
    CHECK_EQUAL(1, suspects.count({.high = 9, .low = size + 99}));
    // A request that was never lost takes no room.
    suspects.on_answered({.high = 10, .low = 1}, time_of(10'000));
    CHECK_EQUAL(size, suspects.size());
}

TEST(crash_suspects_test, digests_differ_by_each_part_and_are_stable)
{
    const digested_request one{.host = "a.example", .method = "GET", .target = "/x", .body = "b"};
    const auto base = digest_of(one);
    const digested_request rows[] = {
        {"b.example", "GET", "/x", "b"}, {"a.example", "PUT", "/x", "b"},
        {"a.example", "GET", "/y", "b"}, {"a.example", "GET", "/x", "c"},
        {"a.example", "GET", "/xb", ""}, {"a.exampleG", "ET", "/x", "b"},
    };
    for (const auto& row : rows) {
        CHECK_FALSE(base == digest_of(row));
    }
    CHECK_TRUE(base == digest_of(one));
    CHECK_TRUE(parse_request_digest(to_text(base)) == base);
    const request_digest small{.high = 0, .low = 10};
    STRCMP_EQUAL("0000000000000000000000000000000a", to_text(small).c_str());
    for (const auto* text :
         {"", "a", "0000000000000000000000000000000g", "00000000000000000000000000000000a"}) {
        CHECK_FALSE(parse_request_digest(text).has_value());
    }
}

TEST(crash_suspects_test, reports_in_any_order_and_twice_give_the_same)
{
    CHECK_PROPERTY("merges commute", [] {
        const auto now = start + std::chrono::hours{1};
        std::vector<crash_report> all;
        const auto size = *rc::gen::inRange(1, 12);
        for (int i = 0; i < size; ++i) {
            crash_report one{.digest = {.high = 0, .low = *rc::gen::inRange<std::uint64_t>(0, 2)},
                             .losses = {},
                             .cleared_age = std::nullopt};
            const auto losses = *rc::gen::inRange(0, 4);
            for (int j = 0; j < losses; ++j) {
                one.losses.push_back(
                    {.server = {.server = {std::string(1, *rc::gen::inRange('a', 'm'))},
                                .lifetime = 1},
                     .failure_domain = {std::string(1, *rc::gen::inRange('d', 'f'))},
                     .sender = {std::string(1, *rc::gen::inRange('h', 'k'))},
                     .ran = milliseconds{*rc::gen::inRange(0, 500)},
                     .age = milliseconds{*rc::gen::inRange(0, 3000)},
                     .alive_age = std::nullopt});
                if (*rc::gen::inRange(0, 4) == 0) {
                    one.losses.back().alive_age = milliseconds{*rc::gen::inRange(0, 3000)};
                }
            }
            if (*rc::gen::inRange(0, 4) == 0) {
                one.cleared_age = milliseconds{*rc::gen::inRange(0, 3000)};
            }
            all.push_back(std::move(one));
        }
        auto order = all;
        order.insert(order.end(), all.begin(), all.end());
        std::reverse(order.begin(), order.end());
        std::rotate(order.begin(), order.begin() + *rc::gen::inRange(0, size), order.end());
        crash_suspects left{crash_suspects_settings{}};
        crash_suspects right{crash_suspects_settings{}};
        for (const auto& one : all) {
            left.merge(one, now);
        }
        for (const auto& one : order) {
            right.merge(one, now);
        }
        refresh(left, now);
        refresh(right, now);
        RC_ASSERT(left.size() == right.size());
        for (const auto low : {0U, 1U}) {
            const request_digest one{.high = 0, .low = low};
            RC_ASSERT(left.count(one) == right.count(one));
            RC_ASSERT(left.level(one, now) == right.level(one, now));
        }
    });
}

TEST(crash_suspects_test, a_crashing_request_is_held_and_others_are_not)
{
    CHECK_PROPERTY("held in time", [] {
        crash_simulation_settings settings;
        settings.seed = *rc::gen::arbitrary<std::uint64_t>();
        settings.hosts = *rc::gen::inRange<std::size_t>(1, 13);
        settings.servers = *rc::gen::inRange<std::size_t>(8, 30);
        settings.keyed = *rc::gen::arbitrary<bool>();
        settings.idempotent = *rc::gen::arbitrary<bool>();
        settings.leader_changes = *rc::gen::arbitrary<bool>();
        settings.comes_again = milliseconds{*rc::gen::inRange(100, 4000)};
        const auto result = crash_simulation{settings}.run();
        RC_ASSERT(result.third_crash.has_value());
        RC_ASSERT(result.late_arrivals <= 3U);
        // One that is held before the evidence of all hosts has met is not held for a whole hold.
        RC_ASSERT(result.unanswered == 0U);
        RC_ASSERT(result.held_innocents <= settings.callers_per_server / 10);
    });
}

struct broken_row {
    const char* name;
    void (*breaks)(crash_simulation_settings&);
};

const broken_row broken_rows[] = {
    {"nothing is shared", [](crash_simulation_settings& one) { one.shares = false; }},
    {"never held", [](crash_simulation_settings& one) { one.suspects.held_losses = 1000; }},
    {"a leader that changes is told nothing again, and starts anew",
     [](crash_simulation_settings& one) { one.forgets = true; }},
    {"suspects run together", [](crash_simulation_settings& one) { one.alone = false; }},
};

/// Shows that the property above can fail.
TEST(crash_suspects_test, the_simulation_finds_broken_variants)
{
    for (const auto& row : broken_rows) {
        bool failed = false;
        for (std::uint64_t seed = 1; seed <= 40 && !failed; ++seed) {
            crash_simulation_settings settings;
            settings.seed = seed;
            settings.keyed = true;
            settings.leader_changes = true;
            row.breaks(settings);
            const auto result = crash_simulation{settings}.run();
            failed = result.late_arrivals > 3 || result.held_innocents > 0;
        }
        CHECK_TRUE_TEXT(failed, row.name);
    }
}

/// A process that has just started and has read what `written` stored at `at`, `later` ms later.
crash_suspects restart(const crash_suspects& written, int at, int later)
{
    crash_suspects out{crash_suspects_settings{}};
    out.restore(written.record(time_of(at)), time_of(at + later));
    return out;
}

struct restart_row {
    const char* name;
    std::vector<event> before; ///< until the record is written, at second 2
    std::vector<event> after;  ///< from the start of the next process on, at second 5
    int at;
    std::size_t count;
    crash_level level;
};

const restart_row restart_rows[] = {
    {"one server", {first}, {}, 5000, 0, none},
    {"two servers", {first, second}, {}, 5000, 2, suspected},
    {"two servers and a third", {first, second}, {lost{6000, "c", 5900}}, 6000, 3, held},
    {"three servers", {first, second, third}, {}, 5000, 3, held},
    // The last loss was 1 s before the record was written.
    {"shortly before the end of the hold", {first, second, third}, {}, 63'999, 3, held},
    {"after the hold", {first, second, third}, {}, 64'000, 3, trial},
    {"answered before", {first, second, third, answered{1500}}, {}, 5000, 0, none},
    {"answered after", {first, second, third}, {answered{5100}}, 5100, 0, none},
    {"a server refuted before", {first, second, third, alive{1600, "c"}}, {}, 5000, 2, suspected},
    {"a server answers after", {first, second, third}, {alive{5400, "c"}}, 5400, 2, suspected},
    {"a domain that lost power",
     {first, lost{.at = 100, .server = "b", .sent_at = -50, .sender = "h2"}},
     {},
     5000,
     0,
     none},
    {"forgotten", {first, second, third}, {}, 664'000, 0, none},
};

/// Guards against forgetting requests that crash servers when all hosts end at the same moment.
TEST(crash_suspects_test, a_process_that_starts_knows_what_the_store_holds)
{
    for (const auto& row : restart_rows) {
        auto suspects = restart(play(row.before), 2000, 3000);
        for (const auto& one : row.after) {
            std::visit(play_event{suspects}, one);
        }
        refresh(suspects, time_of(row.at));
        CHECK_EQUAL_TEXT(row.count, suspects.count(digest), row.name);
        ENUMS_EQUAL_INT_TEXT(row.level, suspects.level(digest, time_of(row.at)), row.name);
    }
}

/// Guards against a hold without end because each restart reads the same ages.
TEST(crash_suspects_test, a_hold_ends_though_hosts_are_restarted)
{
    auto suspects = play({first, second, third});
    int at = 1000;
    int restarts = 0;
    for (; suspects.level(digest, time_of(at)) == held && restarts < 100; ++restarts) {
        // Each process writes 2 s after its start and ends 3 s later.
        suspects = restart(suspects, at + 2000, 3000);
        at += 5000;
    }
    CHECK_EQUAL(30, restarts);
}

/// Guards against taking an old record for news.
TEST(crash_suspects_test, a_record_undoes_nothing_that_is_known)
{
    const auto record = play({first, second, third}).record(time_of(1000));
    auto cleared = play({first, second, third, answered{1100}});
    cleared.restore(record, time_of(5000));
    CHECK_EQUAL(0, cleared.count(digest));

    auto known = play({first, second, third});
    known.restore(record, time_of(30'000));
    ENUMS_EQUAL_INT(trial, known.level(digest, time_of(61'000)));
}

/// Guards against a request that is held again because a host that has just started tells what the
/// store held.
TEST(crash_suspects_test, what_the_store_held_yields_to_the_leader)
{
    const auto now = time_of(5000);
    auto started = restart(play({first, second, third}), 2000, 3000);
    started.tell_again();
    CHECK_TRUE(started.take_own_reports(now).empty());

    auto leader = restart(play({first, second, third}), 2000, 3000);
    started.keep_restored(leader.reports(now), now);
    CHECK_EQUAL(3, started.count(digest));

    auto clears = play({first, second, third, answered{1100}});
    for (const auto& one : clears.take_own_reports(now)) {
        leader.merge(one, now);
    }
    CHECK_EQUAL(0, leader.count(digest));
    started.keep_restored(leader.reports(now), now);
    CHECK_EQUAL(0, started.count(digest));
}

/// Guards against a record that grows with the requests that were lost with a failure domain.
TEST(crash_suspects_test, the_record_is_bounded_and_keeps_the_most_lost)
{
    crash_suspects suspects{crash_suspects_settings{}};
    for (std::uint64_t i = 0; i < 300; ++i) {
        const request_digest one{.high = 9, .low = i};
        const auto losses = i == 250 ? 3U : 2U;
        for (unsigned server = 0; server < losses; ++server) {
            const int at = static_cast<int>(1000 * server);
            suspects.on_lost({.digest = one,
                              .server = {.server = {std::to_string(i)}, .lifetime = server + 1},
                              .failure_domain = {"d"},
                              .sender = {"h1"},
                              .sent_at = time_of(at - 1)},
                             time_of(at));
        }
    }
    const auto record = suspects.record(time_of(3000));
    CHECK_EQUAL(max_recorded_requests, record.size());
    CHECK_EQUAL(250, record.front().digest.low);
}
