// Selection of the backend server or the host that a request is sent to.

#include <algorithm>
#include <utility>

#include "figreach/direct/admission.h"
#include "figreach/direct/peer_choice.h"
#include "figreach/direct/placement/server_sample.h"
#include "figreach/direct/runtime/request_runner.h"
#include "retry_delays.h"

namespace figreach::direct {

namespace {

/// Peers may be cut off from the servers as well, of which this host learns only by trying.
constexpr std::size_t max_forward_tries = 4;
/// A leaving owner still receives requests for its keys during this percentage of the leaving
/// limit.
constexpr std::int64_t leaving_percent = 40;
constexpr std::int64_t whole_percent = 100;
/// Below 100 because connections that are still closing also count at the server.
constexpr std::uint64_t used_connections_percent = 80;

} // namespace

/// The hosts that send suspected requests, up to this one; empty if this host sends. All of these
/// requests go to one host, so that no two of them meet at a server.
std::vector<host_id> request_runner::suspect_senders(const caller_request& request) const
{
    if (request.forwarded) {
        return {};
    }
    return this->usable_senders(order_helpers("crash_suspects", this->state.cluster), true);
}

request_runner::choice request_runner::select_target(const caller_request& request)
{
    return this->service->divided_by_key ? this->select_owner(request)
                                         : this->select_any_server(request);
}

request_runner::target request_runner::make_target(const server_record& record) const
{
    return {.id = record.entry.id,
            .address = record.entry.address,
            .lifetime = record.entry.lifetime,
            .failure_domain = record.entry.failure_domain,
            .slots = record.entry.slots,
            .cold = is_cold(record, monotonic_time::clock::now())};
}

request_runner::choice request_runner::select_owner(const caller_request& request)
{
    const auto* table = this->state.cluster.keys(this->service->name);
    if (table == nullptr) {
        return wait_for_change{};
    }
    const auto& range = range_of(*table, *request.head.key);
    const auto* record = this->state.cluster.servers().find_lifetime(
        {.server = range.owner, .lifetime = range.owner_lifetime});
    const auto now = monotonic_time::clock::now();
    if (record == nullptr || range.moving || !this->accepts_requests(*record, now)) {
        return wait_for_change{};
    }
    if (this->state.refused.must_wait(this->service->name, *request.head.key, range.fence, now)) {
        return wait_for_change{};
    }
    if (!this->allowance.allows(range.owner)) {
        return host_refusal{.kind = error_kind::attempts_exhausted,
                            .retry_after = refused_retry_delay};
    }
    auto out = this->make_target(*record);
    out.fence = range.fence;
    auto admitted = this->admit(request, std::move(out));
    auto* refusal = std::get_if<host_refusal>(&admitted);
    if (refusal != nullptr && refusal->kind == error_kind::server_at_limit) {
        refusal->retry_after = this->state.rate_limits.next_return(range.owner, now);
    }
    return admitted;
}

/// Whether requests may be sent to the server now: it is not leaving, nor is its failure domain out
/// of service. A leaving owner serves its keys for a while.
bool request_runner::accepts_requests(const server_record& record, monotonic_time now) const
{
    if (!this->service->divided_by_key) {
        return this->state.cluster.takes_new_work(record);
    }
    const auto leaving_limit = this->state.settings.leaving_limit * leaving_percent / whole_percent;
    const bool left = record.leaving_since && now >= *record.leaving_since + leaving_limit;
    return !left && !this->state.cluster.is_out(record.entry.failure_domain);
}

/// As above, for a server that was selected some time ago.
bool request_runner::accepts_requests(const target& to, monotonic_time now) const
{
    const auto* record = this->state.cluster.servers().find_lifetime(to.process());
    return record != nullptr && this->accepts_requests(*record, now);
}

/// Picks the cheaper of two random servers that accept new work (power of two choices). Only if
/// fewer than two of a few drawn ones can take the request are all of them checked. If this host
/// can connect to none of them, a peer picks one.
request_runner::choice request_runner::select_any_server(const caller_request& request)
{
    const auto records = this->state.cluster.servers_for_new_work(this->service->name);
    const auto now = monotonic_time::clock::now();
    unavailable_servers unavailable{
        .refusal = {.kind = error_kind::no_owner, .retry_after = no_owner_retry_delay}};
    const auto cost = [&](std::size_t index) {
        return this->cost_of(request, *records[index], unavailable, now);
    };
    const auto drawn = draw_cheaper_of_two(records.size(), this->state.random_state, cost);
    if (drawn) {
        auto admitted = this->admit(request, this->make_target(*records[*drawn]));
        if (!std::holds_alternative<host_refusal>(admitted)) {
            return admitted;
        }
    }
    return this->select_of_all(request, records, unavailable, now);
}

/// As select_any_server(), comparing two of all servers that can take the request.
request_runner::choice
request_runner::select_of_all(const caller_request& request,
                              const std::vector<const server_record*>& records,
                              unavailable_servers& unavailable, monotonic_time now)
{
    std::vector<const server_record*> candidates;
    std::vector<double> costs;
    for (const auto* record : records) {
        if (const auto cost = this->cost_of(request, *record, unavailable, now)) {
            candidates.push_back(record);
            costs.push_back(*cost);
        }
    }
    while (const auto chosen = cheaper_of_two(costs, this->state.random_state)) {
        auto admitted = this->admit(request, this->make_target(*candidates[*chosen]));
        if (!std::holds_alternative<host_refusal>(admitted)) {
            return admitted;
        }
        unavailable.refusal = std::get<host_refusal>(admitted);
        candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(*chosen));
        costs.erase(costs.begin() + static_cast<std::ptrdiff_t>(*chosen));
    }
    return unavailable.unreachable != nullptr
               ? this->pass_on(request, this->make_target(*unavailable.unreachable))
               : unavailable.refusal;
}

