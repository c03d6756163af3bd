#include "figreach/direct/runtime/request_runner.h"

#include <algorithm>
#include <utility>

#include "figreach/direct/answer_handling.h"
#include "figreach/direct/owner_wait.h"
#include "figreach/direct/runtime/forwarding.h"
#include "figreach/direct/tenants/identification.h"
#include "figreach/runtime/log.h"
#include "figreach/runtime/suspension_clock.h"
#include "retry_delays.h"

namespace figreach::direct {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr milliseconds owner_poll_interval{50};
constexpr milliseconds connect_timeout{400};
/// For all peers that are tried for a request. A host answers a connection attempt at once unless
/// it is down or partitioned.
constexpr milliseconds peers_connect_timeout{250};
/// A suspected request waits this long for those that are sent alone before it.
constexpr milliseconds alone_wait_limit{1000};
constexpr milliseconds alone_poll_interval{20};
/// For which a request waits for a share of its tenant's limit.
constexpr milliseconds share_wait{250};
constexpr milliseconds min_time_left{5}; ///< a request with less time left is not sent
constexpr std::uint32_t min_send_limit = 2;
constexpr std::uint32_t max_unsent_retries = 2;
constexpr unsigned first_server_error = 500;

attempt_settings make_attempt_settings(const route_rule& route)
{
    attempt_settings out;
    // A repeat at the owner of a key does not count against the limit of servers.
    out.max_sends = std::max(min_send_limit, route.max_servers);
    out.max_unsent_retries = max_unsent_retries;
    out.max_route_wait = longest_owner_wait(route.latency_objective);
    out.route_poll = owner_poll_interval;
    out.retry_after = refused_retry_delay;
    return out;
}

/// Sends of suspected requests that this host makes one at a time.
class sending_alone {
public:
    sending_alone(crash_suspects& suspects_, const request_digest& digest_,
                  const request_attempts& attempts_)
        : suspects{suspects_}, digest{digest_}, attempts{attempts_}, sends{attempts_.sends()}
    {
    }
    ~sending_alone() { this->suspects.finish(this->digest, this->attempts.sends() > this->sends); }
    sending_alone(const sending_alone&) = delete;
    sending_alone& operator=(const sending_alone&) = delete;

private:
    crash_suspects& suspects;
    request_digest digest;
    const request_attempts& attempts;
    std::uint32_t sends;
};

bool is_server_error(const http_response& answer)
{
    return answer.result_int() >= first_server_error;
}

bool is_failure(const exchange_result& result)
{
    return is_failure(result.answer.result_int(), result.head.claim);
}

/// Whether a host that refused a request like this may have sent it to a server.
bool may_have_been_sent(error_kind kind)
{
    return answer_of(kind).ran != run_state::not_run || kind == error_kind::server_refused ||
           kind == error_kind::stale_route;
}

/// Whether another host may serve a request that a host has refused like this.
bool is_refused_by_host(error_kind kind)
{
    return kind == error_kind::host_stopping || kind == error_kind::no_server_path;
}

/// Whether another host has passed the request on and selected its service.
bool is_routed(const caller_request& request)
{
    return request.forwarded && !request.forwarded->service.empty();
}

host_refusal unreadable_route()
{
    return {.kind = error_kind::unreadable_route, .retry_after = unreadable_route_retry_delay};
}

std::string outcome_text(const request_outcome& outcome)
{
    if (const auto* answer = std::get_if<http_response>(&outcome)) {
        return std::to_string(answer->result_int());
    }
    if (const auto* refusal = std::get_if<host_refusal>(&outcome)) {
        return std::string{figreach::name_of(refusal->kind)};
    }
    return "caller_left";
}

} // namespace

request_runner::request_runner(host_context& state_, store_feed& feed_) : state{state_}, feed{feed_}
{
}

asio::awaitable<request_outcome> request_runner::run(const caller_request& request)
{
    auto outcome = co_await this->serve(request);
    const auto* refusal = std::get_if<host_refusal>(&outcome);
    if (refusal != nullptr && this->counted && answer_of(refusal->kind).ran == run_state::not_run) {
        this->state.quota.give_back(this->counted_tenant);
    }
    this->log_outcome(request, outcome);
    this->record_outcome(request, outcome);
    co_return outcome;
}

const backend_server_id& request_runner::server() const
{
    return this->last_target.id;
}

void request_runner::cancel()
{
    this->cancelled = true;
    if (this->upstream && this->route != nullptr && may_repeat(this->route->kind)) {
        reset(*this->upstream);
    }
    this->state.cluster_changed.notify();
}

