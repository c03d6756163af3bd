#include "figreach/direct/server_rests.h"

#include "../property.h"

using namespace figreach;
using namespace figreach::direct;

namespace {

constexpr monotonic_time start{std::chrono::hours{1}};

struct rest_event {
    milliseconds at;
    std::uint64_t lifetime;
    milliseconds rest;
};

struct rest_row {
    const char* name;
    std::vector<rest_event> answers;
    milliseconds at; ///< when the time left is asked
    std::uint64_t lifetime;
    milliseconds left;
    std::size_t resting;
};

const rest_row rest_rows[] = {
    {"none", {}, {}, 5, {}, 0},
    {"one", {{{}, 5, seconds{3}}}, seconds{1}, 5, seconds{2}, 1},
    {"over", {{{}, 5, seconds{3}}}, seconds{3}, 5, {}, 0},
    {"zero", {{{}, 5, seconds{0}}}, {}, 5, {}, 0},
    {"a later one that ends sooner",
     {{{}, 5, seconds{3}}, {seconds{1}, 5, milliseconds{500}}},
     seconds{1},
     5,
     seconds{2},
     1},
    {"a later one that ends later",
     {{{}, 5, seconds{3}}, {seconds{1}, 5, seconds{4}}},
     seconds{1},
     5,
     seconds{4},
     1},
    {"a later zero", {{{}, 5, seconds{3}}, {seconds{1}, 5, {}}}, seconds{1}, 5, seconds{2}, 1},
    {"a new life has asked for nothing", {{{}, 5, seconds{3}}}, seconds{1}, 6, {}, 1},
    {"a new life asks",
     {{{}, 5, seconds{3}}, {seconds{1}, 6, seconds{1}}},
     seconds{1},
     6,
     seconds{1},
     1},
    {"an earlier life asks late", {{{}, 6, seconds{1}}, {{}, 5, seconds{9}}}, {}, 6, seconds{1}, 1},
    {"longer than is believed", {{{}, 5, std::chrono::hours{9}}}, {}, 5, seconds{60}, 1},
};

} // namespace

TEST_GROUP(server_rests_test){};

TEST(server_rests_test, keeps_to_the_longest_rest_that_a_server_wants)
{
    for (const auto& row : rest_rows) {
        server_rests rests;
        for (const auto& one : row.answers) {
            (void)rests.on_turned_away({"a"}, one.lifetime, one.rest, start + one.at);
        }
        const auto now = start + row.at;
        CHECK_EQUAL_TEXT(row.left.count(), rests.time_left({"a"}, row.lifetime, now).count(),
                         row.name);
        CHECK_EQUAL_TEXT(0, rests.time_left({"b"}, row.lifetime, now).count(), row.name);
        CHECK_EQUAL_TEXT(row.resting, rests.count(now), row.name);
        rests.prune(now);
        CHECK_EQUAL_TEXT(row.left.count(), rests.time_left({"a"}, row.lifetime, now).count(),
                         row.name);
    }
}

TEST(server_rests_test, tells_whether_a_rest_was_not_known)
{
    server_rests rests;
    CHECK_TRUE(rests.on_turned_away({"a"}, 5, seconds{3}, start));
    CHECK_FALSE(rests.on_turned_away({"a"}, 5, seconds{3}, start));
    CHECK_FALSE(rests.on_turned_away({"a"}, 5, seconds{1}, start + seconds{1}));
    CHECK_TRUE(rests.on_turned_away({"a"}, 5, seconds{3}, start + seconds{1}));
    CHECK_FALSE(rests.on_turned_away({"a"}, 4, seconds{9}, start));
    CHECK_TRUE(rests.on_turned_away({"a"}, 6, seconds{1}, start));
}
