#include "figreach/direct/store_revision.h"

#include <concepts>

#include "../property.h"

using namespace figreach;
using namespace figreach::direct;

namespace {

// Numbers of different eras must not be compared.
static_assert(!std::totally_ordered<revision_number>);
static_assert(std::totally_ordered<store_revision>);

struct order_row {
    const char* name = "";
    store_revision earlier;
    store_revision later;
};

const order_row order_rows[] = {
    {"in one era", {store_era{1}, 4}, {store_era{1}, 5}},
    {"a lower number in a later era", {store_era{1}, 9}, {store_era{2}, 3}},
    {"the same number in a later era", {store_era{1}, 9}, {store_era{2}, 9}},
    {"none and the first one", {}, {store_era{0}, 1}},
};

} // namespace

TEST_GROUP(store_revision_test){};

TEST(store_revision_test, is_ordered_by_era_first)
{
    for (const auto& row : order_rows) {
        CHECK_TRUE_TEXT(row.earlier < row.later, row.name);
        CHECK_FALSE_TEXT(row.later <= row.earlier, row.name);
    }
}
