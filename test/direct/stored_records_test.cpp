#include "figreach/direct/stored_records.h"

#include "../property.h"
#include "figreach/direct/crash_suspects.h"

using namespace figreach;
using namespace figreach::direct;

namespace {

key_table sample_table()
{
    return {.service = {"lessons"},
            .next_fence = 9,
            .ranges = {{.keys = {.first = 0, .last = 99},
                        .owner = {"a"},
                        .owner_lifetime = 77,
                        .fence = 8,
                        .moving = true,
                        .handover = "5c0e"},
                       {.keys = {.first = 100, .last = key_count - 1}}}};
}

crash_record sample_crashes(std::size_t requests)
{
    crash_record out{.term = 7, .reports = {}};
    for (std::uint64_t i = 0; i < requests; ++i) {
        out.reports.push_back({.digest = {.high = i, .low = 5},
                               .losses = {{.server = {.server = {"s1"}, .lifetime = 3},
                                           .failure_domain = {"d"},
                                           .sender = {"h1"},
                                           .ran = milliseconds{30},
                                           .age = milliseconds{900}}}});
    }
    return out;
}

struct damage_row {
    const char* name;
    void (*damage)(key_table& table);
};

const damage_row damage_rows[] = {
    {"gap", [](key_table& table) { table.ranges[1].keys.first = 101; }},
    {"overlap", [](key_table& table) { table.ranges[1].keys.first = 99; }},
    {"end missing", [](key_table& table) { table.ranges[1].keys.last = key_count - 2; }},
    {"end beyond the last key", [](key_table& table) { table.ranges[1].keys.last = key_count; }},
    {"no range", [](key_table& table) { table.ranges.clear(); }},
    {"a fence that is still to be used", [](key_table& table) { table.next_fence = 8; }},
};

} // namespace

TEST_GROUP(stored_records_test){};

TEST(stored_records_test, reads_what_it_wrote)
{
    CHECK_TRUE(decode_key_table(encode(sample_table())) == sample_table());
    CHECK_TRUE(decode_key_table(encode(make_key_table({"x"}))) == make_key_table({"x"}));
    const leader_term term{.term = 4,
                           .host = {"h"},
                           .host_lifetime = 8,
                           .resigned = true,
                           .hold = milliseconds{3400},
                           .former_orders = milliseconds{7100}};
    CHECK_TRUE(decode_leader_term(encode(term)) == term);
    const live_host host{
        .name = {"h"}, .lifetime = 8, .peer_address = "127.0.0.1:1", .failure_domain = {"north"}};
    CHECK_TRUE(decode_live_host(encode(host)) == host);
    CHECK_TRUE(decode_crash_record(encode(sample_crashes(3))) == sample_crashes(3));
    CHECK_TRUE(decode_crash_record("") == crash_record{});
}

struct crash_record_row {
    const char* name;
    std::string bytes;
};

TEST(stored_records_test, a_damaged_crash_record_is_none)
{
    auto without_losses = sample_crashes(1);
    without_losses.reports.front().losses.clear();
    auto many_losses = sample_crashes(1);
    for (std::uint64_t i = 0; i < 20; ++i) {
        many_losses.reports.front().losses.push_back(
            {.server = {.server = {"s"}, .lifetime = 100 + i}});
    }
    const crash_record_row rows[] = {
        {"other bytes", "\xff\xff\xff"},
        {"cut off", encode(sample_crashes(2)).substr(0, 20)},
        {"more requests than a leader writes", encode(sample_crashes(max_recorded_requests + 1))},
        {"a request without losses", encode(without_losses)},
        {"more losses than a host keeps", encode(many_losses)},
    };
    for (const auto& row : rows) {
        CHECK_FALSE_TEXT(decode_crash_record(row.bytes).has_value(), row.name);
    }
}

TEST(stored_records_test, refuses_damaged_tables)
{
    for (const auto& row : damage_rows) {
        auto table = sample_table();
        row.damage(table);
        CHECK_FALSE_TEXT(decode_key_table(encode(table)).has_value(), row.name);
    }
    CHECK_FALSE(decode_key_table("\xff\xff not a table").has_value());
    CHECK_FALSE(decode_leader_term("").has_value());
    CHECK_FALSE(decode_live_host("").has_value());
}

/// With hot keys in a large fleet the table has several ranges per server. Hosts with links of
/// 10 Mbit/s read each version that they do not get from the leader.
TEST(stored_records_test, a_range_of_a_large_table_takes_few_bytes)
{
    constexpr std::uint32_t ranges = 2048;
    constexpr std::uint32_t servers = 341;
    constexpr std::size_t most_bytes_per_range = 14;
    key_table table{.service = {"lessons"}, .next_fence = 20000, .ranges = {}};
    for (std::uint32_t i = 0; i < ranges; ++i) {
        const auto width = key_count / ranges;
        table.ranges.push_back({.keys = {.first = i * width, .last = (i + 1) * width - 1},
                                .owner = {"i-" + std::to_string(1'000'000'000 + i % servers)},
                                .owner_lifetime = 1'779'789'740'126U + i % servers,
                                .fence = table.next_fence - i - 1});
    }
    const auto bytes = encode(table);
    CHECK_TRUE(decode_key_table(bytes) == table);
    CHECK_TRUE(bytes.size() <= ranges * most_bytes_per_range);
}

TEST(stored_records_test, finds_the_range_of_each_key)
{
    const auto table = sample_table();
    const std::pair<std::uint32_t, std::uint32_t> rows[] = {
        {0, 0}, {99, 0}, {100, 100}, {key_count - 1, 100}};
    for (const auto& [key, first] : rows) {
        CHECK_EQUAL(first, range_of(table, key).keys.first);
    }
}
