// A backend server that writes an earlier refusal once more on a connection that is kept.

#include <boost/asio/as_tuple.hpp>

#include "order_codec.h"
#include "path_fixture.h"

using namespace figreach;
using namespace figreach::direct;

namespace {

constexpr auto no_throw = asio::as_tuple(asio::use_awaitable);

/// Refuses the first request. Each later one runs; if it comes on the connection of the refusal,
/// the refusal is written once more before its answer.
class repeating_server {
public:
    repeating_server(std::string refusal_, std::string success_)
        : refusal{std::move(refusal_)}, success{std::move(success_)}
    {
        asio::co_spawn(this->io, this->accept(), asio::detached);
        this->thread = std::thread{[this] { this->io.run(); }};
    }
    ~repeating_server()
    {
        this->io.stop();
        this->thread.join();
    }
    repeating_server(const repeating_server&) = delete;
    repeating_server& operator=(const repeating_server&) = delete;

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(this->listener.local_endpoint().port());
    }
    [[nodiscard]] std::size_t requests() const { return this->arrivals; }

private:
    asio::awaitable<void> accept()
    {
        for (;;) {
            auto socket = co_await this->listener.async_accept(asio::use_awaitable);
            asio::co_spawn(this->io, this->serve(std::move(socket)), asio::detached);
        }
    }

    asio::awaitable<void> serve(tcp::socket socket)
    {
        std::string buffer;
        bool refused = false;
        for (;;) {
            const auto [failed, size] = co_await asio::async_read_until(
                socket, asio::dynamic_buffer(buffer), "\r\n\r\n", no_throw);
            if (failed) {
                co_return;
            }
            buffer.clear();
            const bool is_first = this->arrivals++ == 0;
            const auto text =
                is_first ? this->refusal : (refused ? this->refusal : "") + this->success;
            refused = refused || is_first;
            co_await asio::async_write(socket, asio::buffer(text), no_throw);
        }
    }

    std::string refusal;
    std::string success;
    std::atomic<std::size_t> arrivals{0};
    asio::io_context io{1};
    tcp::acceptor listener{io, {asio::ip::address_v4::loopback(), 0}};
    std::thread thread;
};

const std::string not_run = "Figreach-Not-Run: 1\r\n";

struct refusal_row {
    const char* name;
    std::string request;
    std::string refusal;
    bool from_peer; ///< the request comes from another host
    int sends;      ///< how often the sender sends the same request
};

const refusal_row refusal_rows[] = {
    {"a read that is tried again", read_one, answer("421 Other", own_id + not_run, ""), false, 1},
    {"an order that is tried again", order_one, answer("421 Other", own_id + not_run, ""), false,
     1},
    {"another host tries an order again",
     request("POST /order/1", from_h2 + "Content-Length: 0\r\n"),
     answer("503 Full", own_id + not_run, ""), true, 2},
    {"another host tries again at any server", request("GET /media/1", from_h2),
     answer("503 Full", own_id + not_run, ""), true, 2},
    {"a failure", request("GET /media/1", from_h2), answer("500 Odd", own_id + signature, ""), true,
     2},
};

struct order_row {
    const char* name;
    const char* refusal;
};

const order_row order_rows[] = {
    {"another server", "421 Other"}, {"a higher fence", "409 Conflict"}, {"rejected", "400 Bad"}};

/// Sends the same grant twice.
asio::awaitable<void> grant_twice(http_client& client, std::string server,
                                  std::vector<order_outcome>& outcomes)
{
    const key_order order =
        grant_keys{.keys = {.first = 0, .last = 9}, .fence = 4, .hold = seconds{2}};
    const backend_server_id name{"a"};
    for (int i = 0; i < 2; ++i) {
        auto message = platform::encode_order(order, name);
        const auto until = monotonic_time::clock::now() + seconds{2};
        const auto result = co_await client.call(server, std::move(message), until);
        outcomes.push_back(platform::decode_order_answer(result, order).outcome);
    }
}

} // namespace

TEST_GROUP(repeated_refusal_test){};

/// Guards against taking a copy of an earlier refusal for the answer to the same request, which
/// runs (REFUSED, TWICE).
TEST(repeated_refusal_test, a_copy_of_a_refusal_does_not_answer_the_next_try)
{
    for (const auto& row : refusal_rows) {
        repeating_server server{row.refusal, success("plan")};
        path_fixture host{server.address()};
        std::string response;
        for (int i = 0; i < row.sends; ++i) {
            response =
                row.from_peer ? host.exchange_as_peer(row.request) : host.exchange(row.request);
        }
        STRNCMP_EQUAL_TEXT("HTTP/1.1 200", response.c_str(), 12, row.name);
        CHECK_EQUAL_TEXT(2, server.requests(), row.name);
    }
}

/// Guards against taking a copy of the refusal of an order for the answer to a later one: a server
/// that has the keys would be thought to have been replaced, and the keys granted to another.
TEST(repeated_refusal_test, a_copy_of_a_refusal_does_not_answer_the_next_order)
{
    for (const auto& row : order_rows) {
        repeating_server server{answer(row.refusal, "", ""), answer("200 OK", "", "")};
        asio::io_context io;
        http_client client{io};
        std::vector<order_outcome> outcomes;
        asio::co_spawn(io, grant_twice(client, server.address(), outcomes), asio::detached);
        io.run();
        CHECK_EQUAL_TEXT(2, outcomes.size(), row.name);
        CHECK_TRUE_TEXT(outcomes.front() != order_outcome::done, row.name);
        CHECK_TRUE_TEXT(outcomes.back() == order_outcome::done, row.name);
    }
}
