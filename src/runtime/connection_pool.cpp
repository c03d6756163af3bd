#include "figreach/runtime/connection_pool.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/socket_base.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "figreach/runtime/suspension_clock.h"

namespace figreach {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// Whether an idle connection can be reused: there must be nothing to read, neither an end of
/// stream nor stray bytes.
bool is_reusable(tcp::socket& socket)
{
    char byte = 0;
    boost::system::error_code failed;
    socket.non_blocking(true, failed);
    if (failed) {
        return false;
    }
    socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, failed);
    return failed == asio::error::would_block;
}

bool is_reusable(upstream_connection& connection)
{
    return monotonic_time::clock::now() < connection.idle_until && connection.buffer.size() == 0 &&
           is_reusable(connection.stream.socket());
}

} // namespace

tcp::endpoint to_endpoint(const std::string& text)
{
    const auto colon = text.rfind(':');
    auto host = text.substr(0, colon);
    if (host.starts_with('[')) {
        host = host.substr(1, host.size() - 2);
    }
    std::uint16_t port = 0;
    std::from_chars(text.data() + colon + 1, text.data() + text.size(), port);
    return {asio::ip::make_address(host), port};
}

void reset(upstream_connection& connection)
{
    boost::system::error_code ignored;
    connection.stream.socket().close(ignored);
}

connection_pool::connection_pool(asio::io_context& io_, std::size_t max_idle_)
    : io{io_}, max_idle{max_idle_}
{
}

asio::awaitable<std::unique_ptr<upstream_connection>>
connection_pool::take(const std::string& address, monotonic_time deadline)
{
    auto reused = this->take_idle(address, [](const auto&) { return true; });
    if (reused) {
        co_return reused;
    }
    co_return co_await this->connect(address, deadline);
}

void connection_pool::drop_closed(const std::string& address)
{
    std::erase_if(this->idle[address], [](const auto& one) { return !is_reusable(*one); });
}

std::unique_ptr<upstream_connection>
connection_pool::take_idle(const std::string& address,
                           const std::function<bool(const upstream_connection&)>& may_use)
{
    auto& idle_connections = this->idle[address];
    // Looks at a socket only if its connection is wanted: this is done for each request.
    for (auto at = idle_connections.end(); at != idle_connections.begin();) {
        --at;
        if (!may_use(**at)) {
            continue;
        }
        auto connection = std::move(*at);
        at = idle_connections.erase(at);
        if (is_reusable(*connection)) {
            connection->reused = true;
            return connection;
        }
    }
    return nullptr;
}

bool connection_pool::has_open_idle(const std::string& address)
{
    this->drop_closed(address);
    return !this->idle[address].empty();
}

asio::awaitable<std::unique_ptr<upstream_connection>>
connection_pool::connect(std::string address, monotonic_time deadline)
{
    auto fresh = std::make_unique<upstream_connection>(
        upstream_connection{.stream = boost::beast::tcp_stream{this->io}});
    fresh->stream.expires_at(deadline);
    const auto endpoint = to_endpoint(address);
    co_await fresh->stream.async_connect(endpoint, asio::use_awaitable);
    fresh->connected_at = time_with_suspension();
    fresh->stream.socket().set_option(tcp::no_delay{true});
    // Makes every close a reset, including the close when a stream expires. After a graceful close
    // the kernel would keep retransmitting data held up by a broken network link, and the peer
    // would execute the request seconds later.
    fresh->stream.socket().set_option(asio::socket_base::linger{true, 0});
    co_return fresh;
}

asio::awaitable<std::unique_ptr<upstream_connection>>
connection_pool::try_take(const std::string& address, monotonic_time deadline,
                          const std::string& request_id)
{
    std::erase_if(this->idle[address], [&request_id](const auto& one) {
        const auto& failed = one->failed_ids;
        return std::find(failed.begin(), failed.end(), request_id) != failed.end();
    });
    auto reused = this->take_idle(address, [](const auto&) { return true; });
    if (reused) {
        co_return reused;
    }
    co_return co_await this->try_connect(address, deadline);
}

asio::awaitable<std::unique_ptr<upstream_connection>>
connection_pool::try_connect(const std::string& address, monotonic_time deadline)
{
    try {
        co_return co_await this->connect(address, deadline);
    }
    catch (const boost::system::system_error&) {
        co_return nullptr;
    }
}

bool connection_pool::has_idle(const std::string& address) const
{
    const auto found = this->idle.find(address);
    return found != this->idle.end() && !found->second.empty();
}

void connection_pool::clear()
{
    for (auto& [address, connections] : std::exchange(this->idle, {})) {
        for (const auto& one : connections) {
            reset(*one);
        }
    }
}

void connection_pool::give_back(const std::string& address,
                                std::unique_ptr<upstream_connection> connection)
{
    auto& idle_connections = this->idle[address];
    if (idle_connections.size() < this->max_idle &&
        connection->failed_ids.size() < max_failed_ids) {
        connection->stream.expires_never();
        idle_connections.push_back(std::move(connection));
    }
}

} // namespace figreach
