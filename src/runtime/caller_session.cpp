#include "figreach/runtime/caller_session.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/error.hpp>

#include "figreach/runtime/caller_watch.h"
#include "figreach/runtime/lingering_close.h"
#include "figreach/runtime/read_deadline.h"
#include "figreach/runtime/relay_outcome.h"
#include "figreach/runtime/request_framing.h"
#include "figreach/runtime/scoped_count.h"
#include "figreach/runtime/timed_read.h"

namespace figreach {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr std::uint32_t max_header_bytes = 16 * 1024;
/// Larger bodies are rejected at once. The limit can be this high because bodies are streamed and
/// not held in memory.
constexpr std::uint64_t max_body_bytes = std::uint64_t{1} << 40U;
constexpr seconds idle_timeout{60};
constexpr std::uint64_t max_linger_bytes = 1024 * 1024;

constexpr auto no_throw = asio::as_tuple(asio::use_awaitable);

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

/// Reports the outcome of a request to the idempotency window that admitted it.
void record_outcome(server_link& link, const repeat_id& id, const relay_result& result)
{
    const bool not_run =
        result.ending == relay_ending::refused || result.ending == relay_ending::not_sent;
    if (not_run) {
        link.forget(id);
    }
    else if (result.kept || result.ending == relay_ending::answered) {
        link.finish(id, result.kept);
    }
    else {
        link.mark_unknown(id);
    }
}

} // namespace

/// State of a request while it is served.
struct caller_session::exchange {
    inbound_request caller;
    const checked_request& request;
    request_attempts& attempts;
    monotonic_time deadline{};
    bool replayable = true;
    bool keep_caller = false;
    std::shared_ptr<const routing_snapshot> snapshot; ///< keeps `to` valid
    route to;
    std::string spread_key; ///< selects the server if the service is not divided by key
    std::optional<window_replay> replay;

    [[nodiscard]] bool uses_idempotency_window() const
    {
        return !this->request.idempotent && !this->request.idempotency_key.empty();
    }

    [[nodiscard]] repeat_id id() const
    {
        return {.service = this->request.target->name,
                .key = this->request.key,
                .idempotency_key = this->request.idempotency_key};
    }

    [[nodiscard]] window_request to_window_request() const
    {
        const auto& head = this->caller.parser.get();
        auto fingerprint = std::string{head.method_string()};
        fingerprint += ' ';
        fingerprint += std::string_view{head.target()};
        const auto& document = *this->to.document;
        return {.id = this->id(),
                .slice = {.first = document.slices[this->to.slice].first,
                          .last = last_hash(document, this->to.slice),
                          .fence = this->to.fence},
                .fingerprint = std::move(fingerprint),
                .first_attempt = this->request.first_attempt};
    }

    /// The header fields to send upstream.
    [[nodiscard]] http::fields fields(const std::string& address) const
    {
        auto out = end_to_end_fields(this->caller.parser.get());
        out.set(http::field::host, address);
        out.set(field::deadline, remaining_ms(this->deadline));
        return out;
    }

    /// Whether the first byte may be sent now. If so, the request counts as sent from here on.
    [[nodiscard]] bool begin_sending()
    {
        const auto now = monotonic_time::clock::now();
        if (now >= this->deadline || is_closed_by_peer(this->caller.stream.socket())) {
            return false;
        }
        return std::holds_alternative<no_action>(this->attempts.handle(sending{}, now));
    }
};

caller_session::caller_session(request_thread& thread_, asio::ip::tcp::socket socket)
    : thread{thread_}, stream{std::move(socket)}
{
}

asio::awaitable<void> caller_session::run()
{
    beast::error_code ignored;
    this->stream.socket().set_option(asio::ip::tcp::no_delay{true}, ignored);
    while (co_await this->serve_one()) {
    }
    co_await lingering_close(this->stream, max_linger_bytes);
}

void caller_session::close_if_idle()
{
    if (this->idle && this->buffer.size() == 0) {
        this->stream.cancel();
    }
}

