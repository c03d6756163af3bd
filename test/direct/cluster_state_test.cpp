#include "figreach/direct/cluster_state.h"

#include <algorithm>

#include "../property.h"

using namespace figreach;
using namespace figreach::direct;

namespace {

constexpr monotonic_time start{std::chrono::hours{1}};

item_update version(std::uint64_t number)
{
    return configuration_update{
        {.version = number, .services = {{{"lessons"}, {.name = {"lessons"}}}}}};
}

item_update server(const char* id, std::uint64_t report)
{
    return server_update{{.id = {id}, .lifetime = 1, .report = report, .service = {"lessons"}}};
}

item_update table(std::int64_t revision, std::uint64_t next_fence)
{
    auto one = make_key_table({"lessons"});
    one.next_fence = next_fence;
    return key_table_update{.table = std::move(one), .revision = {{}, revision}};
}

std::vector<std::string> apply(cluster_state& state, store_part part,
                               const std::vector<item_update>& updates, bool whole = false)
{
    std::vector<std::string> out;
    for (const auto& line : state.apply(part, updates, whole, start)) {
        out.push_back(line.event);
    }
    return out;
}

bool contains(const std::vector<std::string>& events, const char* event)
{
    return std::find(events.begin(), events.end(), event) != events.end();
}

item_update host(const char* name)
{
    return host_update{{.name = {name}, .lifetime = 1}};
}

struct lapse_case {
    const char* name = "";
    milliseconds lapsed{0}; ///< when the other host's registration ends
    milliseconds queried_at{0};
    int hosts = 0; ///< number of hosts; negative if not known
};

const lapse_case lapse_cases[] = {
    {"not followed for long", milliseconds{60000}, milliseconds{9900}, -1},
    {"both registered", milliseconds{60000}, milliseconds{12000}, 2},
    {"one has lost its registration a moment ago", milliseconds{11000}, milliseconds{12000}, 2},
    {"one lost it almost too long ago", milliseconds{11000}, milliseconds{25900}, 2},
    {"one lost it long ago", milliseconds{11000}, milliseconds{26100}, 1},
};

/// Knows a configuration that names the service of the servers.
cluster_state configured_state()
{
    cluster_state out{{}};
    apply(out, store_part::operators, {version(1)});
    return out;
}

struct foreign_row {
    const char* name;
    const char* id;
    const char* service;
    std::uint64_t configured_later; ///< version that names the service; 0 if none does
    const char* known_as;           ///< service of the id in the end; empty if it is not known
};

/// Beside a server "a" of service "lessons", lifetime 1, at the same address.
const foreign_row foreign_rows[] = {
    {"an id of its own", "x", "reports", 0, ""},
    {"the id of a live server", "a", "reports", 0, "lessons"},
    {"a service that the next configuration names", "x", "media", 2, "media"},
};

} // namespace

TEST_GROUP(cluster_state_test){};

/// Guards against two owners of a key: an entry of a service that is not configured, at the address
/// of a live server, ends that server in the eyes of the hosts.
TEST(cluster_state_test, an_entry_of_an_unknown_service_changes_nothing)
{
    for (const auto& row : foreign_rows) {
        for (const bool listed : {true, false}) {
            auto state = configured_state();
            const auto own = server("a", 1);
            auto foreign = std::get<server_update>(server(row.id, 1));
            foreign.entry.lifetime = 2;
            foreign.entry.service = {row.service};
            if (listed) {
                apply(state, store_part::servers, {own});
                apply(state, store_part::servers, {own, foreign}, true);
            }
            else {
                apply(state, store_part::servers, {own});
                apply(state, store_part::servers, {foreign});
            }
            const auto* live = state.servers().find({"a"});
            CHECK_TRUE_TEXT(state.takes_new_work(*live), row.name);
            CHECK_FALSE_TEXT(live->address_claimed, row.name);
            // The server goes on reporting.
            apply(state, store_part::servers, {server("a", 2)});
            CHECK_EQUAL_TEXT(2, state.servers().find({"a"})->entry.report, row.name);
            if (row.configured_later != 0) {
                auto later = std::get<configuration_update>(version(row.configured_later));
                later.value.services[{row.service}] = {.name = {row.service}};
                apply(state, store_part::operators, {later});
            }
            const auto* known = state.servers().find({row.id});
            STRCMP_EQUAL_TEXT(row.known_as, known ? known->entry.service.value.c_str() : "",
                              row.name);
        }
    }
}

/// Guards against servers that stay unknown since their entries came before the configuration.
TEST(cluster_state_test, entries_that_came_before_the_configuration_count_with_it)
{
    cluster_state state{{}};
    apply(state, store_part::servers, {server("a", 1), server("b", 1)}, true);
    apply(state, store_part::servers, {server_removal{{"b"}}});
    CHECK_TRUE(state.servers().all().empty());
    CHECK_TRUE(contains(apply(state, store_part::operators, {version(1)}), "server_added"));
    CHECK_TRUE(state.servers().find({"a"}) != nullptr);
    CHECK_TRUE(state.servers().find({"b"}) == nullptr);
}

