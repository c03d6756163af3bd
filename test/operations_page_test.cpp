// Checks that docs/OPERATIONS.md documents every error kind.

#include <fstream>
#include <sstream>

#include "figreach/error_kind.h"
#include "property.h"

using namespace figreach;

namespace {

std::string page()
{
    std::ifstream in{FIGREACH_SOURCE_DIR "/docs/OPERATIONS.md"};
    std::ostringstream out;
    out << in.rdbuf();
    return out.str();
}

} // namespace

TEST_GROUP(operations_page_test){};

TEST(operations_page_test, has_a_row_for_every_error_kind)
{
    const auto text = page();
    for (const auto& row : error_table()) {
        std::ostringstream cells;
        cells << "\n| " << row.name << " | " << name_of(row.ran) << " |";
        STRCMP_CONTAINS(cells.str().c_str(), text.c_str());
    }
}
