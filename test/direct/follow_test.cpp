#include "figreach/direct/follow.h"

#include <limits>

#include "../property.h"

using namespace figreach;
using namespace figreach::direct;

namespace {

constexpr monotonic_time start{std::chrono::hours{1}};

constexpr store_era first_era{1};

store_revision at(std::int64_t number)
{
    return {first_era, number};
}

store_snapshot empty_at(std::int64_t number)
{
    return {.items = {}, .revision = at(number)};
}

store_changes changes(const std::vector<std::int64_t>& revisions, std::int64_t position)
{
    store_changes out{.changes = {}, .revision = at(position)};
    for (const auto revision : revisions) {
        out.changes.push_back({.item = {.key = "k", .value = "v", .revision = at(revision)}});
    }
    return out;
}

struct after_row {
    const char* name;
    std::int64_t after_revision;
    milliseconds confirmed_after;
    int change_count; ///< negative if not known
};

const after_row after_rows[] = {
    {"all since the snapshot", 10, {}, 3},
    {"some", 12, {}, 2},
    {"none", 15, {}, 0},
    {"ahead of this host", 20, {}, 0},
    {"before the snapshot", 9, {}, -1},
    {"not confirmed lately", 10, milliseconds{1}, -1},
};

} // namespace

TEST_GROUP(follow_test){};

TEST(follow_test, a_log_tells_what_came_after_a_revision)
{
    change_log log;
    CHECK_FALSE(log.after(at(0), start, false).has_value());
    log.restart(empty_at(10), start);
    log.add(changes({11, 13}, 13), start);
    // A slow watch delivers the same changes again.
    log.add(changes({11, 13, 14}, 15), start);
    for (const auto& row : after_rows) {
        const auto later = log.after(at(row.after_revision), start + row.confirmed_after, false);
        CHECK_EQUAL_TEXT(row.change_count < 0, !later.has_value(), row.name);
        if (later) {
            CHECK_EQUAL_TEXT(static_cast<std::size_t>(row.change_count), later->changes.size(),
                             row.name);
            CHECK_TRUE_TEXT(later->revision == at(15), row.name);
        }
    }
}

TEST(follow_test, of_configurations_only_the_newest_is_told)
{
    change_log log{kept_changes::newest_of_each_key};
    log.restart(empty_at(10), start);
    auto both = changes({11, 12}, 12);
    both.changes.push_back({.item = {.key = "other", .value = "v", .revision = at(12)}});
    log.add(both, start);
    log.add(changes({14}, 15), start);
    const auto later = log.after(at(10), start, false);
    CHECK_EQUAL(2, later->changes.size());
    CHECK_TRUE(later->changes[0].item.revision == at(12));
    CHECK_TRUE(later->changes[1].item.revision == at(14));
    CHECK_TRUE(later->revision == at(15));
    CHECK_TRUE(log.after(at(14), start, false)->changes.empty());
    const auto newest = newest_of_each_key(changes({11, 12, 13}, 20));
    CHECK_EQUAL(1, newest.changes.size());
    CHECK_TRUE(newest.changes[0].item.revision == at(13));
    CHECK_TRUE(newest.revision == at(20));
}

struct era_row {
    const char* name = "";
    store_revision known;
    bool wants_listing = false;
    std::optional<bool> whole; ///< whether the answer is a full listing; empty if there is none
};

const era_row era_rows[] = {
    {"the same era", at(10), true, false},
    {"nothing", at(0), true, true},
    {"nothing, listing not wanted", at(0), false, std::nullopt},
    {"an earlier era", {store_era{0}, 99}, true, true},
    {"an earlier era, listing not wanted yet", {store_era{0}, 99}, false, false},
    {"a later era than the log's", {store_era{2}, 1}, true, std::nullopt},
};

TEST(follow_test, a_log_lists_all_items_for_who_knows_nothing_or_an_earlier_era)
{
    for (const auto& row : era_rows) {
        change_log log;
        log.restart({.items = {{.key = "a", .value = "v", .revision = at(3)}}, .revision = at(10)},
                    start);
        log.add(changes({11}, 11), start);
        const auto found = log.after(row.known, start, row.wants_listing);
        CHECK_EQUAL_TEXT(row.whole.has_value(), found.has_value(), row.name);
        if (!found) {
            continue;
        }
        CHECK_EQUAL_TEXT(*row.whole, found->whole, row.name);
        const bool is_unchanged = !*row.whole && row.known.era() < first_era;
        CHECK_TRUE_TEXT(!is_unchanged || found->revision == row.known, row.name);
        CHECK_TRUE_TEXT(!is_unchanged || found->changes.empty(), row.name);
        CHECK_TRUE_TEXT(!found->whole || found->changes.size() == 2, row.name);
        CHECK_TRUE_TEXT(!found->whole || found->changes.front().item.key == "a", row.name);
        CHECK_TRUE_TEXT(!found->whole || found->revision == at(11), row.name);
    }
}