TEST(cluster_state_test, a_host_that_lost_its_registration_still_counts_for_a_while)
{
    for (const auto& row : lapse_cases) {
        cluster_state state{{}};
        CHECK_FALSE_TEXT(state.hosts_seen_within(milliseconds{0}, start).has_value(), row.name);
        (void)state.apply(store_part::own, {host("here"), host("cut-off")}, true, start);
        if (row.lapsed <= row.queried_at) {
            (void)state.apply(store_part::own, {host("here")}, true, start + row.lapsed);
        }
        (void)state.on_tick(start + row.queried_at);
        const auto known = state.hosts_seen_within(milliseconds{10000}, start + row.queried_at);
        CHECK_EQUAL_TEXT(row.hosts, known ? static_cast<int>(known->size()) : -1, row.name);
        CHECK_EQUAL_TEXT(state.hosts().size(), state.host_count(), row.name);
    }
}

TEST(cluster_state_test, a_configuration_never_goes_back)
{
    const std::pair<std::uint64_t, std::uint64_t> rows[] = {{5, 5}, {4, 5}, {5, 5}, {9, 9}, {6, 9}};
    cluster_state state{{}};
    for (const auto& [found, in_force] : rows) {
        apply(state, store_part::operators, {version(found)});
        CHECK_EQUAL(in_force, state.routes()->configuration().version);
    }
    apply(state, store_part::operators, {}, true);
    CHECK_EQUAL(9, state.routes()->configuration().version);
}

TEST(cluster_state_test, a_key_table_never_goes_back)
{
    cluster_state state{{}};
    apply(state, store_part::own, {table(7, 3)});
    apply(state, store_part::own, {table(6, 9)});
    CHECK_EQUAL(3, state.keys({"lessons"})->next_fence);
    CHECK_TRUE(state.keys({"media"}) == nullptr);
}

/// In a store that was restored from a copy, an old table has a later revision.
TEST(cluster_state_test, a_key_table_does_not_go_back_with_the_store)
{
    cluster_state state{{}};
    apply(state, store_part::own, {table(7, 30)});
    auto old = std::get<key_table_update>(table(5, 20));
    old.revision = {store_era{1}, 5};
    apply(state, store_part::own, {old}, true);
    CHECK_EQUAL(30, state.keys({"lessons"})->next_fence);
    CHECK_TRUE(state.keys_revision({"lessons"}) == (store_revision{{}, 7}));
    auto next = std::get<key_table_update>(table(6, 31));
    next.revision = {store_era{1}, 6};
    apply(state, store_part::own, {next});
    CHECK_EQUAL(31, state.keys({"lessons"})->next_fence);
}

struct unlisted_row {
    const char* name;
    bool written_again; ///< within the time that operators and servers take
    bool out;           ///< whether the failure domain is out of service afterwards
};

const unlisted_row unlisted_rows[] = {
    {"written again", true, true},
    {"not written again", false, false},
};

TEST(cluster_state_test, what_a_restored_store_lacks_counts_until_it_is_written_again)
{
    for (const auto& row : unlisted_rows) {
        auto state = configured_state();
        const domain_update hill{.domain = {"hill"}, .out = true};
        apply(state, store_part::operators, {hill});
        apply(state, store_part::servers, {server("a", 1)}, true);
        state.on_store_restored(start);
        apply(state, store_part::operators, {}, true);
        apply(state, store_part::servers, {}, true);
        CHECK_TRUE_TEXT(state.is_out({"hill"}), row.name);
        CHECK_TRUE_TEXT(state.takes_new_work(*state.servers().find({"a"})), row.name);
        if (row.written_again) {
            apply(state, store_part::operators, {hill});
            apply(state, store_part::servers, {server("a", 2)});
        }
        CHECK_EQUAL_TEXT(row.written_again, state.on_tick(start + seconds{3}).empty(), row.name);
        CHECK_EQUAL_TEXT(row.out, state.is_out({"hill"}), row.name);
        CHECK_EQUAL_TEXT(row.out, state.takes_new_work(*state.servers().find({"a"})), row.name);
    }
}

TEST(cluster_state_test, is_complete_once_each_part_was_read)
{
    cluster_state state{{}};
    apply(state, store_part::own, {}, true);
    apply(state, store_part::servers, {}, true);
    apply(state, store_part::operators, {}, true);
    CHECK_FALSE(state.is_complete());
    apply(state, store_part::operators, {version(1)});
    CHECK_TRUE(state.is_complete());
}

