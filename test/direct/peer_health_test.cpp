#include "figreach/direct/peer_health.h"

#include "../property.h"

using namespace figreach;
using namespace figreach::direct;

namespace {

constexpr monotonic_time start{std::chrono::hours{1}};
const host_id peer{"h2"};

enum class event : std::uint8_t { sent, answered, given_up, failed };

struct timed_event {
    milliseconds at{0};
    event what = event::sent;
};

struct health_row {
    const char* name;
    std::vector<timed_event> events;
    milliseconds at{0};
    bool usable;
};

const health_row health_rows[] = {
    {"unknown", {}, {}, true},
    {"a pending call", {{{}, event::sent}}, milliseconds{900}, true},
    {"silent with a pending call", {{{}, event::sent}}, milliseconds{1000}, false},
    {"silent with nothing pending",
     {{{}, event::sent}, {milliseconds{10}, event::answered}},
     seconds{9},
     true},
    {"answers some calls while others are pending",
     {{{}, event::sent}, {{}, event::sent}, {milliseconds{900}, event::answered}},
     milliseconds{1800},
     true},
    {"silent since a call after a pause",
     {{{}, event::sent}, {{}, event::answered}, {seconds{5}, event::sent}},
     milliseconds{5900},
     true},
    {"failed", {{{}, event::sent}, {{}, event::failed}, {{}, event::given_up}}, {}, false},
    {"failed a while ago",
     {{{}, event::sent}, {{}, event::failed}, {{}, event::given_up}},
     seconds{1},
     true},
    {"answered after a failure",
     {{{}, event::sent}, {{}, event::sent}, {{}, event::failed}, {{}, event::answered}},
     milliseconds{10},
     true},
};

void apply(peer_health& health, const timed_event& one)
{
    const auto now = start + one.at;
    switch (one.what) {
    case event::sent:
        health.on_sent(peer, now);
        break;
    case event::answered:
        health.on_finished(peer, true, now);
        break;
    case event::given_up:
        health.on_finished(peer, false, now);
        break;
    case event::failed:
        health.on_failed(peer, now);
        break;
    }
}

} // namespace

TEST_GROUP(peer_health_test){};

TEST(peer_health_test, avoids_peers_that_fail_or_fall_silent)
{
    for (const auto& row : health_rows) {
        peer_health health{{}};
        for (const auto& one : row.events) {
            apply(health, one);
        }
        CHECK_EQUAL_TEXT(row.usable, health.is_usable(peer, start + row.at), row.name);
        health.on_tick(start + row.at);
        CHECK_EQUAL_TEXT(row.usable, health.is_usable(peer, start + row.at), row.name);
    }
}