/// Guards against starting hosts that all have to read the store because its entries change often.
TEST(follow_test, a_log_without_the_oldest_changes_lists_what_is_present)
{
    change_log log;
    log.restart({.items = {{.key = "a", .value = "v", .revision = at(0)},
                           {.key = "b", .value = "v", .revision = at(0)}},
                 .revision = at(0)},
                start);
    constexpr std::int64_t many = 5000;
    for (std::int64_t revision = 1; revision <= many; ++revision) {
        log.add(changes({revision}, revision), start);
    }
    log.add({.changes = {{.item = {.key = "b", .value = {}, .revision = at(many + 1)},
                          .removed = true}},
             .revision = at(many + 1)},
            start);
    const auto listing = log.after({store_era{0}, 7}, start, true);
    CHECK_TRUE(listing.has_value());
    CHECK_TRUE(listing->whole);
    CHECK_TRUE(listing->revision == at(many + 1));
    CHECK_EQUAL(2, listing->changes.size());
    CHECK_TRUE(listing->changes[0].item.key == "a");
    CHECK_TRUE(listing->changes[1].item.revision == at(many));
}

/// Guards against a leader that never again learns of its key table, since the answer to its watch
/// holds every version and takes longer than the time-out.
TEST(follow_test, a_later_snapshot_continues_the_log)
{
    change_log log;
    log.restart({.items = {{.key = "gone", .value = "v", .revision = at(2)},
                           {.key = "kept", .value = "v", .revision = at(3)}},
                 .revision = at(10)},
                start);
    log.add(changes({11}, 12), start);
    const store_snapshot later{.items = {{.key = "k", .value = "w", .revision = at(30)},
                                         {.key = "kept", .value = "v", .revision = at(3)},
                                         {.key = "new", .value = "v", .revision = at(20)}},
                               .revision = at(40)};
    const auto between = log.changes_to(later);
    CHECK_EQUAL(3, between.changes.size());
    CHECK_TRUE(between.changes[0].item.key == "new");
    CHECK_TRUE(between.changes[1].item.value == "w");
    CHECK_TRUE(between.changes[2].item.key == "gone" && between.changes[2].removed);
    log.add(between, start);
    CHECK_EQUAL(3, log.after(at(12), start, false)->changes.size());
    CHECK_EQUAL(4, log.after(at(10), start, false)->changes.size());
    CHECK_TRUE(log.after(at(12), start, false)->revision == at(40));
}

TEST(follow_test, a_log_forgets_the_oldest_and_says_so)
{
    change_log log;
    log.restart(empty_at(0), start);
    constexpr std::int64_t many = 5000;
    for (std::int64_t revision = 1; revision <= many; ++revision) {
        log.add(changes({revision}, revision), start);
    }
    CHECK_FALSE(log.after(at(1), start, false).has_value());
    CHECK_EQUAL(100, log.after(at(many - 100), start, false)->changes.size());
}

TEST(follow_test, reads_what_it_wrote)
{
    const follow_request request{
        .host = {"h"},
        .positions = {{store_part::servers, at(8)}, {store_part::own, at(9)}},
        .loads = {{.service = {"lessons"}, .key = 65535, .requests = 3}},
        .service_times = {
            {.server = {"a"}, .answers = 2, .total_time = std::chrono::microseconds{99}}}};
    const auto read = decode_follow_request(encode(request));
    CHECK_TRUE(read->host == request.host);
    CHECK_TRUE(read->positions == request.positions);
    CHECK_TRUE(read->loads == request.loads);
    CHECK_TRUE(read->service_times == request.service_times);
    const follow_answer answer{
        .parts = {{.part = store_part::operators,
                   .changes = {.changes = {{.item = {.key = "k", .value = {}, .revision = at(5)},
                                            .removed = true}},
                               .revision = at(7)}}}};
    const auto decoded = decode_follow_answer(encode(answer));
    CHECK_EQUAL(1, decoded->parts.size());
    CHECK_TRUE(decoded->parts[0].changes.changes[0].removed);
    CHECK_TRUE(decoded->parts[0].changes.revision == at(7));
}

