#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "figreach/time.h"

namespace figreach::direct {

/// Notifies all waiting coroutines of a change. Not thread-safe.
class change_signal {
public:
    explicit change_signal(boost::asio::io_context& io);

    void notify();
    /// Returns at the next notify() or at `until`, whichever comes first.
    boost::asio::awaitable<void> wait(monotonic_time until);

private:
    boost::asio::io_context& io;
    boost::asio::steady_timer next;
};

/// Suspends the calling coroutine for `time`.
boost::asio::awaitable<void> sleep_for(boost::asio::io_context& io, milliseconds time);

} // namespace figreach::direct
