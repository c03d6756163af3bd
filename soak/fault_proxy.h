#pragma once

#include <cstdint>
#include <memory>
#include <set>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "figreach/time.h"

namespace figreach::soak {

/// Active faults of a link. Data that is held back is delivered when the fault ends.
struct link_faults {
    milliseconds delay{0}; ///< of each chunk, in both directions
    bool cut_to = false;   ///< holds back data to the target
    bool cut_from = false; ///< holds back data from the target
};

/// TCP proxy that forwards connections to a target and injects faults.
class fault_proxy {
public:
    fault_proxy(boost::asio::io_context& io, std::string target);

    link_faults faults;

    [[nodiscard]] const std::string& address() const;
    /// Closes all open connections with a TCP reset.
    void reset();

private:
    using socket = boost::asio::ip::tcp::socket;
    using shared_socket = std::shared_ptr<socket>;

    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> connect(shared_socket client);
    boost::asio::awaitable<void> relay(shared_socket from, shared_socket to, bool towards_target);

    boost::asio::io_context& io;
    std::string target;
    boost::asio::ip::tcp::acceptor listener;
    std::string address_text;
    std::set<shared_socket> open_sockets;
};

} // namespace figreach::soak
