// Requests that are passed between hosts with different versions of the configuration.

#include "path_fixture.h"

using namespace figreach;
using namespace figreach::direct;

namespace {

const std::string order = request("POST /move/1", "Content-Length: 0\r\n");
const std::string mismatch = R"("error":"configuration_mismatch")";

/// A service of a route.
weighted_service part(const char* name, std::uint32_t weight = 1)
{
    return {.service = {name}, .weight = weight};
}

using parts = std::vector<weighted_service>;

/// Gives the route of the order these services; without any, the configuration lacks the route.
void set_route(path_fixture& host, const parts& services, std::uint64_t version)
{
    host.change_configuration([&](route_configuration& all) {
        all.version = version;
        if (services.empty()) {
            return;
        }
        auto route = all.routes[1];
        route.name = "move";
        route.prefix = "/move/";
        route.services = services;
        all.routes.push_back(std::move(route));
    });
}

struct version_row {
    const char* name;
    parts sender;
    std::uint64_t sender_version;
    parts receiver;
    std::uint64_t receiver_version;
    bool served;
    const char* server; ///< that runs the order if it is served
};

const version_row version_rows[] = {
    {"same version", {part("media")}, 8, {part("media")}, 8, true, "m1"},
    {"older, with the same route", {part("media")}, 9, {part("media")}, 8, true, "m1"},
    {"newer, with the same route", {part("media")}, 8, {part("media")}, 9, true, "m1"},
    {"older, before the route moved", {part("lessons")}, 9, {part("media")}, 8, false, ""},
    {"older, before the route was added", {part("media")}, 9, {}, 8, false, ""},
    {"newer, after the route moved", {part("media")}, 8, {part("lessons")}, 9, false, ""},
    {"newer, after the route was removed", {part("media")}, 8, {}, 9, false, ""},
    {"older, before the route was split",
     {part("media", 1), part("empty", 0)},
     9,
     {part("media")},
     8,
     true,
     "m1"},
    {"the other host does not select again",
     {part("media")},
     9,
     {part("empty", 9), part("media", 1)},
     8,
     true,
     "m1"},
};

struct peer_row {
    const char* name;
    std::string selected; ///< fields that name the service and version of the other host
    const char* status;
    const char* kind; ///< of the refusal; empty if the request is served
};

const peer_row peer_rows[] = {
    {"a service that the route names", "X-Figreach-Selected-Service: lessons\r\n", "HTTP/1.1 200",
     ""},
    {"a service that the route does not name", "X-Figreach-Selected-Service: media\r\n",
     "HTTP/1.1 503", "configuration_mismatch"},
    {"an unknown service", "X-Figreach-Selected-Service: none\r\n", "HTTP/1.1 503",
     "configuration_mismatch"},
    {"a host that does not name the service", "", "HTTP/1.1 200", ""},
    {"a version that is no number",
     "X-Figreach-Selected-Service: lessons\r\nX-Figreach-Configuration: -1\r\n", "HTTP/1.1 200",
     ""},
};

struct key_row {
    const char* name;
    const char* version;
    const char* kind;
};

const key_row key_rows[] = {
    {"newer version", "X-Figreach-Configuration: 99\r\n", "configuration_mismatch"},
    {"older version", "X-Figreach-Configuration: 1\r\n", "invalid_api_key"},
    {"unknown version", "", "invalid_api_key"},
};

bool has_refusal(const std::string& response, const std::string& kind)
{
    return response.find("X-Figreach-Refusal: " + kind + "\r\n") != std::string::npos;
}

} // namespace

TEST_GROUP(configuration_mismatch_test){};

