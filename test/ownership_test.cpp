#include "figreach/ownership.h"

#include <algorithm>
#include <cstdio>

#include "ownership_simulation.h"
#include "property.h"

using namespace figreach;
using namespace ownership_fakes;

namespace {

constexpr milliseconds schedule_start{3000};
constexpr milliseconds schedule_length{5000};
constexpr milliseconds longest_fault{2500};
constexpr milliseconds recovery_time{5000};

rc::Gen<milliseconds> time_below(milliseconds end)
{
    return rc::gen::map(rc::gen::inRange<int>(0, static_cast<int>(end.count())),
                        [](int count) { return milliseconds{count}; });
}

rc::Gen<fault_step> any_step()
{
    const auto kind = rc::gen::map(rc::gen::inRange(0, fault_kind_count),
                                   [](int number) { return static_cast<fault_kind>(number); });
    const auto at = rc::gen::map(time_below(schedule_length),
                                 [](milliseconds time) { return schedule_start + time; });
    return rc::gen::build<fault_step>(rc::gen::set(&fault_step::kind, kind),
                                      rc::gen::set(&fault_step::target, rc::gen::inRange(0U, 30U)),
                                      rc::gen::set(&fault_step::at, at),
                                      rc::gen::set(&fault_step::lasts, time_below(longest_fault)));
}

void check_invariants(bool checks_fences)
{
    const auto steps = *rc::gen::container<std::vector<fault_step>>(any_step());
    const auto seed = *rc::gen::inRange<std::uint32_t>(1, 1U << 30U);
    simulation one{{.checks_fences = checks_fences, .seed = seed}};
    one.run(steps, schedule_start + schedule_length + longest_fault + recovery_time);
    RC_ASSERT(one.violation == "");
    RC_ASSERT(one.all_served());
}

/// One row of the table of faults in docs/ownership.md. Host faults affect `hosts` consecutive
/// hosts.
struct fault_row {
    const char* name;
    std::vector<fault_kind> kinds;
    unsigned hosts = 1; ///< number of hosts with the host faults
    milliseconds lasts{3000};
    milliseconds max_outage{2000}; ///< longest allowed outage of any key
};

constexpr milliseconds at_once{100};
constexpr milliseconds served_again{2000};
constexpr milliseconds whole_fault{3000};
constexpr milliseconds fault_and_recovery{whole_fault + served_again};

const fault_row fault_rows[] = {
    {"store down", {fault_kind::store_down}, 1, milliseconds{10000}, at_once},
    {"store loses answers while slices move",
     {fault_kind::store_loses_answers, fault_kind::move},
     1,
     whole_fault,
     fault_and_recovery},
    {"host cut off from the store", {fault_kind::host_without_store}, 1, whole_fault, at_once},
    {"host cut off from store and hosts",
     {fault_kind::host_isolated},
     1,
     whole_fault,
     served_again},
    {"host unheard", {fault_kind::host_outbound_loss}, 1, whole_fault, served_again},
    {"host deaf", {fault_kind::host_inbound_loss}, 1, whole_fault, served_again},
    {"host and backend server cut off together",
     {fault_kind::host_isolated, fault_kind::server_split},
     1,
     whole_fault,
     served_again},
    {"host paused past its bound", {fault_kind::host_paused}, 1, whole_fault, served_again},
    {"host lost and replaced", {fault_kind::host_restarted}, 1, whole_fault, served_again},
    {"two of five hosts lost", {fault_kind::host_restarted}, 2, whole_fault, served_again},
    {"three of five hosts lost and replaced",
     {fault_kind::host_restarted},
     3,
     whole_fault,
     fault_and_recovery},
    {"all hosts lost and replaced",
     {fault_kind::host_restarted},
     5,
     whole_fault,
     fault_and_recovery},
    {"backend server lost", {fault_kind::server_unreachable}, 1, whole_fault, served_again},
    {"backend server frozen and back", {fault_kind::server_frozen}, 1, whole_fault, served_again},
    {"backend server restarted", {fault_kind::server_restarted}, 1, at_once, served_again},
    {"slices move", {fault_kind::move}, 1, whole_fault, served_again},
    {"store down, host lost and replaced",
     {fault_kind::store_down, fault_kind::host_restarted},
     1,
     whole_fault,
     served_again},
    {"store down, two of five hosts lost",
     {fault_kind::store_down, fault_kind::host_restarted},
     2,
     whole_fault,
     served_again},
    {"store down, three of five hosts lost and replaced",
     {fault_kind::store_down, fault_kind::host_restarted},
     3,
     whole_fault,
     fault_and_recovery},
    {"store down, host paused",
     {fault_kind::store_down, fault_kind::host_paused},
     1,
     whole_fault,
     served_again},
    {"store down, backend server lost",
     {fault_kind::store_down, fault_kind::server_unreachable},
     1,
     whole_fault,
     fault_and_recovery},
    {"store down, backend server frozen and back",
     {fault_kind::store_down, fault_kind::server_frozen},
     1,
     whole_fault,
     fault_and_recovery},
    {"host lost, backend server lost",
     {fault_kind::host_restarted, fault_kind::server_unreachable},
     1,
     whole_fault,
     served_again},
    {"host lost, backend server frozen and back",
     {fault_kind::host_restarted, fault_kind::server_frozen},
     1,
     whole_fault,
     served_again},
    {"host paused, backend server frozen and back",
     {fault_kind::host_paused, fault_kind::server_frozen},
     1,
     whole_fault,
     served_again},
    {"two of five hosts lost, backend server lost",
     {fault_kind::host_restarted, fault_kind::server_unreachable},
     2,
     whole_fault,
     served_again},
    {"host cut off from the store, host paused",
     {fault_kind::host_without_store, fault_kind::host_paused},
     1,
     whole_fault,
     served_again},
    {"messages lost, backend server lost",
     {fault_kind::lossy, fault_kind::server_unreachable},
     1,
     whole_fault,
     fault_and_recovery},
};

bool affects_host(fault_kind kind)
{
    return kind == fault_kind::host_without_store || kind == fault_kind::host_isolated ||
           kind == fault_kind::host_outbound_loss || kind == fault_kind::host_inbound_loss ||
           kind == fault_kind::host_paused || kind == fault_kind::host_restarted;
}

std::vector<fault_step> steps_of(const fault_row& row, unsigned host, unsigned server)
{
    std::vector<fault_step> out;
    for (const auto kind : row.kinds) {
        const auto count = affects_host(kind) ? row.hosts : 1;
        for (unsigned i = 0; i < count; ++i) {
            out.push_back({.kind = kind,
                           .target = affects_host(kind) ? host + i : server,
                           .at = schedule_start + milliseconds{37},
                           .lasts = row.lasts});
        }
    }
    return out;
}

/// Applies the fault to each host and each backend server in turn, so that every role is covered.
milliseconds longest_outage(const fault_row& row, bool checks_fences)
{
    constexpr unsigned hosts = 5;
    constexpr unsigned servers = 3;
    milliseconds longest{0};
    for (unsigned host = 0; host < hosts; ++host) {
        for (unsigned server = 0; server < servers; ++server) {
            simulation one{{.checks_fences = checks_fences, .seed = host * servers + server + 1}};
            one.run(steps_of(row, host, server), schedule_start + row.lasts + recovery_time);
            STRCMP_EQUAL_TEXT("", one.violation.c_str(), row.name);
            CHECK_TRUE_TEXT(one.all_served(), row.name);
            longest = std::max(longest, one.longest_outage);
        }
    }
    return longest;
}

void check_rows(bool checks_fences)
{
    for (const auto& row : fault_rows) {
        const auto outage = longest_outage(row, checks_fences);
        std::printf("%s: a key was away for at most %d ms\n", row.name,
                    static_cast<int>(outage.count()));
        // Without fence checks, requests in flight are waited out as well.
        const auto allowed = row.max_outage + (checks_fences ? milliseconds{0} : longest_deadline);
        CHECK_TRUE_TEXT(outage <= allowed, row.name);
    }
}

/// A deliberately broken rule and the faults that expose it.
struct broken_row {
    const char* name;
    void (*damage)(simulation_settings&);
    std::vector<fault_step> (*steps)(unsigned host, unsigned server);
};

const broken_row broken_rows[] = {
    {"does not wait out old grants",
     [](simulation_settings& s) { s.rules.wait_out_grants = false; },
     [](unsigned, unsigned server) {
         return std::vector<fault_step>{
             {fault_kind::server_unreachable, server, schedule_start, whole_fault},
             {fault_kind::move, server, schedule_start + at_once, {}}};
     }},
    {"writes without compare", [](simulation_settings& s) { s.store_compares = false; },
     [](unsigned host, unsigned server) {
         return std::vector<fault_step>{
             {fault_kind::host_inbound_loss, host, schedule_start, whole_fault},
             {fault_kind::move, server, schedule_start + whole_fault / 2, {}}};
     }},
    {"does not read again after a lost answer",
     [](simulation_settings& s) { s.reread_after_silence = false; },
     [](unsigned, unsigned server) {
         return std::vector<fault_step>{
             {fault_kind::store_loses_answers, 0, schedule_start, whole_fault},
             {fault_kind::move, server, schedule_start, {}}};
     }},
    {"restarted host does not wait",
     [](simulation_settings& s) { s.rules.wait_after_restart = false; },
     [](unsigned host, unsigned) {
         std::vector<fault_step> out{
             {fault_kind::host_isolated, host, schedule_start, whole_fault}};
         for (unsigned other = 1; other < 5; ++other) {
             out.push_back(
                 {fault_kind::host_restarted, host + other, schedule_start, milliseconds{50}});
         }
         return out;
     }},
};

bool caught(const broken_row& row, bool broken)
{
    constexpr unsigned hosts = 5;
    constexpr unsigned servers = 3;
    for (unsigned host = 0; host < hosts; ++host) {
        for (unsigned server = 0; server < servers; ++server) {
            simulation_settings settings{.seed = host * servers + server + 1};
            if (broken) {
                row.damage(settings);
            }
            simulation one{settings};
            one.run(row.steps(host, server), schedule_start + whole_fault + recovery_time);
            if (!one.violation.empty()) {
                return true;
            }
        }
    }
    return false;
}

} // namespace

