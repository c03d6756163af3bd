#include "figreach/partition_writer.h"

#include "figreach/document_codec.h"
#include "property.h"

using namespace figreach;

namespace {

const monotonic_time start{std::chrono::hours{1}};
constexpr milliseconds interval{1000};

partition document(std::uint64_t version, const std::string& writer)
{
    return {.id = {.service = {"lessons"}, .number = 0},
            .version = version,
            .writer = writer,
            .backend_servers = {{"server-1"}},
            .slices = {{.first = 0, .owner = 0, .fence = 1}},
            .validators = {},
            .previous_validators = {}};
}

stored_value stored(std::uint64_t version, const std::string& writer, std::int64_t revision)
{
    const auto value = document(version, writer);
    return {.key = store_key(value.id), .value = encode(value), .revision = revision};
}

/// Returns a writer that has read version 4 at revision 70 and has a write of version 5 pending.
partition_writer with_open_write()
{
    partition_writer out{document(4, "").id, "host-1/9"};
    CHECK_TRUE(out.read(interval, start).has_value());
    CHECK_TRUE(out.on_result(store_read{{stored(4, "x", 70)}}).has_value());
    CHECK_TRUE(out.ready(4));
    const auto call = std::get<compare_and_swap>(out.write(document(4, "x")));
    CHECK_EQUAL(70, call.expected_revision);
    CHECK_EQUAL(5U, decode_partition(call.value)->version);
    return out;
}

struct result_row {
    const char* name;
    store_result result;
    std::uint64_t returned; ///< version returned; 0 if none
    const char* writer;
    std::uint64_t ready_at; ///< 0 if not ready
};

const result_row result_rows[] = {
    {"written", store_written{71}, 5, "host-1/9/1", 5},
    {"conflict", store_conflict{stored(5, "other", 72)}, 5, "other", 5},
    {"silent", store_no_answer{"timeout"}, 0, "", 0},
    {"gone", store_conflict{{.key = "k", .value = "", .revision = 0}}, 0, "", 0},
};

} // namespace

TEST_GROUP(partition_writer_test){};

TEST(partition_writer_test, hands_out_only_what_the_store_said)
{
    for (const auto& row : result_rows) {
        auto one = with_open_write();
        CHECK_FALSE_TEXT(one.ready(4), row.name);
        const auto returned = one.on_result(row.result);
        CHECK_EQUAL_TEXT(row.returned, returned ? returned->version : 0, row.name);
        STRCMP_EQUAL_TEXT(row.writer, returned ? returned->writer.c_str() : "", row.name);
        CHECK_EQUAL_TEXT(row.ready_at != 0, one.ready(5), row.name);
        CHECK_FALSE_TEXT(one.ready(4), row.name);
    }
}

TEST(partition_writer_test, learns_by_reading_whether_a_silent_write_took_effect)
{
    auto one = with_open_write();
    CHECK_FALSE(one.on_result(store_no_answer{}).has_value());
    CHECK_TRUE(one.read(interval, start + 2 * interval).has_value());
    const auto returned = one.on_result(store_read{{stored(5, "host-1/9/1", 71)}});
    STRCMP_EQUAL("host-1/9/1", returned->writer.c_str());
    CHECK_TRUE(one.ready(5));
}

TEST(partition_writer_test, reads_less_often_while_the_store_is_silent)
{
    partition_writer one{document(1, "").id, "w"};
    CHECK_TRUE(one.read(interval, start).has_value());
    CHECK_FALSE(one.read(interval, start + 10 * interval).has_value());
    CHECK_FALSE(one.on_result(store_no_answer{}).has_value());
    CHECK_FALSE(one.read(interval, start + interval).has_value());
    CHECK_TRUE(one.read(interval, start + 2 * interval).has_value());
}
