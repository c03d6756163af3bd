#include "figreach/toml_reader.h"

#include "property.h"

using namespace figreach;

namespace {

struct address_row {
    const char* text;
    bool valid;
    bool loopback;
};

const address_row address_rows[] = {
    {"127.0.0.1:1", true, true},     {"[::1]:65535", true, true},
    {"10.0.0.1:80", true, false},    {"[fe80::1]:80", true, false},
    {"0.0.0.0:80", true, false},     {"127.9.9.9:80", true, true},
    {"127.0.0.1", false, false},     {"127.0.0.1:", false, false},
    {"127.0.0.1:0", false, false},   {"127.0.0.1:65536", false, false},
    {"127.0.0.1:8x", false, false},  {"127.0.0.1:+8", false, false},
    {"::1:80", false, false},        {"[127.0.0.1]:80", false, false},
    {"localhost:80", false, false},  {"", false, false},
    {"127.0.0.1 :80", false, false}, {"[]:80", false, false},
};

struct read_row {
    const char* toml;
    void (*read)(toml_reader& in);
    const char* faults;
};

const read_row read_rows[] = {
    {"x = 1", [](toml_reader& in) { (void)in.flag_or("x", true); },
     "f:1: t.x: found 1; allowed: true | false\n"},
    {"x = \"\"", [](toml_reader& in) { (void)in.text_or("x", "y"); },
     "f:1: t.x: found ''; allowed: a non-empty string\n"},
    {"",
     [](toml_reader& in) {
         (void)in.choice_or("x", "", {"a", "b"});
     },
     "f:1: t.x: found nothing; allowed: a | b\n"},
    {"x = 3", [](toml_reader& in) { (void)in.tables("x"); },
     "f:1: t.x: found 3; allowed: a list of tables\n"},
    {"x = [1, \"a\"]", [](toml_reader& in) { (void)in.texts_or("x", {}); },
     "f:1: t.x: found [ 1, 'a' ]; allowed: a list of strings\n"},
    {"x = []", [](toml_reader& in) { (void)in.texts_or("x", {}); }, ""},
    {"x = \"0.5\"", [](toml_reader& in) { (void)in.fraction_or("x", 0.0, 0.0, 1.0); },
     "f:1: t.x: found '0.5'; allowed: a number from 0 to 1\n"},
    {"x = 61.5", [](toml_reader& in) { (void)in.seconds_or("x", {}, {}, seconds{60}); },
     "f:1: t.x: found 61.5; allowed: a number from 0 to 60\n"},
    {"x = 70", [](toml_reader& in) { (void)in.time_or("x", {}, {}, milliseconds{60}); },
     "f:1: t.x: found 70; allowed: a whole number from 0 to 60\n"},
};

} // namespace

TEST_GROUP(toml_reader_test){};

TEST(toml_reader_test, tells_addresses_from_other_texts)
{
    for (const auto& row : address_rows) {
        CHECK_EQUAL_TEXT(row.valid, is_address(row.text), row.text);
        CHECK_EQUAL_TEXT(row.loopback, is_loopback(row.text), row.text);
    }
}

TEST(toml_reader_test, words_each_fault)
{
    for (const auto& row : read_rows) {
        fault_list faults;
        const auto root = parse_toml(row.toml, "f", faults);
        toml_reader in{*root, "t", "f", faults};
        row.read(in);
        STRCMP_EQUAL_TEXT(row.faults, to_text(faults).c_str(), row.toml);
    }
}
