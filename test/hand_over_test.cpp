#include "figreach/hand_over.h"

#include "property.h"

using namespace figreach;

namespace {

partition moving()
{
    return {.id = {.service = {"lessons"}, .number = 0},
            .version = 2,
            .writer = "w",
            .backend_servers = {{"a"}, {"b"}},
            .slices = {{.first = 0, .owner = 0, .fence = 4, .moving_to = 1},
                       {.first = 100, .owner = 0, .fence = 6}},
            .validators = {},
            .previous_validators = {}};
}

released release_of(key_hash first, std::uint64_t fence)
{
    return {.known = {.id = moving().id, .version = 2},
            .server = {"a"},
            .slices = {{.first = first, .fence = fence}}};
}

struct release_row {
    const char* name;
    key_hash first;
    std::uint64_t fence;
    bool completes;
};

const release_row release_rows[] = {
    {"the moving slice", 0, 4, true},
    {"an older fence", 0, 3, false},
    {"a slice at rest", 100, 6, false},
    {"an unknown slice", 50, 4, false},
};

struct plan_row {
    const char* name;
    void (*change)(partition&);
    bool keeps;
};

const plan_row plan_rows[] = {
    {"no change", [](partition&) {}, true},
    {"another slice moves too", [](partition& p) { p.slices[1].moving_to = 1; }, true},
    {"another slice is split", [](partition& p) { p.slices.push_back({.first = 200, .fence = 6}); },
     true},
    {"move given up", [](partition& p) { p.slices[0].moving_to.reset(); }, false},
    {"moving slice split",
     [](partition& p) { p.slices.insert(p.slices.begin() + 1, {.first = 50, .fence = 4}); }, false},
    {"moving slice merged", [](partition& p) { p.slices.pop_back(); }, false},
    {"owner changed", [](partition& p) { p.slices[0].owner = 1; }, false},
    {"fence changed", [](partition& p) { p.slices[0].fence = 5; }, false},
    {"servers listed in another order",
     [](partition& p) {
         p.backend_servers = {{"b"}, {"a"}};
         p.slices[0] = {.first = 0, .owner = 1, .fence = 4, .moving_to = 0};
     },
     true},
};

} // namespace

TEST_GROUP(hand_over_test){};

TEST(hand_over_test, completes_only_moves_released_under_their_fence)
{
    for (const auto& row : release_rows) {
        hand_over one;
        one.on_released(release_of(row.first, row.fence));
        const auto completed = one.complete(moving());
        CHECK_EQUAL_TEXT(row.completes, completed.has_value(), row.name);
        if (completed) {
            CHECK_EQUAL_TEXT(1U, completed->slices[0].owner, row.name);
            CHECK_EQUAL_TEXT(5U, completed->slices[0].fence, row.name);
            CHECK_FALSE_TEXT(completed->slices[0].moving_to.has_value(), row.name);
        }
    }
}

TEST(hand_over_test, plans_must_leave_moves_alone)
{
    for (const auto& row : plan_rows) {
        auto planned = moving();
        row.change(planned);
        CHECK_EQUAL_TEXT(row.keeps, keeps_moves(moving(), planned), row.name);
    }
}
