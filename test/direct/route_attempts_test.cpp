// The number of backend servers to which a route allows one client attempt to be sent.

#include "path_fixture.h"

using namespace figreach;
using namespace figreach::direct;

namespace {

constexpr std::size_t servers = 6;
const std::string browse_one = request("GET /media/1");
const std::string for_h2 = request("GET /media/1", from_h2);
const std::string change_one = request("POST /change/1", "Content-Length: 0\r\n");
const std::string shed = answer("503 Full", own_id + "Figreach-Not-Run: 1\r\n", "");
const std::string misdirected = answer("421 Other", own_id, "");
const std::string failed = answer("500 Odd", own_id + signature, "why");
const std::string lost;

/// Servers of the service without keys, besides the one of the fixture.
class server_group {
public:
    explicit server_group(const std::string& answer)
    {
        for (std::size_t i = 0; i < servers; ++i) {
            this->all.push_back(
                std::make_unique<scripted_server>(std::vector<std::string>{answer, answer}));
        }
    }

    [[nodiscard]] std::string first_address() const { return this->all.front()->address(); }

    /// Registers all servers but the first, which the fixture knows.
    void register_at(path_fixture& host) const
    {
        for (std::size_t i = 1; i < servers; ++i) {
            host.add_server("m" + std::to_string(i + 1), "media", this->all[i]->address());
        }
    }

    /// Number of servers that received a request.
    [[nodiscard]] std::size_t reached() const
    {
        return static_cast<std::size_t>(
            std::count_if(this->all.begin(), this->all.end(),
                          [](const auto& one) { return one->requests() > 0; }));
    }

private:
    std::vector<std::unique_ptr<scripted_server>> all;
};

struct limit_row {
    const char* name;
    std::uint32_t max_servers;
    std::string request;
    std::string answer; ///< of each server; empty if it closes the connection
    std::size_t reached;
    const char* status;
};

const limit_row limit_rows[] = {
    {"lost, one server", 1, browse_one, lost, 1, "HTTP/1.1 502"},
    {"lost, two", 2, browse_one, lost, 2, "HTTP/1.1 502"},
    {"lost, three: suspected of crashing servers after two", 3, browse_one, lost, 2,
     "HTTP/1.1 502"},
    {"failed, one", 1, browse_one, failed, 1, "HTTP/1.1 500"},
    {"failed, two", 2, browse_one, failed, 2, "HTTP/1.1 500"},
    {"failed, three", 3, browse_one, failed, 3, "HTTP/1.1 500"},
    {"failed, more than there are", 10, browse_one, failed, servers, "HTTP/1.1 500"},
    {"shed, one", 1, browse_one, shed, 1, "HTTP/1.1 503"},
    {"shed, two", 2, browse_one, shed, 2, "HTTP/1.1 503"},
    {"another server's address, one", 1, browse_one, misdirected, 1, "HTTP/1.1 503"},
    {"not idempotent, shed, one", 1, change_one, shed, 1, "HTTP/1.1 503"},
    {"not idempotent, shed, three", 3, change_one, shed, 3, "HTTP/1.1 503"},
    {"not idempotent, lost, three", 3, change_one, lost, 1, "HTTP/1.1 502"},
    {"for another host, lost, three", 3, for_h2, lost, 1, "HTTP/1.1 502"},
    {"for another host, shed, three", 3, for_h2, shed, 1, "HTTP/1.1 503"},
};

} // namespace

TEST_GROUP(route_attempts_test){};

/// Guards against running a client attempt on more backend servers than its route allows (BUDGET).
TEST(route_attempts_test, a_request_reaches_as_many_servers_as_its_route_allows)
{
    for (const auto& row : limit_rows) {
        const server_group group{row.answer};
        path_fixture host{group.first_address()};
        group.register_at(host);
        host.add_route("/change/", request_kind::non_idempotent, "media");
        host.limit_servers(row.max_servers);
        const bool forwarded = row.request.find(from_h2) != std::string::npos;
        const auto response =
            forwarded ? host.exchange_as_peer(row.request) : host.exchange(row.request);
        STRNCMP_EQUAL_TEXT(row.status, response.c_str(), std::string_view{row.status}.size(),
                           row.name);
        CHECK_EQUAL_TEXT(row.reached, group.reached(), row.name);
    }
}

/// Guards against spending the limit on a server that never received the request.
TEST(route_attempts_test, a_connection_that_fails_leaves_the_limit_as_it_is)
{
    scripted_server server{{success("plan")}};
    path_fixture host{local_address(free_port())};
    host.limit_servers(1);
    host.add_server("m2", "media", server.address());
    CHECK_TRUE(host.exchange(browse_one).starts_with("HTTP/1.1 200"));
    CHECK_EQUAL(1, server.requests());
}

