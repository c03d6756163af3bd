#include "key_holder.h"
#include "store_model.h"

#include "../property.h"

using namespace figreach;
using namespace figreach::standin;

namespace {

constexpr monotonic_time start{std::chrono::hours{1}};

direct::store_transaction write_of(const char* key, std::int64_t revision, std::int64_t lease = 0)
{
    return {.conditions = {{.key = key, .revision = {{}, revision}}},
            .writes = {{.key = key, .value = "value", .lease = {.id = lease}}},
            .removals = {}};
}

struct fence_row {
    const char* name;
    std::uint64_t fence; ///< after a grant with fence 5
    bool released;       ///< before
    bool taken;
};

const fence_row fence_rows[] = {
    {"a renewal", 5, false, true},
    {"a higher fence", 6, false, true},
    {"a lower fence", 4, false, false},
    {"the same grant after a release renews it", 5, true, true},
};

} // namespace

TEST_GROUP(standin_test){};

TEST(standin_test, a_write_takes_effect_only_under_its_conditions)
{
    store_model store;
    const auto first = store.commit(write_of("a", 0), start);
    CHECK_TRUE(std::holds_alternative<direct::store_revision>(first));
    const auto conflict = store.commit(write_of("a", 0), start);
    CHECK_TRUE(std::get<direct::store_failure>(conflict) == direct::store_failure::conflict);
    const auto no_lease = store.commit(write_of("b", 0, 99), start);
    CHECK_TRUE(std::get<direct::store_failure>(no_lease) == direct::store_failure::lease_gone);
    CHECK_FALSE(store.find("b").has_value());
    CHECK_EQUAL(1, store.changes_after("", 0)->size());
}

TEST(standin_test, items_end_with_their_lease)
{
    store_model store;
    const auto lease = store.open_lease(seconds{1}, start);
    CHECK_TRUE(std::holds_alternative<direct::store_revision>(
        store.commit(write_of("a", 0, lease), start)));
    CHECK_TRUE(store.renew_lease(lease, start + milliseconds{900}));
    store.expire(start + milliseconds{1800});
    CHECK_TRUE(store.find("a").has_value());
    store.expire(start + milliseconds{1900});
    CHECK_FALSE(store.find("a").has_value());
    CHECK_TRUE(store.changes_after("a", 0)->back().removed);
    CHECK_FALSE(store.renew_lease(lease, start + seconds{2}));
}

TEST(standin_test, items_without_a_lease_stay_when_a_lease_that_is_not_there_ends)
{
    store_model store;
    CHECK_TRUE(
        std::holds_alternative<direct::store_revision>(store.commit(write_of("a", 0), start)));
    for (const std::int64_t id : {0, 7}) {
        store.end_lease(id);
        CHECK_TRUE(store.find("a").has_value());
    }
}

TEST(standin_test, a_watch_begins_anew_once_the_history_is_gone)
{
    store_model store;
    const auto before = store.revision();
    CHECK_TRUE(
        std::holds_alternative<direct::store_revision>(store.commit(write_of("a", 0), start)));
    store.drop_history();
    CHECK_FALSE(store.changes_after("a", before).has_value());
    CHECK_TRUE(store.changes_after("a", store.revision()).has_value());
}

struct restored_row {
    const char* key;
    bool kept; ///< whether the key written after the copy is there in the new era
};

const restored_row restored_rows[] = {
    {"figreach/term", false},
    {"op/config", true},
};

TEST(standin_test, a_restored_store_is_a_copy_with_what_operators_wrote_since)
{
    for (const auto& row : restored_rows) {
        store_model store;
        static_cast<void>(store.commit(write_of("figreach/old", 0), start));
        const auto lease = store.open_lease(seconds{9}, start);
        CHECK_FALSE_TEXT(store.restore(milliseconds{0}, start), row.key);
        store.take_copy(start);
        const auto copied = store.revision();
        const auto later = start + seconds{2};
        for (int i = 0; i < 5; ++i) {
            const auto revision = store.find(row.key);
            static_cast<void>(store.commit(
                write_of(row.key, revision ? revision->item.revision.number().value : 0), later));
        }
        const auto lost_lease = store.open_lease(seconds{9}, later);
        const auto last = store.revision();
        CHECK_FALSE_TEXT(store.restore(seconds{3}, later), row.key);
        CHECK_TRUE_TEXT(store.restore(seconds{1}, later), row.key);
        CHECK_EQUAL_TEXT(1, store.era(), row.key);
        CHECK_TRUE_TEXT(store.revision() < last, row.key);
        CHECK_TRUE_TEXT(store.find("figreach/old").has_value(), row.key);
        CHECK_EQUAL_TEXT(row.kept, store.find(row.key).has_value(), row.key);
        CHECK_TRUE_TEXT(store.renew_lease(lease, later), row.key);
        CHECK_FALSE_TEXT(store.renew_lease(lost_lease, later), row.key);
        // A watch from a revision that the store does not have begins anew.
        CHECK_FALSE_TEXT(store.changes_after("", last).has_value(), row.key);
        CHECK_TRUE_TEXT(store.changes_after("", copied).has_value(), row.key);
    }
}

TEST(standin_test, a_server_checks_fences)
{
    const direct::key_span keys{.first = 10, .last = 20};
    for (const auto& row : fence_rows) {
        key_holder holder;
        CHECK_TRUE_TEXT(holder.grant(keys, 5, seconds{2}, start), row.name);
        if (row.released) {
            holder.release(keys, 5);
            CHECK_FALSE_TEXT(holder.holds(15, start), row.name);
        }
        CHECK_EQUAL_TEXT(row.taken, holder.grant(keys, row.fence, seconds{2}, start), row.name);
        CHECK_TRUE_TEXT(!row.taken || holder.holds(15, start + milliseconds{1999}), row.name);
        CHECK_FALSE_TEXT(holder.holds(15, start + seconds{2}), row.name);
        CHECK_FALSE_TEXT(holder.holds(21, start), row.name);
    }
}