TEST(follow_test, reads_reports_of_crashing_requests_that_it_wrote)
{
    const reported_loss lost{.server = {.server = {"s"}, .lifetime = 1'700'000'000'000},
                             .failure_domain = {"d"},
                             .sender = {"h"},
                             .ran = milliseconds{20},
                             .age = milliseconds{600'000},
                             .alive_age = std::nullopt};
    auto refuted = lost;
    refuted.alive_age = milliseconds{0};
    const std::vector<crash_report> rows[] = {
        {},
        {{.digest = {.high = 1, .low = 2}, .losses = {lost}, .cleared_age = std::nullopt}},
        {{.digest = {.high = ~std::uint64_t{0}, .low = 0},
          .losses = {lost, refuted},
          .cleared_age = milliseconds{0}},
         {.digest = {.high = 0, .low = 3}, .losses = {}, .cleared_age = milliseconds{30'000}}},
    };
    for (const auto& row : rows) {
        const follow_request request{.host = {"h"}, .crashes = row};
        CHECK_TRUE(decode_follow_request(encode(request))->crashes == row);
        const follow_answer answer{.crashes = row};
        CHECK_TRUE(decode_follow_answer(encode(answer))->crashes == row);
    }
}

TEST(follow_test, reads_rate_limits_that_it_wrote_and_ignores_invalid_ones)
{
    const std::vector<rate_limit_report> valid{
        {.server = {"a"}, .rate = 6.4, .age = milliseconds{300}},
        {.server = {"b"}, .rate = {}, .age = milliseconds{0}}};
    auto sent = valid;
    sent.push_back({.server = {"c"}, .rate = -1.0, .age = {}});
    sent.push_back({.server = {"d"}, .rate = std::numeric_limits<double>::quiet_NaN(), .age = {}});
    sent.push_back({.server = {"e"}, .rate = std::numeric_limits<double>::infinity(), .age = {}});
    const follow_request request{.host = {"h"}, .rate_limits = sent};
    CHECK_TRUE(decode_follow_request(encode(request))->rate_limits == valid);
    const follow_answer answer{.rate_limits = sent};
    CHECK_TRUE(decode_follow_answer(encode(answer))->rate_limits == valid);
}

TEST(follow_test, reads_which_servers_leave_that_it_wrote)
{
    const std::vector<leaving_report> leaving{
        {.server = {"a"}, .lifetime = 1'700'000'000'123, .age = milliseconds{300}},
        {.server = {"b"}, .lifetime = 0, .age = milliseconds{0}}};
    const follow_request request{.host = {"h"}, .leaving = leaving};
    CHECK_TRUE(decode_follow_request(encode(request))->leaving == leaving);
    const follow_answer answer{.leaving = leaving, .return_left = milliseconds{1700}};
    CHECK_TRUE(decode_follow_answer(encode(answer))->leaving == leaving);
    CHECK_EQUAL(1700, decode_follow_answer(encode(answer))->return_left.count());
}

TEST(follow_test, reads_hints_and_offers_that_it_wrote)
{
    const leader_hint hint{.term = 4, .host = {"h"}, .peer_address = "127.0.0.1:1"};
    CHECK_TRUE(decode_leader_hint(encode(hint)) == hint);
    CHECK_FALSE(decode_leader_hint(encode(leader_hint{.term = 4, .host = {"h"}})).has_value());
    CHECK_FALSE(decode_leader_hint("").has_value());
    const leadership_transfer offer{
        .term = 4,
        .lease = {.era = first_era, .id = 77},
        .term_revision = at(12),
        .authority = milliseconds{900},
        .former_orders = milliseconds{3000},
        .tables = {{.table = make_key_table({"lessons"}), .revision = at(11)}}};
    CHECK_TRUE(decode_leadership_transfer(encode(offer)) == offer);
    CHECK_FALSE(decode_leadership_transfer("").has_value());
    auto damaged = offer;
    damaged.tables[0].table.ranges.clear();
    CHECK_FALSE(decode_leadership_transfer(encode(damaged)).has_value());
}

TEST(follow_test, refuses_what_it_cannot_read)
{
    CHECK_FALSE(decode_follow_request("\xff").has_value());
    CHECK_FALSE(decode_follow_request("").has_value());
    CHECK_FALSE(decode_follow_answer("\xff").has_value());
    follow_request beyond{.host = {"h"}, .positions = {}, .loads = {}, .service_times = {}};
    beyond.loads.push_back({.service = {"s"}, .key = key_count, .requests = 1});
    CHECK_FALSE(decode_follow_request(encode(beyond)).has_value());
}