asio::awaitable<request_outcome> request_runner::serve(const caller_request& request)
{
    this->routes = this->state.cluster.routes();
    if (!this->routes) {
        co_return host_refusal{.kind = error_kind::no_configuration,
                               .retry_after = no_owner_retry_delay};
    }
    this->arrived_at = time_with_suspension();
    if (const auto refusal = this->find_route(request)) {
        co_return *refusal;
    }
    if (const auto refusal = this->identify_tenant(request)) {
        co_return this->may_be_outdated(*refusal, request) ? this->configuration_mismatch()
                                                           : *refusal;
    }
    if (const auto refusal = this->select_service(request)) {
        co_return *refusal;
    }
    if (this->service->divided_by_key && !request.head.key) {
        co_return host_refusal{.kind = error_kind::missing_key, .retry_after = {}};
    }
    if (this->service->divided_by_key && !request.forwarded) {
        this->feed.record_load(this->service->name, *request.head.key);
    }
    const auto limit =
        std::min(request.head.time_limit.value_or(this->route->timeout), this->route->timeout);
    this->deadline = request.arrival + limit;
    if (!this->ends_before_stop()) {
        co_return host_refusal{.kind = error_kind::host_stopping, .retry_after = {}};
    }
    if (const auto refusal = co_await this->count_against_limit(request)) {
        co_return *refusal;
    }
    this->allowance = server_allowance{this->route->max_servers};
    const attempt_facts facts{.idempotent = may_repeat(this->route->kind),
                              .divided_by_key = this->service->divided_by_key,
                              .forwarded = request.forwarded.has_value(),
                              .arrival = request.arrival,
                              .deadline = this->deadline};
    this->attempts.emplace(make_attempt_settings(*this->route), facts,
                           this->state.retry_budget_for(this->service->name),
                           next_random(this->state.random_state));
    attempt_action action = look_up_route{};
    for (;;) {
        if (const auto* wait = std::get_if<look_up_route>(&action)) {
            if (wait->delay > milliseconds{0}) {
                co_await this->state.cluster_changed.wait(monotonic_time::clock::now() +
                                                          wait->delay);
            }
        }
        auto event =
            this->cancelled ? attempt_event{caller_left{}} : co_await this->attempt(request);
        this->limit_replay(event, request);
        if (this->identity_refusal) {
            co_return host_refusal{.kind =
                                       this->attempts->reported_kind(this->identity_refusal->kind),
                                   .retry_after = this->identity_refusal->retry_after};
        }
        action = this->attempts->handle(event, monotonic_time::clock::now());
        if (std::holds_alternative<no_action>(action)) {
            // The deadline expired just before sending.
            co_return host_refusal{.kind =
                                       this->attempts->reported_kind(error_kind::deadline_expired),
                                   .retry_after = {}};
        }
        if (std::holds_alternative<conclude>(action)) {
            if (this->cancelled || !this->answer) {
                co_return caller_disconnected{};
            }
            co_return std::move(*this->answer);
        }
        if (const auto* error = std::get_if<reply_with_error>(&action)) {
            if (this->cancelled) {
                co_return caller_disconnected{};
            }
            if (this->server_error) {
                co_return std::move(*this->server_error);
            }
            co_return host_refusal{.kind = error->kind,
                                   .retry_after = this->add_jitter(error->retry_after)};
        }
    }
}

std::optional<host_refusal> request_runner::find_route(const caller_request& request)
{
    const auto host = request.message[http::field::host];
    const auto path = request.message.target();
    const std::string_view host_name{host.data(), host.size()};
    this->route = this->routes->find(host_name, {path.data(), path.size()});
    if (this->route != nullptr) {
        return std::nullopt;
    }
    if (is_routed(request)) {
        return this->configuration_mismatch();
    }
    if (this->routes->may_have_unreadable_route(host_name)) {
        return unreadable_route();
    }
    return host_refusal{.kind = error_kind::unknown_service, .retry_after = {}};
}

/// Takes the service that another host has selected, so that the request is served only as both
/// configurations allow, or selects one.
std::optional<host_refusal> request_runner::select_service(const caller_request& request)
{
    const bool readable = this->route->unreadable_field.empty();
    if (is_routed(request)) {
        const auto& name = request.forwarded->service;
        this->service = readable ? this->routes->find_service(*this->route, name) : nullptr;
        return this->service != nullptr ? std::nullopt
                                        : std::optional{this->configuration_mismatch()};
    }
    this->service = readable ? this->routes->next_service(*this->route) : nullptr;
    return this->service != nullptr ? std::nullopt : std::optional{unreadable_route()};
}

/// Whether an API key may have been refused only because this host lacks the newer configuration of
/// the host that passed the request on.
bool request_runner::may_be_outdated(const host_refusal& refusal,
                                     const caller_request& request) const
{
    return refusal.kind == error_kind::invalid_api_key && request.forwarded &&
           request.forwarded->configuration > this->routes->configuration().version;
}

