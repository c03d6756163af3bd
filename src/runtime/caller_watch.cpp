#include "figreach/runtime/caller_watch.h"

#include <utility>

#include <boost/asio/buffer.hpp>

namespace figreach {

namespace asio = boost::asio;
using asio::ip::tcp;

bool is_closed_by_peer(tcp::socket& socket)
{
    char byte = 0;
    boost::system::error_code failed;
    socket.non_blocking(true, failed);
    if (!failed) {
        socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, failed);
    }
    return failed && failed != asio::error::would_block;
}

struct caller_watch::state {
    bool active = true;
    std::function<void()> on_left;
};

caller_watch::caller_watch(tcp::socket& socket_, std::function<void()> on_left)
    : socket{socket_}, shared{std::make_shared<state>()}
{
    this->shared->on_left = std::move(on_left);
    // `socket_` outlives an active watch; `kept` outlives the watch.
    this->socket.async_wait(tcp::socket::wait_read,
                            [kept = this->shared, &socket_](const boost::system::error_code& bad) {
                                if (!bad && kept->active && is_closed_by_peer(socket_)) {
                                    kept->on_left();
                                }
                            });
}

caller_watch::~caller_watch()
{
    this->shared->active = false;
    boost::system::error_code ignored;
    this->socket.cancel(ignored);
}

} // namespace figreach
