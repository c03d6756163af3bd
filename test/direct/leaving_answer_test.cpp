// Backend servers that say in their answers that they are leaving.

#include "path_fixture.h"

using namespace figreach;
using namespace figreach::direct;

namespace {

constexpr milliseconds leaving_limit{300};
/// Requests whose arrivals are counted after the limit.
constexpr int later_requests = 2;

const std::string leaving = "Server-Leaving: 1\r\n";
const std::string closing = "Connection: close\r\n";
const std::string not_run = "Figreach-Not-Run: 1\r\n";

struct leaving_row {
    const char* name;
    std::string request;
    std::string answer; ///< to all requests
    bool from_peer;     ///< the requests come from another host
};

const leaving_row leaving_rows[] = {
    {"keyed, may be repeated", read_one, answer("200 OK", own_id + signature + leaving, "plan"),
     false},
    {"keyed, may run once", order_one, answer("200 OK", own_id + signature + leaving, "plan"),
     false},
    {"any server", request("GET /media/1"), answer("200 OK", own_id + signature + leaving, "plan"),
     false},
    {"refusal", order_one, answer("503 Full", own_id + not_run + leaving, ""), false},
    {"another server", order_one, answer("421 Other", own_id + leaving, ""), false},
    {"failure", order_one, answer("500 Odd", own_id + signature + leaving, ""), false},
    {"interim answer", order_one,
     "HTTP/1.1 103 Early Hints\r\n" + leaving + "\r\n" +
         answer("200 OK", own_id + signature + closing, "plan"),
     false},
    {"answer to another request", order_one,
     answer("200 OK", "Figreach-Request-Id: 77\r\n" + signature + leaving, "odd") +
         answer("200 OK", own_id + signature + closing, "plan"),
     false},
    {"success that is not passed on", order_one, answer("200 OK", own_id + leaving, "plan"), false},
    {"forwarded by another host", request("GET /read/1", from_h2),
     answer("200 OK", own_id + signature + leaving, "plan"), true},
};

} // namespace

TEST_GROUP(leaving_answer_test){};

/// Guards against sending to a server that has said in an answer that it leaves (DRAIN).
TEST(leaving_answer_test, a_server_that_says_so_in_an_answer_gets_no_request_after_the_limit)
{
    for (const auto& row : leaving_rows) {
        scripted_server server{std::vector<std::string>(100, row.answer)};
        path_fixture host{server.address(), {.leaving_limit = leaving_limit}};
        const auto exchange = [&] {
            return row.from_peer ? host.exchange_as_peer(row.request) : host.exchange(row.request);
        };
        exchange();
        CHECK_TRUE_TEXT(server.requests() >= 1, row.name);
        std::this_thread::sleep_for(leaving_limit);
        const auto at_limit = server.requests();
        for (int i = 0; i < later_requests; ++i) {
            const auto response = exchange();
            STRNCMP_EQUAL_TEXT("HTTP/1.1 503", response.c_str(), 12, row.name);
        }
        CHECK_EQUAL_TEXT(at_limit, server.requests(), row.name);
    }
}

/// Guards against a host that passes on the answer of a leaving server which another host got, and
/// then sends to that server itself.
TEST(leaving_answer_test, the_word_in_a_forwarded_answer_counts)
{
    const auto limited = own_id + signature + closing + "Server-Limit: 1000\r\n";
    for (const bool first_asks : {true, false}) {
        std::vector<std::string> answers(100, answer("200 OK", limited + leaving, "plan"));
        // The first request teaches the limit, by which one host sends all later ones.
        answers.front() = answer("200 OK", limited, "plan");
        scripted_server server{answers};
        auto names = three_hosts();
        names.pop_back();
        std::vector<std::unique_ptr<path_fixture>> hosts;
        for (auto one : names) {
            one.leaving_limit = leaving_limit;
            hosts.push_back(std::make_unique<path_fixture>(server.address(), one, names));
        }
        auto& asking = hosts[first_asks ? 0 : 1];
        asking->exchange(order_one);
        asking->exchange(order_one);
        hosts[first_asks ? 1 : 0].reset();
        std::this_thread::sleep_for(leaving_limit);
        const auto at_limit = server.requests();
        CHECK_EQUAL(2, at_limit);
        const auto response = asking->exchange(order_one);
        STRNCMP_EQUAL("HTTP/1.1 503", response.c_str(), 12);
        CHECK_EQUAL(at_limit, server.requests());
    }
}
