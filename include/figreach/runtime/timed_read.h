#pragma once

#include <cstddef>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/basic_parser.hpp>

namespace figreach {

class read_deadline;

// Reads that end at a deadline even if the peer sends without pause. They fail with
// boost::beast::error::timeout then and leave the stream open. The timer of the stream has to be
// set as well: it ends a read that waits for bytes.

/// Bound of the bytes that are buffered on a connection. A line without end exceeds it.
inline constexpr std::size_t max_read_buffer_bytes = 256 * 1024;

/// An error and a number of bytes.
using read_result = std::pair<boost::beast::error_code, std::size_t>;

/// Reads some bytes.
boost::asio::awaitable<read_result> read_some(boost::beast::tcp_stream& stream,
                                              boost::asio::mutable_buffer into,
                                              read_deadline& deadline);

/// Reads the header of a message. Fails as boost::beast::http::async_read_header.
template <bool is_request>
boost::asio::awaitable<boost::beast::error_code>
read_header(boost::beast::tcp_stream& stream, boost::beast::flat_buffer& buffer,
            boost::beast::http::basic_parser<is_request>& parser, read_deadline& deadline);

/// Reads at most once and parses what has arrived. Returns the number of bytes parsed, which
/// includes the header and the framing of chunks.
template <bool is_request>
boost::asio::awaitable<read_result>
read_some_body(boost::beast::tcp_stream& stream, boost::beast::flat_buffer& buffer,
               boost::beast::http::basic_parser<is_request>& parser, read_deadline& deadline);

/// Reads the rest of a message, or all of it. Fails as boost::beast::http::async_read.
template <bool is_request>
boost::asio::awaitable<boost::beast::error_code>
read_message(boost::beast::tcp_stream& stream, boost::beast::flat_buffer& buffer,
             boost::beast::http::basic_parser<is_request>& parser, read_deadline& deadline);

} // namespace figreach
