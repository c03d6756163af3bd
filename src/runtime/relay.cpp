#include "figreach/runtime/relay.h"

#include <array>
#include <charconv>
#include <memory>
#include <string_view>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json.hpp>

#include "figreach/request_head.h"
#include "figreach/runtime/caller_watch.h"
#include "figreach/runtime/read_deadline.h"
#include "figreach/runtime/response_check.h"
#include "figreach/runtime/timed_read.h"

namespace figreach {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr std::size_t chunk_bytes = 64 * 1024;
constexpr std::uint64_t max_buffered_answer_bytes = 64 * 1024;
constexpr std::uint64_t max_read_ahead_bytes = 64 * 1024;
constexpr std::size_t max_answer_header_bytes = 64 * 1024;
constexpr milliseconds answer_write_timeout{5000};
constexpr unsigned http_1_1 = 11;

using answer_parser = http::response_parser<http::buffer_body>;

constexpr auto no_throw = asio::as_tuple(asio::use_awaitable);

bool is_expected(const beast::error_code& failed)
{
    return !failed || failed == http::error::need_buffer;
}

/// Cancels the pending operations on a stream at a deadline without closing it.
class deadline_guard {
public:
    deadline_guard(beast::tcp_stream& stream, monotonic_time deadline)
        : timer{stream.get_executor(), deadline}
    {
        stream.expires_never();
        this->timer.async_wait(
            [kept = this->active, &stream](const boost::system::error_code& cancelled) {
                if (!cancelled && *kept) {
                    stream.cancel();
                }
            });
    }
    ~deadline_guard() { *this->active = false; }
    deadline_guard(const deadline_guard&) = delete;
    deadline_guard& operator=(const deadline_guard&) = delete;

private:
    std::shared_ptr<bool> active = std::make_shared<bool>(true);
    asio::steady_timer timer;
};

/// Sends 100 Continue if the caller expects it before it sends the body.
asio::awaitable<bool> send_continue_if_expected(inbound_request caller)
{
    if (!beast::iequals(caller.parser.get()[http::field::expect], "100-continue")) {
        co_return true;
    }
    http::response<http::empty_body> interim{http::status::continue_, http_1_1};
    const auto [failed, count] = co_await http::async_write(caller.stream, interim, no_throw);
    co_return !failed;
}

/// How sending a request ended. Everything was sent if neither is set.
struct send_result {
    bool caller_left = false;
    beast::error_code error; ///< of the upstream connection
};

/// Streams the caller's body to the upstream in chunks.
asio::awaitable<send_result> relay_body(inbound_request caller, upstream_connection& upstream,
                                        http::request_serializer<http::buffer_body>& writer,
                                        http::request<http::buffer_body>& request,
                                        monotonic_time deadline)
{
    const deadline_guard guard{caller.stream, deadline};
    read_deadline read_until{deadline};
    std::array<char, chunk_bytes> chunk{};
    while (!writer.is_done()) {
        if (!caller.parser.is_done()) {
            caller.parser.get().body().data = chunk.data();
            caller.parser.get().body().size = chunk.size();
            const auto failed =
                co_await read_message(caller.stream, caller.buffer, caller.parser, read_until);
            if (!is_expected(failed)) {
                co_return send_result{.caller_left = true};
            }
            request.body().data = chunk.data();
            request.body().size = chunk.size() - caller.parser.get().body().size;
            request.body().more = !caller.parser.is_done();
        }
        else {
            request.body().data = nullptr;
            request.body().size = 0;
            request.body().more = false;
        }
        const auto [failed, count] = co_await http::async_write(upstream.stream, writer, no_throw);
        if (!is_expected(failed)) {
            co_return send_result{.error = failed};
        }
    }
    co_return send_result{};
}

asio::awaitable<send_result> send_buffered(inbound_request caller, upstream_connection& upstream,
                                           const http::fields& fields)
{
    const auto& from = caller.parser.get();
    http::request<http::string_body> request{from.method(), from.target(), http_1_1};
    static_cast<http::fields&>(request) = fields;
    request.method_string(from.method_string());
    request.target(from.target());
    request.body() = *caller.buffered_body;
    request.content_length(caller.buffered_body->size());
    const auto [failed, count] = co_await http::async_write(upstream.stream, request, no_throw);
    co_return send_result{.error = failed};
}

asio::awaitable<send_result> send_request(inbound_request caller, upstream_connection& upstream,
                                          const http::fields& fields, monotonic_time deadline)
{
    const auto& from = caller.parser.get();
    if (caller.buffered_body != nullptr) {
        co_return co_await send_buffered(caller, upstream, fields);
    }
    if (caller.parser.is_done()) {
        http::request<http::empty_body> request{from.method(), from.target(), http_1_1};
        static_cast<http::fields&>(request) = fields;
        request.method_string(from.method_string());
        request.target(from.target());
        if (from.find(http::field::content_length) != from.end()) {
            request.content_length(0);
        }
        const auto [failed, count] = co_await http::async_write(upstream.stream, request, no_throw);
        co_return send_result{.error = failed};
    }
    if (!co_await send_continue_if_expected(caller)) {
        co_return send_result{.caller_left = true};
    }
    http::request<http::buffer_body> request;
    static_cast<http::fields&>(request) = fields;
    request.version(http_1_1);
    request.method_string(from.method_string());
    request.target(from.target());
    request.body().more = true;
    if (const auto length = caller.parser.content_length()) {
        request.content_length(*length);
    }
    else {
        request.chunked(true);
    }
    http::request_serializer<http::buffer_body> writer{request};
    const auto [failed, count] =
        co_await http::async_write_header(upstream.stream, writer, no_throw);
    if (failed) {
        co_return send_result{.error = failed};
    }
    co_return co_await relay_body(caller, upstream, writer, request, deadline);
}

/// Reads the whole body of a short answer, so that the caller gets it completely or not at all.
asio::awaitable<bool> read_short_body(upstream_connection& upstream, answer_parser& answer,
                                      read_deadline& deadline, std::string& body)
{
    body.resize(answer.content_length().value_or(0));
    std::size_t filled = 0;
    while (!answer.is_done()) {
        answer.get().body().data = body.data() + filled;
        answer.get().body().size = body.size() - filled;
        const auto failed =
            co_await read_message(upstream.stream, upstream.buffer, answer, deadline);
        filled = body.size() - answer.get().body().size;
        if (!is_expected(failed)) {
            co_return false;
        }
    }
    co_return filled == body.size();
}

asio::awaitable<relay_ending> pass_short_answer(inbound_request caller, answer_parser& answer,
                                                std::string body, bool keep_caller)
{
    http::response<http::string_body> out;
    static_cast<http::fields&>(out) = end_to_end_fields(answer.get());
    out.version(http_1_1);
    out.result(answer.get().result_int());
    out.reason(answer.get().reason());
    out.keep_alive(keep_caller);
    out.body() = std::move(body);
    if (answer.get().result_int() != static_cast<unsigned>(http::status::no_content)) {
        out.content_length(out.body().size());
    }
    const auto [failed, count] = co_await http::async_write(caller.stream, out, no_throw);
    co_return failed ? relay_ending::caller_left : relay_ending::answered;
}

/// Sends an answer without a body, for example to HEAD. Content-Length is kept.
asio::awaitable<relay_ending> pass_bodiless_answer(inbound_request caller, answer_parser& answer,
                                                   bool keep_caller)
{
    http::response<http::empty_body> out;
    static_cast<http::fields&>(out) = end_to_end_fields(answer.get());
    const auto length = answer.get().find(http::field::content_length);
    if (length != answer.get().end()) {
        out.set(http::field::content_length, length->value());
    }
    out.version(http_1_1);
    out.result(answer.get().result_int());
    out.keep_alive(keep_caller);
    http::response_serializer<http::empty_body> writer{out};
    const auto [failed, count] = co_await http::async_write_header(caller.stream, writer, no_throw);
    co_return failed ? relay_ending::caller_left : relay_ending::answered;
}

/// Streams an answer of any length to the caller in chunks.
asio::awaitable<relay_ending> stream_answer(inbound_request caller, upstream_connection& upstream,
                                            answer_parser& answer, read_deadline& deadline,
                                            const relay_options& options, bool keep_caller)
{
    http::response<http::buffer_body> out;
    static_cast<http::fields&>(out) = end_to_end_fields(answer.get());
    out.version(http_1_1);
    out.result(answer.get().result_int());
    out.keep_alive(keep_caller);
    if (const auto length = answer.content_length()) {
        out.content_length(*length);
    }
    else {
        out.chunked(true);
    }
    out.body().data = nullptr;
    out.body().more = true;
    http::response_serializer<http::buffer_body> writer{out};
    const auto [head_failed, head_count] =
        co_await http::async_write_header(caller.stream, writer, no_throw);
    if (head_failed) {
        co_return relay_ending::caller_left;
    }
    std::array<char, chunk_bytes> chunk{};
    while (!writer.is_done()) {
        out.body().data = nullptr;
        out.body().size = 0;
        if (!answer.is_done()) {
            answer.get().body().data = chunk.data();
            answer.get().body().size = chunk.size();
            const auto failed =
                co_await read_message(upstream.stream, upstream.buffer, answer, deadline);
            if (!is_expected(failed)) {
                co_return relay_ending::truncated;
            }
            out.body().data = chunk.data();
            out.body().size = chunk.size() - answer.get().body().size;
        }
        out.body().more = !answer.is_done();
        if (answer.is_done()) {
            options.upstream_done();
        }
        const auto [failed, count] = co_await http::async_write(caller.stream, writer, no_throw);
        if (!is_expected(failed)) {
            co_return relay_ending::caller_left;
        }
    }
    co_return relay_ending::answered;
}

void keep_answer(relay_result& result, const answer_parser& answer, const std::string& body)
{
    const auto& head = answer.get();
    result.kept = kept_answer{.status = head.result_int(),
                              .content_type = std::string{head[http::field::content_type]},
                              .body = body};
}

asio::awaitable<relay_ending> pass_answer(inbound_request caller, upstream_connection& upstream,
                                          answer_parser& answer, read_deadline& deadline,
                                          const relay_options& options, relay_result& result)
{
    const bool keep_caller = result.keep_caller;
    if (answer.is_done()) {
        if (options.keep_answer) {
            keep_answer(result, answer, {});
        }
        options.upstream_done();
        co_return co_await pass_bodiless_answer(caller, answer, keep_caller);
    }
    const auto length = answer.content_length();
    if (length && *length <= max_buffered_answer_bytes) {
        std::string body;
        if (!co_await read_short_body(upstream, answer, deadline, body)) {
            co_return relay_ending::lost;
        }
        if (options.keep_answer) {
            keep_answer(result, answer, body);
        }
        options.upstream_done();
        co_return co_await pass_short_answer(caller, answer, std::move(body), keep_caller);
    }
    co_return co_await stream_answer(caller, upstream, answer, deadline, options, keep_caller);
}

milliseconds retry_after_of(const http::fields& answer)
{
    const auto text = answer[http::field::retry_after];
    std::int64_t count = 0;
    std::from_chars(text.data(), text.data() + text.size(), count);
    return seconds{count};
}

/// Stores the refusal in `result` if the upstream reports that it did not run the request. Returns
/// false for any other answer.
asio::awaitable<bool> try_read_refusal(upstream_connection& upstream, answer_parser& answer,
                                       read_deadline& deadline, relay_result& result)
{
    const auto& head = answer.get();
    const auto length = answer.content_length();
    const bool says_not_run = head[field::outcome] == name_of(run_state::not_run);
    if (!says_not_run || (!answer.is_done() && length.value_or(chunk_bytes + 1) > chunk_bytes)) {
        co_return false;
    }
    result.ending = relay_ending::refused;
    result.status = head.result_int();
    result.retry_after = retry_after_of(head);
    result.refusal_name = std::string{head[field::error]};
    std::string body;
    const bool whole =
        answer.is_done() || co_await read_short_body(upstream, answer, deadline, body);
    result.keep_upstream = whole && answer.get().keep_alive();
    co_return true;
}

relay_ending ending_after_send(monotonic_time deadline)
{
    const bool late = monotonic_time::clock::now() >= deadline;
    return late ? relay_ending::late : relay_ending::lost;
}

std::uint64_t parse_number(std::string_view text)
{
    std::uint64_t out = 0;
    std::from_chars(text.data(), text.data() + text.size(), out);
    return out;
}

/// Reads the header of the final answer. Meanwhile a disconnect of the caller cancels the request,
/// if that is allowed.
asio::awaitable<relay_ending> await_answer(inbound_request caller, upstream_connection& upstream,
                                           std::optional<answer_parser>& answer,
                                           read_deadline& deadline, const relay_options& options)
{
    bool left = false;
    std::optional<caller_watch> watch;
    if (options.cancel_when_caller_leaves && caller.parser.is_done()) {
        watch.emplace(caller.stream.socket(), [&left, &upstream] {
            left = true;
            upstream.stream.cancel();
        });
    }
    const bool without_body = caller.parser.get().method() == http::verb::head;
    const auto failed = co_await read_final_head(upstream.stream, upstream.buffer, answer, deadline,
                                                 [without_body](answer_parser& next) {
                                                     next.body_limit(boost::none);
                                                     next.header_limit(max_answer_header_bytes);
                                                     next.skip(without_body);
                                                 });
    if (!failed) {
        co_return relay_ending::answered;
    }
    co_return left ? relay_ending::caller_left : ending_after_send(options.deadline);
}

std::string refusal_body(const error_answer& row, milliseconds retry_after)
{
    boost::json::object body{
        {"error", row.name}, {"ran", name_of(row.ran)}, {"remedy", row.remedy}};
    if (row.sends_retry_after) {
        body["retry_after_ms"] = retry_after.count();
    }
    return boost::json::serialize(body);
}

} // namespace

