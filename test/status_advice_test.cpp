#include "figreach/status_advice.h"

#include "figreach/description_parser.h"
#include "figreach/operator_token.h"
#include "property.h"
#include "sample_description.h"

using namespace figreach;

namespace {

/// A system in which no action is required.
routing_snapshot healthy()
{
    auto all = parse_description(sample_description(), "d").value;
    all.version = 3;
    routing_snapshot out;
    out.system_description = std::make_shared<const description>(all);
    out.partitions[{.service = {"lessons"}, .number = 0}] = std::make_shared<const partition>(
        partition{.id = {{"lessons"}, 0},
                  .version = 1,
                  .writer = "w",
                  .backend_servers = {{"s1"}, {"s2"}},
                  .slices = {{.first = 0, .owner = 0, .fence = 1},
                             {.first = 9, .owner = 1, .fence = 1},
                             {.first = 20, .owner = 0, .fence = 1}},
                  .validators = {},
                  .previous_validators = {}});
    for (const auto* name : {"s1", "s2"}) {
        out.servers[{name}].coordinator = {"h1"};
    }
    out.hosts = {{.host = {"h1"}, .description_version = 3},
                 {.host = {"h2"}, .description_version = 3}};
    return out;
}

void describe(routing_snapshot& routing, void (*change)(description& all))
{
    auto all = *routing.system_description;
    change(all);
    routing.system_description = std::make_shared<const description>(all);
}

struct advice_row {
    const char* first; ///< substring of the first line
    std::size_t lines;
    bool store_reachable;
    std::uint64_t stored_version;
    void (*change)(routing_snapshot& routing);
};

const advice_row advice_rows[] = {
    {"Nothing to do.", 1, true, 3, [](routing_snapshot&) {}},
    {"store does not answer", 1, false, 0, [](routing_snapshot&) {}},
    {"No description is in force", 1, true, 0,
     [](routing_snapshot& r) { r.system_description = nullptr; }},
    {"has not learned", 1, true, 3, [](routing_snapshot& r) { r.system_description = nullptr; }},
    {"behind the store", 1, true, 4, [](routing_snapshot&) {}},
    {"No backend server receives work for service lessons", 3, true, 3,
     [](routing_snapshot& r) {
         describe(r, [](description& d) {
             d.failure_domains[0].state = service_state::out;
             d.failure_domains[1].state = service_state::out;
         });
     }},
    {"No entry host coordinates backend server s2", 1, true, 3,
     [](routing_snapshot& r) { r.servers[{"s2"}].coordinator = {}; }},
    {"no owner yet in service lessons", 1, true, 3,
     [](routing_snapshot& r) { r.partitions.clear(); }},
    {"No recent message from entry host h1", 2, true, 3,
     [](routing_snapshot& r) {
         r.hosts[0].state = host_liveness::suspect;
         r.hosts[1].description_version = 2;
     }},
    {"older description is in force at entry host h2", 1, true, 3,
     [](routing_snapshot& r) { r.hosts[1].description_version = 2; }},
    {"Drained: backend server s3", 1, true, 3,
     [](routing_snapshot& r) {
         describe(r, [](description& d) {
             d.backend_servers.push_back(d.backend_servers[0]);
             d.backend_servers.back().name = {"s3"};
             d.backend_servers.back().state = service_state::out;
         });
     }},
    {"Keys still move away from backend server s1", 2, true, 3,
     [](routing_snapshot& r) {
         describe(r, [](description& d) { d.backend_servers[0].state = service_state::out; });
     }},
};

struct token_row {
    const char* authorization;
    const char* expected;
    bool allowed;
};

const token_row token_rows[] = {
    {"Bearer secret", "secret", true},
    {"Bearer secreT", "secret", false},
    {"Bearer secre", "secret", false},
    {"Bearer secrets", "secret", false},
    {"Bearer ", "secret", false},
    {"secret", "secret", false},
    {"", "secret", false},
    {"Bearer ", "", false},
    {"Bearer secretsecret", "secret", false},
};

} // namespace

TEST_GROUP(status_advice_test){};

TEST(status_advice_test, says_the_first_thing_to_do_first)
{
    for (const auto& row : advice_rows) {
        auto routing = healthy();
        row.change(routing);
        const auto advice = status_advice({.store_reachable = row.store_reachable,
                                           .stored_version = row.stored_version,
                                           .routing = &routing});
        STRCMP_CONTAINS_TEXT(row.first, advice.front().c_str(), row.first);
        LONGS_EQUAL_TEXT(row.lines, advice.size(), row.first);
    }
}

TEST(status_advice_test, counts_the_slices_of_a_server)
{
    LONGS_EQUAL(2, owned_slices(healthy(), {"s1"}));
}

TEST_GROUP(operator_token_test){};

TEST(operator_token_test, allows_the_whole_token_only)
{
    for (const auto& row : token_rows) {
        CHECK_EQUAL_TEXT(row.allowed, has_bearer_token(row.authorization, row.expected),
                         row.authorization);
    }
}
