#include "figreach/direct/runtime/order_client.h"
#include "path_fixture.h"

using namespace figreach;
using namespace figreach::direct;

namespace {

struct endless_row {
    const char* name;
    std::string start; ///< sent once
    std::string more;  ///< repeated until the host closes the connection
};

std::string repeat(const std::string& text)
{
    constexpr int times = 200;
    std::string out;
    for (int i = 0; i < times; ++i) {
        out += text;
    }
    return out;
}

const std::string head = "HTTP/1.1 200 OK\r\n" + own_id + signature;

const endless_row endless_rows[] = {
    {"a head without end", head, "X-More: " + std::string(1000, 'a') + "\r\n"},
    {"a head line without end", head + "X-More: ", std::string(1000, 'a')},
    {"a status line without end", "HTTP/1.1 200 ", std::string(1000, 'a')},
    {"bytes that are no answer", "", std::string(1000, '\0')},
    {"a body without length or end", head + "\r\n", std::string(1000, 'a')},
    {"a chunked body without end", head + "Transfer-Encoding: chunked\r\n\r\n",
     "3e8\r\n" + std::string(1000, 'a') + "\r\n"},
    {"a chunk without end", head + "Transfer-Encoding: chunked\r\n\r\nffffffffffffff\r\n",
     std::string(1000, 'a')},
    {"chunks of one byte without end", head + "Transfer-Encoding: chunked\r\n\r\n",
     repeat("1\r\nx\r\n")},
    {"chunks of one byte with extensions without end", head + "Transfer-Encoding: chunked\r\n\r\n",
     repeat("1;a=b\r\nx\r\n")},
    {"chunk extensions without end", head + "Transfer-Encoding: chunked\r\n\r\n3e8;",
     std::string(1000, 'a')},
    {"trailers without end", head + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
     "X-More: " + std::string(1000, 'a') + "\r\n"},
    {"a body of a huge length", head + "Content-Length: 9000000000000000000\r\n\r\n",
     std::string(1000, 'a')},
    {"interim answers without end", "", "HTTP/1.1 100 Continue\r\n\r\n"},
    {"answers to other requests without end", "",
     "HTTP/1.1 200 OK\r\nFigreach-Request-Id: 77\r\n" + signature + "Content-Length: 0\r\n\r\n"},
};

/// More than a host accepts of one answer.
constexpr std::size_t max_bytes = 64 * 1024 * 1024;

/// Answers each request without end. Ends by itself after max_bytes.
class endless_server {
public:
    explicit endless_server(const endless_row& row)
        : upstream{[this, &row](tcp::socket& socket) {
              boost::system::error_code failed;
              asio::streambuf buffer;
              asio::read_until(socket, buffer, "\r\n\r\n", failed);
              asio::write(socket, asio::buffer(row.start), failed);
              while (!failed && this->sent_bytes < max_bytes) {
                  this->sent_bytes += asio::write(socket, asio::buffer(row.more), failed);
              }
          }}
    {
    }

    [[nodiscard]] std::string address() const { return this->upstream.address(); }
    [[nodiscard]] std::size_t sent() const { return this->sent_bytes; }

private:
    std::atomic<std::size_t> sent_bytes{0};
    fake_upstream upstream;
};

} // namespace

TEST_GROUP(endless_answer_test){};

/// Guards against buffering an answer that never ends until the host runs out of memory.
TEST(endless_answer_test, an_answer_without_end_is_cut_off_and_its_outcome_is_unknown)
{
    for (const auto& row : endless_rows) {
        const endless_server server{row};
        path_fixture host{server.address()};
        const auto response = host.exchange(order_one);
        STRNCMP_EQUAL_TEXT("HTTP/1.1 502", response.c_str(), 12, row.name);
        CHECK_TRUE_TEXT(server.sent() < max_bytes, row.name);
    }
}

/// Guards against taking a chunked answer that comes slowly for one that never ends.
TEST(endless_answer_test, an_answer_in_chunks_of_one_byte_is_complete)
{
    fake_upstream server{[&](tcp::socket& socket) {
        boost::system::error_code failed;
        asio::streambuf buffer;
        asio::read_until(socket, buffer, "\r\n\r\n", failed);
        asio::write(socket, asio::buffer(head + "Transfer-Encoding: chunked\r\n\r\n"), failed);
        for (int i = 0; i < 50; ++i) {
            asio::write(socket, asio::buffer("1\r\nx\r\n", 6), failed);
            std::this_thread::sleep_for(milliseconds{2});
        }
        asio::write(socket, asio::buffer("0\r\n\r\n", 5), failed);
    }};
    path_fixture host{server.address()};
    const auto response = host.exchange(order_one);
    STRNCMP_EQUAL("HTTP/1.1 200", response.c_str(), 12);
    CHECK_TRUE(response.ends_with(std::string(50, 'x')));
}

/// Guards against the same with the answers to orders, of which a leader has many under way.
TEST(endless_answer_test, an_answer_to_an_order_without_end_is_cut_off)
{
    const endless_row rows[] = {
        {"a body without length or end", "HTTP/1.1 200 OK\r\n\r\n", std::string(1000, 'a')},
        {"chunks of one byte without end", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
         "1;" + std::string(1000, 'a') + "\r\nx\r\n"},
    };
    for (const auto& row : rows) {
        const endless_server server{row};
        asio::io_context io;
        process_continuity processes;
        order_client client{io, processes};
        std::optional<http_result> result;
        const auto call = [&]() -> asio::awaitable<void> {
            const auto limit = monotonic_time::clock::now() + seconds{20};
            result = co_await client.call(
                server.address(), make_request(boost::beast::http::verb::post, "/grant", "keys"),
                limit, [] { return monotonic_time::max(); });
        };
        asio::co_spawn(io, call, asio::detached);
        io.run();
        CHECK_TRUE_TEXT(std::get<call_failure>(*result) == call_failure::no_answer, row.name);
        CHECK_TRUE_TEXT(server.sent() < max_bytes, row.name);
    }
}
