#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "figreach/time.h"

namespace figreach {

/// One connection to a backend server or to another entry host.
struct upstream_connection {
    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    bool reused = false;
    monotonic_time idle_until = monotonic_time::max(); ///< not reused after it
};

/// Closes a connection so that bytes on their way to the peer are lost.
void reset(upstream_connection& connection);

/// Idle connections of one request thread, by address. Not thread-safe.
class connection_pool {
public:
    connection_pool(boost::asio::io_context& io, std::size_t max_idle);

    /// An idle connection that is still open, or a new one. Throws boost::system::system_error
    /// when no connection is made by the deadline.
    boost::asio::awaitable<std::unique_ptr<upstream_connection>> take(const std::string& address,
                                                                      monotonic_time deadline);
    /// As take(); null instead of an exception.
    boost::asio::awaitable<std::unique_ptr<upstream_connection>>
    try_take(const std::string& address, monotonic_time deadline);
    /// Keeps a connection whose last answer was read whole.
    void give_back(const std::string& address, std::unique_ptr<upstream_connection> connection);

private:
    boost::asio::io_context& io;
    std::size_t max_idle;
    std::map<std::string, std::vector<std::unique_ptr<upstream_connection>>> idle;
};

/// Parses an IP number with a port. Requires is_address(text).
[[nodiscard]] boost::asio::ip::tcp::endpoint to_endpoint(const std::string& text);

} // namespace figreach
