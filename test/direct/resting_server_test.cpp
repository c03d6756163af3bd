// Backend servers that turn requests away and say for how long they want none.

#include "path_fixture.h"

using namespace figreach;
using namespace figreach::direct;

namespace {

constexpr std::size_t repeats = 6;
/// A request that was under way, and what the users' rule leaves besides.
constexpr std::size_t allowed_arrivals = 3;

std::string turned_away(const std::string& fields)
{
    return answer("503 Full", own_id + "Figreach-Not-Run: 1\r\n" + fields, "");
}

struct rest_row {
    const char* name;
    std::string request;
    std::string answer; ///< to all requests
    bool from_peer;     ///< the requests come from another host
    bool rests;
};

const rest_row rest_rows[] = {
    {"keyed, may be repeated", read_one, turned_away("Retry-After: 3\r\n"), false, true},
    {"keyed, may run once", order_one, turned_away("Retry-After: 3\r\n"), false, true},
    {"any server", request("GET /media/1"), turned_away("Retry-After: 3\r\n"), false, true},
    {"forwarded by another host", request("GET /read/1", from_h2),
     turned_away("Retry-After: 3\r\n"), true, true},
    {"fraction", order_one, turned_away("Retry-After: 2.75\r\n"), false, true},
    {"two times", order_one, turned_away("Retry-After: 0.1\r\nRetry-After: 3\r\n"), false, true},
    {"a long time", order_one, turned_away("Retry-After: 99999999999999\r\n"), false, true},
    {"failure of the server", order_one,
     answer("503 Odd", own_id + signature + "Retry-After: 3\r\n", ""), false, true},
    {"no time", order_one, turned_away(""), false, false},
    {"zero", order_one, turned_away("Retry-After: 0\r\n"), false, false},
    {"negative", order_one, turned_away("Retry-After: -3\r\n"), false, false},
    {"no number", order_one, turned_away("Retry-After: soon\r\n"), false, false},
};

double retry_after_of(const std::string& response)
{
    const std::string field = "Retry-After: ";
    const auto at = response.find(field);
    return at == std::string::npos ? -1.0 : std::stod(response.substr(at + field.size()));
}

} // namespace

TEST_GROUP(resting_server_test){};

/// Guards against sending on to a server that has asked this host for a rest (BUDGET).
TEST(resting_server_test, a_server_that_asked_for_a_rest_gets_none_of_the_requests_that_follow)
{
    for (const auto& row : rest_rows) {
        scripted_server server{std::vector<std::string>(100, row.answer)};
        path_fixture host{server.address()};
        const auto exchange = [&] {
            return row.from_peer ? host.exchange_as_peer(row.request) : host.exchange(row.request);
        };
        exchange();
        const auto begun = monotonic_time::clock::now();
        std::vector<std::string> responses;
        for (std::size_t i = 0; i < repeats; ++i) {
            responses.push_back(exchange());
        }
        const auto took = monotonic_time::clock::now() - begun;
        const auto text = std::string{row.name} + ": " + std::to_string(server.requests());
        CHECK_EQUAL_TEXT(row.rests, server.requests() <= allowed_arrivals, text.c_str());
        for (const auto& response : responses) {
            STRNCMP_EQUAL_TEXT("HTTP/1.1 503", response.c_str(), 12, row.name);
            // Coming back sooner than the server wants is of no use.
            CHECK_TRUE_TEXT(!row.rests || retry_after_of(response) >= 1.5, row.name);
        }
        CHECK_TRUE_TEXT(took < seconds{1}, row.name);
    }
}

/// Guards against holding a server's word for longer than it asked.
TEST(resting_server_test, a_server_gets_requests_again_after_its_rest)
{
    scripted_server server{{turned_away("Retry-After: 0.4\r\n"), success("plan")}};
    path_fixture host{server.address()};
    host.exchange(order_one);
    std::this_thread::sleep_for(milliseconds{500});
    const auto response = host.exchange(order_one);
    STRNCMP_EQUAL("HTTP/1.1 200", response.c_str(), 12);
}
