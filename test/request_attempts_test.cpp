#include "figreach/request_attempts.h"

#include <set>

#include "property.h"
#include "request_simulation.h"

using namespace figreach;

namespace {

constexpr monotonic_time start{seconds{100}};

std::string text_of(const attempt_action& action)
{
    struct visitor {
        std::string operator()(const send_to_server&) const { return "send here"; }
        std::string operator()(const forward_request&) const { return "forward"; }
        std::string operator()(const look_up_route&) const { return "look up"; }
        std::string operator()(const no_action&) const { return "carry on"; }
        std::string operator()(const conclude& one) const { return one.clean ? "whole" : "cut"; }
        std::string operator()(const reply_with_error& one) const
        {
            return std::string{name_of(one.kind)};
        }
    };
    return std::visit(visitor{}, action);
}

struct attempt_row {
    const char* name;
    bool idempotent;
    bool forwarded;
    std::vector<attempt_event> events;
    const char* last_action;
};

const route_resolved here{route_location::local};
const route_resolved elsewhere{route_location::remote};
const route_resolved nowhere{route_location::none};

const attempt_row attempt_rows[] = {
    {"owner here", false, false, {here}, "send here"},
    {"owner elsewhere", false, false, {elsewhere}, "forward"},
    {"second hop", false, true, {elsewhere}, "not_coordinator"},
    {"no owner for a moment", false, false, {nowhere}, "look up"},
    {"no owner after a hop", false, true, {nowhere}, "no_owner"},
    {"owner comes", false, false, {nowhere, here}, "send here"},
    {"gate full", false, false, {here, rejected_locally{error_kind::queue_full}}, "queue_full"},
    {"no connection", false, false, {here, not_sent{}}, "look up"},
    {"no connection after a hop", false, true, {here, not_sent{}}, "server_unreachable"},
    {"answered", false, false, {here, sending{}, answer_begun{}, answer_ended{}}, "whole"},
    {"cut", false, false, {here, sending{}, answer_begun{}, answer_truncated{}}, "cut"},
    {"late before send", false, false, {here, deadline_passed{}}, "deadline_expired"},
    {"late after send", false, false, {here, sending{}, deadline_passed{}}, "deadline_exceeded"},
    {"late in the answer",
     true,
     false,
     {here, sending{}, answer_begun{}, deadline_passed{}},
     "cut"},
    {"lost", false, false, {here, sending{}, lost_after_send{}}, "outcome_unknown"},
    {"order with an unusable answer",
     false,
     false,
     {here, sending{}, lost_after_send{.kind = error_kind::unconfirmed_refusal}},
     "unconfirmed_refusal"},
    {"lost read", true, false, {here, sending{}, lost_after_send{}}, "look up"},
    {"lost read whose body is used up",
     true,
     false,
     {here, sending{}, lost_after_send{.replayable = false}},
     "outcome_unknown"},
    {"lost read after a hop", true, true, {here, sending{}, lost_after_send{}}, "outcome_unknown"},
    {"stale route",
     false,
     false,
     {here, sending{}, refused_not_run{error_kind::stale_route}},
     "look up"},
    {"shed",
     false,
     false,
     {here, sending{}, refused_not_run{error_kind::server_refused}},
     "server_refused"},
    {"lost read, then shed",
     true,
     false,
     {here, sending{}, lost_after_send{}, here, sending{},
      refused_not_run{error_kind::server_refused}},
     "outcome_unknown"},
    {"caller leaves", false, false, {here, sending{}, caller_left{}}, "cut"},
    {"answer after the end",
     false,
     false,
     {here, sending{}, deadline_passed{}, answer_begun{}, answer_ended{}},
     "carry on"},
};

/// The first violation found in a number of random runs; empty if there is none.
std::string violation_of(injected_bug bug)
{
    constexpr std::uint64_t most_runs = 20000;
    constexpr int steps = 150;
    for (std::uint64_t run = 0; run < most_runs; ++run) {
        request_simulation simulation{bug};
        auto state = run * 1000003;
        for (int i = 0; i < steps; ++i) {
            simulation.step(static_cast<std::uint32_t>(next_random(state)));
        }
        simulation.settle();
        if (!simulation.violation.empty()) {
            return simulation.violation;
        }
    }
    return {};
}

struct bug_row {
    const char* name;
    injected_bug part;
    std::set<std::string> violations;
};

const bug_row bug_rows[] = {
    {"resends after first byte",
     injected_bug::resends_after_first_byte,
     {"a non-idempotent request ran twice", "a request refused as not run has run"}},
    {"says not run after send",
     injected_bug::says_not_run_after_send,
     {"a request refused as not run has run"}},
    {"ignores requests elsewhere",
     injected_bug::ignores_requests_elsewhere,
     {"a start passed the limit or the cold cap"}},
    {"ignores expiry",
     injected_bug::ignores_expiry,
     {"a start passed the limit or the cold cap", "a non-idempotent request ran twice"}},
    {"window claims full coverage",
     injected_bug::window_claims_full_coverage,
     {"a non-idempotent request ran twice"}},
    {"caller repeats before the end",
     injected_bug::caller_repeats_before_the_end,
     {"a non-idempotent request ran twice"}},
};

} // namespace