/// Cost of sending the request to a server. Empty if this host cannot or may not send there, which
/// is recorded.
std::optional<double> request_runner::cost_of(const caller_request& request,
                                              const server_record& record,
                                              unavailable_servers& unavailable, monotonic_time now)
{
    const auto& id = record.entry.id;
    const bool is_other =
        request.forwarded && !request.forwarded->server.empty() && request.forwarded->server != id;
    if (is_other || this->allowance.was_sent_to(id) || !this->allowance.allows(id)) {
        return std::nullopt;
    }
    if (!this->can_reach(id, record.entry.address)) {
        if (this->is_reached_by_others(id)) {
            unavailable.unreachable = &record;
        }
        return std::nullopt;
    }
    // Which host sends to a limited server is decided only for the one that is chosen.
    auto refused = this->state.rate_limits.rate_of(id)
                       ? std::nullopt
                       : this->refuse_load(id, record.entry.lifetime, record.entry.slots,
                                           is_cold(record, now));
    const auto held_off = this->state.rate_limits.held_off_for(id, now);
    if (held_off > milliseconds{0}) {
        refused = host_refusal{.kind = error_kind::server_at_limit, .retry_after = held_off};
    }
    if (refused) {
        // Of several servers that rest, the first that takes requests again.
        const auto& known = unavailable.refusal;
        const bool is_later = refused->kind == error_kind::server_resting &&
                              known.kind == error_kind::server_resting &&
                              refused->retry_after > known.retry_after;
        unavailable.refusal = is_later ? known : *refused;
        return std::nullopt;
    }
    return this->state.load_tracker.cost(id, record.entry.slots, now);
}

/// This host's share of the connections that a backend server accepts from all hosts.
std::uint32_t request_runner::max_connections_per_server() const
{
    const auto hosts = std::max<std::size_t>(this->state.cluster.host_count(), 1);
    const auto shared = std::uint64_t{this->service->most_connections} * used_connections_percent /
                        static_cast<std::uint64_t>(whole_percent);
    return static_cast<std::uint32_t>(std::max<std::uint64_t>(shared / hosts, 1));
}

/// Whether this host may be able to connect to the server.
bool request_runner::can_reach(const backend_server_id& id, const std::string& address) const
{
    const auto now = monotonic_time::clock::now();
    const auto& path = this->state.path;
    const bool may_connect =
        !path.connects_fail() && this->state.load_tracker.is_reachable(id, now);
    return !path.is_lost() && (may_connect || this->state.server_connections.has_idle(address));
}

/// The hosts that send to a server that limits its rate, up to this one if it reaches the server.
/// Empty if this host sends.
std::vector<host_id> request_runner::preferred_senders(const caller_request& request,
                                                       const target& to, bool reachable) const
{
    if (request.forwarded && request.forwarded->hops_left == 0) {
        return {};
    }
    return this->usable_senders(order_senders(to.id, to.failure_domain, this->state.cluster),
                                reachable);
}

/// The first usable hosts of `ordered`, up to this one if it can send.
std::vector<host_id> request_runner::usable_senders(std::vector<host_id> ordered,
                                                    bool can_send) const
{
    std::vector<host_id> out;
    const auto now = monotonic_time::clock::now();
    for (auto& name : ordered) {
        const bool is_self = name == this->state.settings.name;
        if ((is_self && can_send) || out.size() == max_forward_tries) {
            return out;
        }
        if (!is_self && this->state.peers.is_usable(name, now)) {
            out.push_back(std::move(name));
        }
    }
    return out;
}

/// The hosts that may send for this one, those first that have done so lately.
std::vector<host_id> request_runner::helpers(const caller_request& request) const
{
    const auto now = monotonic_time::clock::now();
    const auto& peers = this->state.peers;
    auto out = order_helpers(request.head.request_id, this->state.cluster);
    std::erase_if(out, [&](const host_id& name) {
        return name == this->state.settings.name || !peers.is_usable(name, now);
    });
    std::stable_partition(out.begin(), out.end(),
                          [&](const host_id& name) { return peers.is_proven(name, now); });
    out.resize(std::min(out.size(), max_forward_tries));
    return out;
}

