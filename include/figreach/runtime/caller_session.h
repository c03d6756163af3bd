#pragma once

#include <memory>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "figreach/ids.h"
#include "figreach/request_head.h"
#include "figreach/routing.h"
#include "figreach/runtime/connection_pool.h"
#include "figreach/runtime/link_board.h"
#include "figreach/runtime/relay.h"
#include "figreach/runtime/route_board.h"

namespace figreach {

/// What the sessions of one request thread share.
struct request_thread {
    const host_id& self;
    const route_board& routes;
    const link_board& links;
    connection_pool& pool;
    std::shared_ptr<const routing_snapshot> snapshot;
    std::uint64_t seen_generation = 0;
};

/// Serves one connection of a caller or of a forwarding entry host until it closes.
class caller_session {
public:
    caller_session(request_thread& home, boost::asio::ip::tcp::socket socket);

    boost::asio::awaitable<void> run();

private:
    boost::asio::awaitable<bool> serve_one();
    boost::asio::awaitable<bool> dispatch(request_parser& parser, const checked_request& request,
                                          monotonic_time arrival);
    boost::asio::awaitable<bool> send_here(caller_side caller, const checked_request& request,
                                           const route& to, monotonic_time deadline);
    boost::asio::awaitable<bool> forward(caller_side caller, const checked_request& request,
                                         const route& to, monotonic_time deadline);
    boost::asio::awaitable<bool> conclude(caller_side caller, const relay_result& result);

    request_thread& home;
    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
};

} // namespace figreach
