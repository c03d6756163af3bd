#include "path_fixture.h"

using namespace figreach;
using namespace figreach::direct;

namespace {

constexpr std::size_t callers = 20;

std::string closing(const std::string& body)
{
    return answer("200 OK", own_id + signature + "Connection: close\r\n", body);
}

/// An address at which connections are refused.
std::string dead_address()
{
    return local_address(free_port());
}

struct cut_row {
    const char* name;
    std::string request;
    bool other_is_cut; ///< the second host is cut off as well; the third is not
    std::size_t min_served;
};

const cut_row cut_rows[] = {
    {"keyed, may be repeated", read_one, false, callers - 2},
    {"keyed, may run once", order_one, false, callers - 2},
    {"any server", request("GET /media/1"), false, callers - 2},
    {"a body", request("POST /order/1", "Content-Length: 3\r\n") + "abc", false, callers - 2},
    {"another host is cut off as well", order_one, true, callers - 2},
};

} // namespace

TEST_GROUP(server_path_loss_test){};

/// Guards against refusing the callers of a host that reaches no backend server while others do.
TEST(server_path_loss_test, callers_of_a_host_without_servers_are_served_through_other_hosts)
{
    for (const auto& row : cut_rows) {
        scripted_server server{std::vector<std::string>(2 * callers, closing("plan"))};
        const auto names = three_hosts();
        path_fixture cut{dead_address(), names[0], names};
        path_fixture second{row.other_is_cut ? dead_address() : server.address(), names[1], names};
        path_fixture third{server.address(), names[2], names};
        cut.lose_server_path();
        if (row.other_is_cut) {
            second.lose_server_path();
        }
        std::size_t served = 0;
        for (std::size_t i = 0; i < callers; ++i) {
            served += cut.exchange(row.request).starts_with("HTTP/1.1 200") ? 1 : 0;
        }
        CHECK_TRUE_TEXT(served >= row.min_served, row.name);
        CHECK_EQUAL_TEXT(served, server.requests(), row.name);
    }
}

/// Guards against refusing requests while new connections to servers fail and kept ones live on, so
/// that the path does not count as lost.
TEST(server_path_loss_test, callers_are_served_through_other_hosts_while_new_connections_fail)
{
    scripted_server server{std::vector<std::string>(callers, closing("plan"))};
    const fixture_host own{.name = {"h1"}, .peer_address = local_address(free_port())};
    const fixture_host other{.name = {"h2"}, .peer_address = local_address(free_port())};
    path_fixture cut{dead_address(), own, {own, other}};
    path_fixture second{server.address(), other, {own, other}};
    cut.lose_new_connections();
    for (std::size_t i = 0; i < callers; ++i) {
        CHECK_TRUE(cut.exchange(order_one).starts_with("HTTP/1.1 200"));
    }
}

/// Guards against requests that run although their caller was told that they did not, or that run
/// twice, when the host that sends for another one is lost.
TEST(server_path_loss_test, a_request_lost_with_the_other_host_is_not_repeated_unless_it_may_be)
{
    struct loss_row {
        const char* name;
        std::string request;
        const char* status;
        std::size_t arrivals;
    };
    const loss_row rows[] = {
        {"may run once", order_one, "HTTP/1.1 502", 1},
        {"may be repeated", read_one, "HTTP/1.1 200", 2},
    };
    for (const auto& row : rows) {
        // The first connection is closed without an answer.
        scripted_server peer{{"", closing("plan")}};
        const fixture_host own{.name = {"h1"}, .peer_address = local_address(free_port())};
        const fixture_host other{.name = {"h2"}, .peer_address = peer.address()};
        const fixture_host same{.name = {"h3"}, .peer_address = peer.address()};
        path_fixture cut{dead_address(), own, {own, other, same}};
        cut.lose_server_path();
        const auto response = cut.exchange(row.request);
        STRNCMP_EQUAL_TEXT(row.status, response.c_str(), std::string_view{row.status}.size(),
                           row.name);
        CHECK_EQUAL_TEXT(row.arrivals, peer.requests(), row.name);
    }
}

/// Guards against requests that wait for their whole time on connections that have gone silent.
TEST(server_path_loss_test,
     a_silent_request_is_sent_again_through_another_host_if_it_may_be_repeated)
{
    scripted_server server{{closing("plan")}};
    std::promise<void> arrived;
    fake_upstream silent{[&arrived](tcp::socket& socket) {
        boost::system::error_code failed;
        asio::streambuf buffer;
        asio::read_until(socket, buffer, "\r\n\r\n", failed);
        arrived.set_value();
        char byte = 0;
        socket.read_some(asio::buffer(&byte, 1), failed);
    }};
    const fixture_host own{.name = {"h1"}, .peer_address = local_address(free_port())};
    const fixture_host other{.name = {"h2"}, .peer_address = local_address(free_port())};
    path_fixture cut{silent.address(), own, {own, other}};
    path_fixture second{server.address(), other, {own, other}};
    auto response = std::async(std::launch::async, [&cut] { return cut.exchange(read_one); });
    arrived.get_future().wait();
    cut.lose_server_path();
    CHECK_TRUE(response.get().starts_with("HTTP/1.1 200"));
    CHECK_EQUAL(1, server.requests());
}

TEST(server_path_loss_test, a_request_is_refused_at_once_if_no_other_host_reaches_a_server)
{
    const fixture_host own{.name = {"h1"}, .peer_address = local_address(free_port())};
    const fixture_host other{.name = {"h2"}, .peer_address = local_address(free_port())};
    path_fixture cut{dead_address(), own, {own, other}};
    path_fixture second{dead_address(), other, {own, other}};
    cut.lose_server_path();
    second.lose_server_path();
    const auto response = cut.exchange(order_one);
    CHECK_TRUE(response.starts_with("HTTP/1.1 503"));
    CHECK_TRUE(response.find("no_server_path") != std::string::npos);
    CHECK_TRUE(response.find("Retry-After: 0.") != std::string::npos);
}
