#include "figreach/direct/runtime/change_signal.h"

#include <memory>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace figreach::direct {

namespace asio = boost::asio;

namespace {

constexpr auto no_throw = asio::as_tuple(asio::use_awaitable);

} // namespace

change_signal::change_signal(asio::io_context& io_) : io{io_}, next{io_, monotonic_time::max()} {}

void change_signal::notify()
{
    this->next.cancel();
}

asio::awaitable<void> change_signal::wait(monotonic_time until)
{
    using namespace asio::experimental::awaitable_operators;
    asio::steady_timer limit{this->io, until};
    co_await (this->next.async_wait(no_throw) || limit.async_wait(no_throw));
}

asio::awaitable<void> sleep_for(asio::io_context& io, milliseconds time)
{
    asio::steady_timer timer{io, time};
    co_await timer.async_wait(no_throw);
}

} // namespace figreach::direct