request_runner::choice request_runner::admit(const caller_request& request, target to)
{
    const bool reachable = this->can_reach(to.id, to.address);
    if (!reachable && !this->is_reached_by_others(to.id)) {
        return host_refusal{.kind = error_kind::no_owner, .retry_after = no_owner_retry_delay};
    }
    if (this->state.rate_limits.rate_of(to.id)) {
        return this->admit_limited(request, std::move(to), reachable);
    }
    return reachable ? this->admit_load(std::move(to)) : this->pass_on(request, std::move(to));
}

/// Whether another host can probably connect to a server to which this host cannot.
bool request_runner::is_reached_by_others(const backend_server_id& id) const
{
    const auto& path = this->state.path;
    return path.is_lost() || path.connects_fail() ||
           this->state.load_tracker.answered_lately(id, monotonic_time::clock::now());
}

/// The refusal if neither this host nor a peer can send.
host_refusal request_runner::refuse_without_path() const
{
    const auto kind =
        this->state.path.is_lost() ? error_kind::no_server_path : error_kind::no_owner;
    return {.kind = kind, .retry_after = no_owner_retry_delay};
}

/// Lets another host send, since this one cannot connect to the server.
request_runner::choice request_runner::pass_on(const caller_request& request, target to)
{
    if (!request.forwarded) {
        to.peers = this->helpers(request);
        to.hops_left = 1;
        to.forwarded_for = this->state.path.is_lost()         ? "no_server_path"
                           : this->state.path.connects_fail() ? "no_new_connections"
                                                              : "server_unreachable";
    }
    if (to.peers.empty()) {
        return this->refuse_without_path();
    }
    return to;
}

/// Lets one host send all requests to a server that limits its rate, so that the limit is kept
/// without dividing it.
request_runner::choice request_runner::admit_limited(const caller_request& request, target to,
                                                     bool reachable)
{
    const auto now = monotonic_time::clock::now();
    const auto& limits = this->state.rate_limits;
    to.peers = this->preferred_senders(request, to, reachable);
    to.forwarded_for = "rate_limit";
    if (to.peers.empty() && !reachable) {
        return this->refuse_without_path();
    }
    const auto delay =
        to.peers.empty() ? limits.delay(to.id, now) : limits.held_off_for(to.id, now);
    if (delay > milliseconds{0}) {
        return host_refusal{.kind = error_kind::server_at_limit, .retry_after = delay};
    }
    return to.peers.empty() ? this->admit_load(std::move(to)) : to;
}

/// Refuses a request while the server wants none from this host, that it cannot finish in time,
/// that exceeds this host's share of connections, or that exceeds the rate limit of a cold server.
request_runner::choice request_runner::admit_load(target to)
{
    if (const auto refused = this->refuse_load(to.id, to.lifetime, to.slots, to.cold)) {
        return *refused;
    }
    return to;
}

std::optional<host_refusal> request_runner::refuse_load(const backend_server_id& id,
                                                        std::uint64_t lifetime, std::uint32_t slots,
                                                        bool cold)
{
    const auto now = monotonic_time::clock::now();
    const auto rest = this->state.rests.time_left(id, lifetime, now);
    if (rest > milliseconds{0}) {
        return host_refusal{.kind = error_kind::server_resting, .retry_after = rest};
    }
    const auto& load_tracker = this->state.load_tracker;
    if (cold && this->service->cold_rate > 0.0) {
        const auto next = next_cold_send(id, load_tracker.view(id), this->service->cold_rate,
                                         this->state.settings.name, this->state.cluster.hosts());
        if (!next || now < *next) {
            return host_refusal{.kind = error_kind::server_cold,
                                .retry_after = refused_retry_delay};
        }
    }
    if (load_tracker.view(id).in_flight >= this->max_connections_per_server()) {
        return host_refusal{.kind = error_kind::overloaded, .retry_after = refused_retry_delay};
    }
    constexpr double draws = 1 << 20;
    const auto random = next_random(this->state.random_state) % static_cast<std::uint64_t>(draws);
    const admission_input input{.wait = load_tracker.expected_wait(id, slots, now),
                                .service_time = load_tracker.expected_service_time(id, now),
                                .time_left = std::chrono::floor<milliseconds>(this->deadline - now),
                                .queue_fill = load_tracker.queue_fill(id, slots, now),
                                .draw = static_cast<double>(random) / draws};
    if (const auto excess = excess_wait(input)) {
        return host_refusal{.kind = error_kind::overloaded, .retry_after = *excess};
    }
    return std::nullopt;
}

} // namespace figreach::direct
