#include "figreach/partition.h"

#include "property.h"

using namespace figreach;

namespace {

partition two_slices()
{
    return {
        .id = {.service = {"lessons"}, .number = 0},
        .version = 1,
        .writer = "w",
        .backend_servers = {{"a"}, {"b"}},
        .slices = {{.first = 0, .owner = 0, .fence = 1}, {.first = 100, .owner = 1, .fence = 1}},
        .validators = {},
        .previous_validators = {}};
}

struct defect_row {
    const char* name;
    void (*damage)(partition&);
    const char* defect;
};

const defect_row defect_rows[] = {
    {"whole", [](partition&) {}, ""},
    {"no slices", [](partition& p) { p.slices.clear(); }, "slices do not begin at hash 0"},
    {"gap", [](partition& p) { p.slices[0].first = 1; }, "slices do not begin at hash 0"},
    {"order", [](partition& p) { p.slices[1].first = 0; }, "slices are not in ascending order"},
    {"owner", [](partition& p) { p.slices[1].owner = 2; },
     "a slice names a backend server that is not listed"},
    {"names", [](partition& p) { p.backend_servers[1] = p.backend_servers[0]; },
     "a backend server is listed twice"},
};

} // namespace

TEST_GROUP(partition_test){};

TEST(partition_test, names_each_defect)
{
    for (const auto& row : defect_rows) {
        auto document = two_slices();
        row.damage(document);
        STRCMP_EQUAL_TEXT(row.defect, defect_of(document).c_str(), row.name);
    }
}

TEST(partition_test, finds_the_slice_that_holds_a_hash)
{
    CHECK_PROPERTY("slice holds hash", [](std::set<key_hash> firsts, key_hash hash) {
        firsts.insert(0);
        auto document = two_slices();
        document.slices.clear();
        for (const auto first : firsts) {
            document.slices.push_back({.first = first, .owner = 0, .fence = 1});
        }
        const auto index = slice_index(document, hash);
        RC_ASSERT(document.slices[index].first <= hash);
        RC_ASSERT(hash <= last_hash(document, index));
    });
}
