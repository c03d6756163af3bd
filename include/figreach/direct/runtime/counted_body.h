#pragma once

#include <cstdint>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

namespace figreach::direct {

/// Limit on the bodies of all requests that a host buffers. Each is held once more while it is sent
/// to a backend server.
inline constexpr std::uint64_t max_buffered_request_bytes = 72ULL * 1024 * 1024;

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
/// boost::beast::http::error::buffer_overflow once all bodies exceed `max_all_bytes`.
template <bool is_request>
boost::asio::awaitable<boost::beast::error_code>
read_counted(boost::beast::tcp_stream& stream, boost::beast::flat_buffer& buffer,
             boost::beast::http::parser<is_request, boost::beast::http::string_body>& parser,
             counted_body& counted, std::uint64_t max_all_bytes)
{
    constexpr auto no_throw = boost::asio::as_tuple(boost::asio::use_awaitable);
    boost::beast::error_code failed;
    while (!failed && !parser.is_done()) {
        const auto [read_error, count] =
            co_await boost::beast::http::async_read_some(stream, buffer, parser, no_throw);
        counted.grow_to(parser.get().body().size());
        failed = read_error;
        if (!failed && counted.all_bytes() > max_all_bytes) {
            failed = boost::beast::http::error::buffer_overflow;
        }
    }
    co_return failed;
}

} // namespace figreach::direct
