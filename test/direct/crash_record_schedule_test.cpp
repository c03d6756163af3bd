#include "figreach/direct/crash_record_schedule.h"

#include "../property.h"

using namespace figreach;
using namespace figreach::direct;

namespace {

constexpr monotonic_time start{std::chrono::hours{100}};

std::vector<crash_report> reports_of(const std::vector<std::uint64_t>& digests)
{
    std::vector<crash_report> out;
    for (const auto one : digests) {
        const reported_loss loss{
            .server = {.server = {"s"}, .lifetime = one}, .failure_domain = {"d"}, .sender = {"h"}};
        out.push_back({.digest = {.high = 0, .low = one}, .losses = {loss}});
    }
    return out;
}

struct schedule_row {
    const char* name;
    std::vector<std::uint64_t> stored;  ///< digests that the store holds
    std::vector<std::uint64_t> written; ///< in this term, at the start
    bool is_written;                    ///< whether that write succeeded; if not, it may have
    std::vector<std::uint64_t> wanted;
    milliseconds at;
    bool due;
};

using digests = std::vector<std::uint64_t>;

const schedule_row schedule_rows[] = {
    {"nothing stored, nothing known", {}, {}, true, {}, seconds{1}, false},
    {"the first entry", {}, {}, true, {1}, seconds{0}, true},
    {"what an earlier leader stored", {1}, {}, true, {1}, seconds{0}, true},
    {"an entry that is cleared", {1}, {}, true, {}, seconds{0}, true},
    {"a change shortly after a write", {}, {1}, true, {1, 2}, milliseconds{999}, false},
    {"a change", {}, {1}, true, {1, 2}, seconds{1}, true},
    {"no change", {}, {1}, true, {1}, milliseconds{9999}, false},
    {"ages that are out of date", {}, {1}, true, {1}, seconds{10}, true},
    {"a write that failed", {}, {1}, false, {1}, seconds{1}, true},
    {"a cleared entry of a write that failed", {}, {1}, false, {}, seconds{1}, true},
};

} // namespace

TEST_GROUP(crash_record_schedule_test){};

TEST(crash_record_schedule_test, changes_and_old_ages_are_written)
{
    for (const auto& row : schedule_rows) {
        crash_record_schedule tested{crash_record_settings{}};
        tested.on_stored(reports_of(row.stored));
        tested.start_term();
        if (!row.written.empty()) {
            CHECK_TRUE_TEXT(tested.try_begin(reports_of(row.written), start), row.name);
            CHECK_FALSE_TEXT(tested.try_begin(reports_of({7}), start + seconds{20}), row.name);
            if (row.is_written) {
                tested.on_written(reports_of(row.written));
            }
            else {
                tested.on_not_written();
            }
        }
        CHECK_EQUAL_TEXT(row.due, tested.try_begin(reports_of(row.wanted), start + row.at),
                         row.name);
    }
}

/// Guards against writing once for each request that is lost with a failure domain.
TEST(crash_record_schedule_test, many_changes_take_few_writes)
{
    crash_record_schedule tested{crash_record_settings{}};
    tested.start_term();
    digests wanted;
    std::size_t writes = 0;
    for (std::uint64_t i = 0; i < 500; ++i) {
        wanted.push_back(i);
        if (tested.try_begin(reports_of(wanted), start + milliseconds{10 * i})) {
            tested.on_written(reports_of(wanted));
            ++writes;
        }
    }
    CHECK_EQUAL(5, writes);
}