/// The refusal if the host that passed the request on has decided by a configuration that does not
/// agree with the one of this host.
host_refusal request_runner::configuration_mismatch()
{
    return {.kind = error_kind::configuration_mismatch,
            .retry_after = this->add_jitter(refused_retry_delay)};
}

/// Identifies the tenant by the newest configuration. Returns the refusal if the request may not
/// run.
std::optional<host_refusal> request_runner::identify_tenant(const caller_request& request)
{
    const bool first = this->identified_by == nullptr || this->identified_by->tenants().empty();
    this->identified_by = this->state.cluster.routes();
    this->tenant = nullptr;
    const auto& tenants = this->identified_by->tenants();
    if (tenants.empty()) {
        return std::nullopt;
    }
    if (first) {
        this->key = platform::decode_api_key(request.message);
    }
    const auto& limit = this->state.settings.revocation_limit;
    const auto found =
        identify({.tenants = tenants,
                  .is_public = this->route->is_public,
                  .is_fresh = !limit || this->state.freshness.may_serve(this->arrived_at, *limit),
                  .key = this->key});
    if (const auto* refused = std::get_if<identification_refused>(&found)) {
        auto& refusals = refused->kind == error_kind::stale_configuration
                             ? this->state.freshness_refusals
                             : this->state.key_refusals;
        ++refusals;
        return host_refusal{.kind = refused->kind,
                            .retry_after = this->add_jitter(refused_retry_delay)};
    }
    if (const auto* identified = std::get_if<identified_tenant>(&found)) {
        this->tenant = identified->tenant;
    }
    return std::nullopt;
}

bool request_runner::is_counted_elsewhere(const caller_request& request) const
{
    if (!request.forwarded) {
        return false;
    }
    const auto* sender = this->state.cluster.find_host(request.forwarded->from);
    return sender != nullptr && is_counted_proof(request.forwarded->counted, sender->secret,
                                                 sender->name, request.head.request_id);
}

asio::awaitable<std::optional<host_refusal>>
request_runner::count_against_limit(const caller_request& request)
{
    if (this->tenant == nullptr || this->tenant->rate <= 0.0 ||
        this->is_counted_elsewhere(request)) {
        co_return std::nullopt;
    }
    auto& quota = this->state.quota;
    auto decision = quota.admit(*this->tenant, time_with_suspension());
    if (std::holds_alternative<quota_unknown>(decision) && this->state.quota_answered) {
        quota.want(this->tenant->name);
        this->state.quota_wanted.notify();
        // The first answer may be to a report from before this request.
        const auto until = std::min(this->deadline, monotonic_time::clock::now() + share_wait);
        while (std::holds_alternative<quota_unknown>(decision) && !this->cancelled &&
               this->state.quota_answered && monotonic_time::clock::now() < until) {
            co_await this->state.quota_changed.wait(until);
            decision = quota.admit_waiting(*this->tenant, time_with_suspension());
        }
    }
    if (std::holds_alternative<quota_admitted>(decision)) {
        this->counted = true;
        this->counted_tenant = this->tenant->name;
        co_return std::nullopt;
    }
    ++this->state.quota_refusals;
    const auto used = quota.usage_of(this->tenant->name);
    log_event(log_level::info, "tenant_limit",
              {{"id", request.head.request_id},
               {"tenant", this->tenant->name.value},
               {"rate", std::to_string(this->tenant->rate)},
               {"burst", std::to_string(this->tenant->burst)},
               {"fraction", std::to_string(used.fraction)},
               {"tokens", std::to_string(used.tokens)},
               {"depth", std::to_string(used.depth)},
               {"exhausted", used.exhausted ? "true" : "false"}});
    if (const auto* refused = std::get_if<quota_refused>(&decision)) {
        co_return host_refusal{.kind = error_kind::tenant_over_limit,
                               .retry_after = refused->retry_after};
    }
    const bool all_used = quota.has_shares(time_with_suspension());
    co_return host_refusal{.kind = all_used ? error_kind::tenant_over_limit
                                            : error_kind::tenant_share_unknown,
                           .retry_after = this->add_jitter(no_owner_retry_delay)};
}

/// Whether a request that begins now ends before the host does. One that may not be repeated needs
/// all of its time limit; one that may is expected to take a small multiple of its objective.
bool request_runner::ends_before_stop() const
{
    constexpr int objectives = 2;
    const auto expected =
        may_repeat(this->route->kind)
            ? std::min(this->deadline,
                       monotonic_time::clock::now() + objectives * this->route->latency_objective)
            : this->deadline;
    return expected <= this->state.stop_until;
}

