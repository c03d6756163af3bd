// Peers that send without end: reads must end at their deadline although bytes are always there.

#include "figreach/runtime/grant_client.h"
#include "plane_fixture.h"
#include "property.h"

using namespace figreach;

namespace {

const std::string order = "POST /a HTTP/1.1\r\nHost: x\r\nX-Figreach-Service: s\r\n"
                          "X-Figreach-Key: k\r\nX-Figreach-Deadline-Ms: 300\r\n"
                          "Connection: close\r\n";
const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";

struct endless_row {
    const char* name;
    std::string start; ///< sent once
    std::string more;  ///< repeated until the other side closes the connection
};

const endless_row endless_rows[] = {
    {"chunks", "HTTP/1.1 200 OK\r\n" + chunked, "3e8\r\n" + std::string(1000, 'a') + "\r\n"},
    {"chunks of one byte", "HTTP/1.1 200 OK\r\n" + chunked, "1\r\nx\r\n"},
    {"chunks of one byte with extensions", "HTTP/1.1 200 OK\r\n" + chunked,
     "1;" + std::string(1000, 'a') + "\r\nx\r\n"},
    {"a body without length", "HTTP/1.1 200 OK\r\n\r\n", std::string(1000, 'a')},
};

/// A server that answers each request without end.
class endless_server {
public:
    explicit endless_server(const endless_row& row)
        : upstream{[this, &row](tcp::socket& socket) {
              std::string rest;
              if (!read_head(socket, rest).empty()) {
                  boost::asio::write(socket, boost::asio::buffer(row.start));
                  this->was_closed = send_until_closed(socket, row.more);
              }
          }}
    {
    }

    [[nodiscard]] std::string address() const { return this->upstream.address(); }

    std::atomic<bool> was_closed{false}; ///< by the other side

private:
    fake_upstream upstream;
};

} // namespace

TEST_GROUP(endless_message_test){};

/// Guards against relaying an answer beyond the deadline of its request.
TEST(endless_message_test, an_answer_without_end_ends_at_the_deadline)
{
    for (const auto& row : endless_rows) {
        endless_server server{row};
        plane_fixture host{server.address()};
        (void)host.ask(order + "Content-Length: 0\r\n\r\n");
        wait_for([&] { return server.was_closed.load(); });
        CHECK_TRUE_TEXT(server.was_closed, row.name);
    }
}

/// Guards against relaying a body beyond the deadline of its request.
TEST(endless_message_test, an_upload_without_end_ends_at_the_deadline)
{
    fake_upstream server{[](tcp::socket& socket) { (void)read_all(socket); }};
    plane_fixture host{server.address()};
    auto socket = host.connect();
    boost::asio::write(socket, boost::asio::buffer(order + chunked));
    CHECK_TRUE(send_until_closed(socket, "3e8\r\n" + std::string(1000, 'a') + "\r\n"));
}

/// Guards against waiting for the answer to a grant beyond its timeout.
TEST(endless_message_test, an_answer_to_a_grant_without_end_is_none)
{
    for (const auto& row : endless_rows) {
        endless_server server{row};
        ring<control_event> inbox{1, [] {}};
        grant_client client{inbox};
        (void)client.call({.server = {"b"},
                           .address = server.address(),
                           .request = {.coordinator = {"h1"}, .sequence = 1, .term = 1},
                           .timeout = milliseconds{300}});
        std::optional<control_event> event;
        wait_for([&] { return (event = inbox.pop()).has_value(); });
        CHECK_FALSE_TEXT(std::get<server_answered>(event.value()).answer.has_value(), row.name);
        wait_for([&] { return server.was_closed.load(); });
        CHECK_TRUE_TEXT(server.was_closed, row.name);
    }
}
