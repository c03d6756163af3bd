#include "figreach/direct/runtime/peer_server.h"

#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/write.hpp>

#include "figreach/direct/runtime/counted_body.h"
#include "figreach/direct/runtime/forwarding.h"
#include "figreach/direct/runtime/quota_client.h"
#include "figreach/runtime/caller_watch.h"
#include "figreach/runtime/connection_pool.h"
#include "figreach/runtime/log.h"
#include "figreach/runtime/read_deadline.h"
#include "figreach/runtime/scoped_count.h"

namespace figreach::direct {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr auto no_throw = asio::as_tuple(asio::use_awaitable);
constexpr seconds idle_timeout{10};
constexpr milliseconds accept_retry_delay{100};
/// The largest body of a request that another host passes on.
constexpr std::uint64_t max_body_bytes = 32 * 1024 * 1024;

} // namespace

peer_server::peer_server(host_context& state_, leadership& leader_, store_feed& feed_)
    : state{state_},
      leader{leader_},
      feed{feed_},
      listener{state_.io, to_endpoint(state_.settings.peer_address)}
{
}

void peer_server::start()
{
    asio::co_spawn(this->state.io, this->accept(), asio::detached);
}

asio::awaitable<void> peer_server::accept()
{
    for (;;) {
        auto [failed, socket] = co_await this->listener.async_accept(no_throw);
        if (failed) {
            co_await sleep_for(this->state.io, accept_retry_delay);
            continue;
        }
        asio::co_spawn(this->state.io, this->serve(std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> peer_server::serve(tcp::socket socket)
{
    boost::beast::tcp_stream stream{std::move(socket)};
    boost::beast::flat_buffer buffer{max_read_buffer_bytes};
    bool open = true;
    while (open) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(max_body_bytes);
        const auto read_until = monotonic_time::clock::now() + idle_timeout;
        stream.expires_at(read_until);
        read_deadline deadline{read_until};
        if (co_await read_header(stream, buffer, parser, deadline)) {
            co_return;
        }
        counted_body counted{this->state.buffered_bytes};
        counted.grow_to(parser.content_length().value_or(0));
        boost::beast::error_code unread = http::error::buffer_overflow;
        if (counted.all_bytes() <= max_buffered_request_bytes) {
            unread = co_await read_counted(stream, buffer, parser, deadline, counted,
                                           max_buffered_request_bytes);
        }
        if (unread) {
            // The other host finds the connection closed, which promises nothing.
            log_event(log_level::warn, "peer_body_unread",
                      {{"error", unread.message()},
                       {"buffered_bytes", std::to_string(counted.all_bytes())}});
            co_return;
        }
        stream.expires_never();
        auto message = parser.release();
        const auto version = message.version();
        const bool keep = message.keep_alive();
        std::optional<http_response> out;
        if (auto head = take_forwarding_head(message)) {
            out = co_await this->serve_forwarded(stream.socket(), std::move(message),
                                                 std::move(*head));
        }
        else {
            out = co_await this->handle(message);
        }
        if (!out) {
            co_return;
        }
        out->version(version);
        out->keep_alive(keep);
        out->prepare_payload();
        stream.expires_after(idle_timeout);
        const auto [write_error, sent] = co_await http::async_write(stream, *out, no_throw);
        open = !write_error && keep;
    }
}

/// Returns an empty optional if the host that passed the request on has closed the connection.
asio::awaitable<std::optional<http_response>>
peer_server::serve_forwarded(tcp::socket& socket, http_request request, forwarding_head head)
{
    const auto arrival = monotonic_time::clock::now();
    caller_request forwarded{.message = std::move(request),
                             .head = {},
                             .arrival = arrival,
                             .forwarded = std::move(head)};
    forwarded.head = platform::decode_caller_head(forwarded.message);
    forwarded.digest = forwarded.forwarded->digest;
    const auto id = forwarded.head.request_id;
    if (forwarded.head.malformed || id.empty()) {
        co_return encode_forwarded_answer(host_refusal{.kind = error_kind::malformed_request}, id,
                                          {});
    }
    if (this->state.stopping) {
        co_return encode_forwarded_answer(host_refusal{.kind = error_kind::host_stopping}, id, {});
    }
    const scoped_count in_flight{this->state.in_flight};
    request_runner runner{this->state, this->feed};
    request_outcome outcome = caller_disconnected{};
    {
        const caller_watch watch{socket, [&runner] { runner.cancel(); }};
        outcome = co_await runner.run(forwarded);
    }
    if (std::holds_alternative<caller_disconnected>(outcome)) {
        co_return std::nullopt;
    }
    co_return encode_forwarded_answer(std::move(outcome), id, runner.server());
}

tcp::endpoint peer_server::local_endpoint() const
{
    return this->listener.local_endpoint();
}

asio::awaitable<http_response> peer_server::handle(const http_request& request)
{
    if (request.target() == "/tenure") {
        co_return this->handle_tenure_offer(request);
    }
    if (request.target() == "/term") {
        co_return this->handle_term(request);
    }
    if (request.target() == "/quota") {
        co_return this->handle_quota_report(request);
    }
    http_response out;
    const auto follow = decode_follow_request(request.body());
    if (!follow) {
        out.result(http::status::bad_request);
        co_return out;
    }
    if (!this->leader.leads()) {
        co_return co_await this->answer_without_leading(*follow);
    }
    this->state.store.observe_era(follow->era);
    for (const auto& one : follow->loads) {
        this->leader.record_load(one.service, one.key, one.requests);
    }
    this->leader.record_follower(follow->host);
    this->leader.record_service_times(follow->service_times);
    for (const auto& load : follow->server_loads) {
        this->state.load_tracker.merge(load, monotonic_time::clock::now());
    }
    this->state.merge_rate_limits(follow->rate_limits, follow->host);
    this->state.merge_crash_reports(follow->crashes);
    for (const auto& one : follow->leaving) {
        this->state.record_leaving(one, follow->host.value);
    }
    auto update = co_await this->feed.answer(*follow);
    out.result(update ? http::status::ok : http::status::service_unavailable);
    if (update) {
        const auto now = monotonic_time::clock::now();
        update->server_loads = this->state.load_tracker.reports(now, follow->load_cursor);
        update->load_cursor = this->state.load_tracker.report_cursor();
        update->rate_limits = this->state.rate_limits.reports(now);
        update->era = this->state.store.era();
        update->crashes = this->state.suspects.reports(now);
        update->has_crash_record = true;
        update->leaving = this->state.cluster.servers().leaving_reports(now);
        out.body() = encode(*update);
    }
    co_return out;
}

/// Answers as a host that reads the store for others, or names the leader.
asio::awaitable<http_response> peer_server::answer_without_leading(follow_request request)
{
    http_response out;
    this->state.store.observe_era(request.era);
    std::optional<follow_answer> update;
    if (this->feed.reads_for_others()) {
        update = co_await this->feed.answer(request);
    }
    out.result(update ? http::status::ok : http::status::service_unavailable);
    if (update) {
        update->era = this->state.store.era();
        out.body() = encode(*update);
    }
    else if (const auto known = this->known_leader()) {
        out.body() = encode(*known);
    }
    co_return out;
}

http_response peer_server::handle_tenure_offer(const http_request& request)
{
    http_response out;
    const auto offer = decode_leadership_transfer(request.body());
    if (!offer) {
        out.result(http::status::bad_request);
    }
    else {
        out.result(this->leader.accept_offer(*offer) ? http::status::ok : http::status::conflict);
    }
    return out;
}

http_response peer_server::handle_quota_report(const http_request& request)
{
    http_response out;
    const auto report = decode_quota_report(request.body());
    if (!report) {
        out.result(http::status::bad_request);
        return out;
    }
    const auto shares = quota_client::answer(this->state, this->leader, *report);
    out.result(shares ? http::status::ok : http::status::service_unavailable);
    if (shares) {
        out.body() = encode(*shares);
    }
    return out;
}

http_response peer_server::handle_term(const http_request& request)
{
    http_response out;
    const auto hint = decode_leader_hint(request.body());
    if (!hint) {
        out.result(http::status::bad_request);
        return out;
    }
    this->leader.observe_term(hint->term);
    this->feed.accept_hint(*hint);
    return out;
}

/// Returns this host's successor or the leader that this host follows, whichever leads in the later
/// term.
std::optional<leader_hint> peer_server::known_leader() const
{
    const auto& successor = this->leader.successor();
    const auto followed = this->feed.followed_leader();
    const bool follows_later = followed && (!successor || followed->term > successor->term);
    return follows_later ? followed : successor;
}

} // namespace figreach::direct