http::fields end_to_end_fields(const http::fields& all)
{
    constexpr auto per_connection = std::to_array<http::field>(
        {http::field::connection, http::field::keep_alive, http::field::proxy_authenticate,
         http::field::proxy_authorization, http::field::proxy_connection, http::field::te,
         http::field::trailer, http::field::transfer_encoding, http::field::upgrade,
         http::field::content_length, http::field::expect});
    http::fields out = all;
    for (const auto name : per_connection) {
        out.erase(name);
    }
    return out;
}

asio::awaitable<relay_result> relay(inbound_request caller, upstream_connection& upstream,
                                    relay_options options)
{
    relay_result result;
    const auto deadline = options.deadline;
    upstream.stream.expires_at(deadline);
    caller.stream.expires_at(deadline);
    if (!options.may_send()) {
        result.ending = relay_ending::not_sent;
        result.keep_caller = caller.parser.is_done() && caller.parser.get().keep_alive();
        result.keep_upstream = true;
        co_return result;
    }
    const auto sent = co_await send_request(caller, upstream, options.fields, deadline);
    caller.stream.expires_at(deadline);
    if (sent.caller_left) {
        const bool late = monotonic_time::clock::now() >= deadline;
        result.ending = late ? relay_ending::late : relay_ending::caller_left;
        co_return result;
    }
    // Even if sending failed, an answer may have arrived: an upstream may answer and close before
    // it has read the whole request.
    std::optional<answer_parser> parser;
    read_deadline read_until{deadline};
    const auto waited = co_await await_answer(caller, upstream, parser, read_until, options);
    result.keep_caller = caller.parser.is_done() && caller.parser.get().keep_alive();
    if (waited != relay_ending::answered) {
        result.ending = waited;
        co_return result;
    }
    auto& answer = *parser;
    if (is_cut_off(answer, sent.error)) {
        result.ending = ending_after_send(deadline);
        co_return result;
    }
    result.incarnation = parse_number(answer.get()[field::incarnation]);
    if (co_await try_read_refusal(upstream, answer, read_until, result)) {
        co_return result;
    }
    if (answer.get()[field::error] == name_of(error_kind::outcome_unknown)) {
        // Another entry host lost the request. The connection to that host is not reused.
        result.ending = relay_ending::lost;
        co_return result;
    }
    result.status = answer.get().result_int();
    const bool upstream_keeps_alive = answer.get().keep_alive() && !sent.error;
    result.ending = co_await pass_answer(caller, upstream, answer, read_until, options, result);
    if (result.ending == relay_ending::lost) {
        result.ending = ending_after_send(deadline);
    }
    result.keep_upstream = upstream_keeps_alive && result.ending == relay_ending::answered;
    co_return result;
}

