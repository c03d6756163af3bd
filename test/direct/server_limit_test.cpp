#include "path_fixture.h"

using namespace figreach;
using namespace figreach::direct;

namespace {

constexpr std::size_t requests_per_host = 30;

std::string limited(const std::string& limit)
{
    return answer("200 OK",
                  own_id + signature + "Connection: close\r\nServer-Limit: " + limit + "\r\n",
                  "plan");
}

struct limit_row {
    const char* name;
    std::string request;
    const char* limit;
    std::size_t min_arrivals;
    std::size_t max_arrivals; ///< within a few seconds, from all hosts together
};

/// The most that a server may get in 4 s: one and a half times its limit and 5 requests.
constexpr std::size_t allowed_at_2 = 17;

const limit_row limit_rows[] = {
    {"keyed, may be repeated", read_one, "2", 2, allowed_at_2},
    {"keyed, may run once", order_one, "2", 2, allowed_at_2},
    {"any server", request("GET /media/1"), "2", 2, allowed_at_2},
    {"a limit of zero", read_one, "0", 1, 5},
    {"a high limit", read_one, "1000", 3 * requests_per_host, 3 * requests_per_host},
    {"not a number", read_one, "few", 3 * requests_per_host, 3 * requests_per_host},
    {"negative", read_one, "-2", 3 * requests_per_host, 3 * requests_per_host},
};

} // namespace

TEST_GROUP(server_limit_test){};

/// Guards against each host keeping to the limit of a backend server by itself, or not at all.
TEST(server_limit_test, all_hosts_together_stay_within_the_limit_of_a_server)
{
    for (const auto& row : limit_rows) {
        scripted_server server{std::vector<std::string>(3 * requests_per_host, limited(row.limit))};
        const auto names = three_hosts();
        std::vector<std::unique_ptr<path_fixture>> hosts;
        hosts.reserve(names.size());
        for (const auto& one : names) {
            hosts.push_back(std::make_unique<path_fixture>(server.address(), one, names));
        }
        for (std::size_t i = 0; i < requests_per_host; ++i) {
            for (const auto& host : hosts) {
                const auto response = host->exchange(row.request);
                const bool ran = response.starts_with("HTTP/1.1 200");
                const bool refused = response.starts_with("HTTP/1.1 503") &&
                                     response.find("Retry-After: ") != std::string::npos;
                CHECK_TRUE_TEXT(ran || refused, row.name);
            }
        }
        CHECK_TRUE_TEXT(server.requests() >= row.min_arrivals, row.name);
        CHECK_TRUE_TEXT(server.requests() <= row.max_arrivals, row.name);
    }
}

/// Guards against refusing the requests to a limited server for as long as the host that should
/// send them is down.
TEST(server_limit_test, another_host_sends_when_the_preferred_one_is_down)
{
    for (const auto* down : {"h1", "h2", "h3"}) {
        scripted_server server{std::vector<std::string>(10, limited("1000"))};
        const auto names = three_hosts();
        const auto& up = names[std::string_view{down} == "h1" ? 1 : 0];
        path_fixture host{server.address(), up, {names[0], names[1], names[2]}};
        for (int i = 0; i < 5; ++i) {
            const auto response = host.exchange(order_one);
            CHECK_TRUE_TEXT(response.starts_with("HTTP/1.1 200"), down);
        }
    }
}
