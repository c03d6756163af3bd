#include "promise_check.h"

#include "property.h"

using namespace figreach::load;

namespace {

request_record sent_request(const char* id, request_result result, const char* idempotency_key = "")
{
    return {
        .id = id, .key = "k", .idempotency_key = idempotency_key, .keyed = true, .result = result};
}

server_execution executed_by(const char* server, const char* request, std::uint64_t fence,
                             std::int64_t start_ns, const char* idempotency_key = "")
{
    return {.server = server,
            .request_id = request,
            .idempotency_key = idempotency_key,
            .key = "k",
            .fence = fence,
            .start_ns = start_ns,
            .end_ns = start_ns + 1};
}

struct broken_row {
    const char* name;
    std::vector<request_record> requests;
    std::vector<server_execution> executions;
    std::uint64_t promise_counts::*broken;
    std::uint64_t count;
};

const auto ok = request_result::answered;

const broken_row broken_rows[] = {
    {"kept",
     {sent_request("1", ok), sent_request("2", ok)},
     {executed_by("a", "1", 1, 10), executed_by("b", "2", 2, 20)},
     nullptr,
     0},
    {"fence shared by two servers",
     {sent_request("1", ok), sent_request("2", ok)},
     {executed_by("a", "1", 1, 10), executed_by("b", "2", 1, 20)},
     &promise_counts::wrong_owner,
     1},
    {"fence goes back",
     {sent_request("1", ok), sent_request("2", ok)},
     {executed_by("a", "1", 1, 20), executed_by("b", "2", 2, 10)},
     &promise_counts::wrong_owner,
     1},
    {"foreign answer",
     {sent_request("1", request_result::foreign_answer)},
     {executed_by("a", "1", 1, 10)},
     &promise_counts::foreign_answers,
     1},
    {"shortened answer",
     {sent_request("1", request_result::shortened_answer)},
     {executed_by("a", "1", 1, 10)},
     &promise_counts::shortened_answers,
     1},
    {"refused and run",
     {sent_request("1", request_result::not_run)},
     {executed_by("a", "1", 1, 10)},
     &promise_counts::not_run_that_ran,
     1},
    {"refused and not run", {sent_request("1", request_result::not_run)}, {}, nullptr, 0},
    {"ran twice",
     {sent_request("1", ok, "once"), sent_request("1-again", ok, "once")},
     {executed_by("a", "1", 1, 10, "once"), executed_by("a", "1-again", 1, 20, "once")},
     &promise_counts::ran_twice,
     1},
    {"repeat got the first answer",
     {sent_request("1", ok, "once"), sent_request("1-again", ok, "once")},
     {executed_by("a", "1", 1, 10, "once")},
     nullptr,
     0},
    {"no record of the run",
     {sent_request("1", ok)},
     {},
     &promise_counts::answered_without_execution,
     1},
};

} // namespace

TEST_GROUP(promise_check_test){};

TEST(promise_check_test, counts_each_broken_promise)
{
    for (const auto& row : broken_rows) {
        const auto counts = check_promises(row.requests, row.executions);
        if (row.broken == nullptr) {
            UNSIGNED_LONGS_EQUAL_TEXT(0, counts.broken(), row.name);
            UNSIGNED_LONGS_EQUAL_TEXT(0, counts.answered_without_execution, row.name);
        }
        else {
            UNSIGNED_LONGS_EQUAL_TEXT(row.count, counts.*row.broken, row.name);
        }
    }
}

TEST(promise_check_test, ignores_owners_of_services_that_are_not_divided_by_key)
{
    auto one = sent_request("1", ok);
    auto other = sent_request("2", ok);
    one.keyed = false;
    other.keyed = false;
    const auto counts =
        check_promises({one, other}, {executed_by("a", "1", 1, 10), executed_by("b", "2", 1, 20)});
    UNSIGNED_LONGS_EQUAL(0, counts.broken());
}

TEST(promise_check_test, counts_a_wrong_owner_at_any_place_of_a_valid_history)
{
    CHECK_PROPERTY("wrong owner is seen", [](std::uint8_t length) {
        const auto count = static_cast<std::int64_t>(length % 20) + 2;
        std::vector<request_record> requests;
        std::vector<server_execution> executions;
        for (std::int64_t i = 0; i < count; ++i) {
            const auto id = std::to_string(i);
            const auto fence = static_cast<std::uint64_t>(i / 3 + 1);
            requests.push_back(sent_request(id.c_str(), ok));
            executions.push_back(
                executed_by(fence % 2 == 0 ? "a" : "b", id.c_str(), fence, i * 10));
        }
        RC_ASSERT(check_promises(requests, executions).broken() == 0);
        const auto at = *rc::gen::inRange<std::int64_t>(1, count);
        executions[static_cast<std::size_t>(at)].server = "intruder";
        executions[static_cast<std::size_t>(at)].fence =
            executions[static_cast<std::size_t>(at - 1)].fence;
        RC_ASSERT(check_promises(requests, executions).wrong_owner > 0);
    });
}
