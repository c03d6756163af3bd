// Backend servers that stop in the middle of an answer and close the connection.

#include "path_fixture.h"

using namespace figreach;
using namespace figreach::direct;

namespace {

/// Answers the request on the n-th connection with the first n bytes of `text`, then closes it.
class truncating_server {
public:
    explicit truncating_server(std::string text_)
        : text{std::move(text_)}, upstream{[this](tcp::socket& socket) { this->serve(socket); }}
    {
    }

    [[nodiscard]] std::string address() const { return this->upstream.address(); }

private:
    void serve(tcp::socket& socket)
    {
        boost::system::error_code failed;
        asio::streambuf buffer;
        asio::read_until(socket, buffer, "\r\n\r\n", failed);
        if (!failed) {
            asio::write(socket, asio::buffer(this->text, this->served++), failed);
        }
    }

    std::string text;
    std::size_t served = 0;
    fake_upstream upstream;
};

const std::string chunked_answer = "HTTP/1.1 200 OK\r\n" + own_id + signature +
                                   "Transfer-Encoding: chunked\r\n\r\n4\r\nplan\r\n0\r\n\r\n";
const std::string endless_head = "HTTP/1.1 200 OK\r\n" + own_id + signature + "\r\n";
const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n";

struct truncated_row {
    const char* name;
    std::string answer; ///< complete only with its last byte
    bool from_peer;     ///< the request comes from another host
};

const truncated_row truncated_rows[] = {
    {"with a length", success("plan"), false},
    {"without a body", success(""), false},
    {"chunked", chunked_answer, false},
    {"ends with the connection", endless_head, false},
    {"after an interim answer", interim + success("plan"), false},
    {"forwarded, with a length", success("plan"), true},
    {"forwarded, ends with the connection", endless_head, true},
};

} // namespace

TEST_GROUP(truncated_head_test){};

/// Guards against passing on an answer that ended early as if it were whole (MIXED, ORDER).
TEST(truncated_head_test, an_answer_that_ends_at_any_byte_is_no_success)
{
    const auto order_of_h2 = request("POST /order/1", from_h2 + "Content-Length: 0\r\n");
    for (const auto& row : truncated_rows) {
        truncating_server server{row.answer};
        path_fixture host{server.address()};
        for (std::size_t size = 0; size < row.answer.size(); ++size) {
            const auto response =
                row.from_peer ? host.exchange_as_peer(order_of_h2) : host.exchange(order_one);
            const auto text = std::string{row.name} + ", byte " + std::to_string(size);
            STRNCMP_EQUAL_TEXT("HTTP/1.1 502", response.c_str(), 12, text.c_str());
        }
        const auto whole =
            row.from_peer ? host.exchange_as_peer(order_of_h2) : host.exchange(order_one);
        STRNCMP_EQUAL_TEXT("HTTP/1.1 200", whole.c_str(), 12, row.name);
    }
}

/// Guards against taking a part of the store's answer, or of an answer to an order, for all of it.
TEST(truncated_head_test, a_call_whose_answer_ends_at_any_byte_has_no_answer)
{
    for (const auto* text : {"HTTP/1.1 200 OK\r\nStore-Era: 1\r\nContent-Length: 2\r\n\r\n{}",
                             "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"}) {
        const std::string whole{text};
        truncating_server server{whole};
        asio::io_context io;
        http_client client{io};
        std::vector<bool> answered;
        const auto call_all = [&]() -> asio::awaitable<void> {
            for (std::size_t size = 0; size <= whole.size(); ++size) {
                const auto result = co_await client.call(
                    server.address(), make_request(boost::beast::http::verb::post, "/x"),
                    monotonic_time::clock::now() + seconds{2});
                answered.push_back(std::holds_alternative<http_response>(result));
            }
        };
        asio::co_spawn(io, call_all(), asio::detached);
        io.run();
        CHECK_EQUAL(1, std::count(answered.begin(), answered.end(), true));
        CHECK_TRUE(answered.back());
    }
}