TEST_GROUP(request_attempts_test){};

TEST(request_attempts_test, follows_the_table)
{
    for (const auto& row : attempt_rows) {
        retry_budget budget{{}};
        request_attempts attempts{{},
                                  {.idempotent = row.idempotent,
                                   .forwarded = row.forwarded,
                                   .arrival = start,
                                   .deadline = start + seconds{2}},
                                  budget,
                                  1};
        attempt_action last = no_action{};
        for (const auto& event : row.events) {
            last = attempts.handle(event, start);
        }
        STRCMP_EQUAL_TEXT(row.last_action, text_of(last).c_str(), row.name);
    }
}

TEST(request_attempts_test, sends_nothing_from_the_deadline_on)
{
    const std::vector<attempt_event> events{here, nowhere, elsewhere, not_sent{}, sending{}};
    for (const auto& event : events) {
        retry_budget budget{{}};
        request_attempts attempts{{}, {.arrival = start, .deadline = start}, budget, 1};
        STRCMP_EQUAL("deadline_expired", text_of(attempts.handle(event, start)).c_str());
        CHECK_FALSE(attempts.may_run());
    }
}

TEST(request_attempts_test, waits_for_a_route_a_bounded_time)
{
    retry_budget budget{{}};
    const attempt_settings settings{};
    request_attempts attempts{
        settings, {.arrival = start, .deadline = start + seconds{30}}, budget, 1};
    auto now = start;
    auto action = attempts.handle(nowhere, now);
    while (const auto* wait = std::get_if<look_up_route>(&action)) {
        now += wait->delay;
        action = attempts.handle(nowhere, now);
    }
    STRCMP_EQUAL("no_owner", text_of(action).c_str());
    CHECK(now - start == settings.max_route_wait);
}

TEST(request_attempts_test, keeps_its_promises_whatever_happens)
{
    CHECK_PROPERTY("promises", [](const std::vector<std::uint16_t>& seeds) {
        request_simulation simulation{injected_bug::none};
        std::uint64_t state = 0;
        constexpr int steps_per_seed = 8;
        for (const auto seed : seeds) {
            state += seed;
            for (int i = 0; i < steps_per_seed; ++i) {
                simulation.step(static_cast<std::uint32_t>(next_random(state)));
            }
        }
        simulation.settle();
        RC_ASSERT(simulation.violation == "");
    });
}

TEST(request_attempts_test, keeps_its_promises_in_long_runs)
{
    STRCMP_EQUAL("", violation_of(injected_bug::none).c_str());
}

TEST(request_attempts_test, finds_each_broken_variant)
{
    for (const auto& row : bug_rows) {
        const auto found = violation_of(row.part);
        CHECK_TRUE_TEXT(row.violations.contains(found), (row.name + (": " + found)).c_str());
    }
}

/// Guards against refusing requests because connections that could not be made have used up the
/// budget of retries.
TEST(request_attempts_test, only_a_retry_of_something_sent_draws_on_the_budget)
{
    retry_budget budget{{.percent = 0, .max_retries = 0}};
    const auto last_action = [&budget](const std::vector<attempt_event>& events) {
        const attempt_facts facts{
            .divided_by_key = false, .arrival = start, .deadline = start + seconds{10}};
        request_attempts attempts{{}, facts, budget, 1};
        attempt_action out = no_action{};
        for (const auto& event : events) {
            out = attempts.handle(event, start);
        }
        return text_of(out);
    };
    STRCMP_EQUAL("look up", last_action({here, not_sent{}}).c_str());
    STRCMP_EQUAL(
        "server_refused",
        last_action({here, sending{}, refused_not_run{error_kind::server_refused}}).c_str());
}
