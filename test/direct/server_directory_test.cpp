#include "figreach/direct/server_directory.h"

#include "../property.h"

using namespace figreach;
using namespace figreach::direct;

namespace {

constexpr monotonic_time start{std::chrono::hours{1}};

server_entry entry(const char* id, std::uint64_t lifetime, std::uint64_t report)
{
    return {.id = {id},
            .lifetime = lifetime,
            .report = report,
            .service = {"lessons"},
            .failure_domain = {"hill"},
            .address = "127.0.0.1:1",
            .slots = 4};
}

server_entry leaving(server_entry one)
{
    one.leaving = true;
    return one;
}

struct change_row {
    const char* name;
    std::vector<server_entry> before;
    server_entry then;
    directory_change change;
    std::uint64_t lifetime; ///< of the record afterwards
    bool leaves;
};

const change_row change_rows[] = {
    {"new", {}, entry("a", 5, 1), directory_change::added, 5, false},
    {"next report", {entry("a", 5, 1)}, entry("a", 5, 2), directory_change::updated, 5, false},
    {"older report", {entry("a", 5, 3)}, entry("a", 5, 2), directory_change::stale, 5, false},
    {"older life", {entry("a", 5, 3)}, entry("a", 4, 9), directory_change::stale, 5, false},
    {"new life", {entry("a", 5, 3)}, entry("a", 6, 1), directory_change::restarted, 6, false},
    {"leaves", {entry("a", 5, 3)}, leaving(entry("a", 5, 4)), directory_change::leaving, 5, true},
    {"older report of a server that leaves",
     {leaving(entry("a", 5, 4))},
     entry("a", 5, 3),
     directory_change::stale,
     5,
     true},
    {"new life of a server that left",
     {leaving(entry("a", 5, 4))},
     entry("a", 6, 1),
     directory_change::restarted,
     6,
     false},
};

struct said_row {
    const char* name = "";
    leaving_report said;
    server_entry then; ///< an entry that comes later
    bool is_news = false;
    bool leaves = false;
};

/// After an answer of server "a", whose entry in the directory is of lifetime 5, report 3.
const said_row said_rows[] = {
    {"next report", {{"a"}, 5}, entry("a", 5, 4), true, true},
    {"report once more", {{"a"}, 5}, entry("a", 5, 3), true, true},
    {"older report", {{"a"}, 5}, entry("a", 5, 2), true, true},
    {"older life", {{"a"}, 5}, entry("a", 4, 9), true, true},
    {"new life", {{"a"}, 5}, entry("a", 6, 1), true, false},
    {"another server", {{"a"}, 5}, entry("b", 5, 1), true, true},
    {"word of an earlier life", {{"a"}, 4}, entry("a", 5, 4), false, false},
    {"word of a later life", {{"a"}, 6}, entry("a", 5, 4), false, false},
    {"word of an unknown server", {{"c"}, 5}, entry("a", 5, 4), false, false},
};

struct return_row {
    const char* name;
    std::uint64_t report; ///< of the entry that is there again
    bool in_use;
};

/// After the entry of a server, report 3, has ended.
const return_row return_rows[] = {
    {"the store went back", 3, false},
    {"the store went further back", 2, false},
    {"the server reports again", 4, true},
};

struct loss_row {
    const char* name;
    int present;
    int ended;
    milliseconds away; ///< store outage right before
    bool gone_at_once;
};

const loss_row loss_rows[] = {
    {"one ends", 10, 1, milliseconds{0}, true},
    {"one ends right after the store's return", 10, 1, milliseconds{2000}, false},
    {"one ends right after a call to the store that failed", 10, 1, milliseconds{400}, true},
    {"two of four end", 4, 2, milliseconds{0}, true},
    {"three of twelve end at once", 12, 3, milliseconds{0}, true},
    {"half end at once", 12, 6, milliseconds{0}, true},
    {"all but one end at once", 12, 11, milliseconds{0}, true},
    {"three of twelve end right after the store's return", 12, 3, milliseconds{2000}, false},
    {"a few of many end", 40, 5, milliseconds{0}, true},
};

} // namespace

