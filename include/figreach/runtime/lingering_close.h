#pragma once

#include <cstdint>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace figreach {

/// Shuts down the sending side, then reads and discards input until the peer closes, for a second
/// and up to about `max_bytes`. Closing with unread input would reset the connection and could
/// destroy an answer in transit.
boost::asio::awaitable<void> lingering_close(boost::beast::tcp_stream& stream,
                                             std::uint64_t max_bytes);

} // namespace figreach
