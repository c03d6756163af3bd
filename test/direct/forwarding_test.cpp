#include "figreach/direct/runtime/forwarding.h"

#include "path_fixture.h"

using namespace figreach;
using namespace figreach::direct;

namespace http = boost::beast::http;

namespace {

struct forwarded_row {
    const char* name;
    std::string request;
    std::vector<std::string> answers; ///< of the server
    const char* status;               ///< start of the response to the other host
    const char* field;                ///< contained in its head
    std::size_t arrivals;
};

const forwarded_row forwarded_rows[] = {
    {"answer of the server",
     request("GET /read/1", from_h2),
     {success("plan")},
     "HTTP/1.1 200",
     "X-Figreach-Server: s1\r\n",
     1},
    {"the server's failure is no refusal",
     request("POST /order/1", from_h2 + "Content-Length: 0\r\n"),
     {answer("500 Odd", own_id + signature + "X-Figreach-Refusal: overloaded\r\n", "why")},
     "HTTP/1.1 500",
     "X-Figreach-Server: s1\r\n",
     1},
    {"an order whose server answers 503 without saying that it did not run",
     request("POST /order/1", from_h2 + "Content-Length: 0\r\n"),
     {answer("503 Odd", own_id + signature + "X-Figreach-Refusal: overloaded\r\n", "why")},
     "HTTP/1.1 502",
     "X-Figreach-Refusal: unconfirmed_refusal\r\n",
     1},
    {"a failed idempotent request is left to the first host",
     request("GET /read/1", from_h2),
     {answer("500 Odd", own_id + signature, "why"), success("plan")},
     "HTTP/1.1 500",
     "X-Figreach-Server: s1\r\n",
     1},
    {"refused by the server",
     request("GET /read/1", from_h2),
     {answer("503 Full", own_id + "Figreach-Not-Run: 1\r\n", "")},
     "HTTP/1.1 503",
     "X-Figreach-Refusal: server_refused\r\n",
     1},
    {"outcome unknown",
     request("POST /order/1", from_h2 + "Content-Length: 0\r\n"),
     {""},
     "HTTP/1.1 502",
     "X-Figreach-Refusal: outcome_unknown\r\n",
     1},
    {"no server",
     request("POST /nobody/1", from_h2 + "Content-Length: 0\r\n"),
     {},
     "HTTP/1.1 503",
     "X-Figreach-Refusal: no_owner\r\n",
     0},
    {"malformed",
     request("GET /read/1", from_h2 + "Figreach-Deadline-Ms: soon\r\n"),
     {},
     "HTTP/1.1 400",
     "X-Figreach-Refusal: malformed_request\r\n",
     0},
};

struct refusal_row {
    const char* kind;        ///< as sent; empty if the server answered
    const char* retry_after; ///< milliseconds as sent
    bool refused;
    error_kind decoded;
    milliseconds delay;
};

const refusal_row refusal_rows[] = {
    {"", "", false, error_kind::outcome_unknown, {}},
    {"overloaded", "250", true, error_kind::overloaded, milliseconds{250}},
    {"overloaded", "", true, error_kind::overloaded, {}},
    {"overloaded", "-5", true, error_kind::overloaded, {}},
    {"overloaded", "4000000000", true, error_kind::overloaded, milliseconds{60'000}},
    {"overloaded", "99999999999999", true, error_kind::overloaded, {}},
    {"of a later version", "250", true, error_kind::outcome_unknown, milliseconds{250}},
};

} // namespace

TEST_GROUP(forwarding_test){};

TEST(forwarding_test, serves_a_request_for_another_host)
{
    for (const auto& row : forwarded_rows) {
        scripted_server server{row.answers};
        path_fixture host{server.address()};
        const auto response = host.exchange_as_peer(row.request);
        STRNCMP_EQUAL_TEXT(row.status, response.c_str(), std::string_view{row.status}.size(),
                           row.name);
        CHECK_TRUE_TEXT(response.find(row.field) != std::string::npos, row.name);
        CHECK_TRUE_TEXT(response.find(own_id) != std::string::npos, row.name);
        CHECK_EQUAL_TEXT(row.arrivals, server.requests(), row.name);
        if (row.arrivals > 0) {
            CHECK_TRUE_TEXT(server.last_head().find("X-Figreach") == std::string::npos, row.name);
        }
    }
}

TEST(forwarding_test, reads_refusals_of_other_hosts)
{
    for (const auto& row : refusal_rows) {
        http_response answer;
        if (*row.kind != '\0') {
            answer.set("X-Figreach-Refusal", row.kind);
        }
        answer.set("X-Figreach-Retry-After-Ms", row.retry_after);
        const auto head = take_forwarded_answer_head(answer);
        CHECK_EQUAL_TEXT(row.refused, head.refusal.has_value(), row.kind);
        CHECK_TRUE_TEXT(answer.find("X-Figreach-Retry-After-Ms") == answer.end(), row.kind);
        if (head.refusal) {
            CHECK_TRUE_TEXT(row.decoded == head.refusal->kind, row.kind);
            CHECK_EQUAL_TEXT(row.delay.count(), head.refusal->retry_after.count(), row.kind);
        }
    }
}

TEST(forwarding_test, a_request_of_a_caller_is_no_forwarded_one)
{
    scripted_server server{{success("plan")}};
    path_fixture host{server.address()};
    const auto response = host.exchange(request("GET /read/1", from_h2));
    CHECK_TRUE(response.starts_with("HTTP/1.1 200"));
    CHECK_TRUE(response.find("X-Figreach") == std::string::npos);
}