/// Selects a server and, if one is available, sends the request once.
asio::awaitable<attempt_event> request_runner::attempt(const caller_request& request)
{
    const auto now = monotonic_time::clock::now();
    if (now + min_time_left >= this->deadline) {
        co_return deadline_passed{};
    }
    const auto level = this->level_of(request, now);
    this->highest_level = std::max(this->highest_level, level);
    if (level == crash_level::held) {
        co_return rejected_locally{.kind = error_kind::request_held, .retry_after = {}};
    }
    if (level != crash_level::none) {
        co_return co_await this->attempt_alone(request);
    }
    auto chosen = this->select_target(request);
    while (this->may_be_cold(chosen)) {
        const bool cold = co_await this->check_cold(std::get<target>(chosen));
        if (!cold) {
            break;
        }
        chosen = this->select_target(request);
    }
    if (const auto without = event_without_target(chosen)) {
        co_return *without;
    }
    co_return co_await this->send_or_forward(request, std::get<target>(chosen));
}

/// The event for a choice that names no target.
std::optional<attempt_event> request_runner::event_without_target(const choice& chosen)
{
    if (std::holds_alternative<wait_for_change>(chosen)) {
        return route_resolved{route_location::none};
    }
    if (const auto* refusal = std::get_if<host_refusal>(&chosen)) {
        return rejected_locally{.kind = refusal->kind, .retry_after = refusal->retry_after};
    }
    return std::nullopt;
}

crash_level request_runner::level_of(const caller_request& request, monotonic_time now) const
{
    return request.digest ? this->state.suspects.level(*request.digest, now) : crash_level::none;
}

asio::awaitable<attempt_event> request_runner::send_or_forward(const caller_request& request,
                                                               target to)
{
    if (!to.peers.empty()) {
        co_return co_await this->forward(request, std::move(to));
    }
    co_return co_await this->send(request, std::move(to));
}

/// Lets one host of all send a suspected request, without another one at the same server.
asio::awaitable<attempt_event> request_runner::attempt_alone(const caller_request& request)
{
    target elsewhere;
    elsewhere.peers = this->suspect_senders(request);
    if (!elsewhere.peers.empty()) {
        elsewhere.hops_left = 1;
        elsewhere.forwarded_for = "crash_suspect";
        co_return co_await this->forward(request, std::move(elsewhere));
    }
    auto& suspects = this->state.suspects;
    const auto until = std::min(this->deadline, monotonic_time::clock::now() + alone_wait_limit);
    for (;;) {
        const auto now = monotonic_time::clock::now();
        if (this->level_of(request, now) == crash_level::held) {
            this->highest_level = crash_level::held;
            co_return rejected_locally{.kind = error_kind::request_held, .retry_after = {}};
        }
        const auto chosen = this->select_target(request);
        if (const auto without = event_without_target(chosen)) {
            co_return *without;
        }
        const auto& to = std::get<target>(chosen);
        if (suspects.try_start(*request.digest, to.id, now)) {
            const sending_alone own{suspects, *request.digest, *this->attempts};
            co_return co_await this->send_or_forward(request, to);
        }
        if (this->cancelled) {
            co_return caller_left{};
        }
        if (now >= until) {
            co_return rejected_locally{.kind = error_kind::request_suspected,
                                       .retry_after = refused_retry_delay};
        }
        co_await this->state.cluster_changed.wait(now + alone_poll_interval);
    }
}

/// Whether the request was suspected at any attempt, or is now. Then it is not sent again.
bool request_runner::is_suspected(const caller_request& request) const
{
    return this->highest_level != crash_level::none ||
           this->level_of(request, monotonic_time::clock::now()) != crash_level::none;
}

/// Records whether the server answered or ended during the send.
void request_runner::record_evidence(const caller_request& request, const exchange_result& result,
                                     const target& to, monotonic_time sent_at)
{
    const auto now = monotonic_time::clock::now();
    const auto server = to.process();
    auto& suspects = this->state.suspects;
    const bool answered = result.outcome == exchange_outcome::answered;
    if (answered || result.outcome == exchange_outcome::not_run) {
        suspects.on_alive(server, now);
    }
    if (!request.digest) {
        return;
    }
    if (answered && !is_server_error(result.answer)) {
        suspects.on_answered(*request.digest, now);
    }
    else if (result.outcome == exchange_outcome::lost && result.closed_by_server) {
        const auto* record = this->state.cluster.servers().find_lifetime(server);
        const bool planned = record != nullptr && (record->entry.leaving || record->said_leaving);
        if (!planned) {
            suspects.on_lost({.digest = *request.digest,
                              .server = server,
                              .failure_domain = to.failure_domain,
                              .sender = this->state.settings.name,
                              .sent_at = sent_at},
                             now);
        }
    }
    this->state.log_crash_changes();
}