TEST_GROUP(server_directory_test){};

TEST(server_directory_test, takes_entries_in_any_order)
{
    for (const auto& row : change_rows) {
        server_directory directory{{}};
        for (const auto& one : row.before) {
            directory.apply(one, start);
        }
        CHECK_TRUE_TEXT(directory.apply(row.then, start) == row.change, row.name);
        const auto* known = directory.find({"a"});
        CHECK_EQUAL_TEXT(row.lifetime, known->entry.lifetime, row.name);
        CHECK_EQUAL_TEXT(row.leaves, known->leaving_since.has_value(), row.name);
    }
}

/// Guards against a store that is away or went back, whose entries undo what a server has said.
TEST(server_directory_test, keeps_what_a_server_has_said_for_its_lifetime)
{
    for (const auto& row : said_rows) {
        server_directory directory{{}};
        directory.apply(entry("a", 5, 3), start);
        CHECK_EQUAL_TEXT(row.is_news, directory.record_leaving(row.said, start), row.name);
        CHECK_FALSE_TEXT(directory.record_leaving(row.said, start), row.name);
        directory.apply(row.then, start + seconds{1});
        const auto* known = directory.find({"a"});
        CHECK_EQUAL_TEXT(row.leaves, known->leaving_since.has_value(), row.name);
        CHECK_EQUAL_TEXT(row.leaves ? 1 : 0, directory.leaving_reports(start).size(), row.name);
    }
}

/// Guards against using a server again that has left, because the store shows its last entry again.
TEST(server_directory_test, an_entry_that_was_seen_before_is_no_return)
{
    for (const auto& row : return_rows) {
        server_directory directory{{}};
        directory.apply(entry("a", 5, 3), start);
        directory.remove({{"a"}}, start);
        CHECK_TRUE_TEXT(directory.find({"a"})->leaving_since.has_value(), row.name);
        directory.apply(entry("a", 5, row.report), start + seconds{1});
        CHECK_EQUAL_TEXT(row.in_use, !directory.find({"a"})->leaving_since.has_value(), row.name);
    }
}

TEST(server_directory_test, counts_the_time_from_the_first_word)
{
    server_directory directory{{}};
    directory.apply(entry("a", 5, 3), start);
    directory.record_leaving({.server = {"a"}, .lifetime = 5, .age = milliseconds{300}}, start);
    CHECK_TRUE(directory.find({"a"})->leaving_since == start - milliseconds{300});
    directory.record_leaving({.server = {"a"}, .lifetime = 5, .age = {}}, start + seconds{1});
    CHECK_TRUE(directory.find({"a"})->leaving_since == start - milliseconds{300});
    const auto reports = directory.leaving_reports(start + milliseconds{700});
    CHECK_EQUAL(1000, reports.front().age.count());
    directory.apply(leaving(entry("a", 5, 4)), start + seconds{1});
    CHECK_TRUE(directory.leaving_reports(start + seconds{1}).empty());
    CHECK_TRUE(directory.find({"a"})->leaving_since == start - milliseconds{300});
}

/// Guards against forgetting that a server leaves while it still reports, and against keeping the
/// records of servers that are gone.
TEST(server_directory_test, forgets_servers_that_leave_only_after_their_entries_end)
{
    for (const bool announced : {false, true}) {
        const directory_settings settings;
        server_directory directory{settings};
        directory.apply(entry("a", 5, 3), start);
        if (announced) {
            directory.apply(leaving(entry("a", 5, 4)), start);
        }
        else {
            directory.record_leaving({.server = {"a"}, .lifetime = 5}, start);
        }
        const auto later = start + 2 * settings.forget_after;
        directory.on_tick(later);
        CHECK_TRUE(directory.find({"a"})->leaving_since.has_value());
        directory.remove({{"a"}}, later);
        directory.on_tick(later);
        CHECK_TRUE(directory.find({"a"}) != nullptr);
        directory.on_tick(later + settings.forget_after);
        CHECK_TRUE(directory.find({"a"}) == nullptr);
    }
}

