#pragma once

#include <functional>
#include <memory>

#include <boost/asio/ip/tcp.hpp>

namespace figreach {

/// Whether the peer has closed its side of the connection or reset it. Unread bytes in the receive
/// buffer hide a close that follows them.
[[nodiscard]] bool is_closed_by_peer(boost::asio::ip::tcp::socket& socket);

/// Calls `on_left` on the socket's thread when the caller closes its side of the connection. The
/// socket must not be read while the watch exists. The destructor cancels all pending operations on
/// the socket, so no other may be pending then.
class caller_watch {
public:
    caller_watch(boost::asio::ip::tcp::socket& socket, std::function<void()> on_left);
    ~caller_watch();
    caller_watch(const caller_watch&) = delete;
    caller_watch& operator=(const caller_watch&) = delete;

private:
    struct state;

    boost::asio::ip::tcp::socket& socket;
    std::shared_ptr<state> shared;
};

} // namespace figreach
