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

confirm_answer confirm_all(const confirm_request& request)
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
        confirmation subject{settings};
        const auto request =
            subject.begin_round(document(row.validators, row.previous), {server}, start);
        for (const auto& host : row.answer) {
            subject.on_answer(host, confirm_all(request));
        }
        const auto until = row.confirmed ? start + settings.authority : monotonic_time{};
        CHECK_TRUE_TEXT(until == subject.authority_until(server), row.name);
        CHECK_EQUAL_TEXT(row.confirmed ? 3U : 0U, subject.confirmed_version(server), row.name);
        CHECK_EQUAL_TEXT(row.confirmed ? 3U : 0U, subject.known_version(), row.name);
    }
}

TEST(confirmation_test, counts_no_recovering_validator_and_no_other_version)
{
    confirmation subject{settings};
    const auto request = subject.begin_round(document({{"a"}}, {}), {server}, start);
    auto recovering = confirm_all(request);
    recovering.recovering = true;
    subject.on_answer({"a"}, recovering);
    auto higher = confirm_all(request);
    higher.known.version = 4;
    subject.on_answer({"a"}, higher);
    CHECK_TRUE(subject.authority_until(server) == monotonic_time{});
    CHECK_TRUE(subject.last_majority_contact() == start);
}

TEST(confirmation_test, late_answers_bring_back_no_server_that_was_given_up)
{
    confirmation subject{settings};
    const auto first = subject.begin_round(document({{"a"}}, {}), {server}, start);
    (void)subject.begin_round(document({{"a"}}, {}), {}, start);
    (void)subject.begin_round(document({{"a"}}, {}), {server}, start);
    subject.on_answer({"a"}, confirm_all(first));
    CHECK_TRUE(subject.authority_until(server) == monotonic_time{});
}

TEST(confirmation_test, authority_runs_from_the_sending_of_the_request)
{
    confirmation subject{settings};
    const auto first = subject.begin_round(document({{"a"}}, {}), {server}, start);
    const auto second =
        subject.begin_round(document({{"a"}}, {}), {server}, start + milliseconds{200});
    subject.on_answer({"a"}, confirm_all(second));
    subject.on_answer({"a"}, confirm_all(first));
    CHECK_TRUE(subject.authority_until(server) == start + milliseconds{200} + settings.authority);
}