asio::awaitable<bool> caller_session::serve_one()
{
    request_parser parser;
    parser.header_limit(max_header_bytes);
    parser.body_limit(max_body_bytes);
    const auto read_until = monotonic_time::clock::now() + idle_timeout;
    this->stream.expires_at(read_until);
    read_deadline deadline{read_until};
    this->idle = true;
    const auto failed = co_await read_header(this->stream, this->buffer, parser, deadline);
    this->idle = false;
    this->served = {};
    const inbound_request caller{.stream = this->stream, .buffer = this->buffer, .parser = parser};
    if (failed) {
        if (is_protocol_error(failed)) {
            co_await this->refuse_and_record(caller, kind_of_parse_failure(failed));
            this->count(monotonic_time::clock::now());
        }
        co_return false;
    }
    if (!has_unambiguous_framing(parser.get())) {
        parser.get().keep_alive(false);
        co_await this->refuse_and_record(caller, error_kind::malformed_request);
        this->count(monotonic_time::clock::now());
        co_return false;
    }
    const scoped_count in_flight{this->thread.plane.in_flight};
    const auto arrival = monotonic_time::clock::now();
    const bool keep = co_await this->check_and_serve(caller, arrival);
    this->count(arrival);
    co_return keep;
}

asio::awaitable<bool> caller_session::check_and_serve(inbound_request caller,
                                                      monotonic_time arrival)
{
    if (this->thread.plane.draining) {
        caller.parser.get().keep_alive(false);
        co_return co_await this->refuse_and_record(caller, error_kind::host_stopping);
    }
    this->thread.routes.refresh(this->thread.snapshot, this->thread.seen_generation);
    if (!this->thread.snapshot) {
        co_return co_await this->refuse_and_record(caller, error_kind::no_owner);
    }
    const auto held = this->thread.snapshot;
    const auto checked = check_request(head_of(caller.parser), *held->system_description);
    if (const auto* wrong = std::get_if<error_kind>(&checked)) {
        co_return co_await this->refuse_and_record(caller, *wrong);
    }
    co_return co_await this->serve_checked(caller, std::get<checked_request>(checked), arrival);
}

asio::awaitable<bool> caller_session::serve_checked(inbound_request caller,
                                                    const checked_request& request,
                                                    monotonic_time arrival)
{
    this->served.tenant = request.billed_tenant->name;
    this->served.request_class = request.request_class;
    this->served.forwarded = request.hops > 0;
    const auto deadline = arrival + request.allowed;
    std::optional<std::string> body;
    if (can_read_ahead(caller.parser)) {
        body = co_await read_ahead(caller, deadline);
        if (!body && monotonic_time::clock::now() >= deadline) {
            co_return co_await this->refuse_and_record(caller, error_kind::deadline_expired);
        }
        if (!body) {
            co_return false;
        }
        caller.buffered_body = &*body;
    }
    const attempt_facts facts{.idempotent = request.idempotent,
                              .divided_by_key = request.target->divided_by_key,
                              .forwarded = request.hops > 0,
                              .arrival = arrival,
                              .deadline = deadline};
    request_attempts attempts{
        {}, facts, this->thread.budget, next_random(this->thread.random_state)};
    exchange one{.caller = caller,
                 .request = request,
                 .attempts = attempts,
                 .deadline = deadline,
                 .replayable = caller.parser.is_done()};
    co_return co_await this->serve(one);
}

asio::awaitable<bool> caller_session::serve(exchange& one)
{
    attempt_event event = this->look_up(one);
    for (;;) {
        const auto action = one.attempts.handle(event, monotonic_time::clock::now());
        if (const auto* error = std::get_if<reply_with_error>(&action)) {
            co_return co_await this->refuse_and_record(one.caller, error->kind, error->retry_after);
        }
        if (const auto* over = std::get_if<conclude>(&action)) {
            if (one.replay) {
                this->served.result = one.replay->answer.status;
                co_return co_await replay(one.caller, one.replay->answer);
            }
            const bool keep = over->clean && one.keep_caller;
            co_return keep;
        }
        auto next = co_await this->perform(one, action);
        if (!next) {
            co_return false;
        }
        event = *next;
    }
}

asio::awaitable<std::optional<attempt_event>> caller_session::perform(exchange& one,
                                                                      const attempt_action& action)
{
    if (const auto* wait = std::get_if<look_up_route>(&action)) {
        co_return co_await this->wait_and_look_up(one, wait->delay);
    }
    if (!one.to.server) {
        co_return std::nullopt;
    }
    const scoped_count outstanding{this->thread.outstanding[one.to.server->server]};
    if (std::holds_alternative<send_to_server>(action)) {
        co_return co_await this->send_to_owner(one);
    }
    if (std::holds_alternative<forward_request>(action)) {
        co_return co_await this->forward(one);
    }
    co_return std::nullopt;
}

