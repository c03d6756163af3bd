#pragma once

#include <cstdint>
#include <optional>

#include <boost/asio/awaitable.hpp>

#include "figreach/direct/runtime/host_context.h"

namespace figreach::direct {

/// Keeps this host's item among the live hosts, under a lease of its own.
class host_registration {
public:
    /// `state` outlives the registration.
    explicit host_registration(host_context& state);

    void start();
    /// Takes the item away.
    boost::asio::awaitable<void> deregister();

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> register_host();

    host_context& state;
    std::optional<std::int64_t> lease;
};

} // namespace figreach::direct
