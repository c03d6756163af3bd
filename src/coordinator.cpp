#include "figreach/coordinator.h"

#include <algorithm>
#include <utility>

namespace figreach {

namespace {

constexpr std::size_t max_pending_grants = 16;

milliseconds whole_milliseconds(monotonic_time::duration time)
{
    return std::max(milliseconds{0}, std::chrono::floor<milliseconds>(time));
}

} // namespace

coordinator::coordinator(host_id self_, ownership_settings settings_, monotonic_time took_over_at_)
    : self{std::move(self_)},
      settings{settings_},
      took_over_at{took_over_at_},
      last_answer_at{took_over_at_}
{
}

std::optional<grant> coordinator::next_grant(const coordinated_server& target, monotonic_time now)
{
    this->track_revocations(target, now);
    const bool differs = this->own_term != 0 && target.slices != this->last_slices;
    if (now >= target.authority_until || (now < this->next_due && !differs)) {
        return std::nullopt;
    }
    this->next_due = now + this->settings.grant_interval;
    if (this->own_term == 0) {
        return this->make_term_query();
    }
    const auto left = whole_milliseconds(target.authority_until - now);
    const bool first = this->last_accepted == 0;
    const auto duration = first ? milliseconds{0} : std::min(this->settings.grant_duration, left);
    const auto ends_at = first ? now : this->last_accepted_at + duration;
    this->sent[++this->sequence] = {.term = this->own_term, .ends_at = ends_at};
    this->grants_end = std::max(this->grants_end, ends_at);
    this->last_slices = target.slices;
    while (this->sent.size() > max_pending_grants) {
        this->sent.erase(this->sent.begin());
    }
    return grant{.coordinator = this->self,
                 .sequence = this->sequence,
                 .term = this->own_term,
                 .after = this->last_accepted,
                 .duration = duration,
                 .slices = target.slices};
}

grant coordinator::make_term_query()
{
    this->sent[++this->sequence] = {};
    return {.coordinator = this->self,
            .sequence = this->sequence,
            .term = 0,
            .after = 0,
            .duration = milliseconds{0},
            .slices = {}};
}

void coordinator::on_answer(std::uint64_t sequence_, const std::optional<grant_answer>& answer,
                            monotonic_time now)
{
    const auto found = this->sent.find(sequence_);
    if (!answer || found == this->sent.end()) {
        return;
    }
    const auto answered_grant = found->second;
    this->last_answer_at = now;
    this->latest_answer = *answer;
    if (this->own_term == 0) {
        this->own_term = answer->term + 1;
        this->initial_in_flight = answer->in_flight;
        this->next_due = now;
        return;
    }
    this->initial_in_flight = std::min(this->initial_in_flight, answer->in_flight);
    if (!answer->accepted && answer->term >= this->own_term) {
        // Another coordinator has a higher term, or this is a late answer to an older grant.
        const bool outranked = answer->term > this->own_term;
        this->own_term = outranked ? answer->term + 1 : this->own_term;
        this->last_accepted = outranked ? 0 : this->last_accepted;
        this->next_due = outranked ? now : this->next_due;
        return;
    }
    const bool current = answer->accepted && answered_grant.term == this->own_term;
    if (!current || sequence_ <= this->last_accepted) {
        return;
    }
    this->next_due = this->last_accepted == 0 ? now : this->next_due;
    this->last_accepted = sequence_;
    this->last_accepted_at = now;
    this->accepted_until = answered_grant.ends_at;
}

void coordinator::on_idle(const std::vector<leaving_slice>& slices)
{
    for (const auto& slice : slices) {
        const auto found = this->revocations.find(slice);
        if (found != this->revocations.end()) {
            found->second.idle = true;
        }
    }
}

bool coordinator::no_longer_served(const leaving_slice& slice, const coordinated_server& target,
                                   monotonic_time now) const
{
    const auto found = this->revocations.find(slice);
    if (found == this->revocations.end()) {
        return false;
    }
    if (!this->settings.wait_out_grants) {
        return true;
    }
    const auto& entry = found->second;
    if (!target.checks_fences) {
        return this->requests_ended(entry, target, now);
    }
    const bool revoked = this->last_accepted >= entry.revoked_from_sequence;
    const auto earlier_end = this->took_over_at + this->settings.authority;
    const auto last_end = std::max(entry.grants_end, earlier_end);
    return revoked || now >= last_end + this->settings.drift_margin;
}

bool coordinator::requests_ended(const revocation& entry, const coordinated_server& target,
                                 monotonic_time now) const
{
    const auto wait = target.longest_deadline + this->settings.drift_margin;
    const bool earlier_requests_ended = now >= this->took_over_at + this->settings.authority + wait;
    return (entry.idle && earlier_requests_ended) || now >= entry.stopped_sending_at + wait;
}

monotonic_time coordinator::may_send_until(const coordinated_server& target) const
{
    if (!target.checks_fences) {
        return target.authority_until;
    }
    return std::min(target.authority_until, this->accepted_until);
}

server_condition coordinator::condition(monotonic_time now) const
{
    if (now >= this->last_answer_at + this->settings.lost_after) {
        return server_condition::lost;
    }
    if (this->latest_answer.leaving) {
        return server_condition::leaving;
    }
    return this->latest_answer.cold ? server_condition::cold : server_condition::serving;
}

const grant_answer& coordinator::last_answer() const
{
    return this->latest_answer;
}

std::uint32_t coordinator::in_flight_elsewhere(const coordinated_server& target,
                                               monotonic_time now) const
{
    const bool may_run = now < this->took_over_at + target.longest_deadline;
    return may_run ? this->initial_in_flight : 0;
}

std::uint64_t coordinator::term() const
{
    return this->own_term;
}

void coordinator::track_revocations(const coordinated_server& target, monotonic_time now)
{
    std::erase_if(this->revocations, [&target](const auto& item) {
        return std::ranges::find(target.leaving, item.first) == target.leaving.end();
    });
    for (const auto& slice : target.leaving) {
        const auto stopped_sending_at =
            std::max(now, this->took_over_at + this->settings.authority);
        this->revocations.try_emplace(slice, revocation{.revoked_from_sequence = this->sequence + 1,
                                                        .grants_end = this->grants_end,
                                                        .stopped_sending_at = stopped_sending_at});
    }
}

} // namespace figreach