asio::awaitable<attempt_event> request_runner::send(const caller_request& request, target to)
{
    auto& load_tracker = this->state.load_tracker;
    this->last_target = to;
    load_tracker.on_sent(to.id, monotonic_time::clock::now());
    this->state.rate_limits.on_sent(to.id, monotonic_time::clock::now());
    const auto connect_until =
        std::min(this->deadline, monotonic_time::clock::now() + connect_timeout);
    auto connection = co_await this->state.server_connections.try_take(to.address, connect_until,
                                                                       request.head.request_id);
    const auto now = monotonic_time::clock::now();
    if (connection && !connection->reused) {
        this->state.record_server_connected();
    }
    if (!connection) {
        load_tracker.on_finished(to.id, send_outcome::unreachable, {}, std::nullopt, now);
        this->state.record_server_unreachable(to.id);
        this->log_unreachable(request, to);
        co_return not_sent{.kind = error_kind::server_unreachable};
    }
    const auto time_left = std::chrono::floor<milliseconds>(this->deadline - now);
    if (this->cancelled || time_left < min_time_left) {
        load_tracker.on_finished(to.id, send_outcome::cancelled, {}, std::nullopt, now);
        co_return this->cancelled ? attempt_event{caller_left{}} : attempt_event{deadline_passed{}};
    }
    const auto rest = this->state.rests.time_left(to.id, to.lifetime, now);
    if (rest > milliseconds{0} || !this->accepts_requests(to, now)) {
        load_tracker.on_finished(to.id, send_outcome::cancelled, {}, std::nullopt, now);
        this->state.server_connections.give_back(to.address, std::move(connection));
        if (rest > milliseconds{0}) {
            co_return rejected_locally{.kind = error_kind::server_resting, .retry_after = rest};
        }
        co_return route_resolved{route_location::none};
    }
    this->identity_refusal = this->identify_tenant(request);
    if (this->identity_refusal) {
        load_tracker.on_finished(to.id, send_outcome::cancelled, {}, std::nullopt, now);
        this->state.server_connections.give_back(to.address, std::move(connection));
        co_return rejected_locally{.kind = this->identity_refusal->kind, .retry_after = {}};
    }
    const auto message = std::make_shared<http_request>(make_upstream_message(request.message));
    if (!this->routes->tenants().empty() || !this->identified_by->tenants().empty()) {
        platform::encode_tenant(*message,
                                this->tenant != nullptr ? this->tenant->name : tenant_id{});
    }
    platform::encode_server_head(*message, to.id, time_left);
    if (!std::holds_alternative<no_action>(this->attempts->handle(sending{}, now))) {
        load_tracker.on_finished(to.id, send_outcome::cancelled, {}, std::nullopt, now);
        co_return deadline_passed{};
    }
    this->allowance.record(to.id);
    this->state.path.on_sent();
    const auto connected_at = connection->connected_at;
    const auto sent_at = time_with_suspension();
    const auto result =
        co_await this->exchange_on(this->state.server_connections, to.address,
                                   std::move(connection), message, request.head.request_id);
    this->state.path.on_finished();
    if (result.outcome == exchange_outcome::answered ||
        result.outcome == exchange_outcome::not_run) {
        this->state.server_processes.record_answer(to.address, connected_at, sent_at);
    }
    const auto latency = monotonic_time::clock::now() - now;
    if (result.outcome != exchange_outcome::answered || is_failure(result) || result.head.leaving) {
        this->log_send(request, to, result, latency);
    }
    if (result.head.leaving) {
        this->state.record_leaving({.server = to.id, .lifetime = to.lifetime}, "answer");
    }
    this->state.record_rest(to.process(), result.head, monotonic_time::clock::now());
    this->state.record_cold(to.process(), result.head, "answer");
    this->record_evidence(request, result, to, now);
    co_return this->handle_result(request, result, to, latency);
}

asio::awaitable<exchange_result> request_runner::exchange_on(
    connection_pool& pool, const std::string& address, std::unique_ptr<upstream_connection> taken,
    std::shared_ptr<const http_request> message, const std::string& request_id)
{
    this->upstream = std::move(taken);
    const auto connection = this->upstream;
    const bool to_server = &pool == &this->state.server_connections;
    if (to_server && may_repeat(this->route->kind)) {
        this->state.repeatable_exchanges.insert(connection);
    }
    auto result = co_await exchange(this->upstream, std::move(message), request_id, this->deadline,
                                    this->state.answer_bytes);
    this->state.repeatable_exchanges.erase(connection);
    if (this->upstream->stream.socket().is_open()) {
        this->upstream->idle_until =
            monotonic_time::clock::now() +
            std::max(result.head.idle_time.value_or(seconds{3}) - seconds{1}, milliseconds{0});
        pool.give_back(address, std::make_unique<upstream_connection>(std::move(*this->upstream)));
    }
    this->upstream.reset();
    co_return result;
}

