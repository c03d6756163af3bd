#include "path_fixture.h"

using namespace figreach;
using namespace figreach::direct;

namespace {

request_digest digest_of_line(const char* method, const std::string& target,
                              const std::string& body = "")
{
    return digest_of({.host = "a.example", .method = method, .target = target, .body = body});
}

const request_digest read_digest = digest_of_line("GET", "/read/1");
const request_digest order_digest = digest_of_line("POST", "/order/1");

std::string closing(const char* status, const std::string& fields = signature)
{
    return answer(status, own_id + fields + "Connection: close\r\n", "plan");
}

struct send_row {
    const char* name;
    std::string request;
    request_digest digest;
    std::size_t known_losses;
    std::vector<std::string> answers; ///< empty: the server closes the connection
    const char* status;
    std::size_t arrivals;
    std::size_t losses; ///< afterwards
};

const send_row send_rows[] = {
    {"may be repeated, nothing known",
     read_one,
     read_digest,
     0,
     {"", closing("200 OK")},
     "HTTP/1.1 200",
     2,
     0},
    {"its loss is the second",
     read_one,
     read_digest,
     1,
     {"", closing("200 OK")},
     "HTTP/1.1 502",
     1,
     2},
    {"suspected and lost", read_one, read_digest, 2, {"", closing("200 OK")}, "HTTP/1.1 502", 1, 3},
    {"may run once, lost", order_one, order_digest, 0, {""}, "HTTP/1.1 502", 1, 1},
    {"may run once, suspected and lost", order_one, order_digest, 2, {""}, "HTTP/1.1 502", 1, 3},
    {"suspected and answered",
     order_one,
     order_digest,
     2,
     {closing("200 OK")},
     "HTTP/1.1 200",
     1,
     0},
    {"suspected and turned down",
     order_one,
     order_digest,
     2,
     {closing("404 Not Found")},
     "HTTP/1.1 404",
     1,
     0},
    {"suspected and failed",
     order_one,
     order_digest,
     2,
     {closing("500 Internal Server Error")},
     "HTTP/1.1 500",
     1,
     2},
    {"an answer that can't be passed on",
     order_one,
     order_digest,
     2,
     {closing("200 OK", "")},
     "HTTP/1.1 502",
     1,
     2},
    {"held", read_one, read_digest, 3, {closing("200 OK")}, "HTTP/1.1 503", 0, 3},
    {"may run once, held", order_one, order_digest, 3, {closing("200 OK")}, "HTTP/1.1 503", 0, 3},
    {"another one is held", read_one, order_digest, 3, {closing("200 OK")}, "HTTP/1.1 200", 1, 3},
};

} // namespace

TEST_GROUP(crash_request_path_test){};

TEST(crash_request_path_test, requests_that_may_crash_servers_are_held_back)
{
    for (const auto& row : send_rows) {
        scripted_server server{row.answers};
        path_fixture host{server.address()};
        host.lose_sends(row.digest, row.known_losses);
        const auto response = host.exchange(row.request);
        STRNCMP_EQUAL_TEXT(row.status, response.c_str(), std::string_view{row.status}.size(),
                           row.name);
        CHECK_EQUAL_TEXT(row.arrivals, server.requests(), row.name);
        CHECK_EQUAL_TEXT(row.losses, host.lost_sends(row.digest), row.name);
    }
}

TEST(crash_request_path_test, a_held_request_is_not_told_to_come_back)
{
    scripted_server server{{closing("200 OK")}};
    path_fixture host{server.address()};
    host.lose_sends(read_digest, 3);
    const auto response = host.exchange(read_one);
    CHECK_TRUE(response.find("\"error\":\"request_held\",\"ran\":\"not_run\"") !=
               std::string::npos);
    CHECK_TRUE(response.find("Retry-After") == std::string::npos);
}

TEST(crash_request_path_test, the_body_is_part_of_what_is_held)
{
    scripted_server server{{closing("200 OK")}};
    path_fixture host{server.address()};
    host.lose_sends(digest_of_line("POST", "/order/1", "abc"), 3);
    const auto with_body = [](const char* body) {
        return request("POST /order/1", "Content-Length: 3\r\n") + body;
    };
    CHECK_TRUE(host.exchange(with_body("abc")).starts_with("HTTP/1.1 503"));
    CHECK_TRUE(host.exchange(with_body("abd")).starts_with("HTTP/1.1 200"));
}

/// Guards against two hosts that send suspected requests to one server at the same time.
TEST(crash_request_path_test, one_host_sends_all_suspected_requests)
{
    constexpr std::size_t count = 8;
    const std::vector<std::string> answers(2 * count, closing("200 OK"));
    scripted_server first_server{answers};
    scripted_server second_server{answers};
    const fixture_host own{.name = {"h1"}, .peer_address = local_address(free_port())};
    const fixture_host other{.name = {"h2"}, .peer_address = local_address(free_port())};
    path_fixture first{first_server.address(), own, {own, other}};
    path_fixture second{second_server.address(), other, {own, other}};
    for (std::size_t i = 0; i < count; ++i) {
        const auto target = "/order/" + std::to_string(i);
        const auto digest = digest_of_line("POST", target);
        first.lose_sends(digest, 2);
        second.lose_sends(digest, 2);
        auto& entry = i % 2 == 0 ? first : second;
        const auto response = entry.exchange(request("POST " + target, "Content-Length: 0\r\n"));
        CHECK_TRUE(response.starts_with("HTTP/1.1 200"));
        CHECK_EQUAL(2, std::max(first.lost_sends(digest), second.lost_sends(digest)));
        CHECK_EQUAL(0, std::min(first.lost_sends(digest), second.lost_sends(digest)));
    }
    CHECK_EQUAL(count, std::max(first_server.requests(), second_server.requests()));
    CHECK_EQUAL(0, std::min(first_server.requests(), second_server.requests()));
}

/// Guards against a suspected request that the first host sends again when the host that sends for
/// all has lost it.
TEST(crash_request_path_test, a_suspected_request_lost_at_another_host_is_not_sent_again)
{
    scripted_server server{{"", "", "", ""}};
    const fixture_host own{.name = {"h1"}, .peer_address = local_address(free_port())};
    const fixture_host other{.name = {"h2"}, .peer_address = local_address(free_port())};
    path_fixture first{server.address(), own, {own, other}};
    path_fixture second{server.address(), other, {own, other}};
    std::size_t arrivals = 0;
    for (auto* entry : {&first, &second}) {
        const auto target = "/read/" + std::to_string(arrivals);
        const auto digest = digest_of_line("GET", target);
        first.lose_sends(digest, 2);
        second.lose_sends(digest, 2);
        CHECK_TRUE(entry->exchange(request("GET " + target)).starts_with("HTTP/1.1 502"));
        ++arrivals;
        CHECK_EQUAL(arrivals, server.requests());
        CHECK_EQUAL(3, std::max(first.lost_sends(digest), second.lost_sends(digest)));
    }
}