bool can_read_ahead(const request_parser& parser)
{
    const auto length = parser.content_length();
    return !parser.is_done() && length && *length <= max_read_ahead_bytes;
}

asio::awaitable<std::optional<std::string>> read_ahead(inbound_request caller,
                                                       monotonic_time deadline)
{
    const deadline_guard guard{caller.stream, deadline};
    read_deadline read_until{deadline};
    if (!co_await send_continue_if_expected(caller)) {
        co_return std::nullopt;
    }
    std::string body(caller.parser.content_length().value_or(0), '\0');
    std::size_t filled = 0;
    while (!caller.parser.is_done()) {
        caller.parser.get().body().data = body.data() + filled;
        caller.parser.get().body().size = body.size() - filled;
        const auto failed =
            co_await read_message(caller.stream, caller.buffer, caller.parser, read_until);
        filled = body.size() - caller.parser.get().body().size;
        if (!is_expected(failed)) {
            co_return std::nullopt;
        }
    }
    co_return body;
}

asio::awaitable<bool> replay(inbound_request caller, const kept_answer& answer)
{
    const bool keep_caller = caller.parser.is_done() && caller.parser.get().keep_alive();
    http::response<http::string_body> out;
    out.version(http_1_1);
    out.result(answer.status);
    if (!answer.content_type.empty()) {
        out.set(http::field::content_type, answer.content_type);
    }
    out.set(field::outcome, name_of(run_state::ran));
    out.keep_alive(keep_caller);
    out.body() = answer.body;
    out.prepare_payload();
    caller.stream.expires_after(answer_write_timeout);
    const auto [failed, count] = co_await http::async_write(caller.stream, out, no_throw);
    co_return keep_caller && !failed;
}

asio::awaitable<bool> refuse(inbound_request caller, error_kind kind, milliseconds retry_after)
{
    const auto& row = answer_of(kind);
    if (row.http_status == 0) {
        co_return false;
    }
    const bool keep = caller.parser.is_done() && caller.parser.get().keep_alive();
    http::response<http::string_body> out;
    out.version(http_1_1);
    out.result(row.http_status);
    out.set(http::field::content_type, "application/json");
    out.set(field::error, row.name);
    out.set(field::outcome, name_of(row.ran));
    if (row.sends_retry_after) {
        const auto whole = std::chrono::ceil<seconds>(retry_after);
        out.set(http::field::retry_after, std::to_string(whole.count()));
    }
    out.keep_alive(keep);
    out.body() = refusal_body(row, retry_after);
    out.prepare_payload();
    caller.stream.expires_after(answer_write_timeout);
    const auto [failed, count] = co_await http::async_write(caller.stream, out, no_throw);
    co_return keep && !failed;
}

} // namespace figreach
