#include "figreach/coordinator.h"

#include <algorithm>
#include <utility>

namespace figreach {

namespace {

constexpr std::size_t most_open_grants = 16;

milliseconds whole_milliseconds(monotonic_time::duration time)
{
    return std::max(milliseconds{0}, std::chrono::floor<milliseconds>(time));
}

} // namespace

coordinator::coordinator(host_id self_, ownership_settings settings_, monotonic_time took_over_at_)
    : self{std::move(self_)},
      settings{settings_},
      took_over_at{took_over_at_},
      alive_at{took_over_at_}
{
}

std::optional<grant> coordinator::next_grant(const coordinated_server& what, monotonic_time now)
{
    this->note_departures(what, now);
    const bool differs = this->own_term != 0 && what.slices != this->last_slices;
    if (now >= what.authority_until || (now < this->next_due && !differs)) {
        return std::nullopt;
    }
    this->next_due = now + this->settings.grant_interval;
    if (this->own_term == 0) {
        return this->ask_for_term();
    }
    const auto left = whole_milliseconds(what.authority_until - now);
    const bool first = this->answered == 0;
    const auto duration = first ? milliseconds{0} : std::min(this->settings.grant_duration, left);
    const auto ends_at = first ? now : this->answered_at + duration;
    this->sent[++this->sequence] = {.term = this->own_term, .ends_at = ends_at};
    this->grants_end = std::max(this->grants_end, ends_at);
    this->last_slices = what.slices;
    while (this->sent.size() > most_open_grants) {
        this->sent.erase(this->sent.begin());
    }
    return grant{.coordinator = this->self,
                 .sequence = this->sequence,
                 .term = this->own_term,
                 .after = this->answered,
                 .duration = duration,
                 .slices = what.slices};
}

grant coordinator::ask_for_term()
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
    const auto asked = found->second;
    this->alive_at = now;
    this->latest = *answer;
    if (this->own_term == 0) {
        this->own_term = answer->term + 1;
        this->first_in_flight = answer->in_flight;
        this->next_due = now;
        return;
    }
    this->first_in_flight = std::min(this->first_in_flight, answer->in_flight);
    if (!answer->accepted && answer->term >= this->own_term) {
        // Another coordinator was there, or the answer to an older grant is late.
        const bool outranked = answer->term > this->own_term;
        this->own_term = outranked ? answer->term + 1 : this->own_term;
        this->answered = outranked ? 0 : this->answered;
        this->next_due = outranked ? now : this->next_due;
        return;
    }
    const bool current = answer->accepted && asked.term == this->own_term;
    if (!current || sequence_ <= this->answered) {
        return;
    }
    this->next_due = this->answered == 0 ? now : this->next_due;
    this->answered = sequence_;
    this->answered_at = now;
    this->accepted_until = asked.ends_at;
}

void coordinator::on_idle(const std::vector<leaving_slice>& slices)
{
    for (const auto& slice : slices) {
        const auto found = this->departures.find(slice);
        if (found != this->departures.end()) {
            found->second.idle = true;
        }
    }
}

bool coordinator::stopped(const leaving_slice& slice, const coordinated_server& what,
                          monotonic_time now) const
{
    const auto found = this->departures.find(slice);
    if (found == this->departures.end()) {
        return false;
    }
    if (!this->settings.wait_out_grants) {
        return true;
    }
    const auto& one = found->second;
    if (!what.checks_fences) {
        return this->requests_ended(one, what, now);
    }
    const bool revoked = this->answered >= one.left_out_from;
    const auto earlier_end = this->took_over_at + this->settings.authority;
    const auto last_end = std::max(one.grants_end, earlier_end);
    return revoked || now >= last_end + this->settings.drift_margin;
}

bool coordinator::requests_ended(const departure& one, const coordinated_server& what,
                                 monotonic_time now) const
{
    const auto wait = what.longest_deadline + this->settings.drift_margin;
    const bool all_are_ours = now >= this->took_over_at + this->settings.authority + wait;
    return (one.idle && all_are_ours) || now >= one.stopped_sending_at + wait;
}

monotonic_time coordinator::may_send_until(const coordinated_server& what) const
{
    if (!what.checks_fences) {
        return what.authority_until;
    }
    return std::min(what.authority_until, this->accepted_until);
}

server_condition coordinator::condition(monotonic_time now) const
{
    if (now >= this->alive_at + this->settings.lost_after) {
        return server_condition::lost;
    }
    if (this->latest.leaving) {
        return server_condition::leaving;
    }
    return this->latest.cold ? server_condition::cold : server_condition::serving;
}

const grant_answer& coordinator::last_answer() const
{
    return this->latest;
}

std::uint32_t coordinator::in_flight_elsewhere(const coordinated_server& what,
                                               monotonic_time now) const
{
    const bool may_run = now < this->took_over_at + what.longest_deadline;
    return may_run ? this->first_in_flight : 0;
}

std::uint64_t coordinator::term() const
{
    return this->own_term;
}

void coordinator::note_departures(const coordinated_server& what, monotonic_time now)
{
    std::erase_if(this->departures, [&what](const auto& item) {
        return std::ranges::find(what.leaving, item.first) == what.leaving.end();
    });
    for (const auto& slice : what.leaving) {
        const auto stopped_at = std::max(now, this->took_over_at + this->settings.authority);
        this->departures.try_emplace(slice, departure{.left_out_from = this->sequence + 1,
                                                      .grants_end = this->grants_end,
                                                      .stopped_sending_at = stopped_at});
    }
}

} // namespace figreach
