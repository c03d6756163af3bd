#pragma once

#include <memory>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "figreach/direct/route_configuration.h"
#include "figreach/direct/runtime/host_context.h"
#include "figreach/direct/runtime/request_runner.h"
#include "figreach/direct/runtime/store_feed.h"

namespace figreach::direct {

/// A client connection. Serves its requests sequentially.
class caller_connection : public std::enable_shared_from_this<caller_connection> {
public:
    /// `state` and `feed` must outlive the connection.
    caller_connection(boost::asio::ip::tcp::socket socket, host_context& state, store_feed& feed);

    boost::asio::awaitable<void> run();
    /// Closes the connection unless a request is being received or served.
    void close_if_idle();

private:
    using request_parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    boost::asio::awaitable<bool> serve_one();
    boost::asio::awaitable<bool> wait_for_request(milliseconds idle_time);
    boost::asio::awaitable<bool> read_body(request_parser& parser, monotonic_time until);
    boost::asio::awaitable<bool> serve(caller_request request, bool keep);
    boost::asio::awaitable<bool> refuse(error_kind kind, bool keep);
    boost::asio::awaitable<bool> write(http_response answer, bool keep);
    boost::asio::awaitable<void> linger();
    [[nodiscard]] caller_limits limits() const;

    host_context& state;
    store_feed& feed;
    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    bool idle = false;
};

} // namespace figreach::direct
