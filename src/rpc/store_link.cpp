#include "figreach/rpc/store_link.h"

#include <utility>

namespace figreach {

namespace {

constexpr std::size_t outbox_capacity = 1024;
constexpr milliseconds longest_wait{100};

} // namespace

store_link::store_link(const std::string& address, milliseconds timeout_,
                       ring<control_event>& inbox_)
    : client{address},
      timeout{timeout_},
      inbox{inbox_},
      outbox{outbox_capacity, [this] { this->bell.ring(); }},
      duty{[this] { this->run(); }}
{
}

store_link::~store_link()
{
    this->stopping = true;
    this->bell.ring();
    this->duty.join();
}

bool store_link::call(call_store what)
{
    return this->outbox.push(std::move(what));
}

void store_link::run()
{
    while (!this->stopping) {
        this->bell.wait_until(monotonic_time::clock::now() + longest_wait);
        while (auto what = this->outbox.pop()) {
            this->inbox.push(store_answered{
                .call = what->call, .result = this->client.call(what->what, this->timeout)});
        }
    }
}

} // namespace figreach
