#include "figreach/runtime/caller_session.h"

#include <charconv>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>

namespace figreach {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr std::uint32_t most_header_bytes = 16 * 1024;
constexpr seconds idle_limit{60};
constexpr milliseconds default_retry_after{200};

std::string text(const http::fields& fields, const char* name)
{
    return std::string{fields[name]};
}

request_head head_of(const request_parser& parser)
{
    const auto& from = parser.get();
    request_head out{.method = std::string{from.method_string()},
                     .service = text(from, field::service),
                     .key = text(from, field::key),
                     .tenant = text(from, field::tenant),
                     .request_class = text(from, field::request_class),
                     .deadline_ms = text(from, field::deadline),
                     .idempotency_key = text(from, field::idempotency_key),
                     .attempt = text(from, field::attempt),
                     .request_id = text(from, field::request_id),
                     .hops = 0};
    const auto hops = from[field::hops];
    std::from_chars(hops.data(), hops.data() + hops.size(), out.hops);
    return out;
}

std::string remaining_ms(monotonic_time deadline)
{
    const auto left = deadline - monotonic_time::clock::now();
    return std::to_string(std::chrono::duration_cast<milliseconds>(left).count());
}

error_kind kind_of(const beast::error_code& failed)
{
    const bool too_large = failed == http::error::header_limit;
    return too_large ? error_kind::header_too_large : error_kind::malformed_request;
}

gate_ending gate_ending_of(relay_ending ending)
{
    switch (ending) {
    case relay_ending::answered:
        return gate_ending::answered;
    case relay_ending::refused:
    case relay_ending::not_sent:
        return gate_ending::refused;
    case relay_ending::caller_gone:
        return gate_ending::cancelled;
    case relay_ending::lost:
    case relay_ending::cut_short:
    case relay_ending::late:
        return gate_ending::failed;
    }
    return gate_ending::failed;
}

/// The error that a refusal by another entry host or a backend server named.
error_kind refused_kind(const std::string& name)
{
    for (const auto& row : error_table()) {
        const bool plain = row.http_status != 0 && row.ran == run_state::not_run;
        if (plain && row.name == name) {
            return row.kind;
        }
    }
    return error_kind::server_refused;
}

} // namespace

caller_session::caller_session(request_thread& home_, asio::ip::tcp::socket socket)
    : home{home_}, stream{std::move(socket)}
{
}

asio::awaitable<void> caller_session::run()
{
    beast::error_code ignored;
    this->stream.socket().set_option(asio::ip::tcp::no_delay{true}, ignored);
    while (co_await this->serve_one()) {
    }
    this->stream.socket().shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
}

asio::awaitable<bool> caller_session::serve_one()
{
    request_parser parser;
    parser.header_limit(most_header_bytes);
    parser.body_limit(boost::none);
    this->stream.expires_after(idle_limit);
    const auto [failed, count] = co_await http::async_read_header(
        this->stream, this->buffer, parser, asio::as_tuple(asio::use_awaitable));
    caller_side caller{.stream = this->stream, .buffer = this->buffer, .parser = parser};
    if (failed == http::error::end_of_stream ||
        failed.category() != make_error_code(http::error{}).category()) {
        if (failed) {
            co_return false;
        }
    }
    if (failed) {
        co_await refuse(caller, kind_of(failed), default_retry_after);
        co_return false;
    }
    const auto arrival = monotonic_time::clock::now();
    this->home.routes.refresh(this->home.snapshot, this->home.seen_generation);
    if (!this->home.snapshot) {
        co_return co_await refuse(caller, error_kind::no_owner, default_retry_after);
    }
    const auto held = this->home.snapshot;
    const auto checked = check_request(head_of(parser), *held->shared);
    if (const auto* wrong = std::get_if<error_kind>(&checked)) {
        co_return co_await refuse(caller, *wrong, default_retry_after);
    }
    co_return co_await this->dispatch(parser, std::get<checked_request>(checked), arrival);
}