TEST(cluster_state_test, a_server_that_ends_and_comes_back_in_one_batch_stays)
{
    auto state = configured_state();
    apply(state, store_part::servers, {server("a", 1)}, true);
    apply(state, store_part::servers, {server_removal{{"a"}}, server("a", 2)});
    CHECK_TRUE(state.takes_new_work(*state.servers().find({"a"})));
    apply(state, store_part::servers, {server("a", 3), server_removal{{"a"}}});
    CHECK_FALSE(state.takes_new_work(*state.servers().find({"a"})));
}

TEST(cluster_state_test, a_full_listing_ends_what_it_lacks)
{
    auto state = configured_state();
    apply(state, store_part::operators, {domain_update{.domain = {"hill"}, .out = true}});
    apply(state, store_part::servers, {server("a", 1)});
    apply(state, store_part::own,
          {leader_update{.present = true}, host_update{{.name = {"h"}, .lifetime = 1}}});
    CHECK_TRUE(state.is_out({"hill"}));
    CHECK_TRUE(state.has_leader());
    CHECK_TRUE(contains(apply(state, store_part::operators, {}, true), "domain_back"));
    CHECK_TRUE(contains(apply(state, store_part::servers, {}, true), "server_entry_ended"));
    CHECK_TRUE(contains(apply(state, store_part::own, {}, true), "leader_gone"));
    CHECK_FALSE(state.is_out({"hill"}));
    CHECK_FALSE(state.has_leader());
    // Other hosts may still count the host, so shared limits include it for a while.
    CHECK_EQUAL(1, state.hosts().size());
    (void)state.on_tick(start + seconds{15});
    CHECK_EQUAL(0, state.hosts().size());
}

struct missing_row {
    const char* name = "";
    std::size_t known = 0;
    std::size_t missing = 0; ///< number of them missing from the listing after the outage
    std::size_t open = 0;    ///< number of servers that take new requests
};

const missing_row missing_rows[] = {
    {"one has left while this host was cut off", 6, 1, 5},
    {"two have left", 6, 2, 4},
    {"half have lapsed while the store was away", 6, 3, 6},
    {"all have lapsed", 6, 6, 6},
    {"none is missing", 6, 0, 6},
};

/// Guards against sending new work to a server that left while the host was partitioned from the
/// store for 12 s. Such a server still answers, and its missing entry looks like a lapsed one.
TEST(cluster_state_test, a_few_missing_servers_take_no_new_work)
{
    for (const auto& row : missing_rows) {
        auto state = configured_state();
        std::vector<item_update> all;
        for (std::size_t i = 0; i < row.known; ++i) {
            all.push_back(server(("s" + std::to_string(i)).c_str(), 1));
        }
        apply(state, store_part::servers, all, true);
        state.on_store_reconnected(seconds{12}, start);
        all.erase(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(row.missing));
        apply(state, store_part::servers, all, true);
        CHECK_EQUAL_TEXT(row.open, state.servers_for_new_work({"lessons"}).size(), row.name);
    }
}

TEST(cluster_state_test, a_domain_that_is_out_takes_no_new_work)
{
    auto state = configured_state();
    apply(state, store_part::servers, {server("a", 1)}, true);
    CHECK_TRUE(state.takes_new_work(*state.servers().find({"a"})));
    apply(state, store_part::operators, {domain_update{.domain = {}, .out = true}});
    CHECK_FALSE(state.takes_new_work(*state.servers().find({"a"})));
}

TEST(cluster_state_test, reports_an_unreadable_item_once)
{
    cluster_state state{{}};
    const std::vector<item_update> items{unreadable_item{.key = "k", .field = "f"}};
    CHECK_EQUAL(1, apply(state, store_part::servers, items).size());
    CHECK_EQUAL(0, apply(state, store_part::servers, items).size());
}

TEST(cluster_state_test, reads_its_own_items)
{
    const auto item = [](const char* key, std::string value, bool removed = false) {
        return decode_own_item(
            {.item = {.key = key, .value = std::move(value), .revision = {{}, 3}},
             .removed = removed});
    };
    CHECK_TRUE(std::get<leader_update>(item("figreach/leader", "h")).present);
    CHECK_FALSE(std::get<leader_update>(item("figreach/leader", "", true)).present);
    CHECK_TRUE(std::get<host_removal>(item("figreach/hosts/h", "", true)).name.value == "h");
    CHECK_TRUE(std::holds_alternative<unreadable_item>(item("figreach/hosts/h", "\xff")));
    CHECK_TRUE(std::holds_alternative<unreadable_item>(item("figreach/keys/s", "\xff")));
    CHECK_TRUE(std::holds_alternative<unreadable_item>(item("figreach/term", "\xff")));
    CHECK_TRUE(std::holds_alternative<ignored_item>(item("figreach/else", "")));
    const auto found = item("figreach/keys/s", encode(make_key_table({"s"})));
    CHECK_TRUE(std::get<key_table_update>(found).revision == (store_revision{{}, 3}));
}
