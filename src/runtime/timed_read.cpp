#include "figreach/runtime/timed_read.h"

#include <algorithm>

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

template <bool is_request>
read_result parse(beast::flat_buffer& buffer, http::basic_parser<is_request>& parser)
{
    beast::error_code failed;
    const auto count = parser.put(buffer.data(), failed);
    buffer.consume(count);
    return {failed, count};
}

/// Appends available bytes to the buffer.
asio::awaitable<beast::error_code> fill(beast::tcp_stream& stream, beast::flat_buffer& buffer,
                                        read_deadline& deadline)
{
    const auto size = beast::read_size(buffer, max_read_bytes);
    if (size == 0) {
        co_return http::error::buffer_overflow;
    }
    const auto [failed, count] = co_await read_some(stream, buffer.prepare(size), deadline);
    buffer.commit(count);
    co_return failed;
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
    const auto failed = co_await fill(stream, buffer, deadline);
    if (failed == asio::error::eof && parser.got_some()) {
        parser.put_eof(out.first);
        co_return out;
    }
    if (failed) {
        const bool ended = failed == asio::error::eof;
        out.first = ended ? make_error_code(http::error::end_of_stream) : failed;
        co_return out;
    }
    const auto [parse_failed, count] = parse(buffer, parser);
    out.first = parse_failed == http::error::need_more ? beast::error_code{} : parse_failed;
    out.second += count;
    co_return out;
}

} // namespace

asio::awaitable<read_result> read_some(beast::tcp_stream& stream, asio::mutable_buffer into,
                                       read_deadline& deadline)
{
    beast::error_code failed;
    const auto available = stream.socket().available(failed);
    if (!deadline.allows_read(monotonic_time::clock::now(), available)) {
        co_return read_result{beast::error::timeout, 0};
    }
    const auto [read_failed, count] =
        co_await stream.async_read_some(into, asio::as_tuple(asio::use_awaitable));
    co_return read_result{read_failed, count};
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
    co_return co_await read_once(stream, buffer, parser, deadline);
}

template <bool is_request>
asio::awaitable<beast::error_code> read_body(beast::tcp_stream& stream, beast::flat_buffer& buffer,
                                             http::basic_parser<is_request>& parser,
                                             read_deadline& deadline)
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
template asio::awaitable<beast::error_code> read_body(beast::tcp_stream&, beast::flat_buffer&,
                                                      http::basic_parser<true>&, read_deadline&);
template asio::awaitable<beast::error_code> read_body(beast::tcp_stream&, beast::flat_buffer&,
                                                      http::basic_parser<false>&, read_deadline&);

} // namespace figreach
