// Servers that answer an upload before they have read it, and end the connection in different ways.

#include "../runtime/early_answer.h"

#include "figreach/direct/runtime/order_client.h"
#include "path_fixture.h"

using namespace figreach;
using namespace figreach::direct;

namespace {

const std::string upload_length = "Content-Length: " + std::to_string(long_upload_bytes) + "\r\n";
const std::string upload_body(long_upload_bytes, 'u');

/// Gives the same early answer on each connection.
class early_server {
public:
    explicit early_server(early_answer answer_)
        : answer{std::move(answer_)}, upstream{[this](tcp::socket& socket) {
              ++this->served;
              send_early(socket, this->answer);
          }}
    {
    }

    [[nodiscard]] std::string address() const { return this->upstream.address(); }
    [[nodiscard]] std::size_t connections() const { return this->served; }

private:
    early_answer answer;
    std::atomic<std::size_t> served{0};
    fake_upstream upstream;
};

/// Checks what the caller of an order got. It ran once at the most.
void check_order(const early_answer& row, const std::string& response, const early_server& server)
{
    const auto text = std::string{row.name} + ": " + response.substr(0, 400);
    STRNCMP_EQUAL_TEXT(row.complete ? "HTTP/1.1 200" : "HTTP/1.1 502", response.c_str(), 12,
                       text.c_str());
    CHECK_EQUAL_TEXT(row.complete, response.ends_with("\r\n\r\nplan"), text.c_str());
    CHECK_EQUAL_TEXT(1, server.connections(), row.name);
}

} // namespace

TEST_GROUP(early_answer_test){};

/// Guards against passing on a part of an answer as a whole one because the connection was reset
/// while the upload was written (MIXED).
TEST(early_answer_test, an_order_gets_the_whole_answer_or_an_unknown_outcome)
{
    for (const auto& row : early_answers(own_id + signature)) {
        for (const auto* more : {"", from_h2.c_str()}) {
            early_server server{row};
            path_fixture host{server.address()};
            auto order = request("POST /order/1", more + upload_length);
            order += upload_body;
            check_order(row, *more == '\0' ? host.exchange(order) : host.exchange_as_peer(order),
                        server);
        }
    }
}

/// Guards against the same in the answers of other hosts.
TEST(early_answer_test, an_order_passed_to_another_host_gets_the_whole_answer_or_an_unknown_outcome)
{
    for (const auto& row : early_answers(own_id + signature + "X-Figreach-Server: s1\r\n")) {
        early_server peer{row};
        const fixture_host own{.name = {"h1"}, .peer_address = local_address(free_port())};
        const fixture_host other{.name = {"h2"}, .peer_address = peer.address()};
        path_fixture host{local_address(free_port()), own, {own, other}};
        host.lose_server_path();
        check_order(row, host.exchange(request("POST /order/1", upload_length) + upload_body),
                    peer);
    }
}

TEST(early_answer_test, a_read_whose_answer_was_cut_off_is_sent_again)
{
    const auto rows = early_answers(own_id + signature);
    std::atomic<int> served{0};
    fake_upstream server{[&](tcp::socket& socket) {
        send_early(socket, served++ == 0 ? rows.front() : rows.back());
    }};
    path_fixture host{server.address()};
    const auto response = host.exchange(request("POST /read/1", upload_length) + upload_body);
    STRNCMP_EQUAL("HTTP/1.1 200", response.c_str(), 12);
    CHECK_TRUE(response.ends_with("\r\n\r\nplan"));
    CHECK_EQUAL(2, served);
}

/// Guards against the same in answers to calls of servers, other hosts and the store, which are
/// read after the whole call has been written.
TEST(early_answer_test, a_call_that_could_not_be_written_has_no_answer)
{
    for (const auto& row : early_answers({})) {
        if (row.complete) {
            continue;
        }
        early_server server{row};
        asio::io_context io;
        http_client client{io};
        process_continuity processes;
        order_client orders{io, processes};
        const auto post = make_request(boost::beast::http::verb::post, "/grant", upload_body);
        std::vector<http_result> results;
        const auto call = [&]() -> asio::awaitable<void> {
            const auto until = monotonic_time::clock::now() + seconds{20};
            results.push_back(co_await client.call(server.address(), post, until));
            results.push_back(co_await orders.call(server.address(), post, until,
                                                   [] { return monotonic_time::max(); }));
        };
        asio::co_spawn(io, call, asio::detached);
        io.run();
        CHECK_EQUAL_TEXT(2, results.size(), row.name);
        for (const auto& result : results) {
            const auto* failure = std::get_if<call_failure>(&result);
            CHECK_TRUE_TEXT(failure != nullptr && *failure == call_failure::no_answer, row.name);
        }
    }
}