/// Guards against requests to servers that are gone: entries that lapse together while the store is
/// up are no sign of an outage.
TEST(server_directory_test, waits_for_entries_that_may_have_lapsed)
{
    for (const auto& row : loss_rows) {
        server_directory directory{{}};
        std::vector<backend_server_id> ended;
        for (int i = 0; i < row.present; ++i) {
            const auto id = "s" + std::to_string(i);
            directory.apply(entry(id.c_str(), 1, 1), start);
            if (i < row.ended) {
                ended.push_back({id});
            }
        }
        directory.on_store_reconnected(row.away, start);
        directory.remove(ended, start);
        directory.on_tick(start);
        CHECK_EQUAL_TEXT(row.gone_at_once, directory.find({"s0"})->leaving_since.has_value(),
                         row.name);
        directory.on_tick(start + milliseconds{2500});
        CHECK_TRUE_TEXT(directory.find({"s0"})->leaving_since.has_value(), row.name);
        CHECK_FALSE_TEXT(directory.find({"s" + std::to_string(row.present - 1)})->leaving_since,
                         row.name);
    }
}

struct address_row {
    const char* name;
    std::uint64_t first_lifetime;
    std::uint64_t second_lifetime;
    const char* second_address;
    bool first_has_ended;
};

const address_row address_rows[] = {
    {"a later server has the address", 5, 6, "127.0.0.1:1", true},
    {"an entry of an earlier server comes late", 5, 4, "127.0.0.1:1", false},
    {"a later server elsewhere", 5, 6, "127.0.0.1:2", false},
};

TEST(server_directory_test, a_server_has_ended_once_a_later_one_has_its_address)
{
    for (const auto& row : address_rows) {
        server_directory directory{{}};
        directory.on_store_reconnected(seconds{2}, start);
        directory.apply(entry("a", row.first_lifetime, 1), start);
        auto second = entry("b", row.second_lifetime, 1);
        second.address = row.second_address;
        directory.apply(second, start + seconds{1});
        const auto* first = directory.find({"a"});
        CHECK_EQUAL_TEXT(row.first_has_ended, first->address_claimed, row.name);
        CHECK_EQUAL_TEXT(row.first_has_ended, first->leaving_since.has_value(), row.name);
        CHECK_FALSE_TEXT(directory.find({"b"})->address_claimed, row.name);
    }
}

/// Guards against leaving out a live server for good, because another entry names its address.
TEST(server_directory_test, a_server_whose_address_was_claimed_is_used_again_once_it_reports)
{
    server_directory directory{{}};
    directory.apply(entry("a", 5, 1), start);
    directory.apply(entry("b", 6, 1), start);
    CHECK_TRUE(directory.find({"a"})->address_claimed);
    directory.apply(entry("a", 5, 2), start + seconds{1});
    CHECK_FALSE(directory.find({"a"})->address_claimed);
    CHECK_FALSE(directory.find({"a"})->leaving_since.has_value());
}

struct told_row {
    const char* name;
    milliseconds left; ///< of the grace period, as another host says
    milliseconds age;  ///< of that word when an entry ends
    bool gone_at_once;
};

const told_row told_rows[] = {
    {"no outage", milliseconds{0}, milliseconds{0}, true},
    {"an outage that another host has seen", milliseconds{2000}, milliseconds{500}, false},
    {"an outage that is long over", milliseconds{300}, milliseconds{500}, true},
    {"more than there can be", seconds{60}, milliseconds{3000}, true},
};

/// Guards against ending servers whose entries lapsed in an outage that only other hosts have seen.
TEST(server_directory_test, waits_for_entries_after_an_outage_that_another_host_has_seen)
{
    for (const auto& row : told_rows) {
        server_directory directory{{}};
        directory.apply(entry("a", 5, 1), start);
        directory.expect_return_within(row.left, start);
        CHECK_TRUE_TEXT(directory.return_time_left(start) <= directory_settings{}.return_grace,
                        row.name);
        directory.remove({{"a"}}, start + row.age);
        CHECK_EQUAL_TEXT(row.gone_at_once, directory.find({"a"})->leaving_since.has_value(),
                         row.name);
    }
}

