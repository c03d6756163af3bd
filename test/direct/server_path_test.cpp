#include "figreach/direct/server_path.h"

#include "../property.h"

using namespace figreach;
using namespace figreach::direct;

namespace {

constexpr monotonic_time start{std::chrono::hours{1}};

enum class event : std::uint8_t { reached, failed, stopped_until };

struct timed_event {
    milliseconds at{0};
    event what = event::reached;
    const char* server = "";
};

struct path_row {
    const char* name;
    std::size_t servers; ///< known ones
    std::vector<timed_event> events;
    bool lost;
};

constexpr milliseconds early{100};
constexpr milliseconds late{500};

const path_row path_rows[] = {
    {"nothing tried", 9, {}, false},
    {"one server down", 9, {{late, event::failed, "a"}, {late, event::failed, "a"}}, false},
    {"all tried servers fail",
     9,
     {{late, event::failed, "a"}, {late, event::failed, "b"}, {late, event::failed, "c"}},
     true},
    {"some servers went down a moment ago",
     9,
     {{early, event::failed, "a"}, {early, event::failed, "b"}, {early, event::failed, "c"}},
     false},
    {"another server is reached",
     9,
     {{early, event::failed, "a"},
      {early, event::failed, "b"},
      {late, event::reached},
      {late, event::failed, "c"}},
     false},
    {"a server is reached again",
     9,
     {{late, event::failed, "a"},
      {late, event::failed, "b"},
      {late, event::failed, "c"},
      {late, event::reached}},
     false},
    {"the only server fails", 1, {{late, event::failed, "a"}}, true},
    {"no server is known", 0, {{late, event::failed, "a"}}, true},
    {"the host itself stood still",
     9,
     {{milliseconds{5000}, event::stopped_until},
      {milliseconds{5000}, event::failed, "a"},
      {milliseconds{5000}, event::failed, "b"},
      {milliseconds{5000}, event::failed, "c"}},
     false},
};

/// Plays the events with ticks between them, except while the host stands still.
bool is_lost_after(const path_row& row)
{
    server_path path{{}, start};
    auto ticked_at = start;
    for (const auto& one : row.events) {
        const auto at = start + one.at;
        while (one.what != event::stopped_until && ticked_at + milliseconds{50} <= at) {
            ticked_at += milliseconds{50};
            path.on_tick(ticked_at);
        }
        switch (one.what) {
        case event::reached:
            path.on_reached(at);
            break;
        case event::failed:
            path.on_failed({one.server}, row.servers, at);
            break;
        case event::stopped_until:
            ticked_at = at;
            path.on_tick(at);
            break;
        }
    }
    return path.is_lost();
}

} // namespace

TEST_GROUP(server_path_test){};

TEST(server_path_test, is_lost_only_if_connections_to_several_servers_fail)
{
    for (const auto& row : path_rows) {
        CHECK_EQUAL_TEXT(row.lost, is_lost_after(row), row.name);
    }
}

TEST(server_path_test, reports_each_change_once)
{
    server_path path{{}, start};
    const auto now = start + late;
    CHECK_FALSE(path.on_failed({"a"}, 9, now));
    CHECK_FALSE(path.on_failed({"b"}, 9, now));
    CHECK_TRUE(path.on_failed({"c"}, 9, now));
    CHECK_FALSE(path.on_failed({"d"}, 9, now));
    CHECK_TRUE(path.on_reached(now));
    CHECK_FALSE(path.on_reached(now));
}

TEST(server_path_test, probes_only_while_servers_are_silent)
{
    server_path path{{}, start};
    CHECK_FALSE(path.should_probe(start + late));
    path.on_sent();
    CHECK_FALSE(path.should_probe(start + early));
    CHECK_TRUE(path.should_probe(start + late));
    CHECK_FALSE(path.should_probe(start + late));
    CHECK_TRUE(path.should_probe(start + late + milliseconds{300}));
    path.on_reached(start + seconds{1});
    CHECK_FALSE(path.should_probe(start + seconds{1}));
    path.on_finished();
    CHECK_FALSE(path.should_probe(start + seconds{2}));
}
