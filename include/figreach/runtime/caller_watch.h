#pragma once

#include <functional>
#include <memory>

#include <boost/asio/ip/tcp.hpp>

namespace figreach {

/// Whether the peer has closed its side or reset the connection, as far as is known here. Bytes
/// that wait to be read hide a later close.
[[nodiscard]] bool is_closed_by_peer(boost::asio::ip::tcp::socket& socket);

/// Calls `on_left`, on the socket's thread, when the caller closes its side of the connection
/// while nothing is read from it. No other operation may be pending on the socket when the watch
/// ends.
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
