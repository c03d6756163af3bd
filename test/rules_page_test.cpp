// Checks that the tests that docs/rules.md names exist, and that each of its rules has one.

#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>

#include "property.h"

namespace {

std::set<std::string> test_files()
{
    std::set<std::string> out;
    for (const auto& one :
         std::filesystem::recursive_directory_iterator{FIGREACH_SOURCE_DIR "/test"}) {
        if (one.path().extension() == ".cpp") {
            out.insert(one.path().stem().string());
        }
    }
    return out;
}

/// The cells of each row of the table, without its head.
std::vector<std::vector<std::string>> rows()
{
    std::ifstream in{FIGREACH_SOURCE_DIR "/docs/rules.md"};
    std::vector<std::vector<std::string>> out;
    std::string line;
    while (std::getline(in, line)) {
        if (!line.starts_with("| ") || line.starts_with("| rule ")) {
            continue;
        }
        std::istringstream rest{line.substr(1)};
        std::vector<std::string> cells;
        std::string cell;
        while (std::getline(rest, cell, '|')) {
            cells.push_back(cell);
        }
        out.push_back(std::move(cells));
    }
    return out;
}

} // namespace

TEST_GROUP(rules_page_test){};

TEST(rules_page_test, each_rule_names_tests_that_exist_or_says_that_it_has_none)
{
    const auto known = test_files();
    const std::regex test_name{"`([a-z0-9_]+_test)`"};
    constexpr std::size_t min_rules = 18;
    const auto all = rows();
    CHECK_TRUE(all.size() >= min_rules);
    for (const auto& cells : all) {
        constexpr std::size_t test_cell = 2;
        constexpr std::size_t columns = 4;
        CHECK_EQUAL_TEXT(columns, cells.size(), cells.front().c_str());
        const auto& text = cells[test_cell];
        std::size_t named = 0;
        for (std::sregex_iterator at{text.begin(), text.end(), test_name}, end; at != end; ++at) {
            CHECK_TRUE_TEXT(known.contains((*at)[1]), (*at)[1].str().c_str());
            ++named;
        }
        const bool says_none = text.find("soak") != std::string::npos ||
                               text.find("by the bench only") != std::string::npos ||
                               text.find("not kept") != std::string::npos ||
                               cells[1].find("not kept") != std::string::npos;
        CHECK_TRUE_TEXT(named > 0 || says_none, cells.front().c_str());
    }
}
