#include "fault_proxy.h"

#include <array>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "figreach/direct/runtime/change_signal.h"
#include "figreach/runtime/connection_pool.h"
#include "http_server.h"

namespace figreach::soak {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr auto no_throw = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t chunk_bytes = 16 * 1024;
constexpr milliseconds cut_poll_interval{10};

/// Whether the sender has reset the connection. Data that the link still holds back is then
/// dropped.
bool was_reset(tcp::socket& sender)
{
    char byte = 0;
    boost::system::error_code failed;
    sender.non_blocking(true, failed);
    sender.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, failed);
    return failed && failed != asio::error::would_block && failed != asio::error::eof;
}

} // namespace

fault_proxy::fault_proxy(asio::io_context& io_, std::string target_)
    : io{io_},
      target{std::move(target_)},
      listener{io_, {asio::ip::address_v4::loopback(), 0}},
      address_text{"127.0.0.1:" + std::to_string(this->listener.local_endpoint().port())}
{
    asio::co_spawn(this->io, this->accept(), asio::detached);
}

const std::string& fault_proxy::address() const
{
    return this->address_text;
}

void fault_proxy::reset()
{
    for (const auto& one : this->open_sockets) {
        standin::reset(*one);
    }
}

asio::awaitable<void> fault_proxy::accept()
{
    for (;;) {
        auto [failed, client] = co_await this->listener.async_accept(no_throw);
        if (!failed) {
            auto shared = std::make_shared<socket>(std::move(client));
            asio::co_spawn(this->io, this->connect(std::move(shared)), asio::detached);
        }
    }
}

asio::awaitable<void> fault_proxy::connect(shared_socket client)
{
    const auto upstream = std::make_shared<socket>(this->io);
    const auto [failed] = co_await upstream->async_connect(to_endpoint(this->target), no_throw);
    if (failed) {
        standin::reset(*client);
        co_return;
    }
    boost::system::error_code ignored;
    client->set_option(tcp::no_delay{true}, ignored);
    upstream->set_option(tcp::no_delay{true}, ignored);
    this->open_sockets.insert(client);
    this->open_sockets.insert(upstream);
    asio::co_spawn(this->io, this->relay(client, upstream, true), asio::detached);
    asio::co_spawn(this->io, this->relay(upstream, client, false), asio::detached);
}

asio::awaitable<void> fault_proxy::relay(shared_socket from, shared_socket to, bool towards_target)
{
    std::array<char, chunk_bytes> chunk{};
    for (;;) {
        const auto [failed, count] = co_await from->async_read_some(asio::buffer(chunk), no_throw);
        while (to->is_open() && (towards_target ? this->faults.cut_to : this->faults.cut_from)) {
            co_await direct::sleep_for(this->io, cut_poll_interval);
        }
        if (this->faults.delay > milliseconds{0}) {
            co_await direct::sleep_for(this->io, this->faults.delay);
        }
        if (failed || !to->is_open() || was_reset(*from)) {
            break;
        }
        const auto [unsent, sent] =
            co_await asio::async_write(*to, asio::buffer(chunk.data(), count), no_throw);
        if (unsent) {
            break;
        }
    }
    standin::reset(*from);
    standin::reset(*to);
    this->open_sockets.erase(from);
    this->open_sockets.erase(to);
}

} // namespace figreach::soak
