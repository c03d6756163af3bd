#include "figreach/direct/runtime/caller_connection.h"

#include <algorithm>
#include <exception>
#include <functional>
#include <limits>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "figreach/runtime/caller_watch.h"
#include "figreach/runtime/lingering_close.h"
#include "figreach/runtime/log.h"
#include "figreach/runtime/read_deadline.h"
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
constexpr std::size_t first_read_bytes = 16 * 1024;
/// Limit on the body of one request.
constexpr std::uint64_t max_body_bytes = 32 * 1024 * 1024;
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

/// Without this line nothing would tell why the connection ends without an answer.
void log_unexpected_error(const std::string& request_id, const std::exception_ptr& failed)
{
    std::string what = "unknown";
    try {
        std::rethrow_exception(failed);
    }
    catch (const std::exception& error) {
        what = error.what();
    }
    catch (...) {
    }
    log_event(log_level::error, "request_failed", {{"id", request_id}, {"error", what}});
}

} // namespace

/// A request that has been read, until its answer has been written.
struct caller_connection::exchange_state {
    explicit exchange_state(host_context& state)
        : in_flight{state.in_flight}, body{state.buffered_bytes}
    {
    }

    scoped_count<std::uint32_t> in_flight;
    counted_body body;
    caller_request request;
    bool keep = false;            ///< the caller wants to keep the connection
    http_response answer;         ///< set when the exchange has ended
    std::function<void()> cancel; ///< set while the request runs
};

/// Lets the request be cancelled while it runs.
struct caller_connection::cancel_scope {
    cancel_scope(exchange_state& one_, request_runner& runner) : one{one_}
    {
        this->one.cancel = [&runner] { runner.cancel(); };
    }
    ~cancel_scope() { this->one.cancel = nullptr; }
    cancel_scope(const cancel_scope&) = delete;
    cancel_scope& operator=(const cancel_scope&) = delete;

    exchange_state& one;
};

caller_connection::caller_connection(asio::ip::tcp::socket socket, host_context& state_,
                                     store_feed& feed_)
    : state{state_},
      feed{feed_},
      stream{std::move(socket)},
      pipeline{pipeline_settings{}},
      silence{state_.io},
      changed{state_.io, monotonic_time::max()}
{
}

caller_connection::~caller_connection() = default;

asio::awaitable<void> caller_connection::run()
{
    const auto self = this->shared_from_this();
    beast::error_code ignored;
    this->stream.socket().set_option(asio::ip::tcp::no_delay{true}, ignored);
    while (co_await this->read_one()) {
    }
    this->silence.cancel();
    {
        const caller_watch watch{this->stream.socket(), [this] { this->drop_all(); }};
        co_await this->wait_until_answered();
    }
    co_await lingering_close(this->stream, std::numeric_limits<std::uint64_t>::max());
}

void caller_connection::close_if_idle()
{
    if (this->waiting && this->pipeline.is_empty()) {
        this->stream.cancel();
    }
}

caller_limits caller_connection::limits() const
{
    const auto routes = this->state.cluster.routes();
    return routes ? routes->configuration().limits : caller_limits{};
}

bool caller_connection::is_repeatable(const http_request& message) const
{
    const auto routes = this->state.cluster.routes();
    const auto host = message[http::field::host];
    const auto path = message.target();
    const auto* route =
        routes ? routes->find({host.data(), host.size()}, {path.data(), path.size()}) : nullptr;
    return route != nullptr && may_repeat(route->kind);
}

/// Ends the reading after `time` unless requests are under way then.
void caller_connection::limit_silence(milliseconds time)
{
    this->silence.expires_after(time);
    this->silence.async_wait([kept = this->weak_from_this()](
                                 const boost::system::error_code& cancelled) {
        const auto self = kept.lock();
        if (!cancelled && self && self->pipeline.is_empty() && (self->waiting || self->receiving)) {
            self->stream.cancel();
        }
    });
}

