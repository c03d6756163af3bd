#include "promise_checks.h"

#include "../property.h"

using namespace figreach;
using namespace figreach::soak;

namespace {

constexpr monotonic_time start{std::chrono::hours{1}};

struct check_row {
    const char* name;
    void (*play)(promise_checks& checks);
    std::vector<promise> broken;
};

void order(promise_checks& checks)
{
    checks.sent({.id = "a", .idempotent = false, .body_bytes = 3});
}

key_holding holding(const char* server, milliseconds since)
{
    return {.server = server, .key = 7, .since = start + since};
}

void send_crashing(promise_checks& checks, const char* id, const char* identity)
{
    checks.sent({.id = id, .identity = identity});
}

/// Sends a request to a server that wants none for 3 s each time.
void send_to_resting(promise_checks& checks, milliseconds at)
{
    checks.sent({.id = "r", .host = "h 1", .sent_at = start + at});
    checks.reached("r", "s", seconds{3}, start + at);
}

/// The last of the crashes comes 300 ms after the start.
void crash_servers(promise_checks& checks, int count)
{
    const char* ids[] = {"c1", "c2", "c3"};
    for (int i = 0; i < count; ++i) {
        send_crashing(checks, ids[i], "/crash/1 from a");
        checks.arrived(ids[i], true, start + milliseconds{300 - 100 * (count - 1 - i)});
        checks.crashed(ids[i], start + milliseconds{300 - 100 * (count - 1 - i)});
    }
}

const check_row check_rows[] = {
    {"an order that ran once",
     [](promise_checks& checks) {
         order(checks);
         checks.executed("a", 3);
         checks.finished({.id = "a", .status = 200, .body = "answer to a"});
     },
     {}},
    {"an order that ran twice",
     [](promise_checks& checks) {
         order(checks);
         checks.executed("a", 3);
         checks.executed("a", 3);
     },
     {promise::ran_once}},
    {"a read that ran twice",
     [](promise_checks& checks) {
         checks.sent({.id = "a"});
         checks.executed("a", 0);
         checks.executed("a", 0);
     },
     {}},
    {"a read that ran on one server too many",
     [](promise_checks& checks) {
         checks.sent({.id = "a", .max_servers = 1});
         checks.started_at("a", "x");
         checks.started_at("a", "x");
         checks.started_at("a", "y");
     },
     {promise::servers_limited}},
    {"a read that ran on as many servers as allowed",
     [](promise_checks& checks) {
         checks.sent({.id = "a", .max_servers = 2});
         checks.started_at("a", "x");
         checks.started_at("a", "y");
     },
     {}},
    {"an order that was refused after it had run",
     [](promise_checks& checks) {
         order(checks);
         checks.executed("a", 3);
         checks.finished({.id = "a", .status = 503});
     },
     {promise::refusal_true}},
    {"an order that ran after it was refused",
     [](promise_checks& checks) {
         order(checks);
         checks.finished({.id = "a", .status = 429});
         checks.executed("a", 3);
     },
     {promise::refusal_true}},
    {"an order whose outcome is not known",
     [](promise_checks& checks) {
         order(checks);
         checks.finished({.id = "a", .status = 502});
         checks.executed("a", 3);
     },
     {}},
    {"the answer to another request",
     [](promise_checks& checks) {
         checks.sent({.id = "a"});
         checks.finished({.id = "a", .status = 200, .body = "answer to b"});
     },
     {promise::answer_own}},
    {"a request that nobody sent",
     [](promise_checks& checks) { checks.executed("b", 0); },
     {promise::request_known}},
    {"a body that was cut",
     [](promise_checks& checks) {
         order(checks);
         checks.executed("a", 2);
     },
     {promise::request_known}},
    {"two servers begin requests on a key that both hold",
     [](promise_checks& checks) {
         checks.started_on_key(holding("x", milliseconds{0}), {}, start + milliseconds{50});
         checks.started_on_key(holding("y", milliseconds{20}), {holding("x", milliseconds{0})},
                               start + milliseconds{60});
     },
     {promise::one_owner}},
    {"the former owner began its last request before the next one held the key",
     [](promise_checks& checks) {
         checks.started_on_key(holding("x", milliseconds{0}), {}, start + milliseconds{10});
         checks.started_on_key(holding("y", milliseconds{20}), {holding("x", milliseconds{0})},
                               start + milliseconds{60});
     },
     {}},
    {"two servers hold a key for long",
     [](promise_checks& checks) {
         for (const auto at : {milliseconds{600}, milliseconds{650}}) {
             checks.check_holders(
                 7, {holding("x", milliseconds{0}), holding("y", milliseconds{50})}, start + at);
         }
     },
     {promise::one_holder}},
    {"two servers hold a key for a moment",
     [](promise_checks& checks) {
         checks.check_holders(7, {holding("x", milliseconds{0}), holding("y", milliseconds{500})},
                              start + milliseconds{600});
     },
     {}},
    {"a host that goes back",
     [](promise_checks& checks) {
         checks.served_version("h", 1, 4, true);
         checks.served_version("h", 1, 3, false);
     },
     {promise::newest_version}},
    {"a host that knows less after a restart",
     [](promise_checks& checks) {
         checks.served_version("h", 1, 4, true);
         checks.served_version("h", 2, 4, false);
     },
     {}},
    {"a request that crashed three servers arrives three times more, and twice within the window",
     [](promise_checks& checks) {
         crash_servers(checks, 3);
         for (const auto at : {500, 3300, 3301, 3302, 3303}) {
             checks.arrived("c1", true, start + milliseconds{at});
         }
     },
     {}},
    {"a request that crashed three servers arrives four times more",
     [](promise_checks& checks) {
         crash_servers(checks, 3);
         for (const auto at : {3301, 3302, 9000, 9001, 9002}) {
             checks.arrived("c1", true, start + milliseconds{at});
         }
     },
     {promise::crashes_bounded}},
    {"the same request under several ids",
     [](promise_checks& checks) {
         crash_servers(checks, 3);
         for (const auto* id : {"c4", "c5", "c6", "c7"}) {
             send_crashing(checks, id, "/crash/1 from a");
             checks.arrived(id, true, start + seconds{4});
         }
     },
     {promise::crashes_bounded}},
    {"a later crash does not extend the window",
     [](promise_checks& checks) {
         crash_servers(checks, 3);
         checks.crashed("c1", start + milliseconds{3000});
         for (int i = 0; i < 4; ++i) {
             checks.arrived("c1", true, start + milliseconds{3400});
         }
     },
     {promise::crashes_bounded}},
    {"a request that crashed two servers",
     [](promise_checks& checks) {
         crash_servers(checks, 2);
         for (int i = 0; i < 9; ++i) {
             checks.arrived("c1", true, start + seconds{9});
         }
     },
     {}},
    {"another caller's request with the same path",
     [](promise_checks& checks) {
         crash_servers(checks, 3);
         send_crashing(checks, "d1", "/crash/1 from b");
         for (int i = 0; i < 9; ++i) {
             checks.arrived("d1", true, start + seconds{9});
         }
     },
     {}},
    {"arrivals from hosts that are not in touch",
     [](promise_checks& checks) {
         crash_servers(checks, 3);
         for (int i = 0; i < 9; ++i) {
             checks.arrived("c1", i < 3, start + seconds{9});
         }
     },
     {}},
    {"requests without an identity",
     [](promise_checks& checks) {
         checks.sent({.id = "a"});
         for (int i = 0; i < 9; ++i) {
             checks.crashed("a", start);
             checks.arrived("a", true, start + seconds{9});
             checks.arrived("unknown", true, start + seconds{9});
         }
     },
     {}},
    {"requests to a server that leaves, until the limit",
     [](promise_checks& checks) {
         checks.passed_on_leaving("h 1", "s", start);
         checks.passed_on_leaving("h 1", "s", start + seconds{1});
         checks.sent({.id = "a", .host = "h 1", .sent_at = start + leaving_limit});
         checks.reached("a", "s", {}, start + seconds{3});
         checks.sent({.id = "b", .host = "h 2", .sent_at = start + seconds{3}});
         checks.reached("b", "s", {}, start + seconds{3});
         checks.sent({.id = "c", .host = "h 1", .sent_at = start + seconds{3}});
         checks.reached("c", "other", {}, start + seconds{3});
     },
     {}},
    {"a request to a server that leaves, after the limit",
     [](promise_checks& checks) {
         checks.passed_on_leaving("h 1", "s", start);
         checks.sent({.id = "a", .host = "h 1", .sent_at = start + milliseconds{2001}});
         checks.reached("a", "s", {}, start + seconds{3});
     },
     {promise::leaving_kept}},
    {"a host that was paused is excused",
     [](promise_checks& checks) {
         checks.passed_on_leaving("h 1", "s", start);
         send_to_resting(checks, seconds{1});
         checks.host_paused("h");
         checks.sent({.id = "a", .host = "h 1", .sent_at = start + seconds{3}});
         checks.reached("a", "s", {}, start + seconds{3});
     },
     {}},
    {"two requests in a rest, and more before and after",
     [](promise_checks& checks) {
         for (const auto at :
              {milliseconds{0}, milliseconds{100}, milliseconds{500}, milliseconds{600},
               milliseconds{700}, milliseconds{3000}, milliseconds{3100}, milliseconds{3200}}) {
             send_to_resting(checks, at);
         }
     },
     {}},
    {"three requests in a rest",
     [](promise_checks& checks) {
         for (const auto at : {milliseconds{0}, milliseconds{600}, milliseconds{700},
                               milliseconds{2900}, milliseconds{2950}}) {
             send_to_resting(checks, at);
         }
     },
     {promise::rest_kept}},
    {"nobody is served after the faults",
     [](promise_checks& checks) { checks.answers_after_faults(0); },
     {promise::recovered}},
    {"a host that ends by itself",
     [](promise_checks& checks) { checks.unexpected_exit("h", "exit code 1, signal 0"); },
     {promise::stayed_up}},
};

} // namespace

TEST_GROUP(promise_checks_test){};

TEST(promise_checks_test, finds_just_the_broken_promises)
{
    for (const auto& row : check_rows) {
        promise_checks checks;
        row.play(checks);
        std::vector<promise> broken;
        for (const auto& one : checks.broken()) {
            broken.push_back(one.which);
        }
        CHECK_TRUE_TEXT(broken == row.broken, row.name);
    }
}
