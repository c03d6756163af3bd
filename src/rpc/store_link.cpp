#include "figreach/rpc/store_link.h"

#include <utility>

#include "figreach/runtime/log.h"

namespace figreach {

namespace {

constexpr std::size_t outbox_capacity = 1024;
constexpr milliseconds max_wait{100};

} // namespace

store_link::store_link(const std::string& address, milliseconds timeout_,
                       ring<control_event>& inbox_)
    : client{address},
      timeout{timeout_},
      inbox{inbox_},
      outbox{outbox_capacity, [this] { this->wakeup.notify(); }},
      thread{[this] { this->run(); }}
{
}

store_link::~store_link()
{
    this->stopping = true;
    this->wakeup.notify();
    this->thread.join();
}

bool store_link::call(call_store what)
{
    return this->outbox.push(std::move(what));
}

void store_link::run()
{
    while (!this->stopping) {
        this->wakeup.wait_until(monotonic_time::clock::now() + max_wait);
        while (const auto what = this->outbox.pop()) {
            this->execute(*what);
        }
    }
}

void store_link::execute(const call_store& what)
{
    auto result = this->client.call(what.request, this->timeout);
    this->count(result);
    this->inbox.push(store_answered{.call = what.call, .result = std::move(result)});
}

void store_link::count(const store_result& result)
{
    const auto* lost = std::get_if<store_no_answer>(&result);
    const bool conflict = std::holds_alternative<store_conflict>(result);
    (lost != nullptr ? this->unanswered_calls : this->answered_calls).fetch_add(1);
    this->conflicting_calls.fetch_add(conflict ? 1 : 0);
    const bool was_reachable = this->is_reachable.exchange(lost == nullptr);
    if (was_reachable && lost != nullptr) {
        log_event(log_level::warn, "store_lost", {{"detail", lost->detail}});
    }
    if (!was_reachable && lost == nullptr) {
        log_event(log_level::info, "store_back", {});
    }
}

std::uint64_t store_link::answered() const
{
    return this->answered_calls;
}

std::uint64_t store_link::unanswered() const
{
    return this->unanswered_calls;
}

std::uint64_t store_link::conflicts() const
{
    return this->conflicting_calls;
}

std::uint64_t store_link::dropped() const
{
    return this->outbox.refusals();
}

bool store_link::reachable() const
{
    return this->is_reachable;
}

} // namespace figreach
