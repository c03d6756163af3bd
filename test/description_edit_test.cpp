#include "figreach/description_edit.h"

#include "figreach/description_diff.h"
#include "figreach/description_parser.h"
#include "property.h"
#include "sample_description.h"

using namespace figreach;

namespace {

struct edit_row {
    const char* name;
    const char* toml;
    const char* edited; ///< empty: with_state() returns nothing
};

const edit_row edit_rows[] = {
    {"key is there", "[[d]]\nname = 'x'\nstate = 'in' # why\n",
     "[[d]]\nname = 'x'\nstate = \"out\" # why\n"},
    {"key is absent", "[[d]]\nname = 'x' # why\nk = 1\n",
     "[[d]]\nname = 'x' # why\nstate = \"out\"\nk = 1\n"},
    {"at the end without newline", "[[d]]\nname = 'x'", "[[d]]\nname = 'x'\nstate = \"out\""},
    {"inline tables", "d = [{name = 'w'}, {name = 'x', k = 1}]",
     "d = [{name = 'w'}, {name = 'x', state = \"out\", k = 1}]"},
    {"letters of several bytes", "# \xC3\xA9\n[[d]]\nn\xC3\xA9 = 1\n", ""},
    {"several bytes before the place",
     "d = [{k = '\xC3\xA9\xE2\x82\xAC', name = 'x', state = 'in'}]",
     "d = [{k = '\xC3\xA9\xE2\x82\xAC', name = 'x', state = \"out\"}]"},
    {"lines that end in CRLF", "[[d]]\r\nname = 'x'\r\nstate = 'in'\r\n",
     "[[d]]\r\nname = 'x'\r\nstate = \"out\"\r\n"},
    {"second of the list", "[[d]]\nname = 'w'\n[[d]]\nname = 'x'\n",
     "[[d]]\nname = 'w'\n[[d]]\nname = 'x'\nstate = \"out\"\n"},
    {"no such item", "[[d]]\nname = 'w'\n", ""},
    {"no list", "d = 3", ""},
};

} // namespace

TEST_GROUP(description_edit_test){};

TEST(description_edit_test, changes_nothing_but_the_state)
{
    for (const auto& row : edit_rows) {
        const auto edited = with_state(row.toml, "d", "x", service_state::out);
        STRCMP_EQUAL_TEXT(row.edited, edited.value_or("").c_str(), row.name);
    }
}

TEST(description_edit_test, out_and_in_again_changes_one_field_each)
{
    const auto before = sample_description();
    const auto out = with_state(before, "backend_server", "s2", service_state::out).value();
    const auto changes =
        description_diff(parse_description(before, "").value, parse_description(out, "").value);
    LONGS_EQUAL(1, changes.size());
    STRCMP_EQUAL("backend_server 's2'.state: in -> out", changes[0].c_str());
    const auto in = with_state(out, "backend_server", "s2", service_state::in).value();
    CHECK(description_diff(parse_description(before, "").value, parse_description(in, "").value)
              .empty());
}
