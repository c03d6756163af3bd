#include "figreach/description_table.h"

#include "property.h"

using namespace figreach;

namespace {

const char* const good_toml = R"(
[[failure_domain]]
name = "fd-1"
region = "my"
)";

std::string record(std::uint64_t version, const std::string& toml = good_toml)
{
    return encode(description_record{.version = version, .writer = "w", .toml = toml});
}

struct learn_row {
    const char* name;
    std::string bytes;
    bool newer;
};

const learn_row learn_rows[] = {
    {"higher version", record(6), true},
    {"same version", record(5), false},
    {"lower version", record(4), false},
    {"invalid description", record(6, "nonsense = 1"), false},
    {"damaged bytes", "\x07nonsense", false},
};

} // namespace

TEST_GROUP(description_table_test){};

TEST(description_table_test, never_goes_back)
{
    for (const auto& row : learn_rows) {
        description_table one;
        CHECK_TRUE_TEXT(one.learn_record(record(5)), row.name);
        CHECK_EQUAL_TEXT(row.newer, one.learn_record(row.bytes), row.name);
        CHECK_EQUAL_TEXT(row.newer ? 6U : 5U, one.version(), row.name);
        CHECK_TRUE_TEXT(record(one.version()) == one.encoded_record(), row.name);
    }
}

TEST(description_table_test, takes_the_latest_of_a_history)
{
    description_table one;
    const description_history history{{.version = 1, .toml = good_toml},
                                      {.version = 3, .toml = good_toml}};
    CHECK_TRUE(one.learn_history(encode(history)));
    CHECK_EQUAL(3U, one.version());
}
