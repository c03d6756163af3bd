#include "figreach/coordinator.h"

#include "property.h"

using namespace figreach;

namespace {

const monotonic_time start{std::chrono::hours{1}};
const ownership_settings settings;
const granted_slice kept{.first = 0, .last = 99, .fence = 1};
const granted_slice moved{.first = 100, .last = 199, .fence = 2};
const leaving_slice departing{
    .id = {.service = {"lessons"}, .number = 0}, .first = 100, .fence = 2};
constexpr std::uint64_t highest_seen_term = 7;

coordinated_server serving(monotonic_time until)
{
    return {.authority_until = until,
            .checks_fences = true,
            .longest_deadline = milliseconds{5000},
            .slices = {kept, moved},
            .leaving = {}};
}

coordinated_server moving(monotonic_time until, bool checks_fences = true)
{
    auto out = serving(until);
    out.checks_fences = checks_fences;
    out.slices = {kept};
    out.leaving = {departing};
    return out;
}

grant_answer accepted(const grant& asked)
{
    return {.accepted = true, .sequence = asked.sequence, .term = asked.term, .incarnation = 1};
}

/// Returns a coordinator that has queried the term and had its grant of both slices accepted at
/// `start`.
coordinator granting()
{
    coordinator out{{"host-1"}, settings, start};
    const auto target = serving(start + settings.authority);
    const auto question = out.next_grant(target, start);
    out.on_answer(
        question->sequence,
        grant_answer{.accepted = false, .sequence = question->sequence, .term = highest_seen_term},
        start);
    for (int i = 0; i < 2; ++i) {
        const auto next = out.next_grant(target, start);
        out.on_answer(next->sequence, accepted(*next), start);
    }
    return out;
}

struct release_row {
    const char* name;
    bool checks_fences;
    bool answered;
    bool idle;
    milliseconds after;
    bool stopped;
};

const milliseconds grant_end = settings.authority + settings.drift_margin;
const milliseconds deadline{5000};
const milliseconds all_ended = settings.authority + deadline + settings.drift_margin;

const release_row release_rows[] = {
    {"fenced, no answer, at once", true, false, false, milliseconds{0}, false},
    {"fenced, no answer, just before the end", true, false, false, grant_end - milliseconds{1},
     false},
    {"fenced, no answer, at the end", true, false, false, grant_end, true},
    {"fenced, answered", true, true, false, milliseconds{0}, true},
    {"unfenced, answered", false, true, false, milliseconds{0}, false},
    {"unfenced, idle, requests of earlier coordinators possible", false, false, true, grant_end,
     false},
    {"unfenced, before the deadline", false, true, false, all_ended - milliseconds{1}, false},
    {"unfenced, past the deadline", false, false, false, all_ended, true},
};

} // namespace

TEST_GROUP(coordinator_test){};

TEST(coordinator_test, asks_for_the_term_before_it_grants)
{
    coordinator one{{"host-1"}, settings, start};
    const auto target = serving(start + settings.authority);
    const auto question = one.next_grant(target, start);
    CHECK_EQUAL(0U, question->term);
    CHECK_TRUE(question->slices.empty());
    one.on_answer(question->sequence, grant_answer{.term = highest_seen_term}, start);
    const auto first = one.next_grant(target, start);
    CHECK_EQUAL(highest_seen_term + 1, first->term);
    CHECK_TRUE(first->duration == milliseconds{0});
    one.on_answer(first->sequence, accepted(*first), start);
    const auto second = one.next_grant(target, start);
    CHECK_EQUAL(first->sequence, second->after);
    CHECK_TRUE(second->duration == settings.grant_duration);
}

TEST(coordinator_test, grants_never_outlast_the_authority)
{
    CHECK_PROPERTY("grant ends within authority", [] {
        auto one = granting();
        const milliseconds left{*rc::gen::inRange(0, 2000)};
        const auto now = start + milliseconds{*rc::gen::inRange(150, 2000)};
        const auto next = one.next_grant(serving(now + left), now);
        RC_ASSERT(next.has_value() == (left.count() > 0));
        RC_ASSERT(!next || next->duration <= left);
    });
}

TEST(coordinator_test, waits_until_a_leaving_slice_is_no_longer_served)
{
    for (const auto& row : release_rows) {
        auto one = granting();
        const auto target = moving(start + std::chrono::minutes{1}, row.checks_fences);
        const auto without = one.next_grant(target, start);
        if (row.answered) {
            one.on_answer(without->sequence, accepted(*without), start);
        }
        if (row.idle) {
            one.on_idle({departing});
        }
        CHECK_EQUAL_TEXT(row.stopped, one.no_longer_served(departing, target, start + row.after),
                         row.name);
    }
}

TEST(coordinator_test, an_answer_to_an_earlier_grant_releases_nothing)
{
    auto one = granting();
    const auto target = serving(start + settings.authority);
    const auto with = one.next_grant(target, start + settings.grant_interval);
    const auto after = moving(start + settings.authority);
    (void)one.next_grant(after, start + settings.grant_interval);
    one.on_answer(with->sequence, accepted(*with), start + settings.grant_interval);
    CHECK_FALSE(one.no_longer_served(departing, after, start + settings.grant_interval));
}

TEST(coordinator_test, takes_a_silent_server_for_lost)
{
    const auto one = granting();
    CHECK_TRUE(server_condition::serving ==
               one.condition(start + settings.lost_after - milliseconds{1}));
    CHECK_TRUE(server_condition::lost == one.condition(start + settings.lost_after));
}

TEST(coordinator_test, goes_above_a_term_that_outranks_its_own)
{
    auto one = granting();
    const auto target = serving(start + settings.authority);
    const auto refused = one.next_grant(target, start + settings.grant_interval);
    one.on_answer(refused->sequence,
                  grant_answer{.accepted = false, .sequence = refused->sequence, .term = 20},
                  start);
    const auto next = one.next_grant(target, start + settings.grant_interval);
    CHECK_EQUAL(21U, next->term);
    CHECK_TRUE(next->duration == milliseconds{0});
}