/// Guards against refusing a request that its owner can still serve.
TEST(route_attempts_test, a_repeat_at_the_same_owner_needs_no_further_server)
{
    scripted_server server{{lost, success("plan")}};
    path_fixture host{server.address()};
    host.limit_servers(1);
    CHECK_TRUE(host.exchange(read_one).starts_with("HTTP/1.1 200"));
    CHECK_EQUAL(2, server.requests());
}

/// Guards against a repeat at a further server because the key has moved there meanwhile.
TEST(route_attempts_test, a_repeat_does_not_follow_a_key_beyond_the_limit)
{
    struct move_row {
        std::uint32_t max_servers;
        const char* status;
        std::size_t arrivals; ///< at the new owner
    };
    const move_row rows[] = {{1, "HTTP/1.1 502", 0}, {2, "HTTP/1.1 200", 1}};
    for (const auto& row : rows) {
        scripted_server next{{success("plan")}};
        path_fixture* host = nullptr;
        fake_upstream first{[&](tcp::socket& socket) {
            if (!read_request(socket)) {
                return;
            }
            host->move_keys("s2");
        }};
        path_fixture own{first.address()};
        host = &own;
        own.limit_servers(row.max_servers);
        own.add_server("s2", "lessons", next.address());
        const auto response = own.exchange(read_one);
        STRNCMP_EQUAL(row.status, response.c_str(), std::string_view{row.status}.size());
        CHECK_EQUAL(row.arrivals, next.requests());
    }
}

/// Guards against a limit that another configuration raises between two sends.
TEST(route_attempts_test, the_configuration_at_arrival_limits_all_sends)
{
    std::atomic<std::size_t> arrivals{0};
    path_fixture* host = nullptr;
    const auto raise_limit_and_close = [&](tcp::socket& socket) {
        if (!read_request(socket)) {
            return;
        }
        ++arrivals;
        host->limit_servers(3);
    };
    fake_upstream first{raise_limit_and_close};
    fake_upstream second{raise_limit_and_close};
    path_fixture own{first.address()};
    host = &own;
    own.add_server("m2", "media", second.address());
    own.limit_servers(1);
    CHECK_TRUE(own.exchange(browse_one).starts_with("HTTP/1.1 502"));
    CHECK_EQUAL(1, arrivals.load());
}

/// Guards against further servers beyond the limit when other hosts send for this one: each may
/// have sent the request to a server that it does not name.
TEST(route_attempts_test, servers_that_other_hosts_reach_count_too)
{
    struct peer_row {
        const char* name;
        std::string answer; ///< of the first host that gets the request
        std::uint32_t max_servers;
        const char* status;
        std::size_t arrivals; ///< at other hosts
    };
    const auto refusal = [](const char* status, const std::string& fields) {
        return answer(status, own_id + "Connection: close\r\n" + fields, "");
    };
    const std::string of_m1 = "X-Figreach-Server: m1\r\n";
    const auto from_m1 = own_id + signature + of_m1 + "Connection: close\r\n";
    const auto refused = refusal("503 Full", of_m1 + "X-Figreach-Refusal: server_refused\r\n");
    const auto unknown = refusal("502 Bad", of_m1 + "X-Figreach-Refusal: outcome_unknown\r\n");
    const auto overloaded = refusal("503 Full", "X-Figreach-Refusal: overloaded\r\n");
    const auto cut_off = refusal("503 Cut", "X-Figreach-Refusal: no_server_path\r\n");
    const peer_row rows[] = {
        {"lost, one", lost, 1, "HTTP/1.1 502", 1},
        {"lost, two", lost, 2, "HTTP/1.1 200", 2},
        {"refused by a server, one", refused, 1, "HTTP/1.1 503", 1},
        {"refused by a server, two", refused, 2, "HTTP/1.1 200", 2},
        {"unknown outcome, one", unknown, 1, "HTTP/1.1 502", 1},
        {"unknown outcome, two", unknown, 2, "HTTP/1.1 200", 2},
        {"not sent, one", overloaded, 1, "HTTP/1.1 200", 2},
        {"without servers, one", cut_off, 1, "HTTP/1.1 200", 2},
    };
    for (const auto& row : rows) {
        const auto last = answer("200 OK", from_m1, "plan");
        scripted_server peer{{row.answer, last, last}};
        const fixture_host own{.name = {"h1"}, .peer_address = local_address(free_port())};
        const fixture_host other{.name = {"h2"}, .peer_address = peer.address()};
        const fixture_host same{.name = {"h3"}, .peer_address = peer.address()};
        path_fixture cut{local_address(free_port()), own, {own, other, same}};
        cut.add_server("m2", "media", local_address(free_port()));
        cut.limit_servers(row.max_servers);
        cut.lose_server_path();
        const auto response = cut.exchange(browse_one);
        STRNCMP_EQUAL_TEXT(row.status, response.c_str(), std::string_view{row.status}.size(),
                           row.name);
        CHECK_EQUAL_TEXT(row.arrivals, peer.requests(), row.name);
    }
}