/// Returns whether bytes of a request have arrived.
asio::awaitable<bool> caller_connection::wait_for_bytes()
{
    while (this->pipeline.is_full() && !this->closing) {
        co_await this->changed.async_wait(no_throw);
    }
    if (this->closing || this->buffer.size() > 0) {
        co_return !this->closing;
    }
    this->limit_silence(this->limits().idle_time);
    this->stream.expires_never();
    this->waiting = true;
    const auto [failed, count] =
        co_await this->stream.async_read_some(this->buffer.prepare(first_read_bytes), no_throw);
    this->waiting = false;
    if (failed) {
        // A caller that closes its side does not wait for answers.
        this->drop_all();
        co_return false;
    }
    this->buffer.commit(count);
    co_return !this->closing;
}

/// Reads a request and lets it run if it may. Returns whether another one can be read.
asio::awaitable<bool> caller_connection::read_one()
{
    if (!co_await this->wait_for_bytes()) {
        co_return false;
    }
    const scoped_count in_flight{this->state.in_flight};
    const auto limits = this->limits();
    request_parser parser;
    parser.header_limit(limits.header_bytes);
    parser.body_limit(std::min(limits.body_bytes, max_body_bytes));
    this->stream.expires_never();
    this->limit_silence(limits.header_time);
    this->receiving = true;
    const auto [failed, count] =
        co_await http::async_read_header(this->stream, this->buffer, parser, no_throw);
    this->receiving = false;
    this->silence.cancel();
    if (failed) {
        if (is_protocol_error(failed)) {
            this->refuse(kind_of_parse_failure(failed));
        }
        else {
            this->drop_all();
        }
        co_return false;
    }
    const auto arrival = monotonic_time::clock::now();
    auto head = platform::decode_caller_head(parser.get());
    if (!has_unambiguous_framing(parser.get()) || head.malformed || head.request_id.empty()) {
        this->refuse(error_kind::malformed_request);
        co_return false;
    }
    const auto one = std::make_shared<exchange_state>(this->state);
    one->body.grow_to(parser.content_length().value_or(0));
    if (one->body.all_bytes() > max_buffered_request_bytes) {
        this->refuse(error_kind::overloaded);
        co_return false;
    }
    constexpr milliseconds body_time{10000};
    const auto body_until = arrival + head.time_limit.value_or(body_time);
    if (!co_await this->read_body(parser, one->body, body_until)) {
        co_return false;
    }
    const bool keep = parser.get().keep_alive();
    one->keep = keep;
    one->request.message = parser.release();
    one->request.head = std::move(head);
    one->request.arrival = arrival;
    one->request.digest = digest_of_message(one->request.message);
    const bool repeatable = this->is_repeatable(one->request.message);
    this->add(one, repeatable);
    co_return keep;
}

/// Reads the rest of the body. Bodies are not read ahead of the answers before them.
asio::awaitable<bool> caller_connection::read_body(request_parser& parser, counted_body& counted,
                                                   monotonic_time until)
{
    if (parser.is_done()) {
        co_return true;
    }
    while (!this->pipeline.is_empty() && !this->closing) {
        co_await this->changed.async_wait(no_throw);
    }
    if (this->closing) {
        co_return false;
    }
    this->stream.expires_at(until);
    if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        const http::response<http::empty_body> interim{http::status::continue_, http_1_1};
        const auto [failed, count] = co_await http::async_write(this->stream, interim, no_throw);
        if (failed) {
            co_return false;
        }
    }
    read_deadline deadline{until};
    const auto failed = co_await read_counted(this->stream, this->buffer, parser, deadline, counted,
                                              max_buffered_request_bytes);
    if (failed == http::error::buffer_overflow) {
        this->refuse(error_kind::overloaded);
    }
    else if (failed && is_protocol_error(failed)) {
        this->refuse(kind_of_parse_failure(failed));
    }
    co_return !failed;
}

/// Answers in turn with a refusal that ends the connection.
void caller_connection::refuse(error_kind kind)
{
    const auto one = std::make_shared<exchange_state>(this->state);
    one->answer = platform::encode_refusal(kind, milliseconds{0});
    this->exchanges.push_back(one);
    (void)this->pipeline.add_answered();
    asio::co_spawn(this->state.io, this->write_answers(), asio::detached);
}

