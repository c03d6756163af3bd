// Backend servers whose answers have a status that callers take for "not run", without saying so.

#include "path_fixture.h"

using namespace figreach;
using namespace figreach::direct;

namespace {

constexpr auto failure_of_host = "HTTP/1.1 502";
const std::string rest = "Retry-After: 1\r\n";
const std::string upload_one = request("POST /upload/1", "Content-Length: 3\r\n") + "abc";
const std::string browse_one = request("GET /media/1");

struct answer_row {
    const char* name;
    std::string request;
    std::string answer;   ///< of the server, each time
    const char* status;   ///< start of the response to the caller
    bool from_server;     ///< the response is the server's own
    std::size_t arrivals; ///< requests received by the server
};

const answer_row answer_rows[] = {
    {"order, 503", order_one, answer("503 Odd", own_id, "why"), failure_of_host, false, 1},
    {"order, 429", order_one, answer("429 Odd", own_id, "why"), failure_of_host, false, 1},
    {"order, 408", order_one, answer("408 Odd", own_id, "why"), failure_of_host, false, 1},
    {"order, signed 503", order_one, answer("503 Odd", own_id + signature, "why"), failure_of_host,
     false, 1},
    {"order, signed 429", order_one, answer("429 Odd", own_id + signature, "why"), failure_of_host,
     false, 1},
    {"order, signed 408", order_one, answer("408 Odd", own_id + signature, "why"), failure_of_host,
     false, 1},
    {"order, signed 421", order_one, answer("421 Odd", own_id + signature, "why"), failure_of_host,
     false, 1},
    {"order, 503 with Retry-After", order_one, answer("503 Odd", own_id + rest, "why"),
     failure_of_host, false, 1},
    {"upload, 503", upload_one, answer("503 Odd", own_id, "why"), failure_of_host, false, 1},
    {"upload, signed 429", upload_one, answer("429 Odd", own_id + signature, "why"),
     failure_of_host, false, 1},
    {"order, 500", order_one, answer("500 Odd", own_id + signature, "why"), "HTTP/1.1 500", true,
     1},
    {"order, 502", order_one, answer("502 Odd", own_id, "why"), "HTTP/1.1 502", true, 1},
    {"order, 409", order_one, answer("409 Odd", own_id + signature, "why"), "HTTP/1.1 409", true,
     1},
    {"order that did not run", order_one,
     answer("503 Full", own_id + "Figreach-Not-Run: 1\r\n", "why"), "HTTP/1.1 503", false, 1},
    {"read, 503", read_one, answer("503 Odd", own_id, "why"), "HTTP/1.1 503", true, 2},
    {"read, signed 429", read_one, answer("429 Odd", own_id + signature, "why"), "HTTP/1.1 429",
     true, 1},
    {"read without a key, 503", browse_one, answer("503 Odd", own_id + rest, "why"), "HTTP/1.1 503",
     true, 1},
    {"order of another host, 503", request("POST /order/1", from_h2 + "Content-Length: 0\r\n"),
     answer("503 Odd", own_id + signature, "why"), failure_of_host, false, 1},
    {"order of another host, 429", request("POST /order/1", from_h2 + "Content-Length: 0\r\n"),
     answer("429 Odd", own_id, "why"), failure_of_host, false, 1},
};

bool is_host_failure(const std::string& response)
{
    return response.find(R"("ran":"unknown")") != std::string::npos &&
           response.find("Figreach-Server-Stamp") == std::string::npos &&
           response.find("Retry-After:") == std::string::npos;
}

} // namespace

TEST_GROUP(unconfirmed_refusal_test){};

/// Guards against callers that repeat an order which has run, because its server answered with a
/// status that promises the contrary (REFUSED).
TEST(unconfirmed_refusal_test, a_status_that_promises_is_passed_on_only_if_the_server_does)
{
    for (const auto& row : answer_rows) {
        scripted_server server{std::vector<std::string>(3, row.answer)};
        path_fixture host{server.address()};
        host.add_route("/upload/", request_kind::upload, "lessons");
        const bool forwarded = row.request.find(from_h2) != std::string::npos;
        const auto response =
            forwarded ? host.exchange_as_peer(row.request) : host.exchange(row.request);
        STRNCMP_EQUAL_TEXT(row.status, response.c_str(), std::string_view{row.status}.size(),
                           row.name);
        CHECK_EQUAL_TEXT(row.from_server, response.ends_with("why"), row.name);
        if (std::string_view{row.status} == failure_of_host && !row.from_server) {
            CHECK_TRUE_TEXT(is_host_failure(response), row.name);
        }
        CHECK_EQUAL_TEXT(row.arrivals, server.requests(), row.name);
    }
}

/// Guards against a host that takes over such an answer from another one, of this build or an
/// earlier one that passes it on.
TEST(unconfirmed_refusal_test, another_host_makes_no_promise_of_an_answer_that_has_none)
{
    const auto of_s1 = own_id + "X-Figreach-Server: s1\r\n";
    const std::string answers[] = {
        answer("503 Odd", of_s1, "why"),
        answer("429 Odd", of_s1 + signature, "why"),
        answer("408 Odd", of_s1 + signature + rest, "why"),
        answer("502 Bad", of_s1 + "X-Figreach-Refusal: outcome_unknown\r\n", "why"),
        answer("502 Bad", of_s1 + "X-Figreach-Refusal: unconfirmed_refusal\r\n", "why"),
        answer("502 Bad", of_s1 + "X-Figreach-Refusal: of_a_later_build\r\n", "why"),
    };
    for (const auto& one : answers) {
        scripted_server peer{{one, success("twice")}};
        const fixture_host own{.name = {"h1"}, .peer_address = local_address(free_port())};
        const fixture_host other{.name = {"h2"}, .peer_address = peer.address()};
        path_fixture cut{local_address(free_port()), own, {own, other}};
        cut.lose_server_path();
        const auto response = cut.exchange(order_one);
        STRNCMP_EQUAL_TEXT(failure_of_host, response.c_str(),
                           std::string_view{failure_of_host}.size(), one.c_str());
        CHECK_TRUE_TEXT(is_host_failure(response), one.c_str());
        CHECK_EQUAL_TEXT(1, peer.requests(), one.c_str());
    }
}