asio::awaitable<attempt_event> caller_session::wait_and_look_up(exchange& one, milliseconds delay)
{
    asio::steady_timer timer{this->stream.get_executor()};
    timer.expires_after(delay);
    co_await timer.async_wait(no_throw);
    if (is_closed_by_peer(this->stream.socket())) {
        co_return caller_left{};
    }
    this->thread.routes.refresh(this->thread.snapshot, this->thread.seen_generation);
    co_return this->look_up(one);
}

attempt_event caller_session::look_up(exchange& one)
{
    one.snapshot = this->thread.snapshot;
    const auto& target = *one.request.target;
    if (target.divided_by_key) {
        one.to = find_route(*one.snapshot, target, one.request.key);
    }
    else if (one.uses_idempotency_window()) {
        // All repeats of a request must reach the same server.
        one.to = find_route(*one.snapshot, target, one.request.idempotency_key);
    }
    else if (one.request.hops > 0) {
        one.to = find_route(*one.snapshot, target, one.caller.parser.get()[field::spread]);
    }
    else {
        this->choose_server(one);
    }
    const auto* server = one.to.server;
    if (server == nullptr || !server->takes_new_work) {
        return route_resolved{route_location::none};
    }
    if (server->coordinated_here) {
        return route_resolved{route_location::local};
    }
    const bool known = !server->forward_address.empty();
    return route_resolved{known ? route_location::remote : route_location::none};
}

/// Chooses the less loaded of two random servers of a service that is not divided by key. Servers
/// that receive no new work are skipped.
void caller_session::choose_server(exchange& one)
{
    constexpr int choices = 2;
    constexpr int max_draws = 32;
    int eligible = 0;
    std::uint32_t least = 0;
    one.to = {};
    for (int i = 0; i < max_draws && eligible < choices; ++i) {
        auto key = std::to_string(next_random(this->thread.random_state));
        const auto found = find_route(*one.snapshot, *one.request.target, key);
        if (found.server == nullptr || !found.server->takes_new_work) {
            continue;
        }
        ++eligible;
        const auto busy = this->thread.outstanding[found.server->server];
        if (one.to.server == nullptr || busy < least) {
            one.to = found;
            one.spread_key = std::move(key);
            least = busy;
        }
    }
}

asio::awaitable<attempt_event> caller_session::send_to_owner(exchange& one)
{
    const auto link = this->thread.links.find(one.to.server->server);
    if (!link) {
        co_return rejected_locally{.kind = error_kind::no_owner,
                                   .retry_after = default_retry_after};
    }
    const auto query = one.to_window_request();
    link->count(query.slice.first);
    if (one.uses_idempotency_window()) {
        const auto decision = link->begin(query);
        if (const auto* refused = std::get_if<window_refuse>(&decision)) {
            co_return rejected_locally{.kind = refused->kind, .retry_after = refused->retry_after};
        }
        if (const auto* known = std::get_if<window_replay>(&decision)) {
            one.replay = *known;
            co_return answer_ended{};
        }
    }
    const gate_request asked{.id = link->next_ticket(),
                             .tenant = one.request.billed_tenant->name,
                             .request_class = one.request.request_class,
                             .shed_order = one.request.shed_order,
                             .weight = one.request.billed_tenant->weight,
                             .deadline = one.deadline};
    const auto decision = co_await link->admit(asked, this->stream.socket());
    const auto* refused = decision ? std::get_if<gate_refuse>(&*decision) : nullptr;
    if (!decision || refused != nullptr) {
        if (one.uses_idempotency_window()) {
            link->forget(query.id);
        }
        if (refused == nullptr) {
            co_return caller_left{};
        }
        co_return rejected_locally{.kind = refused->kind, .retry_after = refused->retry_after};
    }
    co_return co_await this->send_admitted(one, *link, asked.id);
}

