// What a host does with the store's record of requests that crash backend servers.

#include <functional>

#include "../property.h"
#include "idle_host.h"

using namespace figreach;
using namespace figreach::direct;

namespace {

constexpr request_digest digest{.high = 1, .low = 2};
constexpr store_era first_known_era{3};

crash_record make_record(std::uint64_t term)
{
    crash_report held{.digest = digest, .losses = {}};
    for (const auto* server : {"a", "b", "c"}) {
        held.losses.push_back({.server = {.server = {server}, .lifetime = 1},
                               .failure_domain = {server},
                               .sender = {"h2"},
                               .age = seconds{held.losses.size() + 1}});
    }
    return {.term = term, .reports = {held}};
}

void read(host_context& state, store_revision revision, const crash_record& record)
{
    (void)state.cluster.apply(store_part::own,
                              {crash_record_update{.record = record, .revision = revision}}, true,
                              monotonic_time::clock::now());
    state.apply_crash_record();
}

void lead(host_context& state, std::uint64_t term)
{
    state.leads = true;
    state.led_term = term;
}

struct record_row {
    const char* name;
    std::function<void(host_context&)> before; ///< the record is read
    store_revision revision;
    std::size_t count; ///< losses that the host counts then
};

const record_row record_rows[] = {
    {"a host that has just started", [](host_context&) {}, {first_known_era, 7}, 3},
    {"a leader has told all that it knows",
     [](host_context& state) { state.apply_leader_crash_reports({}, true); },
     {first_known_era, 7},
     0},
    {"an older leader, which has not read the record",
     [](host_context& state) { state.apply_leader_crash_reports({}, false); },
     {first_known_era, 7},
     3},
    {"the store came back from a copy",
     [](host_context& state) { state.store.observe_era(store_era{4}); },
     {store_era{4}, 7},
     0},
    {"the request is released",
     [](host_context& state) { state.settings.released_requests = {digest}; },
     {first_known_era, 7},
     0},
    {"it leads, the record is of an earlier term",
     [](host_context& state) { lead(state, 6); },
     {first_known_era, 7},
     3},
    {"it leads, the record is its own",
     [](host_context& state) { lead(state, 5); },
     {first_known_era, 7},
     0},
};

} // namespace

TEST_GROUP(crash_record_test){};

/// Guards against a record that is out of date, or that was released, holding requests.
TEST(crash_record_test, a_record_is_taken_over_by_hosts_that_know_less)
{
    for (const auto& row : record_rows) {
        idle_host host;
        host.state.store.observe_era(first_known_era);
        row.before(host.state);
        read(host.state, row.revision, make_record(5));
        CHECK_EQUAL_TEXT(row.count, host.state.suspects.count(digest), row.name);
    }
}

/// Guards against a record that comes back, once a leader does not report the request any more.
TEST(crash_record_test, what_was_taken_over_is_dropped_with_the_word_of_the_leader)
{
    idle_host host;
    host.state.store.observe_era(first_known_era);
    read(host.state, {first_known_era, 7}, make_record(5));
    host.state.apply_leader_crash_reports({}, true);
    CHECK_EQUAL(0, host.state.suspects.count(digest));
    read(host.state, {first_known_era, 9}, make_record(5));
    CHECK_EQUAL(0, host.state.suspects.count(digest));
}

/// Guards against a host that does not start because it cannot read the record.
TEST(crash_record_test, bytes_that_cannot_be_read_are_logged_once)
{
    idle_host host;
    const store_change odd{
        .item = {.key = crash_record_key, .value = "\xff\xff", .revision = {first_known_era, 7}}};
    const auto now = monotonic_time::clock::now();
    auto& cluster = host.state.cluster;
    CHECK_EQUAL(1, cluster.apply(store_part::own, {decode_own_item(odd)}, true, now).size());
    CHECK_EQUAL(0, cluster.apply(store_part::own, {decode_own_item(odd)}, true, now).size());
    host.state.apply_crash_record();
    CHECK_EQUAL(0, host.state.suspects.size());
}