void caller_connection::add(std::shared_ptr<exchange_state> one, bool repeatable)
{
    this->exchanges.push_back(std::move(one));
    (void)this->pipeline.add(repeatable);
    this->start_ready();
}

/// Starts all requests that may run now.
void caller_connection::start_ready()
{
    while (!this->closing) {
        const auto number = this->pipeline.start_next(this->state.stopping);
        if (!number) {
            return;
        }
        const auto& one = this->exchanges.at(*number - this->pipeline.first());
        asio::co_spawn(this->state.io, this->serve(one, *number),
                       [self = this->shared_from_this(),
                        id = one->request.head.request_id](const std::exception_ptr& failed) {
                           if (failed) {
                               log_unexpected_error(id, failed);
                               self->drop_all();
                               self->stream.cancel();
                           }
                       });
    }
}

/// Breaks off all requests; their answers have no receiver any more.
void caller_connection::drop_all()
{
    this->closing = true;
    for (const auto& one : std::exchange(this->exchanges, {})) {
        if (one->cancel) {
            one->cancel();
        }
    }
    this->changed.cancel();
}

asio::awaitable<void> caller_connection::serve(std::shared_ptr<exchange_state> one,
                                               request_pipeline::number number)
{
    const auto self = this->shared_from_this();
    // On a host starved of CPU time the caller may have disconnected long ago.
    if (is_closed_by_peer(this->stream.socket())) {
        this->drop_all();
        this->stream.cancel();
        co_return;
    }
    request_runner runner{this->state, this->feed};
    request_outcome outcome = caller_disconnected{};
    {
        const cancel_scope scope{*one, runner};
        outcome = co_await runner.run(one->request);
    }
    if (std::holds_alternative<caller_disconnected>(outcome)) {
        this->drop_all();
        this->stream.cancel();
    }
    if (this->closing) {
        co_return;
    }
    if (const auto* refusal = std::get_if<host_refusal>(&outcome)) {
        one->answer = platform::encode_refusal(refusal->kind, refusal->retry_after);
    }
    else {
        auto& from = std::get<http_response>(outcome);
        static_cast<http::fields&>(one->answer) = end_to_end_fields(from);
        one->answer.result(from.result_int());
        one->answer.reason(from.reason());
        one->answer.body() = std::move(from.body());
    }
    this->pipeline.on_ended(number);
    this->start_ready();
    co_await this->write_answers();
}

/// Writes all answers that are next in turn.
asio::awaitable<void> caller_connection::write_answers()
{
    const auto self = this->shared_from_this();
    if (this->writing) {
        co_return;
    }
    this->writing = true;
    while (!this->closing && this->pipeline.has_answer()) {
        const auto one = this->exchanges.front();
        const bool ends = this->state.stopping && !this->pipeline.has_started_behind_first();
        const bool open = co_await this->write(std::move(one->answer), one->keep && !ends);
        if (this->closing) {
            break;
        }
        this->exchanges.pop_front();
        this->pipeline.on_answered();
        if (!open) {
            this->drop_all();
            this->stream.cancel();
            break;
        }
        this->start_ready();
        if (this->pipeline.is_empty() && (this->waiting || this->receiving)) {
            this->limit_silence(this->limits().idle_time);
        }
        this->changed.cancel();
    }
    this->writing = false;
    this->changed.cancel();
}

/// Returns whether the connection stays open.
asio::awaitable<bool> caller_connection::write(http_response answer, bool keep)
{
    answer.version(http_1_1);
    answer.keep_alive(keep);
    answer.prepare_payload();
    this->stream.expires_after(write_timeout);
    const auto [failed, count] = co_await http::async_write(this->stream, answer, no_throw);
    co_return keep && !failed;
}

/// Waits until all answers are written or none will be.
asio::awaitable<void> caller_connection::wait_until_answered()
{
    while (this->writing || (!this->closing && !this->pipeline.is_empty())) {
        co_await this->changed.async_wait(no_throw);
    }
}

} // namespace figreach::direct
