#include "figreach/runtime/server_link.h"

#include <optional>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace figreach {

namespace asio = boost::asio;

/// A request that waits for its decision. Touched on its own thread only, once it is registered.
struct server_link::waiter {
    explicit waiter(const asio::any_io_executor& home) : timer{home} {}

    asio::steady_timer timer;
    std::optional<gate_decision> decided;
};

namespace {

ticket ticket_of(const gate_decision& decision)
{
    return std::visit([](const auto& one) { return one.id; }, decision);
}

} // namespace

server_link::server_link(gate_settings settings) : gate{settings} {}

ticket server_link::next_ticket()
{
    const std::lock_guard lock{this->guard};
    return ++this->last_ticket;
}

asio::awaitable<gate_decision> server_link::admit(gate_request request)
{
    const auto home = co_await asio::this_coro::executor;
    auto self = std::make_shared<waiter>(home);
    gate_decisions others;
    {
        const std::lock_guard lock{this->guard};
        for (auto& decision : this->gate.arrive(request, monotonic_time::clock::now())) {
            if (ticket_of(decision) != request.id) {
                others.push_back(decision);
            }
            else if (!std::holds_alternative<gate_wait>(decision)) {
                self->decided = decision;
            }
        }
        if (!self->decided) {
            this->waiters[request.id] = self;
        }
    }
    this->deliver(others);
    while (!self->decided) {
        self->timer.expires_at(request.deadline);
        co_await self->timer.async_wait(asio::as_tuple(asio::use_awaitable));
        if (!self->decided && monotonic_time::clock::now() >= request.deadline) {
            gate_decisions due;
            {
                const std::lock_guard lock{this->guard};
                due = this->gate.on_tick(monotonic_time::clock::now());
            }
            this->deliver(due);
            // The decision of this request arrives on this thread.
            self->timer.expires_at(monotonic_time::max());
            co_await self->timer.async_wait(asio::as_tuple(asio::use_awaitable));
        }
    }
    co_return *self->decided;
}

void server_link::finish(ticket id, gate_ending ending, nanoseconds latency)
{
    gate_decisions decisions;
    {
        const std::lock_guard lock{this->guard};
        decisions = this->gate.finish(id, ending, latency, monotonic_time::clock::now());
    }
    this->deliver(decisions);
}

void server_link::set_authority(const gate_authority& authority)
{
    gate_decisions decisions;
    {
        const std::lock_guard lock{this->guard};
        decisions = this->gate.set_authority(authority, monotonic_time::clock::now());
    }
    this->deliver(decisions);
}

bool server_link::has_authority() const
{
    const std::lock_guard lock{this->guard};
    return monotonic_time::clock::now() < this->gate.authority().until;
}

void server_link::deliver(const gate_decisions& decisions)
{
    for (const auto& decision : decisions) {
        std::shared_ptr<waiter> waiting;
        {
            const std::lock_guard lock{this->guard};
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

} // namespace figreach
