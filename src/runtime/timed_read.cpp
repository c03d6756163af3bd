#include "figreach/runtime/timed_read.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/error.hpp>

#include "figreach/runtime/read_deadline.h"

namespace figreach {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr std::size_t max_read_bytes = 64 * 1024;
constexpr auto no_throw = asio::as_tuple(asio::use_awaitable);

template <bool is_request>
read_result parse(beast::flat_buffer& buffer, http::basic_parser<is_request>& parser)
{
    beast::error_code failed;
    const auto count = parser.put(buffer.data(), failed);
    buffer.consume(count);
    return {failed, count};
}

/// How many of `wanted` bytes may be read now.
std::size_t allowed_bytes(beast::tcp_stream& stream, read_deadline& deadline, std::size_t wanted)
{
    if (!deadline.has_passed(monotonic_time::clock::now())) {
        return wanted;
    }
    beast::error_code ignored;
    return deadline.take_arrived(wanted, stream.socket().available(ignored));
}

/// Parses what is buffered; reads once and parses again if that is not enough.
template <bool is_request>
asio::awaitable<read_result> read_once(beast::tcp_stream& stream, beast::flat_buffer& buffer,
                                       http::basic_parser<is_request>& parser,
                                       read_deadline& deadline)
{
    read_result out{http::error::need_more, 0};
    if (buffer.size() > 0) {
        out = parse(buffer, parser);
    }
    if (out.first != http::error::need_more) {
        co_return out;
    }
    const auto size = beast::read_size(buffer, max_read_bytes);
    if (size == 0) {
        co_return read_result{http::error::buffer_overflow, out.second};
    }
    const auto allowed = allowed_bytes(stream, deadline, size);
    if (allowed == 0) {
        co_return read_result{beast::error::timeout, out.second};
    }
    const auto [failed, received] =
        co_await stream.async_read_some(buffer.prepare(allowed), no_throw);
    buffer.commit(received);
    if (failed == asio::error::eof && parser.got_some()) {
        parser.put_eof(out.first);
        co_return out;
    }
    if (failed == asio::error::eof) {
        co_return read_result{http::error::end_of_stream, out.second};
    }
    if (failed) {
        co_return read_result{failed, out.second};
    }
    const auto [parse_failed, parsed] = parse(buffer, parser);
    out.first = parse_failed == http::error::need_more ? beast::error_code{} : parse_failed;
    out.second += parsed;
    co_return out;
}

} // namespace

asio::awaitable<read_result> read_some(beast::tcp_stream& stream, asio::mutable_buffer into,
                                       read_deadline& deadline)
{
    const auto allowed = allowed_bytes(stream, deadline, into.size());
    if (allowed == 0) {
        co_return read_result{beast::error::timeout, 0};
    }
    const auto [failed, count] =
        co_await stream.async_read_some(asio::buffer(into, allowed), no_throw);
    co_return read_result{failed, count};
}

template <bool is_request>
asio::awaitable<beast::error_code>
read_header(beast::tcp_stream& stream, beast::flat_buffer& buffer,
            http::basic_parser<is_request>& parser, read_deadline& deadline)
{
    parser.eager(false);
    beast::error_code failed;
    while (!failed && !parser.is_header_done()) {
        const read_result result = co_await read_once(stream, buffer, parser, deadline);
        failed = result.first;
    }
    co_return failed;
}

template <bool is_request>
asio::awaitable<read_result> read_some_body(beast::tcp_stream& stream, beast::flat_buffer& buffer,
                                            http::basic_parser<is_request>& parser,
                                            read_deadline& deadline)
{
    // Otherwise only one chunk is parsed at a time.
    parser.eager(true);
    return read_once(stream, buffer, parser, deadline);
}

template <bool is_request>
asio::awaitable<beast::error_code>
read_message(beast::tcp_stream& stream, beast::flat_buffer& buffer,
             http::basic_parser<is_request>& parser, read_deadline& deadline)
{
    beast::error_code failed;
    while (!failed && !parser.is_done()) {
        const read_result result = co_await read_some_body(stream, buffer, parser, deadline);
        failed = result.first;
    }
    co_return failed;
}

template asio::awaitable<beast::error_code> read_header(beast::tcp_stream&, beast::flat_buffer&,
                                                        http::basic_parser<true>&, read_deadline&);
template asio::awaitable<beast::error_code> read_header(beast::tcp_stream&, beast::flat_buffer&,
                                                        http::basic_parser<false>&, read_deadline&);
template asio::awaitable<read_result> read_some_body(beast::tcp_stream&, beast::flat_buffer&,
                                                     http::basic_parser<true>&, read_deadline&);
template asio::awaitable<read_result> read_some_body(beast::tcp_stream&, beast::flat_buffer&,
                                                     http::basic_parser<false>&, read_deadline&);
template asio::awaitable<beast::error_code> read_message(beast::tcp_stream&, beast::flat_buffer&,
                                                         http::basic_parser<true>&, read_deadline&);
template asio::awaitable<beast::error_code>
read_message(beast::tcp_stream&, beast::flat_buffer&, http::basic_parser<false>&, read_deadline&);

} // namespace figreach
