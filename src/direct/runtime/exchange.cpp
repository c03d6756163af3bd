#include "figreach/direct/runtime/exchange.h"

#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/write.hpp>

#include "figreach/direct/runtime/counted_body.h"
#include "figreach/runtime/read_deadline.h"
#include "figreach/runtime/relay.h"
#include "figreach/runtime/response_check.h"

namespace figreach::direct {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

/// Longer responses count as lost: a response is forwarded completely or not at all.
constexpr std::uint64_t max_answer_bytes = 16 * 1024 * 1024;
/// Of all responses that are being read.
constexpr std::uint64_t max_buffered_bytes = 48 * 1024 * 1024;
constexpr std::uint32_t max_header_bytes = 64 * 1024;
/// Maximum number of interim responses and of responses to earlier requests that are skipped.
constexpr int max_stray_answers = 3;
constexpr auto no_throw = asio::as_tuple(asio::use_awaitable);

/// Progress of writing the request, shared with the writing coroutine.
struct write_progress {
    bool ended = false;
    beast::error_code error;     ///< set when ended
    asio::steady_timer on_ended; ///< cancelled when ended
};

asio::awaitable<void> write_request(shared_connection connection,
                                    std::shared_ptr<const http_request> request,
                                    std::shared_ptr<write_progress> progress)
{
    const auto [failed, count] = co_await http::async_write(connection->stream, *request, no_throw);
    progress->ended = true;
    progress->error = failed;
    progress->on_ended.cancel();
}

/// Whether the connection was reset before the end of a response that ends with it. Closes such a
/// connection, which also ends a write in progress.
asio::awaitable<bool> ended_by_reset(upstream_connection& connection,
                                     const http::basic_parser<false>& response,
                                     std::shared_ptr<write_progress> progress)
{
    if (!response.need_eof()) {
        co_return false;
    }
    reset(connection);
    if (!progress->ended) {
        co_await progress->on_ended.async_wait(no_throw);
    }
    co_return is_cut_off(response, progress->error);
}

exchange_result lost(std::string detail, bool leaving = false)
{
    return {.outcome = exchange_outcome::lost,
            .answer = {},
            .head = {.leaving = leaving},
            .detail = std::move(detail)};
}

exchange_result closed_by_server(std::string detail, bool leaving)
{
    auto out = lost(std::move(detail), leaving);
    out.closed_by_server = true;
    return out;
}

bool is_closed_by_peer(const beast::error_code& failed)
{
    return failed == http::error::end_of_stream || failed == http::error::partial_message ||
           failed == asio::error::eof || failed == asio::error::connection_reset ||
           failed == asio::error::broken_pipe;
}

exchange_result result_for_error(const upstream_connection& connection,
                                 const beast::error_code& failed, monotonic_time deadline)
{
    if (!connection.stream.socket().is_open()) {
        const bool late = monotonic_time::clock::now() >= deadline;
        return {.outcome = late ? exchange_outcome::late : exchange_outcome::cancelled};
    }
    if (monotonic_time::clock::now() >= deadline) {
        return {.outcome = exchange_outcome::late};
    }
    auto out = lost(failed.message());
    out.closed_by_server = is_closed_by_peer(failed);
    return out;
}

bool is_success(unsigned status)
{
    constexpr unsigned first_success = 200;
    constexpr unsigned first_redirect = 300;
    return status >= first_success && status < first_redirect;
}

/// Returns why a response cannot be forwarded, or an empty string if it can.
std::string rejection_reason(const http_response& answer, const platform::answer_head& head)
{
    if (is_success(answer.result_int()) && !head.signed_by_server) {
        return "success without signature";
    }
    return head.encoded ? "encoded body" : "";
}

} // namespace

asio::awaitable<exchange_result> exchange(shared_connection connection,
                                          std::shared_ptr<const http_request> request,
                                          std::string request_id, monotonic_time deadline,
                                          std::uint64_t& buffered_bytes)
{
    auto& upstream = *connection;
    upstream.stream.expires_at(deadline);
    read_deadline read_until{deadline};
    const auto progress = std::make_shared<write_progress>(write_progress{
        .on_ended = asio::steady_timer{upstream.stream.get_executor(), monotonic_time::max()}});
    asio::co_spawn(upstream.stream.get_executor(), write_request(connection, request, progress),
                   asio::detached);
    // Any answer counts for this, whatever request it belongs to: the connection leads to one
    // process.
    bool leaving = false;
    for (int stray = 0; stray <= max_stray_answers; ++stray) {
        http::response_parser<http::string_body> parser;
        parser.header_limit(max_header_bytes);
        parser.body_limit(max_answer_bytes);
        parser.skip(request->method() == http::verb::head);
        counted_body counted{buffered_bytes};
        auto failed =
            co_await read_response_head(upstream.stream, upstream.buffer, parser, read_until);
        if (!failed) {
            failed = co_await read_counted(upstream.stream, upstream.buffer, parser, read_until,
                                           counted, max_buffered_bytes);
        }
        if (failed) {
            auto result = result_for_error(upstream, failed, deadline);
            result.head.leaving = leaving;
            reset(upstream);
            co_return result;
        }
        auto answer = parser.release();
        auto head = platform::decode_answer_head(answer.result_int(), answer);
        leaving = leaving || head.leaving;
        head.leaving = leaving;
        if (is_interim(answer.result_int())) {
            continue;
        }
        const bool lacks_id = head.request_id.empty() && !upstream.reused && stray == 0;
        if (head.request_id != request_id && !lacks_id) {
            if (parser.need_eof()) {
                // The end of the stream is read once; another read would wait until the deadline.
                reset(upstream);
                co_return closed_by_server("closed after an answer to another request", leaving);
            }
            continue;
        }
        if (co_await ended_by_reset(upstream, parser, progress)) {
            co_return closed_by_server("reset before the end of the answer", leaving);
        }
        if (!is_success(answer.result_int())) {
            upstream.failed_ids.push_back(request_id);
        }
        const bool reusable = progress->ended && !progress->error && answer.keep_alive() &&
                              !answer.need_eof() && upstream.buffer.size() == 0;
        if (!reusable) {
            reset(upstream);
        }
        if (head.claim == execution_claim::not_run) {
            co_return exchange_result{.outcome = exchange_outcome::not_run,
                                      .answer = std::move(answer),
                                      .head = std::move(head)};
        }
        auto reason = rejection_reason(answer, head);
        if (!reason.empty()) {
            reset(upstream);
            co_return lost(std::move(reason), leaving);
        }
        co_return exchange_result{.outcome = exchange_outcome::answered,
                                  .answer = std::move(answer),
                                  .head = std::move(head)};
    }
    reset(upstream);
    co_return lost("answers to other requests only", leaving);
}

http_request make_upstream_message(const http_request& message)
{
    auto out = message;
    static_cast<http::fields&>(out) = end_to_end_fields(message);
    out.version(message.version());
    if (!out.body().empty() || message.find(http::field::content_length) != message.end()) {
        out.content_length(out.body().size());
    }
    return out;
}

} // namespace figreach::direct
