// Long bodies of several requests at the same time.

#include "figreach/direct/runtime/counted_body.h"
#include "path_fixture.h"

using namespace figreach;
using namespace figreach::direct;

namespace {

constexpr std::size_t body_bytes = 30 * 1024 * 1024;

struct framing_row {
    const char* name;
    std::string fields;
    std::string start; ///< sent before the bytes of the body
};

const framing_row framing_rows[] = {
    {"in chunks", "Transfer-Encoding: chunked\r\n", "2000000\r\n"},
    {"with a length", "Content-Length: 33554432\r\n", ""},
};

} // namespace

TEST_GROUP(buffered_bodies_test){};

/// Guards against a host that runs out of memory, and loses all its requests, because the bodies
/// that it reads at the same time are not bounded.
TEST(buffered_bodies_test, a_body_beyond_the_limit_of_all_is_refused)
{
    static_assert(2 * body_bytes <= max_buffered_request_bytes);
    static_assert(3 * body_bytes > max_buffered_request_bytes);
    const std::string body(body_bytes, 'a');
    for (const auto& row : framing_rows) {
        scripted_server server{{success("done")}};
        path_fixture host{server.address()};
        asio::io_context io;
        std::vector<tcp::socket> callers;
        callers.reserve(2);
        for (int i = 0; i < 2; ++i) {
            callers.push_back(
                host.call(io, request("POST /order/1", row.fields) + row.start + body));
        }
        // Both are read before the third one begins.
        std::this_thread::sleep_for(milliseconds{500});
        auto last = host.call(io, request("POST /order/1", row.fields));
        boost::system::error_code failed;
        asio::write(last, asio::buffer(row.start + body), failed);
        STRNCMP_EQUAL_TEXT("HTTP/1.1 503", read_until_closed(last).c_str(), 12, row.name);
        CHECK_EQUAL_TEXT(0U, server.requests(), row.name);
    }
}