asio::awaitable<bool> caller_session::dispatch(request_parser& parser,
                                               const checked_request& request,
                                               monotonic_time arrival)
{
    const auto held = this->home.snapshot;
    caller_side caller{.stream = this->stream, .buffer = this->buffer, .parser = parser};
    const auto to = find_route(*held, *request.target, request.key);
    const auto deadline = arrival + request.allowed;
    if (to.server == nullptr) {
        co_return co_await refuse(caller, error_kind::no_owner, default_retry_after);
    }
    if (to.server->coordinated_here) {
        co_return co_await this->send_here(caller, request, to, deadline);
    }
    if (request.hops > 0) {
        co_return co_await refuse(caller, error_kind::not_coordinator, default_retry_after);
    }
    if (to.server->forward_address.empty()) {
        co_return co_await refuse(caller, error_kind::no_owner, default_retry_after);
    }
    co_return co_await this->forward(caller, request, to, deadline);
}

asio::awaitable<bool> caller_session::send_here(caller_side caller, const checked_request& request,
                                                const route& to, monotonic_time deadline)
{
    const auto link = this->home.links.find(to.server->server);
    if (!link) {
        co_return co_await refuse(caller, error_kind::no_owner, default_retry_after);
    }
    gate_request asked{.id = link->next_ticket(),
                       .tenant = request.payer->name,
                       .request_class = request.request_class,
                       .shed_order = request.shed_order,
                       .weight = request.payer->weight,
                       .deadline = deadline};
    const auto decision = co_await link->admit(asked);
    if (const auto* refused = std::get_if<gate_refuse>(&decision)) {
        co_return co_await refuse(caller, refused->kind, refused->retry_after);
    }
    const auto begun = monotonic_time::clock::now();
    std::unique_ptr<upstream_connection> connection;
    try {
        connection = co_await this->home.pool.take(to.server->address, deadline);
    }
    catch (const boost::system::system_error&) {
        connection.reset();
    }
    if (!connection) {
        link->finish(asked.id, gate_ending::refused, nanoseconds{0});
        co_return co_await refuse(caller, error_kind::server_unreachable, default_retry_after);
    }
    auto fields = end_to_end(caller.parser.get());
    fields.set(http::field::host, to.server->address);
    fields.set(field::fence, std::to_string(to.fence));
    fields.set(field::hash, std::to_string(to.hash));
    fields.set(field::deadline, remaining_ms(deadline));
    const auto may_send = [link] { return link->has_authority(); };
    const auto result = co_await relay(caller, *connection, std::move(fields), deadline, may_send);
    link->finish(asked.id, gate_ending_of(result.ending), monotonic_time::clock::now() - begun);
    if (result.keep_upstream) {
        this->home.pool.give_back(to.server->address, std::move(connection));
    }
    co_return co_await this->conclude(caller, result);
}

asio::awaitable<bool> caller_session::forward(caller_side caller, const checked_request& request,
                                              const route& to, monotonic_time deadline)
{
    std::unique_ptr<upstream_connection> connection;
    try {
        connection = co_await this->home.pool.take(to.server->forward_address, deadline);
    }
    catch (const boost::system::system_error&) {
        connection.reset();
    }
    if (!connection) {
        co_return co_await refuse(caller, error_kind::no_owner, default_retry_after);
    }
    auto fields = end_to_end(caller.parser.get());
    fields.set(http::field::host, to.server->forward_address);
    fields.set(field::hops, std::to_string(request.hops + 1));
    fields.set(field::deadline, remaining_ms(deadline));
    const auto may_send = [deadline] { return monotonic_time::clock::now() < deadline; };
    const auto result = co_await relay(caller, *connection, std::move(fields), deadline, may_send);
    if (result.keep_upstream) {
        this->home.pool.give_back(to.server->forward_address, std::move(connection));
    }
    co_return co_await this->conclude(caller, result);
}

asio::awaitable<bool> caller_session::conclude(caller_side caller, const relay_result& result)
{
    switch (result.ending) {
    case relay_ending::answered:
        co_return result.keep_caller;
    case relay_ending::refused:
        co_return co_await refuse(caller, refused_kind(result.refused_as),
                                  std::max(result.retry_after, default_retry_after));
    case relay_ending::not_sent:
        co_return co_await refuse(caller, error_kind::no_owner, default_retry_after);
    case relay_ending::lost:
        co_return co_await refuse(caller, error_kind::outcome_unknown, default_retry_after);
    case relay_ending::late:
        co_return co_await refuse(caller, error_kind::deadline_exceeded, default_retry_after);
    case relay_ending::cut_short:
    case relay_ending::caller_gone:
        co_return false;
    }
    co_return false;
}

} // namespace figreach
