#include "figreach/server_gate.h"

#include <algorithm>

namespace figreach {

server_gate::server_gate(gate_settings settings_) : settings{settings_} {}

gate_decisions server_gate::arrive(const gate_request& request, monotonic_time now)
{
    gate_decisions out;
    if (request.deadline <= now) {
        out.emplace_back(this->refusal(request.id, error_kind::deadline_expired));
        return out;
    }
    if (!this->has_authority(now) || !this->present.takes_new_work) {
        out.emplace_back(this->refusal(request.id, error_kind::no_owner));
        return out;
    }
    if (this->queue.empty() && this->free_slots() > 0) {
        ++this->started;
        out.emplace_back(gate_start{request.id});
        return out;
    }
    if (this->queue.size() >= this->settings.longest_queue) {
        out.emplace_back(this->refusal(request.id, error_kind::queue_full));
        return out;
    }
    this->queue.push_back(request);
    out.emplace_back(gate_wait{request.id});
    return out;
}

gate_decisions server_gate::finish(ticket, gate_ending, nanoseconds, monotonic_time now)
{
    gate_decisions out;
    --this->started;
    this->expire_waiting(out, now);
    this->start_waiting(out, now);
    return out;
}

void server_gate::leave(ticket id)
{
    std::erase_if(this->queue, [id](const gate_request& one) { return one.id == id; });
}

gate_decisions server_gate::set_authority(const gate_authority& authority, monotonic_time now)
{
    gate_decisions out;
    this->present = authority;
    this->expire_waiting(out, now);
    this->start_waiting(out, now);
    return out;
}

gate_decisions server_gate::on_tick(monotonic_time now)
{
    gate_decisions out;
    this->expire_waiting(out, now);
    return out;
}

std::uint32_t server_gate::running() const
{
    return this->started;
}

std::size_t server_gate::waiting() const
{
    return this->queue.size();
}

const gate_authority& server_gate::authority() const
{
    return this->present;
}

bool server_gate::has_authority(monotonic_time now) const
{
    return now < this->present.until;
}

std::uint32_t server_gate::free_slots() const
{
    const auto taken = this->started + this->present.in_flight_elsewhere;
    return taken >= this->settings.slots ? 0 : this->settings.slots - taken;
}

void server_gate::start_waiting(gate_decisions& out, monotonic_time now)
{
    while (!this->queue.empty() && this->free_slots() > 0 && this->has_authority(now)) {
        out.emplace_back(gate_start{this->queue.front().id});
        this->queue.pop_front();
        ++this->started;
    }
}

void server_gate::expire_waiting(gate_decisions& out, monotonic_time now)
{
    const bool lost = !this->has_authority(now) || !this->present.takes_new_work;
    const auto given_up = [this, &out, now, lost](const gate_request& one) {
        const bool late = one.deadline <= now;
        if (late || lost) {
            const auto kind = late ? error_kind::deadline_expired : error_kind::no_owner;
            out.emplace_back(this->refusal(one.id, kind));
        }
        return late || lost;
    };
    std::erase_if(this->queue, given_up);
}

gate_refuse server_gate::refusal(ticket id, error_kind kind) const
{
    return {.id = id, .kind = kind, .retry_after = this->settings.retry_after};
}

} // namespace figreach