asio::awaitable<attempt_event> caller_session::send_admitted(exchange& one, server_link& link,
                                                             ticket id)
{
    const auto begun = monotonic_time::clock::now();
    const auto& address = one.to.server->address;
    auto connection = co_await this->connect(address, one.deadline);
    if (!connection) {
        link.finish(id, gate_ending::not_sent, nanoseconds{0});
        if (one.uses_idempotency_window()) {
            link.forget(one.id());
        }
        co_return not_sent{.kind = error_kind::server_unreachable};
    }
    auto fields = one.fields(address);
    fields.set(field::fence, std::to_string(one.to.fence));
    fields.set(field::hash, std::to_string(one.to.hash));
    relay_options options{.fields = std::move(fields), .deadline = one.deadline};
    options.may_send = [this, &link, &one] {
        return this->still_owned(one) && link.has_authority() && one.begin_sending();
    };
    options.upstream_done = [&link, id, begun] {
        link.finish(id, gate_ending::answered, monotonic_time::clock::now() - begun);
    };
    // A request that is not idempotent is not cancelled, so that its outcome becomes known.
    options.cancel_when_caller_leaves = one.request.idempotent;
    options.keep_answer = one.uses_idempotency_window();
    link.begin_use(one.to.hash);
    const auto result = co_await relay(one.caller, *connection, std::move(options));
    link.end_use(one.to.hash, has_ended(result), one.deadline);
    link.finish(id, gate_ending_of(result), monotonic_time::clock::now() - begun);
    if (result.incarnation != 0) {
        link.note_incarnation(result.incarnation);
    }
    if (one.uses_idempotency_window()) {
        record_outcome(link, one.id(), result);
    }
    if (result.keep_upstream) {
        this->thread.pool.give_back(address, std::move(connection));
    }
    one.keep_caller = result.keep_caller;
    if (result.ending == relay_ending::answered) {
        this->served.result = result.status;
    }
    co_return event_of(result, one.replayable);
}

/// Final route check right before the first byte is sent. The slice may have moved while the
/// request was waiting.
bool caller_session::still_owned(const exchange& one)
{
    const auto& target = *one.request.target;
    this->thread.routes.refresh(this->thread.snapshot, this->thread.seen_generation);
    if (!target.divided_by_key || this->thread.snapshot == one.snapshot) {
        return true;
    }
    const auto now = find_route(*this->thread.snapshot, target, one.request.key);
    const bool same_server = now.server != nullptr && now.server->server == one.to.server->server;
    return same_server && now.fence == one.to.fence;
}

asio::awaitable<attempt_event> caller_session::forward(exchange& one)
{
    const auto& address = one.to.server->forward_address;
    auto connection = co_await this->connect(address, one.deadline);
    if (!connection) {
        co_return not_sent{.kind = error_kind::no_owner};
    }
    auto fields = one.fields(address);
    fields.set(field::hops, std::to_string(one.request.hops + 1));
    if (!one.spread_key.empty()) {
        fields.set(field::spread, one.spread_key);
    }
    relay_options options{.fields = std::move(fields), .deadline = one.deadline};
    options.may_send = [&one] { return one.begin_sending(); };
    options.cancel_when_caller_leaves = one.request.idempotent;
    const auto result = co_await relay(one.caller, *connection, std::move(options));
    if (result.keep_upstream) {
        this->thread.pool.give_back(address, std::move(connection));
    }
    one.keep_caller = result.keep_caller;
    if (result.ending == relay_ending::answered) {
        this->served.result = result.status;
    }
    co_return event_of(result, one.replayable);
}

asio::awaitable<std::unique_ptr<upstream_connection>>
caller_session::connect(const std::string& address, monotonic_time deadline)
{
    try {
        co_return co_await this->thread.pool.take(address, deadline);
    }
    catch (const boost::system::system_error&) {
        co_return nullptr;
    }
}

asio::awaitable<bool> caller_session::refuse_and_record(inbound_request caller, error_kind kind,
                                                        milliseconds retry_after)
{
    this->served.result = kind;
    co_return co_await refuse(caller, kind, retry_after);
}

void caller_session::count(monotonic_time arrival)
{
    if (this->served.forwarded || !this->served.result) {
        return;
    }
    this->thread.counts.record(this->served.tenant, this->served.request_class,
                               *this->served.result, monotonic_time::clock::now() - arrival);
}

} // namespace figreach
