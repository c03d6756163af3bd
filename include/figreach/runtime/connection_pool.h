#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "figreach/runtime/timed_read.h"
#include "figreach/time.h"

namespace figreach {

/// One connection to a backend server or to another entry host.
struct upstream_connection {
    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer{max_read_buffer_bytes};
    bool reused = false;
    monotonic_time connected_at{};                     ///< including time spent suspended
    monotonic_time idle_until = monotonic_time::max(); ///< not reused later than this
    /// Ids of requests that were answered with a failure here. A second answer to such a request
    /// could be a copy of the first one, so that the same request is not sent again here.
    std::vector<std::string> failed_ids;
};

/// With more of them a connection is not reused.
inline constexpr std::size_t max_failed_ids = 64;

/// Closes a connection with a TCP reset, so that unsent bytes are discarded.
void reset(upstream_connection& connection);

/// Idle connections of one request thread, by address. Not thread-safe.
class connection_pool {
public:
    connection_pool(boost::asio::io_context& io, std::size_t max_idle);

    /// Returns an idle connection that is still open, or a new one. Throws
    /// boost::system::system_error if no connection can be established by the deadline.
    boost::asio::awaitable<std::unique_ptr<upstream_connection>> take(const std::string& address,
                                                                      monotonic_time deadline);
    /// As take(), but returns null instead of throwing. Leaves out connections on which the request
    /// has failed.
    boost::asio::awaitable<std::unique_ptr<upstream_connection>>
    try_take(const std::string& address, monotonic_time deadline,
             const std::string& request_id = {});
    /// A new connection even if an idle one is open; null if none can be made by the deadline.
    boost::asio::awaitable<std::unique_ptr<upstream_connection>>
    try_connect(const std::string& address, monotonic_time deadline);
    /// Returns an idle connection that is still open and that `may_use` accepts; null if there is
    /// none. Others stay in the pool.
    std::unique_ptr<upstream_connection>
    take_idle(const std::string& address,
              const std::function<bool(const upstream_connection&)>& may_use);
    /// Whether an idle connection is still open. Drops closed ones.
    bool has_open_idle(const std::string& address);
    /// Whether there are idle connections, which may have been closed by the peer.
    [[nodiscard]] bool has_idle(const std::string& address) const;
    /// Resets all idle connections.
    void clear();
    /// Returns a connection to the pool. Its last answer must have been read completely.
    void give_back(const std::string& address, std::unique_ptr<upstream_connection> connection);

private:
    boost::asio::awaitable<std::unique_ptr<upstream_connection>> connect(std::string address,
                                                                         monotonic_time deadline);
    /// Drops idle connections that cannot be reused for any request.
    void drop_closed(const std::string& address);

    boost::asio::io_context& io;
    std::size_t max_idle;
    std::map<std::string, std::vector<std::unique_ptr<upstream_connection>>> idle;
};

/// Parses an IP address with a port. Requires is_address(text).
[[nodiscard]] boost::asio::ip::tcp::endpoint to_endpoint(const std::string& text);

} // namespace figreach
