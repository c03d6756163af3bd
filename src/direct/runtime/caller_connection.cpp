#include "figreach/direct/runtime/caller_connection.h"

#include <algorithm>
#include <array>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "figreach/runtime/caller_watch.h"
#include "figreach/runtime/relay.h"
#include "figreach/runtime/request_framing.h"
#include "figreach/runtime/scoped_count.h"

namespace figreach::direct {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr unsigned http_1_1 = 11;
constexpr milliseconds write_timeout{5000};
constexpr milliseconds linger_timeout{1000};
constexpr std::size_t linger_chunk_bytes = 16 * 1024;
/// Limits on bodies buffered in memory, for one request and for all concurrent requests. The total
/// counts only bodies with a Content-Length.
constexpr std::uint64_t max_body_bytes = 32 * 1024 * 1024;
constexpr std::uint64_t max_buffered_bytes = 96 * 1024 * 1024;
constexpr auto no_throw = asio::as_tuple(asio::use_awaitable);

std::string_view view_of(beast::string_view text)
{
    return {text.data(), text.size()};
}

request_digest digest_of_message(const http_request& message)
{
    return digest_of({.host = view_of(message[http::field::host]),
                      .method = view_of(message.method_string()),
                      .target = view_of(message.target()),
                      .body = message.body()});
}

} // namespace

caller_connection::caller_connection(asio::ip::tcp::socket socket, host_context& state_,
                                     store_feed& feed_)
    : state{state_}, feed{feed_}, stream{std::move(socket)}
{
}

asio::awaitable<void> caller_connection::run()
{
    const auto self = this->shared_from_this();
    beast::error_code ignored;
    this->stream.socket().set_option(asio::ip::tcp::no_delay{true}, ignored);
    while (co_await this->serve_one()) {
    }
    co_await this->linger();
}

void caller_connection::close_if_idle()
{
    if (this->idle && this->buffer.size() == 0) {
        this->stream.cancel();
    }
}

caller_limits caller_connection::limits() const
{
    const auto routes = this->state.cluster.routes();
    return routes ? routes->configuration().limits : caller_limits{};
}

/// Returns whether bytes of a request have arrived.
asio::awaitable<bool> caller_connection::wait_for_request(milliseconds idle_time)
{
    if (this->buffer.size() > 0) {
        co_return true;
    }
    this->stream.expires_after(idle_time);
    this->idle = true;
    const auto [failed, count] =
        co_await this->stream.async_read_some(this->buffer.prepare(linger_chunk_bytes), no_throw);
    this->idle = false;
    if (failed) {
        co_return false;
    }
    this->buffer.commit(count);
    co_return true;
}

asio::awaitable<bool> caller_connection::serve_one()
{
    const auto limits = this->limits();
    if (!co_await this->wait_for_request(limits.idle_time)) {
        co_return false;
    }
    const auto arrival = monotonic_time::clock::now();
    const scoped_count in_flight{this->state.in_flight};
    request_parser parser;
    parser.header_limit(limits.header_bytes);
    parser.body_limit(std::min(limits.body_bytes, max_body_bytes));
    this->stream.expires_after(limits.header_time);
    const auto [failed, count] =
        co_await http::async_read_header(this->stream, this->buffer, parser, no_throw);
    if (failed) {
        if (is_protocol_error(failed)) {
            co_await this->refuse(kind_of_parse_failure(failed), false);
        }
        co_return false;
    }
    if (!has_unambiguous_framing(parser.get())) {
        co_return co_await this->refuse(error_kind::malformed_request, false);
    }
    auto head = platform::decode_caller_head(parser.get());
    if (head.malformed || head.request_id.empty()) {
        co_return co_await this->refuse(error_kind::malformed_request, false);
    }
    const auto length = parser.content_length().value_or(0);
    if (this->state.buffered_bytes + length > max_buffered_bytes) {
        co_return co_await this->refuse(error_kind::overloaded, false);
    }
    const scoped_count buffered{this->state.buffered_bytes, length};
    constexpr milliseconds body_time{10000};
    if (!co_await this->read_body(parser, arrival + head.time_limit.value_or(body_time))) {
        co_return false;
    }
    const bool keep = parser.get().keep_alive() && !this->state.stopping;
    caller_request request{
        .message = parser.release(), .head = std::move(head), .arrival = arrival};
    request.digest = digest_of_message(request.message);
    co_return co_await this->serve(std::move(request), keep);
}

asio::awaitable<bool> caller_connection::read_body(request_parser& parser, monotonic_time until)
{
    if (parser.is_done()) {
        co_return true;
    }
    this->stream.expires_at(until);
    if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        const http::response<http::empty_body> interim{http::status::continue_, http_1_1};
        const auto [failed, count] = co_await http::async_write(this->stream, interim, no_throw);
        if (failed) {
            co_return false;
        }
    }
    const auto [failed, count] =
        co_await http::async_read(this->stream, this->buffer, parser, no_throw);
    if (failed && is_protocol_error(failed)) {
        co_await this->refuse(kind_of_parse_failure(failed), false);
    }
    co_return !failed;
}

asio::awaitable<bool> caller_connection::serve(caller_request request, bool keep)
{
    // On a host starved of CPU time the caller may have disconnected long ago.
    if (is_closed_by_peer(this->stream.socket())) {
        co_return false;
    }
    request_runner runner{this->state, this->feed};
    this->stream.expires_never();
    request_outcome outcome = caller_disconnected{};
    {
        const caller_watch watch{this->stream.socket(), [&runner] { runner.cancel(); }};
        outcome = co_await runner.run(request);
    }
    if (std::holds_alternative<caller_disconnected>(outcome)) {
        co_return false;
    }
    if (const auto* refusal = std::get_if<host_refusal>(&outcome)) {
        auto answer = platform::encode_refusal(refusal->kind, refusal->retry_after);
        co_return co_await this->write(std::move(answer), keep);
    }
    auto& from = std::get<http_response>(outcome);
    http_response answer;
    static_cast<http::fields&>(answer) = end_to_end_fields(from);
    answer.result(from.result_int());
    answer.reason(from.reason());
    answer.body() = std::move(from.body());
    co_return co_await this->write(std::move(answer), keep);
}

asio::awaitable<bool> caller_connection::refuse(error_kind kind, bool keep)
{
    co_return co_await this->write(platform::encode_refusal(kind, milliseconds{0}), keep);
}

asio::awaitable<bool> caller_connection::write(http_response answer, bool keep)
{
    const bool keep_alive_after = keep && !this->state.stopping;
    answer.version(http_1_1);
    answer.keep_alive(keep_alive_after);
    answer.prepare_payload();
    this->stream.expires_after(write_timeout);
    const auto [failed, count] = co_await http::async_write(this->stream, answer, no_throw);
    co_return keep_alive_after && !failed;
}

/// Shuts down the sending side and reads until the caller closes, so that a reset does not discard
/// the last response.
asio::awaitable<void> caller_connection::linger()
{
    beast::error_code failed;
    this->stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, failed);
    this->stream.expires_after(linger_timeout);
    std::array<char, linger_chunk_bytes> chunk{};
    while (!failed) {
        const auto [ended, count] =
            co_await this->stream.async_read_some(asio::buffer(chunk), no_throw);
        failed = ended;
    }
}

} // namespace figreach::direct
