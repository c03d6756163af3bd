#pragma once

#include <optional>

#include <boost/asio/awaitable.hpp>

#include "figreach/direct/runtime/host_context.h"

namespace figreach::direct {

/// Registers this host as live in the store and renews the lease of its entry.
class host_registration {
public:
    /// `state` must outlive the registration.
    explicit host_registration(host_context& state);

    void start();
    /// Removes the entry by ending its lease. Does nothing if the host is not registered.
    boost::asio::awaitable<void> deregister();

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> wait_for_renewal();
    boost::asio::awaitable<void> register_host();

    host_context& state;
    std::optional<store_lease> lease;
};

} // namespace figreach::direct
