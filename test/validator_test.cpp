#include "figreach/validator.h"

#include <functional>

#include "property.h"

using namespace figreach;

namespace {

const partition_id lessons{.service = {"lessons"}, .number = 0};
const backend_server_id server{"server-1"};
const monotonic_time start{std::chrono::hours{1}};
const ownership_settings settings;
const milliseconds hold = settings.authority + settings.drift_margin;

peer_message message_from(const std::string& host, std::uint64_t incarnation = 1)
{
    return {.sender = {host}, .incarnation = incarnation, .body = {}};
}

confirm_request make_request(std::uint64_t sequence, std::uint64_t version, bool with_server = true)
{
    confirm_request out{.sequence = sequence, .known = {.id = lessons, .version = version}};
    if (with_server) {
        out.servers.push_back(server);
    }
    return out;
}

/// A recovered validator from which "a" holds the server since `start + hold` at version 5.
validator held_by_a()
{
    validator out{settings};
    out.start(start);
    out.mark_all_versions_current();
    CHECK_EQUAL(1U, out.answer(message_from("a"), make_request(1, 5), start + hold).servers.size());
    return out;
}

struct answer_row {
    const char* name;
    std::function<confirm_answer(validator&)> send;
    bool confirms;
};

const answer_row answer_rows[] = {
    {"holder again",
     [](validator& v) { return v.answer(message_from("a"), make_request(2, 5), start + hold); },
     true},
    {"holder with an older version",
     [](validator& v) { return v.answer(message_from("a"), make_request(2, 4), start + hold); },
     false},
    {"another host",
     [](validator& v) { return v.answer(message_from("b"), make_request(1, 5), start + hold); },
     false},
    {"the holder's next incarnation",
     [](validator& v) { return v.answer(message_from("a", 2), make_request(1, 5), start + hold); },
     false},
    {"another host just before the hold ends",
     [](validator& v) {
         return v.answer(message_from("b"), make_request(1, 5), start + 2 * hold - milliseconds{1});
     },
     false},
    {"another host when the hold has ended",
     [](validator& v) { return v.answer(message_from("b"), make_request(1, 5), start + 2 * hold); },
     true},
    {"another host after the holder gave up",
     [](validator& v) {
         (void)v.answer(message_from("a"), make_request(2, 5, false), start + hold);
         return v.answer(message_from("b"), make_request(1, 5), start + hold);
     },
     true},
    {"late request of a holder that gave up",
     [](validator& v) {
         (void)v.answer(message_from("a"), make_request(3, 5, false), start + hold);
         return v.answer(message_from("a"), make_request(2, 5), start + hold);
     },
     false},
    {"holder, when a higher version was heard of",
     [](validator& v) {
         v.learn({.id = lessons, .version = 6});
         return v.answer(message_from("a"), make_request(2, 5), start + hold);
     },
     false},
};

} // namespace

TEST_GROUP(validator_test){};

TEST(validator_test, confirms_one_coordinator_at_the_highest_version)
{
    for (const auto& row : answer_rows) {
        auto subject = held_by_a();
        CHECK_EQUAL_TEXT(row.confirms, !row.send(subject).servers.empty(), row.name);
    }
}

TEST(validator_test, confirms_nothing_after_a_restart_until_holds_ended_and_versions_are_known)
{
    validator subject{settings};
    subject.start(start);
    CHECK_TRUE(subject.answer(message_from("a"), make_request(1, 5), start + hold).recovering);
    subject.mark_version_current(lessons);
    CHECK_TRUE(subject.answer(message_from("a"), make_request(2, 5), start + hold - milliseconds{1})
                   .recovering);
    CHECK_EQUAL(1U,
                subject.answer(message_from("a"), make_request(3, 5), start + hold).servers.size());
}

TEST(validator_test, tells_the_highest_version_that_it_heard_of)
{
    auto subject = held_by_a();
    CHECK_EQUAL(9U, subject.answer(message_from("b"), make_request(1, 9), start).known.version);
    CHECK_EQUAL(9U, subject.answer(message_from("a"), make_request(2, 5), start).known.version);
}
