#include "path_fixture.h"

using namespace figreach;
using namespace figreach::direct;

namespace {

const std::string key_of_alpha = "Authorization: Bearer a1\r\n";

void add_tenants(route_configuration& all)
{
    all.tenants = {{.name = {"alpha"}, .keys = {digest_of_key("a1")}},
                   {.name = {"beta"}, .keys = {digest_of_key("b1")}}};
    for (auto& route : all.routes) {
        route.is_public = route.prefix == "/media/";
    }
}

bool has_line(const std::string& head, const std::string& start)
{
    return head.find("\r\n" + start) != std::string::npos;
}

struct tenant_row {
    const char* name;
    std::string request;
    const char* status;
    const char* tenant;      ///< named to the server; empty if none is
    const char* other_field; ///< start of a further line that the server gets; may be empty
};

const tenant_row tenant_rows[] = {
    {"valid key", request("GET /read/1", key_of_alpha), "HTTP/1.1 200", "alpha", ""},
    {"scheme in other letters", request("GET /read/1", "Authorization: bearer b1\r\n"),
     "HTTP/1.1 200", "beta", ""},
    {"a tenant that the caller names",
     request("GET /read/1", key_of_alpha + "Figreach-Tenant: beta\r\n"), "HTTP/1.1 200", "alpha",
     ""},
    {"two tenants that the caller names",
     request("GET /read/1", "Figreach-Tenant: beta\r\n" + key_of_alpha + "figreach-tenant: x\r\n"),
     "HTTP/1.1 200", "alpha", ""},
    {"no key", request("GET /read/1"), "HTTP/1.1 401", "", ""},
    {"unknown key", request("GET /read/1", "Authorization: Bearer a2\r\n"), "HTTP/1.1 401", "", ""},
    {"empty key", request("GET /read/1", "Authorization: Bearer \r\n"), "HTTP/1.1 401", "", ""},
    {"no scheme", request("GET /read/1", "Authorization: a1\r\n"), "HTTP/1.1 401", "", ""},
    {"other scheme", request("GET /read/1", "Authorization: Basic a1\r\n"), "HTTP/1.1 401", "", ""},
    {"scheme and key without a space", request("GET /read/1", "Authorization: Bearera1\r\n"),
     "HTTP/1.1 401", "", ""},
    {"the key twice", request("GET /read/1", key_of_alpha + key_of_alpha), "HTTP/1.1 401", "", ""},
    {"a key beyond the limit of the header",
     request("GET /read/1", "Authorization: Bearer " + std::string(65'536, 'k') + "\r\n"),
     "HTTP/1.1 431", "", ""},
    {"public route", request("GET /media/1", "Figreach-Tenant: beta\r\n"), "HTTP/1.1 200", "", ""},
    {"public route, with a key", request("GET /media/1", key_of_alpha), "HTTP/1.1 200", "", ""},
    {"public route, with another scheme", request("GET /media/1", "Authorization: Basic eA==\r\n"),
     "HTTP/1.1 200", "", "Authorization: Basic eA=="},
};

} // namespace

TEST_GROUP(tenant_request_test){};

/// Guards against requests that run without a valid key or for a tenant that the caller chose, and
/// against keys that backend servers get to see.
TEST(tenant_request_test, only_requests_with_a_valid_key_reach_a_server)
{
    for (const auto& row : tenant_rows) {
        scripted_server server{{success("plan")}};
        path_fixture host{server.address()};
        host.change_configuration(add_tenants);
        const auto response = host.exchange(row.request);
        STRNCMP_EQUAL_TEXT(row.status, response.c_str(), std::string_view{row.status}.size(),
                           row.name);
        const bool served = std::string_view{row.status}.ends_with("200");
        CHECK_EQUAL_TEXT(served ? 1U : 0U, server.requests(), row.name);
        const auto& head = server.last_head();
        CHECK_TRUE_TEXT(head.find("Bearer") == std::string::npos, row.name);
        CHECK_TRUE_TEXT(head.find("beta") == std::string::npos ||
                            std::string_view{row.tenant} == "beta",
                        row.name);
        const std::string named = std::string{"Figreach-Tenant: "} + row.tenant + "\r\n";
        CHECK_EQUAL_TEXT(served && *row.tenant != 0, has_line(head, named), row.name);
        CHECK_TRUE_TEXT(*row.other_field == 0 || has_line(head, row.other_field), row.name);
    }
}

/// Guards against a change for deployments without tenants.
TEST(tenant_request_test, without_tenants_the_fields_are_passed_on)
{
    scripted_server server{{success("plan")}};
    path_fixture host{server.address()};
    (void)host.exchange(request("GET /read/1", key_of_alpha + "Figreach-Tenant: x\r\n"));
    CHECK_TRUE(has_line(server.last_head(), key_of_alpha));
    CHECK_TRUE(has_line(server.last_head(), "Figreach-Tenant: x\r\n"));
}

/// Guards against a host that trusts a tenant's name on the port between hosts.
TEST(tenant_request_test, another_host_names_no_tenant)
{
    const std::string from_host = from_h2 + "X-Figreach-Hops-Left: 0\r\n";
    scripted_server server{{success("plan")}};
    path_fixture host{server.address()};
    host.change_configuration(add_tenants);
    const auto refused =
        host.exchange_as_peer(request("GET /read/1", from_host + "Figreach-Tenant: alpha\r\n"));
    STRNCMP_EQUAL("HTTP/1.1 401", refused.c_str(), 12);
    CHECK_EQUAL(0U, server.requests());
    const auto served = host.exchange_as_peer(request("GET /read/1", from_host + key_of_alpha));
    STRNCMP_EQUAL("HTTP/1.1 200", served.c_str(), 12);
    CHECK_TRUE(has_line(server.last_head(), "Figreach-Tenant: alpha\r\n"));
}

namespace {

struct freshness_row {
    const char* name;
    int confirmed_ms_ago;
    const char* status;
};

const freshness_row freshness_rows[] = {
    {"just confirmed", 0, "HTTP/1.1 200"},
    {"almost at the limit", 4000, "HTTP/1.1 200"},
    {"beyond the limit", 5000, "HTTP/1.1 503"},
};

} // namespace

/// Guards against a host that is cut off and goes on accepting a key which has been revoked.
TEST(tenant_request_test, keys_are_accepted_as_long_as_no_revocation_can_bind)
{
    for (const auto& row : freshness_rows) {
        scripted_server server{{success("plan"), success("film")}};
        path_fixture host{server.address()};
        host.change_configuration(add_tenants);
        host.limit_revocation(seconds{5}, milliseconds{row.confirmed_ms_ago});
        const auto response = host.exchange(request("GET /read/1", key_of_alpha));
        STRNCMP_EQUAL_TEXT(row.status, response.c_str(), 12, row.name);
        const auto public_one = host.exchange(request("GET /media/1"));
        STRNCMP_EQUAL_TEXT("HTTP/1.1 200", public_one.c_str(), 12, row.name);
    }
}

/// Guards against a key that is revoked while its request waits for an owner.
TEST(tenant_request_test, a_key_is_checked_again_before_the_request_is_sent)
{
    scripted_server server{{success("plan")}};
    path_fixture host{server.address()};
    host.change_configuration(add_tenants);
    host.set_moving(true);
    asio::io_context own;
    auto socket = host.call(own, request("GET /read/1", key_of_alpha));
    while (host.current_counts() == 0) {
        std::this_thread::sleep_for(milliseconds{1});
    }
    host.change_configuration([](route_configuration& all) { all.tenants.front().keys.clear(); });
    host.set_moving(false);
    const auto response = read_until_closed(socket);
    STRNCMP_EQUAL("HTTP/1.1 401", response.c_str(), 12);
    CHECK_EQUAL(0U, server.requests());
}

namespace {

void limit_tenants(route_configuration& all)
{
    add_tenants(all);
    all.tenants.front().rate = 1.0;
    all.tenants.front().burst = 1.0;
}

struct limit_row {
    const char* name = "";
    std::optional<tenant_share> share;
    const char* request = "";
    const char* status = "";
    const char* error = "";
};

const limit_row limit_rows[] = {
    {"no share, no leader", std::nullopt, "GET /read/1", "HTTP/1.1 503", "tenant_share_unknown"},
    {"one request left",
     tenant_share{.tenant = {"alpha"}, .fraction = 1.0, .depth = 1.0, .immediate = 1},
     "GET /read/1", "HTTP/1.1 200", ""},
    {"nothing left", tenant_share{.tenant = {"alpha"}, .fraction = 0.001, .depth = 1.0},
     "GET /read/1", "HTTP/1.1 429", "tenant_over_limit"},
    {"public route", std::nullopt, "GET /media/1", "HTTP/1.1 200", ""},
};

} // namespace

/// Guards against requests beyond the limit that reach a server, and against refusals that do not
/// say when to come back.
TEST(tenant_request_test, requests_run_within_the_share_of_the_limit)
{
    for (const auto& row : limit_rows) {
        scripted_server server{{success("plan"), success("film")}};
        path_fixture host{server.address()};
        host.change_configuration(limit_tenants);
        // The host has seen the tenant before it reports it.
        (void)host.exchange(request("GET /read/1", key_of_alpha));
        if (row.share) {
            host.give_share(*row.share);
        }
        const auto response = host.exchange(request(row.request, key_of_alpha));
        STRNCMP_EQUAL_TEXT(row.status, response.c_str(), 12, row.name);
        CHECK_TRUE_TEXT(response.find(row.error) != std::string::npos, row.name);
        const bool refused = *row.error != 0;
        CHECK_EQUAL_TEXT(refused, response.find("Retry-After: ") != std::string::npos, row.name);
        CHECK_EQUAL_TEXT(refused ? 0U : 1U, server.requests(), row.name);
    }
}
