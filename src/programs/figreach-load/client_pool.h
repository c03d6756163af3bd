#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "figreach/runtime/connection_pool.h"

namespace figreach::load {

/// Connections from one load thread to one entry host. At most `max_connections` are in use at a
/// time; further callers of take() wait.
class client_pool {
public:
    client_pool(boost::asio::io_context& io, std::string address, std::uint32_t max_connections);

    /// Returns an idle connection or opens one. Null if connecting fails or takes longer than
    /// `connect_limit`.
    boost::asio::awaitable<std::unique_ptr<upstream_connection>> take(milliseconds connect_limit);
    /// Returns a connection to the pool. Null if the caller has closed the one it took.
    void give_back(std::unique_ptr<upstream_connection> connection);

private:
    boost::asio::io_context& io;
    std::string address;
    std::uint32_t max_connections;
    std::uint32_t in_use = 0;
    boost::asio::steady_timer connection_released;
    std::vector<std::unique_ptr<upstream_connection>> idle;
};

} // namespace figreach::load
