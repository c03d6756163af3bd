// Records and messages between hosts as the version named in deploy/system.toml writes them. During
// an upgrade hosts of two versions read each other's bytes.

#include <functional>

#include "../property.h"
#include "figreach/direct/follow.h"
#include "figreach/direct/key_table.h"
#include "figreach/direct/key_table_delta.h"
#include "figreach/direct/stored_records.h"

using namespace figreach;
using namespace figreach::direct;

namespace {

constexpr store_era era{3};

std::string to_hex(const std::string& bytes)
{
    constexpr auto digits = "0123456789abcdef";
    std::string out;
    for (const char byte : bytes) {
        const auto value = static_cast<unsigned char>(byte);
        out += digits[value / 16];
        out += digits[value % 16];
    }
    return out;
}

std::string from_hex(const std::string& text)
{
    std::string out;
    for (std::size_t i = 0; i + 1 < text.size(); i += 2) {
        out += static_cast<char>(std::stoi(text.substr(i, 2), nullptr, 16));
    }
    return out;
}

live_host sample_host()
{
    return {.name = {"h1"},
            .lifetime = 42,
            .peer_address = "10.0.0.1:7660",
            .processor_percent = 20,
            .failure_domain = {"d1"}};
}

leader_term sample_term()
{
    return {.term = 7,
            .host = {"h1"},
            .host_lifetime = 42,
            .resigned = true,
            .hold = milliseconds{3400},
            .former_orders = milliseconds{120}};
}

key_table sample_table(std::uint64_t next_fence)
{
    auto out = make_key_table({"s"});
    out.next_fence = next_fence;
    out.ranges.front().owner = {"b1"};
    out.ranges.front().owner_lifetime = 5;
    out.ranges.front().fence = next_fence - 1;
    out.ranges.front().handover = "token";
    return out;
}

key_table_delta sample_delta()
{
    return make_delta(sample_table(9), {era, 30}, sample_table(11));
}

follow_request sample_request()
{
    return {.host = {"h2"},
            .positions = {{store_part::own, {era, 31}}, {store_part::servers, {era, 32}}},
            .loads = {{.service = {"s"}, .key = 7, .requests = 3}},
            .service_times = {{.server = {"b1"},
                               .answers = 2,
                               .total_time = std::chrono::microseconds{900}}},
            .server_loads = {{.server = {"b1"},
                              .report = {.running = 1, .waiting = 2, .slots = 4, .slowdown = 1.5},
                              .age = milliseconds{20}}},
            .rate_limits = {{.server = {"b1"}, .rate = 6.5, .age = milliseconds{30}}},
            .crashes = {},
            .era = era,
            .wants_listing = true,
            .load_cursor = 0};
}

crash_record sample_crashes()
{
    const reported_loss loss{.server = {.server = {"b1"}, .lifetime = 5},
                             .failure_domain = {"d1"},
                             .sender = {"h1"},
                             .ran = milliseconds{30},
                             .age = milliseconds{900}};
    return {.term = 7, .reports = {{.digest = {.high = 1, .low = 2}, .losses = {loss}}}};
}

leader_hint sample_hint()
{
    return {.term = 7, .host = {"h1"}, .peer_address = "10.0.0.1:7660"};
}

struct recorded_row {
    const char* name;
    std::string written; ///< by this version
    const char* recorded;
    /// Whether this version reads the bytes as the same value.
    std::function<bool(const std::string&)> reads_same;
};

bool same_request(const std::string& bytes)
{
    const auto read = decode_follow_request(bytes);
    const auto sample = sample_request();
    return read && read->host == sample.host && read->positions == sample.positions &&
           read->loads == sample.loads && read->service_times == sample.service_times &&
           read->server_loads == sample.server_loads && read->rate_limits == sample.rate_limits &&
           read->era == sample.era && read->wants_listing;
}

std::vector<recorded_row> recorded_rows()
{
    return {
        {"registration of a host", encode(sample_host()),
         "0a026831102a1a0d31302e302e302e313a3736363020142a026431",
         [](const std::string& bytes) { return decode_live_host(bytes) == sample_host(); }},
        {"term of a leader", encode(sample_term()), "080712026831182a200128c81a3078",
         [](const std::string& bytes) { return decode_leader_term(bytes) == sample_term(); }},
        {"key table", encode(sample_table(9)),
         "0a0173100922060a02623110052a038080043201013a01084a071205746f6b656e",
         [](const std::string& bytes) { return decode_key_table(bytes) == sample_table(9); }},
        {"difference of key tables", encode(sample_delta()),
         "0a0173101e180b221310ffff031a0262312005280a3a05746f6b656e",
         [](const std::string& bytes) {
             return decode_key_table_delta(bytes, era) == sample_delta();
         }},
        {"record of crashing requests", encode(sample_crashes()),
         "080712270901000000000000001102000000000000001a130a02623110051a02643122026831281e308407",
         [](const std::string& bytes) { return decode_crash_record(bytes) == sample_crashes(); }},
        {"poll of a follower", encode(sample_request()),
         "0a026832120608011020180312060802101f18031a070a01731007180322090a02623110021884072a0f0a026"
         "2311001180220042896013014320f0a026231110000000000001a40181e40034801",
         same_request},
        {"word of the leader", encode(sample_hint()), "0807120268311a0d31302e302e302e313a37363630",
         [](const std::string& bytes) { return decode_leader_hint(bytes) == sample_hint(); }},
    };
}

/// A field with a number that no version has used, as a later version may add it.
const std::string later_field = from_hex("fa7f0378797a");

} // namespace

TEST_GROUP(recorded_bytes_test){};

TEST(recorded_bytes_test, bytes_of_the_version_in_production_are_read)
{
    for (const auto& row : recorded_rows()) {
        CHECK_TRUE_TEXT(row.reads_same(from_hex(row.recorded)), row.name);
    }
}

TEST(recorded_bytes_test, the_version_in_production_can_read_what_is_written)
{
    for (const auto& row : recorded_rows()) {
        STRCMP_EQUAL_TEXT(row.recorded, to_hex(row.written).c_str(), row.name);
    }
}

TEST(recorded_bytes_test, fields_of_a_later_version_are_ignored)
{
    for (const auto& row : recorded_rows()) {
        CHECK_TRUE_TEXT(row.reads_same(from_hex(row.recorded) + later_field), row.name);
    }
}