/// Passes the request to the first of the peers that takes it. Another peer is tried only if it is
/// certain that the request did not run.
asio::awaitable<attempt_event> request_runner::forward(const caller_request& request, target to)
{
    if (!this->allowance.allows_another()) {
        co_return rejected_locally{.kind = error_kind::attempts_exhausted,
                                   .retry_after = refused_retry_delay};
    }
    this->last_target = to;
    bool passed_on = false;
    auto refused_as = error_kind::no_server_path;
    const auto connect_until =
        std::min(this->deadline, monotonic_time::clock::now() + peers_connect_timeout);
    for (const auto& name : to.peers) {
        const auto* host = this->state.cluster.find_host(name);
        if (host == nullptr || monotonic_time::clock::now() >= connect_until) {
            continue;
        }
        const auto address = host->peer_address;
        auto connection = co_await this->state.peer_connections.try_take(address, connect_until,
                                                                         request.head.request_id);
        const auto now = monotonic_time::clock::now();
        if (!connection) {
            this->state.peers.on_failed(name, now);
            this->log_forward(request, to, name, "no_connection");
            continue;
        }
        const auto time_left = std::chrono::floor<milliseconds>(this->deadline - now);
        if (this->cancelled || time_left < min_time_left) {
            co_return this->cancelled ? attempt_event{caller_left{}}
                                      : attempt_event{deadline_passed{}};
        }
        if (!passed_on &&
            !std::holds_alternative<no_action>(this->attempts->handle(sending{}, now))) {
            co_return deadline_passed{};
        }
        passed_on = true;
        // The peer may know a newer owner.
        const bool chooses_server = this->service->divided_by_key || to.hops_left > 0;
        const forwarding_head head{.from = this->state.settings.name,
                                   .hops_left = to.hops_left,
                                   .server = chooses_server ? backend_server_id{} : to.id,
                                   .digest = request.digest,
                                   .counted = this->counted
                                                  ? counted_proof(this->state.secret.bytes,
                                                                  this->state.settings.name,
                                                                  request.head.request_id)
                                                  : std::string{},
                                   .service = this->service->name,
                                   .configuration = this->routes->configuration().version};
        const auto message =
            std::make_shared<http_request>(encode_forwarded(request, head, time_left));
        this->state.peers.on_sent(name, now);
        auto result =
            co_await this->exchange_on(this->state.peer_connections, address, std::move(connection),
                                       message, request.head.request_id);
        const auto ended_at = monotonic_time::clock::now();
        const bool answered = result.outcome == exchange_outcome::answered ||
                              result.outcome == exchange_outcome::not_run;
        this->state.peers.on_finished(name, answered, ended_at);
        if (result.outcome == exchange_outcome::lost) {
            this->state.peers.on_failed(name, ended_at);
        }
        const auto answer_head = take_forwarded_answer_head(result.answer);
        this->log_forward(request, to, name,
                          answer_head.refusal ? name_of(answer_head.refusal->kind)
                                              : name_of(result.outcome));
        if (answer_head.refusal && is_refused_by_host(answer_head.refusal->kind)) {
            this->state.peers.on_failed(name, ended_at);
            continue;
        }
        if (answer_head.refusal &&
            answer_head.refusal->kind == error_kind::configuration_mismatch) {
            refused_as = error_kind::configuration_mismatch;
            continue;
        }
        co_return this->handle_forwarded_answer(std::move(result), answer_head, to);
    }
    if (passed_on) {
        co_return refused_not_run{.kind = refused_as, .retry_after = refused_retry_delay};
    }
    co_return rejected_locally{.kind = error_kind::no_server_path,
                               .retry_after = refused_retry_delay};
}

/// Records the server to which a peer has sent the request. The peer sends it to one at most.
void request_runner::record_forwarded(const forwarded_answer_head& head)
{
    if (head.refusal && !may_have_been_sent(head.refusal->kind)) {
        return;
    }
    if (head.server.empty()) {
        this->allowance.record_unknown();
    }
    else {
        this->allowance.record(head.server);
    }
}

/// Forbids another send if it would go to more servers than the route allows, or if the request is
/// suspected of crashing servers.
void request_runner::limit_replay(attempt_event& event, const caller_request& request) const
{
    if (auto* lost = std::get_if<lost_after_send>(&event)) {
        const bool same_server =
            this->service->divided_by_key && this->allowance.allows(this->last_target.id);
        lost->replayable = lost->replayable && !this->is_suspected(request) &&
                           (same_server || this->allowance.allows_another());
    }
    if (auto* refused = std::get_if<refused_not_run>(&event)) {
        refused->replayable = refused->replayable && this->allowance.allows_another();
    }
}