namespace ownership_fakes {

/// rapidcheck finds this function by name.
// NOLINTNEXTLINE(readability-identifier-naming)
void showValue(const fault_step& step, std::ostream& out)
{
    out << "{kind " << static_cast<int>(step.kind) << ", target " << step.target << ", at "
        << step.at.count() << ", lasts " << step.lasts.count() << "}";
}

} // namespace ownership_fakes

TEST_GROUP(ownership_test){};

TEST(ownership_test, keeps_its_promises_with_servers_that_check_fences)
{
    CHECK_PROPERTY("fenced", [] { check_invariants(true); });
}

TEST(ownership_test, keeps_its_promises_with_servers_that_do_not_check_fences)
{
    CHECK_PROPERTY("unfenced", [] { check_invariants(false); });
}

TEST(ownership_test, meets_the_table_of_faults_with_servers_that_check_fences)
{
    check_rows(true);
}

TEST(ownership_test, meets_the_table_of_faults_with_servers_that_do_not_check_fences)
{
    check_rows(false);
}

TEST(ownership_test, checks_catch_each_broken_rule)
{
    for (const auto& row : broken_rows) {
        CHECK_FALSE_TEXT(caught(row, false), row.name);
        CHECK_TRUE_TEXT(caught(row, true), row.name);
    }
}

TEST(ownership_test, is_cheap_in_quiet_at_todays_sizes)
{
    constexpr unsigned hosts = 12;
    constexpr unsigned servers = 30;
    constexpr double max_store_calls = 20.0;   // per second, all hosts
    constexpr double max_message_bytes = 3000; // per second and host
    simulation one{{.hosts = hosts, .servers = servers}};
    one.run({}, schedule_start);
    const auto calls = one.store_calls;
    const auto bytes = one.message_bytes;
    constexpr std::chrono::duration<double> quiet{10};
    one.run({}, std::chrono::duration_cast<milliseconds>(quiet));
    const auto call_rate = static_cast<double>(one.store_calls - calls) / quiet.count();
    const auto byte_rate = static_cast<double>(one.message_bytes - bytes) / quiet.count() / hosts;
    std::printf("%.1f store calls/s, %.0f bytes/s a host\n", call_rate, byte_rate);
    CHECK_TRUE(call_rate < max_store_calls);
    CHECK_TRUE(byte_rate < max_message_bytes);
    CHECK_TRUE(one.all_served());
}
