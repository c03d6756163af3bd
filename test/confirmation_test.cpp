#include "figreach/confirmation.h"

#include "property.h"

using namespace figreach;

namespace {

const backend_server_id server{"server-1"};
const monotonic_time start{std::chrono::hours{1}};
const ownership_settings settings;

partition document(std::vector<host_id> validators, std::vector<host_id> previous)
{
    return {.id = {.service = {"lessons"}, .number = 0},
            .version = 3,
            .writer = "w",
            .backend_servers = {server},
            .slices = {{.first = 0, .owner = 0, .fence = 1}},
            .validators = std::move(validators),
            .previous_validators = std::move(previous)};
}

confirm_answer yes(const confirm_request& request)
{
    return {.sequence = request.sequence, .known = request.known, .servers = request.servers};
}

struct majority_row {
    const char* name;
    std::vector<host_id> validators;
    std::vector<host_id> previous;
    std::vector<host_id> answer;
    bool confirmed;
};

const majority_row majority_rows[] = {
    {"none of three", {{"a"}, {"b"}, {"c"}}, {}, {}, false},
    {"one of three", {{"a"}, {"b"}, {"c"}}, {}, {{"a"}}, false},
    {"one of three twice", {{"a"}, {"b"}, {"c"}}, {}, {{"a"}, {"a"}}, false},
    {"two of three", {{"a"}, {"b"}, {"c"}}, {}, {{"a"}, {"c"}}, true},
    {"strangers", {{"a"}, {"b"}, {"c"}}, {}, {{"x"}, {"y"}}, false},
    {"two of four", {{"a"}, {"b"}, {"c"}, {"d"}}, {}, {{"a"}, {"b"}}, false},
    {"only the new set", {{"a"}, {"b"}, {"c"}}, {{"d"}, {"e"}, {"f"}}, {{"a"}, {"b"}}, false},
    {"both sets", {{"a"}, {"b"}, {"c"}}, {{"a"}, {"e"}, {"f"}}, {{"a"}, {"b"}, {"f"}}, true},
    {"no validators", {}, {}, {{"a"}}, false},
};

} // namespace

TEST_GROUP(confirmation_test){};

TEST(confirmation_test, needs_a_majority_of_each_set)
{
    for (const auto& row : majority_rows) {
        confirmation one{settings};
        const auto request =
            one.begin_round(document(row.validators, row.previous), {server}, start);
        for (const auto& host : row.answer) {
            one.on_answer(host, yes(request));
        }
        const auto until = row.confirmed ? start + settings.authority : monotonic_time{};
        CHECK_TRUE_TEXT(until == one.authority_until(server), row.name);
        CHECK_EQUAL_TEXT(row.confirmed ? 3U : 0U, one.confirmed_version(server), row.name);
        CHECK_EQUAL_TEXT(row.confirmed ? 3U : 0U, one.known_version(), row.name);
    }
}

TEST(confirmation_test, counts_no_recovering_validator_and_no_other_version)
{
    confirmation one{settings};
    const auto request = one.begin_round(document({{"a"}}, {}), {server}, start);
    auto recovering = yes(request);
    recovering.recovering = true;
    one.on_answer({"a"}, recovering);
    auto higher = yes(request);
    higher.known.version = 4;
    one.on_answer({"a"}, higher);
    CHECK_TRUE(one.authority_until(server) == monotonic_time{});
    CHECK_TRUE(one.last_majority_contact() == start);
}

TEST(confirmation_test, late_answers_bring_back_no_server_that_was_given_up)
{
    confirmation one{settings};
    const auto first = one.begin_round(document({{"a"}}, {}), {server}, start);
    (void)one.begin_round(document({{"a"}}, {}), {}, start);
    (void)one.begin_round(document({{"a"}}, {}), {server}, start);
    one.on_answer({"a"}, yes(first));
    CHECK_TRUE(one.authority_until(server) == monotonic_time{});
}

TEST(confirmation_test, authority_runs_from_the_sending_of_the_request)
{
    confirmation one{settings};
    const auto first = one.begin_round(document({{"a"}}, {}), {server}, start);
    const auto second = one.begin_round(document({{"a"}}, {}), {server}, start + milliseconds{200});
    one.on_answer({"a"}, yes(second));
    one.on_answer({"a"}, yes(first));
    CHECK_TRUE(one.authority_until(server) == start + milliseconds{200} + settings.authority);
}
