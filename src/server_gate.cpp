#include "figreach/server_gate.h"

#include <algorithm>

#include "figreach/retry_budget.h"

namespace figreach {

namespace {

/// Latency assumed before the first answer.
constexpr milliseconds assumed_latency{10};

} // namespace

server_gate::server_gate(gate_settings settings_)
    : settings{settings_}, limiter{{.max = settings_.slots}}, random_state{settings_.seed}
{
}

gate_decisions server_gate::arrive(const gate_request& request, monotonic_time now)
{
    gate_decisions out;
    this->expire_waiting(out, now);
    this->start_waiting(out, now);
    if (request.deadline <= now) {
        out.emplace_back(this->refusal(request.id, error_kind::deadline_expired));
    }
    else if (!this->has_authority(now) || !this->current.takes_new_work) {
        out.emplace_back(this->refusal(request.id, error_kind::no_owner));
    }
    else if (this->queue.size() == 0 && this->may_start(now)) {
        this->start(request, out);
    }
    else {
        this->enqueue(request, out, now);
    }
    return out;
}

gate_decisions server_gate::finish(ticket id, gate_ending ending, nanoseconds latency,
                                   monotonic_time now)
{
    gate_decisions out;
    const auto found = this->started.find(id);
    if (found == this->started.end()) {
        return out;
    }
    auto& of_tenant = this->started_by_tenant[found->second];
    if (--of_tenant == 0) {
        this->started_by_tenant.erase(found->second);
    }
    this->started.erase(found);
    if (ending == gate_ending::answered || ending == gate_ending::late) {
        this->limiter.on_answer(latency, now);
    }
    if (ending == gate_ending::answered) {
        this->consecutive_refusals = 0;
    }
    if (ending == gate_ending::refused) {
        this->pause(now);
    }
    if (ending == gate_ending::failed || (ending == gate_ending::refused && this->is_cold())) {
        this->limiter.restart_cold(now);
    }
    this->expire_waiting(out, now);
    this->start_waiting(out, now);
    return out;
}

void server_gate::leave(ticket id)
{
    this->queue.remove(id);
}

gate_decisions server_gate::set_authority(const gate_authority& authority, monotonic_time now)
{
    gate_decisions out;
    if (authority.incarnation != this->current.incarnation) {
        this->note_incarnation(authority.incarnation, now);
    }
    this->limiter.set_cold_claim(authority.cold, now);
    this->current = authority;
    this->expire_waiting(out, now);
    this->start_waiting(out, now);
    return out;
}

gate_decisions server_gate::set_slots(std::uint32_t slots, monotonic_time now)
{
    gate_decisions out;
    this->settings.slots = slots;
    this->limiter.set_max(slots);
    this->start_waiting(out, now);
    return out;
}

void server_gate::note_incarnation(std::uint64_t seen, monotonic_time now)
{
    if (seen == this->incarnation) {
        return;
    }
    // A server seen for the first time is as likely to be warm as cold. Its own report that it is
    // cold is applied separately.
    const bool first_contact = this->incarnation == 0;
    this->incarnation = seen;
    this->limiter.restart_cold(now, first_contact ? this->settings.slots / 2 : 1);
}

gate_decisions server_gate::on_tick(monotonic_time now)
{
    gate_decisions out;
    this->expire_waiting(out, now);
    this->start_waiting(out, now);
    return out;
}

std::optional<monotonic_time> server_gate::next_tick() const
{
    auto out = this->queue.next_deadline();
    if (out && this->free_slots() > 0) {
        out = std::min(*out, this->paused_until);
    }
    if (out) {
        out = std::min(*out, this->current.until);
    }
    return out;
}

std::uint32_t server_gate::running() const
{
    return static_cast<std::uint32_t>(this->started.size());
}

std::size_t server_gate::waiting() const
{
    return this->queue.size();
}

std::uint32_t server_gate::limit() const
{
    return this->limiter.limit();
}

bool server_gate::is_cold() const
{
    return this->limiter.is_cold();
}

nanoseconds server_gate::recent_latency() const
{
    return this->limiter.recent_latency();
}

const gate_authority& server_gate::authority() const
{
    return this->current;
}

bool server_gate::has_authority(monotonic_time now) const
{
    return now < this->current.until;
}

std::uint32_t server_gate::free_slots() const
{
    const auto taken = this->running() + this->current.in_flight_elsewhere;
    const auto most = this->limiter.limit();
    return taken >= most ? 0 : most - taken;
}

bool server_gate::may_start(monotonic_time now) const
{
    return this->free_slots() > 0 && now >= this->paused_until && this->has_authority(now);
}

milliseconds server_gate::expected_wait(std::size_t ahead) const
{
    const auto seen = this->limiter.recent_latency();
    const auto each = seen.count() == 0 ? nanoseconds{assumed_latency} : seen;
    const auto rounds = static_cast<std::int64_t>(ahead + 1);
    const auto wait = each * rounds / std::max<std::int64_t>(this->limiter.limit(), 1);
    return std::chrono::ceil<milliseconds>(wait);
}

bool server_gate::wait_too_long(const gate_request& request, monotonic_time now) const
{
    const auto begin = std::max(now + this->expected_wait(this->queue.size()), this->paused_until);
    const auto end = begin + this->limiter.recent_latency();
    return end > request.deadline || begin > now + this->settings.max_wait;
}

std::size_t server_gate::held_by(const tenant_id& tenant) const
{
    const auto found = this->started_by_tenant.find(tenant);
    const auto started_count = found == this->started_by_tenant.end() ? 0U : found->second;
    return this->queue.size_of(tenant) + started_count;
}

bool server_gate::over_share(const gate_request& request) const
{
    const auto held = this->held_by(request.tenant);
    const auto all = this->queue.size() + this->started.size();
    const std::uint64_t weight = std::max(request.weight, 1U);
    const bool counted = this->queue.size_of(request.tenant) > 0;
    const auto all_weight = this->queue.waiting_weight() + (counted ? 0 : weight);
    return held < all && held * all_weight > all * weight;
}

std::optional<gate_request> server_gate::displaced_by(const gate_request& request) const
{
    auto candidate = this->queue.first_to_shed();
    if (!candidate || candidate->shed_order < request.shed_order) {
        return std::nullopt;
    }
    if (candidate->shed_order > request.shed_order) {
        return candidate;
    }
    // Within a class, the tenant that holds more requests per weight is displaced.
    const auto candidate_load = this->held_by(candidate->tenant) * std::max(request.weight, 1U);
    const auto own_load = (this->held_by(request.tenant) + 1) * std::max(candidate->weight, 1U);
    const bool exceeds_share = candidate->tenant != request.tenant && candidate_load > own_load;
    return exceeds_share ? candidate : std::nullopt;
}

void server_gate::start(const gate_request& request, gate_decisions& out)
{
    this->started.emplace(request.id, request.tenant);
    ++this->started_by_tenant[request.tenant];
    out.emplace_back(gate_start{request.id});
}

void server_gate::start_waiting(gate_decisions& out, monotonic_time now)
{
    while (this->queue.size() > 0 && this->may_start(now)) {
        this->start(this->queue.pop(), out);
    }
}

void server_gate::expire_waiting(gate_decisions& out, monotonic_time now)
{
    const bool lost = !this->has_authority(now) || !this->current.takes_new_work;
    const auto removed = this->queue.remove_if(
        [now, lost](const gate_request& one) { return lost || one.deadline <= now; });
    for (const auto& one : removed) {
        const bool late = one.deadline <= now;
        out.emplace_back(
            this->refusal(one.id, late ? error_kind::deadline_expired : error_kind::no_owner));
    }
}

void server_gate::enqueue(const gate_request& request, gate_decisions& out, monotonic_time now)
{
    const bool full = this->queue.size() >= this->settings.max_queue_length;
    if (full || this->wait_too_long(request, now)) {
        const auto default_kind = full ? error_kind::queue_full : error_kind::overloaded;
        const auto victim = this->displaced_by(request);
        if (!victim) {
            const auto kind = this->overload_kind(request, default_kind);
            out.emplace_back(this->refusal(request.id, kind));
            return;
        }
        this->queue.remove(victim->id);
        const bool exceeds_share = victim->shed_order == request.shed_order;
        const auto kind = exceeds_share ? error_kind::tenant_over_limit
                                        : this->overload_kind(*victim, default_kind);
        out.emplace_back(this->refusal(victim->id, kind));
    }
    this->queue.push(request);
    out.emplace_back(gate_wait{request.id});
}

void server_gate::pause(monotonic_time now)
{
    ++this->consecutive_refusals;
    const backoff_settings bounds{.first = this->settings.initial_pause,
                                  .longest = this->settings.max_pause};
    const auto random = next_random(this->random_state);
    this->paused_until = now + jittered_backoff(bounds, this->consecutive_refusals, random);
}

error_kind server_gate::overload_kind(const gate_request& request, error_kind default_kind) const
{
    if (this->over_share(request)) {
        return error_kind::tenant_over_limit;
    }
    return this->is_cold() ? error_kind::server_cold : default_kind;
}

gate_refuse server_gate::refusal(ticket id, error_kind kind)
{
    const auto drain = this->expected_wait(this->queue.size());
    const auto base = std::clamp(drain, this->settings.retry_after, this->settings.max_retry_after);
    const auto spread = static_cast<std::uint64_t>(base.count() / 2 + 1);
    const milliseconds jitter{next_random(this->random_state) % spread};
    return {.id = id, .kind = kind, .retry_after = base + jitter};
}

} // namespace figreach