/// Guards against orders that run at the service of an earlier version after a server has seen the
/// new one from the same host, because another host decided about them (CONFIG).
TEST(configuration_mismatch_test, a_request_runs_only_as_both_hosts_route_it)
{
    for (const auto& row : version_rows) {
        scripted_server server{{success("plan")}};
        const auto names = three_hosts();
        path_fixture cut{local_address(free_port()), names[0], {names[0], names[1]}};
        path_fixture other{server.address(), names[1], {names[0], names[1]}};
        set_route(cut, row.sender, row.sender_version);
        set_route(other, row.receiver, row.receiver_version);
        cut.lose_server_path();
        const auto response = cut.exchange(order);
        const char* status = row.served ? "HTTP/1.1 200" : "HTTP/1.1 503";
        STRNCMP_EQUAL_TEXT(status, response.c_str(), std::string_view{status}.size(), row.name);
        CHECK_EQUAL_TEXT(row.served ? 1U : 0U, server.requests(), row.name);
        CHECK_EQUAL_TEXT(!row.served, response.find(mismatch) != std::string::npos, row.name);
        CHECK_EQUAL_TEXT(!row.served, response.find("Retry-After:") != std::string::npos, row.name);
        if (row.served) {
            const auto expected = std::string{"Figreach-Expect-Instance: "} + row.server + "\r\n";
            CHECK_TRUE_TEXT(server.last_head().find(expected) != std::string::npos, row.name);
            CHECK_TRUE_TEXT(server.last_head().find("X-Figreach") == std::string::npos, row.name);
        }
    }
}

/// Guards against refusing a caller while one of several other hosts has the same configuration.
TEST(configuration_mismatch_test, the_next_host_is_asked_after_one_with_another_version)
{
    for (const std::size_t outdated : {1U, 2U}) {
        scripted_server server{{success("plan")}};
        const auto names = three_hosts();
        path_fixture cut{local_address(free_port()), names[0], names};
        path_fixture second{server.address(), names[1], names};
        path_fixture third{server.address(), names[2], names};
        set_route(cut, {part("lessons")}, 9);
        set_route(outdated == 1 ? second : third, {part("media")}, 8);
        set_route(outdated == 1 ? third : second, {part("lessons")}, 9);
        cut.lose_server_path();
        CHECK_TRUE(cut.exchange(order).starts_with("HTTP/1.1 200"));
        CHECK_EQUAL(1, server.requests());
        CHECK_TRUE(server.last_head().find("Figreach-Expect-Instance: s1\r\n") !=
                   std::string::npos);
    }
}

/// Guards against a service that is taken although the route does not name it, and against refusing
/// the requests of earlier builds.
TEST(configuration_mismatch_test, takes_the_service_that_the_other_host_has_selected)
{
    for (const auto& row : peer_rows) {
        scripted_server server{{success("plan")}};
        path_fixture host{server.address()};
        const auto response = host.exchange_as_peer(
            request("POST /order/1", from_h2 + row.selected + "Content-Length: 0\r\n"));
        STRNCMP_EQUAL_TEXT(row.status, response.c_str(), std::string_view{row.status}.size(),
                           row.name);
        const bool served = *row.kind == '\0';
        CHECK_EQUAL_TEXT(served ? 1U : 0U, server.requests(), row.name);
        CHECK_TRUE_TEXT(served || has_refusal(response, row.kind), row.name);
    }
}

/// Guards against the final refusal of an API key that a newer configuration has added.
TEST(configuration_mismatch_test, an_older_configuration_does_not_refuse_an_api_key)
{
    for (const auto& row : key_rows) {
        scripted_server server{{success("plan")}};
        path_fixture host{server.address()};
        host.change_configuration([](route_configuration& all) {
            all.tenants = {{.name = {"alpha"}, .keys = {digest_of_key("a1")}}};
        });
        const auto selected = std::string{"X-Figreach-Selected-Service: lessons\r\n"} + row.version;
        const auto response = host.exchange_as_peer(
            request("GET /read/1", from_h2 + selected + "Authorization: Bearer b1\r\n"));
        CHECK_TRUE_TEXT(has_refusal(response, row.kind), row.name);
        CHECK_EQUAL_TEXT(0, server.requests(), row.name);
    }
}
