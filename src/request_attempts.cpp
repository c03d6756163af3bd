#include "figreach/request_attempts.h"

#include <algorithm>

namespace figreach {

request_attempts::request_attempts(attempt_settings settings_, attempt_facts facts_,
                                   retry_budget& budget_, std::uint64_t seed)
    : settings{settings_}, facts{facts_}, budget{budget_}, random_state{seed}
{
    if (!this->facts.forwarded) {
        this->budget.earn();
    }
}

attempt_action request_attempts::handle(const attempt_event& event, monotonic_time now)
{
    if (this->finished) {
        return no_action{};
    }
    return std::visit([this, now](const auto& one) { return this->on(one, now); }, event);
}

bool request_attempts::ended() const
{
    return this->finished;
}

bool request_attempts::may_run() const
{
    return this->byte_sent;
}

std::uint32_t request_attempts::sends() const
{
    return this->sent;
}

error_kind request_attempts::reported_kind(error_kind kind) const
{
    const bool is_untrue = this->may_have_run && answer_of(kind).ran == run_state::not_run;
    return is_untrue ? error_kind::outcome_unknown : kind;
}

attempt_action request_attempts::on(const route_resolved& event, monotonic_time now)
{
    if (now >= this->facts.deadline) {
        return this->fail(error_kind::deadline_expired, milliseconds{0});
    }
    if (event.where == route_location::local) {
        return send_to_server{};
    }
    if (this->facts.forwarded) {
        const bool nobody = event.where == route_location::none;
        return this->fail(nobody ? error_kind::no_owner : error_kind::not_coordinator,
                          this->settings.retry_after);
    }
    if (event.where == route_location::remote) {
        return forward_request{};
    }
    const auto left = this->settings.max_route_wait - this->total_route_wait;
    if (left <= milliseconds{0} || now + this->settings.route_poll >= this->facts.deadline) {
        return this->fail(error_kind::no_owner, this->settings.retry_after);
    }
    const auto delay = std::min(left, this->settings.route_poll);
    this->total_route_wait += delay;
    return look_up_route{delay};
}

attempt_action request_attempts::on(const rejected_locally& event, monotonic_time now)
{
    return this->retry_unsent_or_fail(event.kind, event.retry_after, now, retry_cost::budgeted);
}

attempt_action request_attempts::on(const not_sent& event, monotonic_time now)
{
    if (now >= this->facts.deadline) {
        return this->fail(error_kind::deadline_expired, milliseconds{0});
    }
    return this->retry_unsent_or_fail(event.kind, this->settings.retry_after, now,
                                      retry_cost::free);
}

attempt_action request_attempts::on(const sending&, monotonic_time now)
{
    if (now >= this->facts.deadline) {
        return this->fail(error_kind::deadline_expired, milliseconds{0});
    }
    this->byte_sent = true;
    ++this->sent;
    return no_action{};
}

attempt_action request_attempts::on(const refused_not_run& event, monotonic_time now)
{
    this->byte_sent = false;
    if (!event.replayable) {
        return this->fail(event.kind, event.retry_after);
    }
    return this->retry_or_fail(event.kind, event.retry_after, now);
}

attempt_action request_attempts::on(const lost_after_send& event, monotonic_time now)
{
    this->may_have_run = true;
    if (now >= this->facts.deadline) {
        return this->fail(error_kind::deadline_exceeded, milliseconds{0});
    }
    if (!this->facts.idempotent || !event.replayable) {
        return this->fail(event.kind, milliseconds{0});
    }
    return this->retry_or_fail(error_kind::outcome_unknown, milliseconds{0}, now);
}

attempt_action request_attempts::on(const answer_begun&, monotonic_time)
{
    this->answering = true;
    return no_action{};
}

attempt_action request_attempts::on(const answer_ended&, monotonic_time)
{
    this->finished = true;
    return conclude{.clean = true};
}

attempt_action request_attempts::on(const answer_truncated&, monotonic_time)
{
    this->finished = true;
    return conclude{.clean = false};
}

attempt_action request_attempts::on(const deadline_passed&, monotonic_time)
{
    if (this->answering) {
        this->finished = true;
        return conclude{.clean = false};
    }
    const bool unknown = this->byte_sent;
    return this->fail(unknown ? error_kind::deadline_exceeded : error_kind::deadline_expired,
                      milliseconds{0});
}

attempt_action request_attempts::on(const caller_left&, monotonic_time)
{
    this->finished = true;
    return conclude{.clean = false};
}

attempt_action request_attempts::fail(error_kind kind, milliseconds retry_after)
{
    this->finished = true;
    const auto reported = this->reported_kind(kind);
    return reply_with_error{.kind = reported,
                            .retry_after = reported == kind ? retry_after : milliseconds{0}};
}

attempt_action request_attempts::retry_unsent_or_fail(error_kind kind, milliseconds retry_after,
                                                      monotonic_time now, retry_cost cost)
{
    if (this->unsent_retries >= this->settings.max_unsent_retries) {
        return this->fail(kind, retry_after);
    }
    ++this->unsent_retries;
    return this->retry_or_fail(kind, retry_after, now, cost);
}

attempt_action request_attempts::retry_or_fail(error_kind kind, milliseconds retry_after,
                                               monotonic_time now, retry_cost cost)
{
    if (this->facts.forwarded || !this->is_retryable(kind) ||
        this->sent >= this->settings.max_sends || this->retries >= this->settings.max_sends) {
        return this->fail(kind, retry_after);
    }
    const auto random = next_random(this->random_state);
    const auto delay = jittered_backoff(this->settings.backoff, this->retries + 1, random);
    const bool affordable = cost == retry_cost::free || this->budget.spend();
    if (now + delay >= this->facts.deadline || !affordable) {
        return this->fail(kind, retry_after);
    }
    ++this->retries;
    return look_up_route{delay};
}

/// Whether another attempt can reach a different server or find a different state.
bool request_attempts::is_retryable(error_kind kind) const
{
    switch (kind) {
    case error_kind::stale_route:
    case error_kind::not_coordinator:
    case error_kind::no_owner:
    case error_kind::host_stopping:
    case error_kind::server_unreachable:
    case error_kind::no_server_path:
    case error_kind::outcome_unknown:
        return true;
    case error_kind::server_refused:
    case error_kind::server_cold:
    case error_kind::server_at_limit:
    case error_kind::server_resting:
    case error_kind::overloaded:
    case error_kind::queue_full:
        return !this->facts.divided_by_key;
    default:
        return false;
    }
}

} // namespace figreach
