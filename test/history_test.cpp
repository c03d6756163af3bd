#include "figreach/history.h"

#include "property.h"

using namespace figreach;

namespace {

description_record record(std::uint64_t version, std::size_t bytes)
{
    description_record out;
    out.version = version;
    out.toml.assign(bytes, 'x');
    return out;
}

} // namespace

TEST_GROUP(history_test){};

TEST(history_test, drops_the_oldest_to_stay_within_its_bounds)
{
    CHECK_PROPERTY("bounds", [](const std::vector<std::uint32_t>& sizes) {
        constexpr std::size_t largest = 400'000;
        description_history history;
        std::uint64_t version = 0;
        for (const auto size : sizes) {
            history = with_record(std::move(history), record(++version, size % largest));
            RC_ASSERT(encode(history).size() <= max_history_bytes);
            RC_ASSERT(version_in_force(history) == version);
            RC_ASSERT(decode_history(encode(history)) == history);
        }
    });
}

TEST(history_test, keeps_a_bounded_number_and_the_newest_always)
{
    description_history history;
    for (std::uint64_t version = 1; version <= max_history_records + 1; ++version) {
        history = with_record(std::move(history), record(version, 1));
    }
    LONGS_EQUAL(max_history_records, history.size());
    POINTERS_EQUAL(nullptr, find_version(history, 1));
    LONGS_EQUAL(1, with_record(history, record(999, max_history_bytes)).size());
}
