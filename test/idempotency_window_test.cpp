#include "figreach/idempotency_window.h"

#include <set>

#include "property.h"

using namespace figreach;

namespace {

constexpr monotonic_time start{seconds{10000}};
constexpr milliseconds length{600000};
constexpr repeat_slice half{.first = 0, .last = 99, .fence = 3};

window_request question(const char* key, bool first, const char* fingerprint = "POST /a",
                        repeat_slice slice = half)
{
    return {.id = {.service = {"s"}, .key = "k", .idempotency_key = key},
            .slice = slice,
            .fingerprint = fingerprint,
            .first_attempt = first};
}

std::string text_of(const window_decision& decision)
{
    if (const auto* refused = std::get_if<window_refuse>(&decision)) {
        return std::string{name_of(refused->kind)};
    }
    const auto* known = std::get_if<window_replay>(&decision);
    return known == nullptr ? "run" : "replay " + known->answer.body;
}

/// A window whose coverage of `half` is longer than its length.
idempotency_window covered(idempotency_window_settings settings = {})
{
    idempotency_window out{settings};
    out.note_slice(half, start - 2 * length);
    return out;
}

const kept_answer booked{.status = 200, .content_type = "text/plain", .body = "booked"};

struct repeat_row {
    const char* name;
    void (*between)(idempotency_window&);
    window_request repeat;
    milliseconds after;
    const char* decision;
};

const repeat_id once = question("once", true).id;

const repeat_row repeat_rows[] = {
    {"in progress", [](idempotency_window&) {}, question("once", false), seconds{1},
     "repeat_in_progress"},
    {"marked as first by mistake", [](idempotency_window&) {}, question("once", true), seconds{1},
     "repeat_in_progress"},
    {"not run", [](idempotency_window& w) { w.forget(once); }, question("once", false), seconds{1},
     "run"},
    {"ran", [](idempotency_window& w) { w.finish(once, booked, start); }, question("once", false),
     seconds{1}, "replay booked"},
    {"ran, other request", [](idempotency_window& w) { w.finish(once, booked, start); },
     question("once", false, "POST /b"), seconds{1}, "repeat_mismatch"},
    {"ran, long answer",
     [](idempotency_window& w) {
         w.finish(once, kept_answer{.status = 200, .body = std::string(5000, 'x')}, start);
     },
     question("once", false), seconds{1}, "repeat_answer_not_kept"},
    {"lost", [](idempotency_window& w) { w.mark_unknown(once, start); }, question("once", false),
     seconds{1}, "repeat_outcome_unknown"},
    {"lost, then a late answer",
     [](idempotency_window& w) {
         w.mark_unknown(once, start);
         w.finish(once, booked, start);
         w.forget(once);
     },
     question("once", true), seconds{1}, "repeat_outcome_unknown"},
    {"window passed", [](idempotency_window& w) { w.finish(once, booked, start); },
     question("once", false), length, "run"},
    {"still in progress after the window", [](idempotency_window&) {}, question("once", false),
     2 * length, "repeat_in_progress"},
    {"another key", [](idempotency_window&) {}, question("other", false), seconds{1}, "run"},
    {"taken over", [](idempotency_window& w) { w.take_over(start); }, question("other", false),
     seconds{1}, "repeat_outcome_unknown"},
    {"taken over, first attempt", [](idempotency_window& w) { w.take_over(start); },
     question("other", true), seconds{1}, "run"},
    {"taken over a window ago", [](idempotency_window& w) { w.take_over(start); },
     question("other", false), length, "run"},
    {"owner changed", [](idempotency_window&) {},
     question("other", false, "POST /a", {.first = 0, .last = 99, .fence = 4}), seconds{1},
     "repeat_outcome_unknown"},
    {"slice split", [](idempotency_window&) {},
     question("other", false, "POST /a", {.first = 50, .last = 99, .fence = 3}), seconds{1}, "run"},
    {"slice grew", [](idempotency_window&) {},
     question("other", false, "POST /a", {.first = 0, .last = 200, .fence = 3}), seconds{1},
     "repeat_outcome_unknown"},
};

} // namespace

TEST_GROUP(idempotency_window_test){};

TEST(idempotency_window_test, decides_each_repeat)
{
    for (const auto& row : repeat_rows) {
        auto window = covered();
        STRCMP_EQUAL_TEXT("run", text_of(window.begin(question("once", true), start)).c_str(),
                          row.name);
        row.between(window);
        const auto decision = window.begin(row.repeat, start + row.after);
        STRCMP_EQUAL_TEXT(row.decision, text_of(decision).c_str(), row.name);
    }
}

TEST(idempotency_window_test, both_halves_of_a_split_slice_stay_covered)
{
    auto window = covered();
    const repeat_slice low{.first = 0, .last = 49, .fence = 3};
    const repeat_slice high{.first = 50, .last = 99, .fence = 3};
    for (const auto& part : {low, high, low}) {
        const auto decision = window.begin(question("x", false, "POST /a", part), start);
        STRCMP_EQUAL("run", text_of(decision).c_str());
        window.forget(question("x", false).id);
    }
}

TEST(idempotency_window_test, never_passes_its_bounds_and_forgets_truthfully)
{
    CHECK_PROPERTY("bounds", [](const std::vector<std::uint8_t>& keys) {
        constexpr std::size_t max_entries = 8;
        auto window = covered({.max_entries = max_entries, .max_bytes = 4000});
        std::set<std::string> ran;
        auto now = start;
        for (const auto key : keys) {
            now += milliseconds{10};
            const auto name = std::to_string(key % 32);
            const auto decision = window.begin(question(name.c_str(), false), now);
            if (std::holds_alternative<window_run>(decision)) {
                RC_ASSERT(ran.insert(name).second);
                window.finish(question(name.c_str(), false).id, booked, now);
            }
            RC_ASSERT(window.size() <= max_entries);
            RC_ASSERT(window.bytes() <= 4000U + 500U);
        }
    });
}
