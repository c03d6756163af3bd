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

/// Connections of one load thread to one entry host: at most `most`; more requests wait.
class client_pool {
public:
    client_pool(boost::asio::io_context& io, std::string address, std::uint32_t max_connections);

    /// Null when no connection can be made.
    boost::asio::awaitable<std::unique_ptr<upstream_connection>> take(milliseconds connect_limit);
    /// Keeps a connection, or closes it (null).
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
