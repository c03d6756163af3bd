#include "figreach/direct/runtime/peer_server.h"

#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "figreach/runtime/connection_pool.h"

namespace figreach::direct {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr auto no_throw = asio::as_tuple(asio::use_awaitable);
constexpr seconds idle_timeout{10};
constexpr milliseconds accept_retry_delay{100};
constexpr std::uint64_t max_body_bytes = 1024 * 1024;

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
    boost::beast::flat_buffer buffer;
    bool open = true;
    while (open) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(max_body_bytes);
        stream.expires_after(idle_timeout);
        const auto [failed, count] = co_await http::async_read(stream, buffer, parser, no_throw);
        if (failed) {
            co_return;
        }
        stream.expires_never();
        auto out = co_await this->handle(parser.get());
        out.version(parser.get().version());
        out.keep_alive(parser.get().keep_alive());
        out.prepare_payload();
        stream.expires_after(idle_timeout);
        const auto [write_error, sent] = co_await http::async_write(stream, out, no_throw);
        open = !write_error && out.keep_alive();
    }
}

asio::awaitable<http_response> peer_server::handle(const http_request& request)
{
    if (request.target() == "/tenure") {
        co_return this->handle_tenure_offer(request);
    }
    if (request.target() == "/term") {
        co_return this->handle_term(request);
    }
    http_response out;
    const auto follow = decode_follow_request(request.body());
    if (!follow) {
        out.result(http::status::bad_request);
        co_return out;
    }
    if (!this->leader.leads()) {
        out.result(http::status::service_unavailable);
        if (const auto known = this->known_leader()) {
            out.body() = encode(*known);
        }
        co_return out;
    }
    for (const auto& one : follow->loads) {
        this->leader.record_load(one.service, one.key, one.requests);
    }
    this->leader.record_follower(follow->host);
    this->leader.record_service_times(follow->service_times);
    for (const auto& load : follow->server_loads) {
        this->state.load_tracker.merge(load, monotonic_time::clock::now());
    }
    auto update = co_await this->feed.answer(*follow);
    out.result(update ? http::status::ok : http::status::service_unavailable);
    if (update) {
        update->server_loads = this->state.load_tracker.reports(monotonic_time::clock::now());
        out.body() = encode(*update);
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

/// Returns this host's successor or, if there is none, the leader that this host follows.
std::optional<leader_hint> peer_server::known_leader() const
{
    return this->leader.successor() ? this->leader.successor() : this->feed.followed_leader();
}

} // namespace figreach::direct
