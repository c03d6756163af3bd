#include "figreach/direct/placement/server_sample.h"

#include <vector>

#include "../property.h"

using namespace figreach;
using namespace figreach::direct;

namespace {

constexpr std::size_t choices = 20'000;

struct sample_row {
    const char* name;
    std::size_t servers;
    std::size_t refusing_of_ten; ///< of each ten servers, how many cannot take the request
    double most_checks;          ///< on average, for a choice
    double least_found;          ///< of all choices
};

/// Before, each choice checked all servers: 38 to 90 on the users' deployments.
const sample_row sample_rows[] = {
    {"38 free servers", 38, 0, 2.0, 1.0},
    {"90 free servers", 90, 0, 2.0, 1.0},
    {"1,000 free servers", 1000, 0, 2.0, 1.0},
    {"half of 90 refuse", 90, 5, 4.0, 0.95},
    {"nine of ten refuse", 90, 9, 8.0, 0.15},
    {"all refuse", 90, 10, 8.0, 0.0},
    {"no servers", 0, 0, 0.0, 0.0},
};

} // namespace

TEST_GROUP(server_sample_test){};

/// Guards against processor time for each request that grows with the number of servers.
TEST(server_sample_test, checks_a_bounded_number_of_servers)
{
    for (const auto& row : sample_rows) {
        std::uint64_t random_state = 7;
        std::size_t checks = 0;
        std::size_t found = 0;
        for (std::size_t i = 0; i < choices; ++i) {
            const auto chosen = draw_cheaper_of_two(
                row.servers, random_state, [&](std::size_t index) -> std::optional<double> {
                    ++checks;
                    return index % 10 < row.refusing_of_ten ? std::nullopt : std::optional{1.0};
                });
            CHECK_TRUE_TEXT(!chosen || *chosen % 10 >= row.refusing_of_ten, row.name);
            found += chosen ? 1 : 0;
        }
        const auto each = static_cast<double>(choices);
        CHECK_TRUE_TEXT(static_cast<double>(checks) / each <= row.most_checks, row.name);
        CHECK_TRUE_TEXT(static_cast<double>(found) / each >= row.least_found, row.name);
    }
}

/// Guards against servers that get no requests, and against slow servers that get as many as fast
/// ones: a new server, which costs least, has to get work at once.
TEST(server_sample_test, cheaper_servers_get_more_and_each_gets_some)
{
    constexpr std::size_t servers = 40;
    std::uint64_t random_state = 7;
    std::vector<std::size_t> chosen(servers, 0);
    for (std::size_t i = 0; i < choices; ++i) {
        const auto one = draw_cheaper_of_two(servers, random_state, [](std::size_t index) {
            return std::optional{static_cast<double>(index)};
        });
        ++chosen[one.value()];
    }
    const double mean = static_cast<double>(choices) / servers;
    CHECK_TRUE(static_cast<double>(chosen.front()) > 1.5 * mean);
    CHECK_TRUE(static_cast<double>(chosen.back()) < 0.5 * mean);
    CHECK_TRUE(chosen[servers - 2] > 0);
}
