#pragma once

#include <optional>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>

#include "figreach/runtime/timed_read.h"

namespace figreach {

// What every reader of responses checks, whoever sent them.

/// Maximum number of interim responses that are skipped before the final one.
inline constexpr int max_interim_responses = 3;

/// Whether a valid status is that of an interim response, which the final one follows.
[[nodiscard]] bool is_interim(unsigned status);

/// Checks the head of a response. Fails with http::error::bad_status for a status that is invalid
/// (RFC 9110, section 15) or that no request asks for, and with http::error::bad_transfer_encoding
/// if the body remains encoded once chunks are decoded.
[[nodiscard]] boost::beast::error_code
check_response_head(const boost::beast::http::response_header<>& head);

/// Whether a response of which everything has been read was cut off nevertheless. A body without a
/// length or a last chunk is complete only if the server closed its connection. The system reports
/// a reset once: if the write of the request gets the error, the read gets the end of the stream.
/// `write_error` is the result of that write.
[[nodiscard]] bool is_cut_off(const boost::beast::http::basic_parser<false>& response,
                              const boost::beast::error_code& write_error);

/// Reads the head of a response, interim or final, and checks it.
template <class Body>
boost::asio::awaitable<boost::beast::error_code>
read_response_head(boost::beast::tcp_stream& stream, boost::beast::flat_buffer& buffer,
                   boost::beast::http::response_parser<Body>& parser, read_deadline& deadline)
{
    const auto failed = co_await read_header(stream, buffer, parser, deadline);
    co_return failed ? failed : check_response_head(parser.get());
}

/// Reads the head of the final response. `parser` is made anew for each head, and `set_limits` is
/// applied to it. Fails with http::error::bad_status if there are too many interim responses.
template <class Body, class SetLimits>
boost::asio::awaitable<boost::beast::error_code>
read_final_head(boost::beast::tcp_stream& stream, boost::beast::flat_buffer& buffer,
                std::optional<boost::beast::http::response_parser<Body>>& parser,
                read_deadline& deadline, SetLimits set_limits)
{
    for (int skipped = 0; skipped <= max_interim_responses; ++skipped) {
        set_limits(parser.emplace());
        const auto failed = co_await read_response_head(stream, buffer, *parser, deadline);
        if (failed || !is_interim(parser->get().result_int())) {
            co_return failed;
        }
    }
    co_return boost::beast::http::error::bad_status;
}

} // namespace figreach
