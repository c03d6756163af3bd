#include "figreach/runtime/server_link.h"

#include <algorithm>
#include <random>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "figreach/runtime/caller_watch.h"

namespace figreach {

namespace asio = boost::asio;

/// A request that waits for the decision of the gate. Its members are used only on the request's
/// own thread, except that other threads read the timer's executor to post to it.
struct server_link::waiter {
    explicit waiter(const asio::any_io_executor& executor) : timer{executor} {}

    asio::steady_timer timer;
    std::optional<gate_decision> decided;
    bool caller_left = false;
};

namespace {

/// Minimum time between two ticks of the gate for the same waiting request.
constexpr milliseconds min_wait{1};

gate_settings with_random_seed(gate_settings settings)
{
    settings.seed = std::random_device{}();
    return settings;
}

ticket ticket_of(const gate_decision& decision)
{
    return std::visit([](const auto& one) { return one.id; }, decision);
}

} // namespace

server_link::server_link(gate_settings settings) : gate{with_random_seed(settings)} {}

ticket server_link::next_ticket()
{
    const std::lock_guard lock{this->mutex};
    return ++this->last_ticket;
}

asio::awaitable<std::optional<gate_decision>> server_link::admit(gate_request request,
                                                                 asio::ip::tcp::socket& caller)
{
    const auto executor = co_await asio::this_coro::executor;
    const auto self = std::make_shared<waiter>(executor);
    gate_decisions decisions;
    {
        const std::lock_guard lock{this->mutex};
        this->waiters[request.id] = self;
        decisions = this->gate.arrive(request, monotonic_time::clock::now());
        // An immediate decision is returned directly instead of being posted.
        for (const auto& decision : decisions) {
            if (ticket_of(decision) == request.id && !std::holds_alternative<gate_wait>(decision)) {
                this->waiters.erase(request.id);
                self->decided = decision;
            }
        }
    }
    this->deliver(decisions);
    if (self->decided) {
        co_return self->decided;
    }
    const caller_watch watch{caller, [self] {
                                 self->caller_left = true;
                                 self->timer.cancel();
                             }};
    while (!self->decided && !self->caller_left) {
        // A decision posted now is handled on this thread, so not before this coroutine suspends.
        self->timer.expires_at(this->wake_time(request.deadline));
        co_await self->timer.async_wait(asio::as_tuple(asio::use_awaitable));
        if (!self->decided && !self->caller_left) {
            this->tick();
        }
    }
    if (self->caller_left) {
        this->leave(request.id);
        co_return std::nullopt;
    }
    co_return self->decided;
}

void server_link::finish(ticket id, gate_ending ending, nanoseconds latency)
{
    gate_decisions decisions;
    {
        const std::lock_guard lock{this->mutex};
        decisions = this->gate.finish(id, ending, latency, monotonic_time::clock::now());
    }
    this->deliver(decisions);
}

void server_link::set_authority(const gate_authority& authority)
{
    gate_decisions decisions;
    {
        const std::lock_guard lock{this->mutex};
        const auto now = monotonic_time::clock::now();
        if (now >= this->gate.authority().until) {
            // Authority had lapsed, so another host may have coordinated the server meanwhile.
            this->window.take_over(now);
        }
        decisions = this->gate.set_authority(authority, now);
    }
    this->deliver(decisions);
}

void server_link::set_slots(std::uint32_t slots)
{
    gate_decisions decisions;
    {
        const std::lock_guard lock{this->mutex};
        decisions = this->gate.set_slots(slots, monotonic_time::clock::now());
    }
    this->deliver(decisions);
}

bool server_link::has_authority() const
{
    const std::lock_guard lock{this->mutex};
    return monotonic_time::clock::now() < this->gate.authority().until;
}

void server_link::note_incarnation(std::uint64_t incarnation)
{
    const std::lock_guard lock{this->mutex};
    this->gate.note_incarnation(incarnation, monotonic_time::clock::now());
}

window_decision server_link::begin(const window_request& request)
{
    const std::lock_guard lock{this->mutex};
    const auto now = monotonic_time::clock::now();
    if (now >= this->gate.authority().until) {
        return window_refuse{.kind = error_kind::no_owner};
    }
    return this->window.begin(request, now);
}

void server_link::forget(const repeat_id& id)
{
    const std::lock_guard lock{this->mutex};
    this->window.forget(id);
}

void server_link::finish(const repeat_id& id, std::optional<kept_answer> answer)
{
    const std::lock_guard lock{this->mutex};
    this->window.finish(id, std::move(answer), monotonic_time::clock::now());
}

void server_link::mark_unknown(const repeat_id& id)
{
    const std::lock_guard lock{this->mutex};
    this->window.mark_unknown(id, monotonic_time::clock::now());
}

void server_link::begin_use(key_hash hash)
{
    const std::lock_guard lock{this->mutex};
    this->uses.begin(hash, monotonic_time::clock::now());
}

void server_link::end_use(key_hash hash, bool ended, monotonic_time deadline)
{
    const std::lock_guard lock{this->mutex};
    this->uses.end(hash, ended, deadline);
}

bool server_link::is_idle(key_hash first, key_hash last) const
{
    const std::lock_guard lock{this->mutex};
    return !this->uses.in_use(first, last, monotonic_time::clock::now());
}

void server_link::count(key_hash first)
{
    const std::lock_guard lock{this->mutex};
    ++this->counts[first];
}

std::vector<slice_load> server_link::take_load(milliseconds over)
{
    std::map<key_hash, std::uint64_t> taken;
    {
        const std::lock_guard lock{this->mutex};
        taken.swap(this->counts);
    }
    const std::chrono::duration<double> span = std::max(over, milliseconds{1});
    std::vector<slice_load> out;
    out.reserve(taken.size());
    for (const auto& [first, requests] : taken) {
        const auto rate = static_cast<double>(requests) / span.count();
        out.push_back({.first = first, .requests_per_second = rate});
    }
    return out;
}

server_link_state server_link::state() const
{
    const std::lock_guard lock{this->mutex};
    return {.running = this->gate.running(),
            .waiting = this->gate.waiting(),
            .limit = this->gate.limit(),
            .cold = this->gate.is_cold(),
            .latency = this->gate.recent_latency()};
}

void server_link::deliver(const gate_decisions& decisions)
{
    for (const auto& decision : decisions) {
        if (std::holds_alternative<gate_wait>(decision)) {
            continue;
        }
        std::shared_ptr<waiter> waiting;
        {
            const std::lock_guard lock{this->mutex};
            const auto found = this->waiters.find(ticket_of(decision));
            if (found == this->waiters.end()) {
                continue;
            }
            waiting = std::move(found->second);
            this->waiters.erase(found);
        }
        asio::post(waiting->timer.get_executor(), [waiting, decision] {
            waiting->decided = decision;
            waiting->timer.cancel();
        });
    }
}

monotonic_time server_link::wake_time(monotonic_time deadline) const
{
    const std::lock_guard lock{this->mutex};
    const auto soonest = monotonic_time::clock::now() + min_wait;
    const auto due = this->gate.next_tick().value_or(deadline);
    return std::max(soonest, std::min(due, deadline));
}

void server_link::tick()
{
    gate_decisions due;
    {
        const std::lock_guard lock{this->mutex};
        due = this->gate.on_tick(monotonic_time::clock::now());
    }
    this->deliver(due);
}

void server_link::leave(ticket id)
{
    gate_decisions decisions;
    {
        const std::lock_guard lock{this->mutex};
        this->waiters.erase(id);
        this->gate.leave(id);
        // The request may have been admitted in the meantime.
        decisions = this->gate.finish(id, gate_ending::not_sent, nanoseconds{0},
                                      monotonic_time::clock::now());
    }
    this->deliver(decisions);
}

} // namespace figreach