TEST(server_directory_test, keeps_a_server_that_comes_back_in_time)
{
    server_directory directory{{}};
    directory.apply(entry("a", 1, 1), start);
    directory.on_store_reconnected(seconds{2}, start);
    directory.remove({{"a"}}, start);
    CHECK_TRUE(directory.find({"a"})->missing_since.has_value());
    directory.apply(entry("a", 1, 2), start + seconds{1});
    directory.on_tick(start + seconds{5});
    CHECK_FALSE(directory.find({"a"})->missing_since.has_value());
    CHECK_FALSE(directory.find({"a"})->leaving_since.has_value());
}

TEST(server_directory_test, ends_what_was_removed_and_forgets_it_later)
{
    const directory_settings settings;
    server_directory directory{settings};
    directory.apply(entry("a", 1, 1), start);
    directory.apply(entry("b", 1, 1), start);
    directory.remove({{"a"}}, start);
    CHECK_TRUE(directory.find({"a"})->leaving_since.has_value());
    CHECK_FALSE(directory.find({"b"})->leaving_since.has_value());
    directory.on_tick(start + settings.forget_after);
    CHECK_TRUE(directory.find({"a"}) == nullptr);
}

struct said_cold_row {
    const char* name;
    std::uint64_t lifetime; ///< of the server that says so; the known one is 2
    milliseconds said_for;
    milliseconds entry_for; ///< in a later entry
    milliseconds later;
    bool cold;
};

const said_cold_row said_cold_rows[] = {
    {"said so", 2, seconds{3}, {}, seconds{2}, true},
    {"the time is over", 2, seconds{3}, {}, seconds{3}, false},
    {"its entry says longer", 2, seconds{1}, seconds{4}, seconds{3}, true},
    {"not cold", 2, {}, {}, {}, false},
    {"a former process", 1, seconds{3}, {}, seconds{1}, false},
    {"longer than is believed", 2, std::chrono::hours{1}, {}, std::chrono::minutes{2}, false},
};

/// Guards against taking the word of a server back by an entry that it wrote before.
TEST(server_directory_test, is_cold_for_as_long_as_an_answer_says)
{
    for (const auto& row : said_cold_rows) {
        server_directory directory{{}};
        directory.apply(entry("a", 2, 1), start);
        const bool is_news =
            directory.record_cold({.server = {"a"}, .lifetime = row.lifetime}, row.said_for, start);
        CHECK_EQUAL_TEXT(row.lifetime == 2 && row.said_for > milliseconds{0}, is_news, row.name);
        CHECK_FALSE_TEXT(
            directory.record_cold({.server = {"a"}, .lifetime = row.lifetime}, row.said_for, start),
            row.name);
        auto later = entry("a", 2, 2);
        later.cold_for = row.entry_for;
        directory.apply(later, start);
        CHECK_EQUAL_TEXT(row.cold, is_cold(*directory.find({"a"}), start + row.later), row.name);
    }
    server_directory empty{{}};
    CHECK_FALSE(empty.record_cold({.server = {"a"}, .lifetime = 1}, seconds{3}, start));
}

TEST(server_directory_test, is_cold_for_as_long_as_the_last_report_says)
{
    server_directory directory{{}};
    auto one = entry("a", 1, 1);
    one.cold_for = seconds{3};
    directory.apply(one, start);
    CHECK_TRUE(directory.find({"a"})->cold_until == start + seconds{3});
    one.report = 2;
    one.cold_for = seconds{1};
    directory.apply(one, start + seconds{1});
    CHECK_TRUE(directory.find({"a"})->cold_until == start + seconds{3});
    one.report = 3;
    one.cold_for = {};
    directory.apply(one, start + seconds{2});
    CHECK_TRUE(directory.find({"a"})->cold_until == start + seconds{2});
}
