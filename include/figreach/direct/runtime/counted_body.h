#pragma once

#include <cstdint>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "figreach/runtime/timed_read.h"

namespace figreach::direct {

/// Limit on the bodies of all requests that a host buffers. Each is held once more while it is sent
/// to a backend server.
inline constexpr std::uint64_t max_buffered_request_bytes = 72ULL * 1024 * 1024;
/// By how much the framing of a chunked body may exceed the body.
inline constexpr std::uint64_t max_framing_bytes = 1024ULL * 1024;

/// The bytes of one body, as part of a total. The total must outlive this object.
class counted_body {
public:
    explicit counted_body(std::uint64_t& total_) : total{total_} {}
    ~counted_body() { this->total -= this->size; }
    counted_body(const counted_body&) = delete;
    counted_body& operator=(const counted_body&) = delete;

    /// The size never decreases.
    void grow_to(std::uint64_t size_)
    {
        if (size_ > this->size) {
            this->total += size_ - this->size;
            this->size = size_;
        }
    }
    [[nodiscard]] std::uint64_t all_bytes() const { return this->total; }

private:
    std::uint64_t& total;
    std::uint64_t size = 0;
};

/// Reads the rest of a message and counts its body as it arrives. Fails with
/// boost::beast::http::error::buffer_overflow once all bodies exceed `max_all_bytes`, and with
/// boost::beast::http::error::body_limit once the framing, or one line of it, is too long.
template <bool is_request>
boost::asio::awaitable<boost::beast::error_code>
read_counted(boost::beast::tcp_stream& stream, boost::beast::flat_buffer& buffer,
             boost::beast::http::parser<is_request, boost::beast::http::string_body>& parser,
             read_deadline& deadline, counted_body& counted, std::uint64_t max_all_bytes)
{
    boost::beast::error_code failed;
    std::uint64_t parsed = 0;
    while (!failed && !parser.is_done()) {
        const auto [read_error, count] = co_await read_some_body(stream, buffer, parser, deadline);
        const std::uint64_t body_bytes = parser.get().body().size();
        parsed += count;
        counted.grow_to(body_bytes);
        const bool is_long_line = read_error == boost::beast::http::error::buffer_overflow;
        failed = is_long_line ? boost::beast::http::error::body_limit : read_error;
        if (!failed && counted.all_bytes() > max_all_bytes) {
            failed = boost::beast::http::error::buffer_overflow;
        }
        if (!failed && parsed > 2 * body_bytes + max_framing_bytes) {
            failed = boost::beast::http::error::body_limit;
        }
    }
    co_return failed;
}

} // namespace figreach::direct
