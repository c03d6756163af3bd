// The end of a host while requests are in progress.

#include "path_fixture.h"

using namespace figreach;
using namespace figreach::direct;

namespace {

const request_digest suspected =
    digest_of({.host = "a.example", .method = "POST", .target = "/order/1", .body = {}});

struct end_row {
    const char* name;
    std::string sent;           ///< by the caller, which then waits
    bool as_peer = false;       ///< the caller is another host
    bool reaches_server = true; ///< the request is complete and sent on
    std::size_t lost_sends = 0; ///< from two on, the request is suspected to crash servers
};

const end_row end_rows[] = {
    {.name = "reading a body",
     .sent = request("POST /order/1", "Content-Length: 9\r\n") + "half",
     .reaches_server = false},
    {.name = "reading a body in chunks",
     .sent = request("POST /order/1", "Transfer-Encoding: chunked\r\n") + "9\r\nhalf",
     .reaches_server = false},
    {.name = "reading a body from another host",
     .sent = request("POST /order/1", "Content-Length: 9\r\n") + "half",
     .as_peer = true,
     .reaches_server = false},
    {.name = "waiting for a backend server", .sent = order_one},
    {.name = "waiting for a backend server, suspected", .sent = order_one, .lost_sends = 2},
};

} // namespace

TEST_GROUP(host_end_test){};

/// Guards against requests in progress that outlive the state of their host and use it afterwards.
TEST(host_end_test, requests_end_before_the_state_of_their_host)
{
    for (const auto& row : end_rows) {
        std::atomic<bool> arrived{false};
        const fake_upstream silent{[&arrived](tcp::socket& socket) {
            boost::system::error_code failed;
            asio::streambuf buffer;
            asio::read_until(socket, buffer, "\r\n\r\n", failed);
            arrived = true;
            (void)read_until_closed(socket);
        }};
        path_fixture host{silent.address()};
        host.lose_sends(suspected, row.lost_sends);
        asio::io_context io;
        const auto caller = row.as_peer ? host.call_as_peer(io, row.sent) : host.call(io, row.sent);
        const auto in_progress = [&] {
            return host.current_counts() > 0 && (arrived || !row.reaches_server);
        };
        const auto until = monotonic_time::clock::now() + seconds{5};
        while (!in_progress() && monotonic_time::clock::now() < until) {
            std::this_thread::sleep_for(milliseconds{5});
        }
        CHECK_TRUE_TEXT(in_progress(), row.name);
        host.end();
        CHECK_EQUAL_TEXT(0U, host.counts(), row.name);
    }
}