/// Maps the answer of a peer to an attempt event.
attempt_event request_runner::handle_forwarded_answer(exchange_result result,
                                                      const forwarded_answer_head& head,
                                                      const target& to)
{
    const auto now = monotonic_time::clock::now();
    this->record_forwarded(head);
    if (head.refusal) {
        const auto kind = head.refusal->kind;
        if (kind == error_kind::server_at_limit) {
            this->state.rate_limits.hold_off(to.id, head.refusal->retry_after, now);
        }
        if (answer_of(kind).ran == run_state::not_run) {
            return refused_not_run{.kind = kind, .retry_after = head.refusal->retry_after};
        }
        if (kind == error_kind::deadline_exceeded) {
            return deadline_passed{};
        }
        return lost_after_send{
            .kind = kind == error_kind::unconfirmed_refusal ? kind : error_kind::outcome_unknown};
    }
    switch (result.outcome) {
    case exchange_outcome::answered:
        if (!head.server.empty()) {
            this->state.record_rate_limit(head.server, result.head, now);
            if (result.head.leaving) {
                this->state.record_leaving(head.server, "forwarded answer");
            }
        }
        return this->accept_answer(std::move(result.answer), result.head.claim);
    case exchange_outcome::not_run:
        return refused_not_run{.kind = error_kind::server_refused,
                               .retry_after = refused_retry_delay};
    case exchange_outcome::lost:
        return lost_after_send{};
    case exchange_outcome::late:
        return deadline_passed{};
    case exchange_outcome::cancelled:
        return caller_left{};
    }
    return lost_after_send{};
}

/// Keeps the answer for the caller if it may get it.
attempt_event request_runner::accept_answer(http_response received, execution_claim claim)
{
    struct visitor {
        request_runner& runner;
        http_response& received;

        attempt_event operator()(const relay_answer&) const
        {
            this->runner.answer = std::move(this->received);
            return answer_ended{};
        }
        attempt_event operator()(const retry_or_relay&) const
        {
            this->runner.server_error = std::move(this->received);
            return lost_after_send{};
        }
        attempt_event operator()(const replace_answer& one) const
        {
            return lost_after_send{.kind = one.kind};
        }
    };
    const auto handling =
        handle_answer(received.result_int(), claim, may_repeat(this->route->kind));
    return std::visit(visitor{.runner = *this, .received = received}, handling);
}

/// Updates the tracked load of the server and maps the exchange result to an attempt event.
attempt_event request_runner::handle_result(const caller_request& request,
                                            const exchange_result& result, const target& to,
                                            nanoseconds latency)
{
    const auto now = monotonic_time::clock::now();
    const auto record = [&](send_outcome ending) {
        this->state.load_tracker.on_finished(to.id, ending, latency, result.head.load, now);
    };
    if (result.outcome == exchange_outcome::answered ||
        result.outcome == exchange_outcome::not_run) {
        this->state.record_server_answer();
        this->state.record_rate_limit(to.id, result.head, now);
    }
    switch (result.outcome) {
    case exchange_outcome::answered:
        record(is_failure(result) ? send_outcome::failed : send_outcome::answered);
        return this->accept_answer(result.answer, result.head.claim);
    case exchange_outcome::not_run: {
        record(send_outcome::shed);
        const bool other_server =
            result.answer.result_int() == static_cast<unsigned>(http::status::misdirected_request);
        if (other_server && this->service->divided_by_key) {
            this->state.refused.on_refused(this->service->name, *request.head.key, to.fence, now);
        }
        return refused_not_run{
            .kind = other_server ? error_kind::stale_route : error_kind::server_refused,
            .retry_after = std::max(refused_retry_delay,
                                    this->state.rests.time_left(to.id, to.lifetime, now))};
    }
    case exchange_outcome::lost:
        record(send_outcome::failed);
        return lost_after_send{};
    case exchange_outcome::late:
        record(send_outcome::late);
        return deadline_passed{};
    case exchange_outcome::cancelled:
        record(send_outcome::cancelled);
        // Without the caller, the connection was reset because the path to the servers was lost.
        return this->cancelled ? attempt_event{caller_left{}} : attempt_event{lost_after_send{}};
    }
    return lost_after_send{};
}

/// Adds up to 50 % of `time` at random to spread out retrying callers.
milliseconds request_runner::add_jitter(milliseconds time)
{
    if (time <= milliseconds{0}) {
        return time;
    }
    const auto spread = static_cast<std::uint64_t>(time.count() / 2 + 1);
    const auto more = next_random(this->state.random_state) % spread;
    return time + milliseconds{static_cast<std::int64_t>(more)};
}

