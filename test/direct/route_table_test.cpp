#include "figreach/direct/route_table.h"

#include <map>

#include "../property.h"

using namespace figreach;
using namespace figreach::direct;

namespace {

std::shared_ptr<route_configuration> sample_configuration()
{
    const auto rule = [](const char* name, const char* host, const char* prefix) {
        return route_rule{.name = name,
                          .host = host,
                          .prefix = prefix,
                          .services = {{.service = {"lessons"}, .weight = 1}}};
    };
    auto out = std::make_shared<route_configuration>();
    out->version = 3;
    out->routes = {rule("root", "a.example", "/"), rule("plans", "a.example", "/plans/"),
                   rule("deep", "a.example", "/plans/old/"), rule("other", "B.Example", "/x/")};
    out->services[{"lessons"}] = {.name = {"lessons"}};
    out->services[{"media"}] = {.name = {"media"}};
    return out;
}

struct match_row {
    const char* host;
    const char* target;
    const char* route; ///< null if no route matches
};

const match_row match_rows[] = {
    {"a.example", "/", "root"},
    {"a.example", "/plans/7", "plans"},
    {"a.example", "/plans/", "plans"},
    {"a.example", "/plans", "root"},
    {"a.example", "/plans/old/7?x=/plans/new/", "deep"},
    {"a.example", "/planses/7", "root"},
    {"a.example:8080", "/plans/7", "plans"},
    {"A.EXAMPLE", "/plans/7", "plans"},
    {"b.example", "/x/1", "other"},
    {"b.example", "/y/1", nullptr},
    {"c.example", "/plans/7", nullptr},
    {"", "/", nullptr},
    {"a.example", "", nullptr},
    {"a.example", "?/plans/", nullptr},
};

} // namespace

TEST_GROUP(route_table_test){};

TEST(route_table_test, takes_the_longest_prefix_of_the_host)
{
    const route_table table{sample_configuration()};
    for (const auto& row : match_rows) {
        const auto* found = table.find(row.host, row.target);
        CHECK_EQUAL_TEXT(row.route == nullptr, found == nullptr, row.target);
        if (found != nullptr) {
            STRCMP_EQUAL_TEXT(row.route, found->name.c_str(), row.target);
        }
    }
}

struct service_row {
    const char* service;
    const char* route;
    bool found;
};

const service_row service_rows[] = {
    {"lessons", "/plans/7", true},  {"media", "/plans/7", false}, {"faulty", "/plans/7", false},
    {"absent", "/plans/7", false},  {"none", "/plans/7", false},  {"media", "/split/7", true},
    {"lessons", "/split/7", false},
};

TEST(route_table_test, finds_the_readable_services_of_a_route)
{
    auto all = sample_configuration();
    all->services[{"faulty"}] = {.name = {"faulty"}, .unreadable_field = "spec.max_conns"};
    for (const auto* service : {"faulty", "absent"}) {
        all->routes[1].services.push_back({.service = {service}, .weight = 1});
    }
    auto split = all->routes[1];
    split.prefix = "/split/";
    split.services = {{.service = {"media"}, .weight = 0}};
    all->routes.push_back(split);
    const route_table table{all};
    for (const auto& row : service_rows) {
        const auto* route = table.find("a.example", row.route);
        const auto* found = table.find_service(*route, {row.service});
        CHECK_EQUAL_TEXT(row.found, found != nullptr, row.service);
        CHECK_TRUE_TEXT(!row.found || found->name.value == row.service, row.service);
    }
}

TEST(route_table_test, each_part_gets_its_share_at_any_moment)
{
    CHECK_PROPERTY("counts differ from the weights by less than the number of parts",
                   [](std::uint8_t first, std::uint8_t second) {
                       const std::uint32_t weights[] = {first + 1U, second + 1U};
                       auto all = sample_configuration();
                       all->routes[0].services = {{.service = {"lessons"}, .weight = weights[0]},
                                                  {.service = {"media"}, .weight = weights[1]}};
                       route_table table{all};
                       std::map<service_id, int> counts;
                       constexpr int requests = 400;
                       for (int i = 1; i <= requests; ++i) {
                           ++counts[table.next_service(all->routes[0])->name];
                           const double expected =
                               static_cast<double>(i) * weights[0] / (weights[0] + weights[1]);
                           RC_ASSERT(std::abs(counts[{"lessons"}] - expected) < 2.0);
                       }
                   });
}
