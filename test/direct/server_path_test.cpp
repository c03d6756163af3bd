#include "figreach/direct/server_path.h"

#include "../property.h"

using namespace figreach;
using namespace figreach::direct;

namespace {

constexpr monotonic_time start{std::chrono::hours{1}};

enum class event : std::uint8_t { answered, connected, failed, stopped_until };

struct timed_event {
    milliseconds at{0};
    event what = event::answered;
    const char* server = "";
};

struct path_row {
    const char* name;
    std::size_t servers; ///< known ones
    std::vector<timed_event> events;
    bool lost;
    bool connects_fail;
};

constexpr milliseconds early{100};
constexpr milliseconds late{500};

const path_row path_rows[] = {
    {"nothing tried", 9, {}, false, false},
    {"one server down", 9, {{late, event::failed, "a"}, {late, event::failed, "a"}}, false, false},
    {"all tried servers fail",
     9,
     {{late, event::failed, "a"}, {late, event::failed, "b"}, {late, event::failed, "c"}},
     true,
     true},
    {"some servers went down a moment ago",
     9,
     {{early, event::failed, "a"}, {early, event::failed, "b"}, {early, event::failed, "c"}},
     false,
     true},
    {"another server is reached",
     9,
     {{early, event::failed, "a"},
      {early, event::failed, "b"},
      {late, event::connected},
      {late, event::failed, "c"}},
     false,
     false},
    {"answers still arrive on earlier connections",
     9,
     {{late, event::failed, "a"},
      {late, event::failed, "b"},
      {late, event::answered},
      {late, event::failed, "c"}},
     false,
     true},
    {"a server is reached again",
     9,
     {{late, event::failed, "a"},
      {late, event::failed, "b"},
      {late, event::failed, "c"},
      {late, event::connected}},
     false,
     false},
    {"the only server fails", 1, {{late, event::failed, "a"}}, true, true},
    {"no server is known", 0, {{late, event::failed, "a"}}, true, true},
    {"the host itself stood still",
     9,
     {{milliseconds{5000}, event::stopped_until},
      {milliseconds{5000}, event::failed, "a"},
      {milliseconds{5000}, event::failed, "b"},
      {milliseconds{5000}, event::failed, "c"}},
     false,
     true},
};

/// Plays the events with ticks between them, except while the host stands still.
server_path path_after(const path_row& row)
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
        case event::answered:
            path.on_answer(at);
            break;
        case event::connected:
            path.on_connected(at);
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
    return path;
}

} // namespace

TEST_GROUP(server_path_test){};

TEST(server_path_test, is_lost_only_if_connections_to_several_servers_fail)
{
    for (const auto& row : path_rows) {
        const auto path = path_after(row);
        CHECK_EQUAL_TEXT(row.lost, path.is_lost(), row.name);
        CHECK_EQUAL_TEXT(row.connects_fail, path.connects_fail(), row.name);
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
    CHECK_TRUE(path.on_connected(now));
    CHECK_FALSE(path.on_connected(now));
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
    path.on_connected(start + seconds{1});
    CHECK_FALSE(path.should_probe(start + seconds{1}));
    path.on_finished();
    CHECK_FALSE(path.should_probe(start + seconds{2}));
}