void request_runner::log_forward(const caller_request& request, const target& to,
                                 const host_id& peer, std::string_view ending) const
{
    log_event(log_level::info, "forward",
              {{"id", request.head.request_id},
               {"peer", peer.value},
               {"server", to.id.value},
               {"reason", to.forwarded_for},
               {"ending", std::string{ending}}});
}

/// Logs that no connection to the server could be made.
void request_runner::log_unreachable(const caller_request& request, const target& to) const
{
    log_event(log_level::info, "send",
              {{"id", request.head.request_id},
               {"server", to.id.value},
               {"lifetime", std::to_string(to.lifetime)},
               {"address", to.address},
               {"fence", std::to_string(to.fence)},
               {"cold", to.cold ? "true" : "false"},
               {"ending", "unreachable"}});
}

/// Logs an attempt that failed, returned a failure or was answered by a leaving server.
void request_runner::log_send(const caller_request& request, const target& to,
                              const exchange_result& result, nanoseconds latency) const
{
    const auto now = monotonic_time::clock::now();
    const bool answered =
        result.outcome == exchange_outcome::answered || result.outcome == exchange_outcome::not_run;
    const auto& view = this->state.load_tracker.view(to.id);
    const auto age = view.report ? now - view.reported_at : monotonic_time::duration{};
    const auto sent_ago = std::chrono::duration_cast<milliseconds>(latency);
    log_event(
        log_level::info, "send",
        {{"id", request.head.request_id},
         {"server", to.id.value},
         {"lifetime", std::to_string(to.lifetime)},
         {"address", to.address},
         {"fence", std::to_string(to.fence)},
         {"cold", to.cold ? "true" : "false"},
         {"ending", name_of(result.outcome)},
         {"detail", answered ? std::to_string(result.answer.result_int()) : result.detail},
         {"sent_ms_ago", std::to_string(sent_ago.count())},
         {"leaving", result.head.leaving ? "true" : "false"},
         {"rest_ms", result.head.rest ? std::to_string(result.head.rest->count()) : ""},
         {"running", view.report ? std::to_string(view.report->running) : ""},
         {"waiting", view.report ? std::to_string(view.report->waiting) : ""},
         {"report_age_ms", std::to_string(std::chrono::duration_cast<milliseconds>(age).count())}});
}

void request_runner::record_outcome(const caller_request& request,
                                    const request_outcome& outcome) const
{
    const auto duration = monotonic_time::clock::now() - request.arrival;
    const class_id request_class{this->service != nullptr ? this->service->name.value : "none"};
    if (const auto* refusal = std::get_if<host_refusal>(&outcome)) {
        this->state.requests.record({}, request_class, refusal->kind, duration);
    }
    else if (const auto* passed = std::get_if<http_response>(&outcome)) {
        this->state.requests.record({}, request_class, passed->result_int(), duration);
    }
    else {
        this->state.requests.record({}, request_class, error_kind::caller_gone, duration);
    }
}

void request_runner::log_outcome(const caller_request& request,
                                 const request_outcome& outcome) const
{
    const auto duration = monotonic_time::clock::now() - request.arrival;
    const auto* table =
        this->service != nullptr ? this->state.cluster.keys(this->service->name) : nullptr;
    const auto limit = this->state.rate_limits.rate_of(this->last_target.id);
    log_event(log_level::info, "request",
              {{"id", request.head.request_id},
               {"outcome", outcome_text(outcome)},
               {"from", request.forwarded ? request.forwarded->from.value : ""},
               {"route", this->route != nullptr ? this->route->name : ""},
               {"service", this->service != nullptr ? this->service->name.value : ""},
               {"tenant", this->tenant != nullptr ? this->tenant->name.value : ""},
               {"key", request.head.key ? std::to_string(*request.head.key) : ""},
               {"configuration",
                this->routes ? std::to_string(this->routes->configuration().version) : ""},
               {"next_fence", table != nullptr ? std::to_string(table->next_fence) : ""},
               {"server", this->last_target.id.value},
               {"fence", std::to_string(this->last_target.fence)},
               {"server_limit", limit ? std::to_string(*limit) : ""},
               {"digest", this->highest_level != crash_level::none ? to_text(*request.digest) : ""},
               {"crash_level", std::string{name_of(this->highest_level)}},
               {"sends", this->attempts ? std::to_string(this->attempts->sends()) : "0"},
               {"ms", std::to_string(std::chrono::duration_cast<milliseconds>(duration).count())}});
}

} // namespace figreach::direct
