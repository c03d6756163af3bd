#include "path_fixture.h"

using namespace figreach;
using namespace figreach::direct;

namespace {

const std::string chunked = "Transfer-Encoding: chunked\r\n";

struct endless_row {
    const char* name;
    std::string start; ///< sent once
    std::string more;  ///< repeated until the host closes the connection
    const char* answer;
};

const endless_row endless_rows[] = {
    {"chunks of one byte", request("POST /order/1", chunked), "1\r\nx\r\n", "HTTP/1.1 413"},
    {"chunks of one byte with extensions", request("POST /order/1", chunked),
     "1;" + std::string(1000, 'a') + "\r\nx\r\n", "HTTP/1.1 413"},
    {"a chunk line", request("POST /order/1", chunked) + "1;", std::string(1000, 'a'),
     "HTTP/1.1 413"},
    {"bytes behind a request that is refused", "GET / HTTP/1.1\r\nHost\r\n\r\n",
     std::string(1000, 'a'), "HTTP/1.1 400"},
};

} // namespace

TEST_GROUP(endless_request_test){};

/// Guards against reading from a caller, or from another host, that sends without end.
TEST(endless_request_test, a_request_without_end_is_cut_off)
{
    scripted_server server{{}};
    path_fixture host{server.address()};
    for (const auto& row : endless_rows) {
        asio::io_context io;
        auto socket = host.call(io, row.start);
        set_watchdog(socket);
        std::string response;
        std::thread reader{[&] { response = read_until_closed(socket); }};
        const bool closed = send_until_closed(socket, row.more);
        boost::system::error_code ignored;
        socket.shutdown(tcp::socket::shutdown_both, ignored);
        reader.join();
        CHECK_TRUE_TEXT(closed, row.name);
        STRNCMP_EQUAL_TEXT(row.answer, response.c_str(), 12, row.name);
    }
    for (const auto& row : endless_rows) {
        if (row.start.find(chunked) != std::string::npos) {
            asio::io_context io;
            auto socket = host.call_as_peer(io, row.start);
            set_watchdog(socket);
            CHECK_TRUE_TEXT(send_until_closed(socket, row.more), row.name);
        }
    }
    CHECK_EQUAL(0, server.requests());
}
