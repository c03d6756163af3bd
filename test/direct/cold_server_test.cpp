// Backend servers that turn cold while the store does not tell, so that hosts have to ask them.

#include "path_fixture.h"

using namespace figreach;
using namespace figreach::direct;

namespace {

constexpr std::size_t callers = 10;
constexpr double cold_rate = 10.0;
const std::string of_s1 = "Figreach-Instance-Id: s1\r\n";
const std::string is_cold_now = "Figreach-Cold-Ms: 3000\r\n";

std::string closing(const char* status, const std::string& fields)
{
    return answer(status, fields + "Connection: close\r\n", "plan");
}

/// A backend server with a health path. Serves one connection at a time.
class checked_server {
public:
    /// It closes the connection instead of sending an empty response.
    checked_server(std::string health_answer_, std::string answer_)
        : health_answer{std::move(health_answer_)},
          answer{std::move(answer_)},
          upstream{[this](tcp::socket& socket) { this->serve(socket); }}
    {
    }

    [[nodiscard]] std::string address() const { return this->upstream.address(); }
    [[nodiscard]] std::size_t requests() const { return this->served; }
    [[nodiscard]] std::size_t checks() const { return this->checked; }

private:
    void serve(tcp::socket& socket)
    {
        std::string rest;
        const auto head = read_head(socket, rest);
        const bool is_check = head.starts_with("GET /healthz ");
        if (!head.empty()) {
            ++(is_check ? this->checked : this->served);
        }
        boost::system::error_code failed;
        asio::write(socket, asio::buffer(is_check ? this->health_answer : this->answer), failed);
    }

    std::string health_answer;
    std::string answer;
    std::atomic<std::size_t> served{0};
    std::atomic<std::size_t> checked{0};
    fake_upstream upstream;
};

/// Gives all services a health path and a rate for cold servers.
void limit_cold_servers(path_fixture& host, double rate)
{
    host.change_configuration([rate](route_configuration& all) {
        for (auto& [name, service] : all.services) {
            service.health_path = "/healthz";
            service.cold_rate = rate;
        }
    });
}

struct cold_row {
    const char* name;
    const char* path;
    std::string health_answer; ///< empty if the server closes the connection
    std::string fields;        ///< of its other answers
    double cold_rate;
    bool limited; ///< most of the requests are refused
    bool asked;   ///< on its health path
};

const cold_row cold_rows[] = {
    {"keyed and cold", "/read/", closing("200 OK", of_s1 + is_cold_now), "", cold_rate, true, true},
    {"without keys and cold", "/media/",
     closing("200 OK", "Figreach-Instance-Id: m1\r\n" + is_cold_now), "", cold_rate, true, true},
    {"cold and not healthy", "/read/", closing("503 Not", of_s1 + is_cold_now), "", cold_rate, true,
     true},
    {"says so in its other answers", "/read/", closing("200 OK", of_s1), is_cold_now, cold_rate,
     true, true},
    {"warm", "/read/", closing("200 OK", of_s1 + "Figreach-Cold-Ms: 0\r\n"), "", cold_rate, false,
     true},
    {"does not say", "/read/", closing("200 OK", of_s1), "", cold_rate, false, true},
    {"another server at the address", "/read/",
     closing("200 OK", "Figreach-Instance-Id: s2\r\n" + is_cold_now), "", cold_rate, false, true},
    {"no time that can be read", "/read/", closing("200 OK", of_s1 + "Figreach-Cold-Ms: soon\r\n"),
     "", cold_rate, false, true},
    {"does not answer", "/read/", "", "", cold_rate, false, true},
    {"no limit for cold servers", "/read/", closing("200 OK", of_s1 + is_cold_now), "", 0.0, false,
     false},
};

} // namespace

TEST_GROUP(cold_server_test){};

/// Guards against full load on servers that have turned cold while the store is away, so that
/// their entries do not tell (FAILBACK).
TEST(cold_server_test, a_server_that_says_that_it_is_cold_gets_few_requests)
{
    for (const auto& row : cold_rows) {
        checked_server server{row.health_answer,
                              closing("200 OK", own_id + signature + row.fields)};
        path_fixture host{server.address()};
        limit_cold_servers(host, row.cold_rate);
        std::size_t refused = 0;
        for (std::size_t i = 0; i < callers; ++i) {
            const auto response = host.exchange(request(std::string{"GET "} + row.path + "1"));
            refused += response.find(R"("error":"server_cold")") != std::string::npos ? 1 : 0;
        }
        // A host alone sends one request a second to a cold server.
        CHECK_EQUAL_TEXT(row.limited, refused >= callers / 2, row.name);
        CHECK_EQUAL_TEXT(row.limited ? refused : 0, refused, row.name);
        CHECK_EQUAL_TEXT(callers - refused, server.requests(), row.name);
        CHECK_EQUAL_TEXT(row.asked, server.checks() > 0, row.name);
        CHECK_TRUE_TEXT(server.checks() < callers, row.name);
    }
}

/// Guards against two checks of one server at a time, and against a check for each request.
TEST(cold_server_test, concurrent_requests_share_a_check)
{
    checked_server server{closing("200 OK", of_s1), closing("200 OK", own_id + signature)};
    path_fixture host{server.address()};
    limit_cold_servers(host, cold_rate);
    std::vector<std::future<std::string>> responses;
    for (std::size_t i = 0; i < callers; ++i) {
        responses.push_back(
            std::async(std::launch::async, [&host] { return host.exchange(read_one); }));
    }
    for (auto& one : responses) {
        CHECK_TRUE(one.get().starts_with("HTTP/1.1 200"));
    }
    CHECK_EQUAL(callers, server.requests());
    CHECK_TRUE(server.checks() < callers / 2);
}
