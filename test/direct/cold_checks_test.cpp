#include "figreach/direct/cold_checks.h"

#include <vector>

#include "../property.h"

using namespace figreach;
using namespace figreach::direct;

namespace {

constexpr monotonic_time start{std::chrono::hours{1}};
const server_lifetime server{.server = {"s1"}, .lifetime = 1};
const server_lifetime restarted{.server = {"s1"}, .lifetime = 2};
const cold_check_settings settings;

enum class event { asked, answered, failed };

struct step_row {
    const char* name;
    std::vector<event> events; ///< all at `start`
    server_lifetime of;
    milliseconds later;
    cold_check_step step;
};

const step_row step_rows[] = {
    {"never asked", {}, server, {}, cold_check_step::ask},
    {"asked", {event::asked}, server, milliseconds{50}, cold_check_step::wait},
    {"answered", {event::asked, event::answered}, server, milliseconds{50}, cold_check_step::none},
    {"answered a while ago",
     {event::asked, event::answered},
     server,
     settings.warm_lasts,
     cold_check_step::ask},
    {"did not answer",
     {event::asked, event::failed},
     server,
     settings.warm_lasts,
     cold_check_step::none},
    {"did not answer a while ago",
     {event::asked, event::failed},
     server,
     settings.failure_lasts,
     cold_check_step::ask},
    {"asked again",
     {event::asked, event::answered, event::asked},
     server,
     settings.warm_lasts,
     cold_check_step::wait},
    {"a former process has answered",
     {event::asked, event::answered},
     restarted,
     milliseconds{50},
     cold_check_step::ask},
};

void play(cold_checks& checks, event one)
{
    switch (one) {
    case event::asked:
        checks.on_asked(server);
        break;
    case event::answered:
    case event::failed:
        checks.on_finished(server, one == event::answered, start);
        break;
    }
}

} // namespace

TEST_GROUP(cold_checks_test){};

TEST(cold_checks_test, a_server_is_asked_once_in_a_while)
{
    for (const auto& row : step_rows) {
        cold_checks checks;
        for (const auto one : row.events) {
            play(checks, one);
        }
        CHECK_TRUE_TEXT(row.step == checks.next(row.of, start + row.later), row.name);
    }
}

TEST(cold_checks_test, forgets_removed_servers_unless_they_are_being_asked)
{
    const auto none_known = [](const backend_server_id&) { return false; };
    cold_checks checks;
    checks.on_asked(server);
    checks.prune(none_known);
    CHECK_TRUE(checks.next(server, start) == cold_check_step::wait);
    checks.on_finished(server, true, start);
    checks.prune(none_known);
    CHECK_TRUE(checks.next(server, start) == cold_check_step::ask);
}
