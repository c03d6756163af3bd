#include "client_pool.h"

#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace figreach::load {

namespace asio = boost::asio;

namespace {

constexpr auto no_throw = asio::as_tuple(asio::use_awaitable);

/// Whether an idle connection can be reused: the host has not closed it and no unread bytes are
/// pending.
bool is_quiet(asio::ip::tcp::socket& socket)
{
    char byte = 0;
    boost::system::error_code failed;
    socket.non_blocking(true, failed);
    socket.receive(asio::buffer(&byte, 1), asio::ip::tcp::socket::message_peek, failed);
    return failed == asio::error::would_block;
}

} // namespace

client_pool::client_pool(asio::io_context& io_, std::string address_,
                         std::uint32_t max_connections_)
    : io{io_},
      address{std::move(address_)},
      max_connections{max_connections_},
      connection_released{io_, asio::steady_timer::time_point::max()}
{
}

asio::awaitable<std::unique_ptr<upstream_connection>> client_pool::take(milliseconds connect_limit)
{
    while (this->in_use >= this->max_connections) {
        co_await this->connection_released.async_wait(no_throw);
    }
    ++this->in_use;
    while (!this->idle.empty()) {
        auto kept = std::move(this->idle.back());
        this->idle.pop_back();
        if (is_quiet(kept->stream.socket())) {
            co_return kept;
        }
    }
    auto fresh = std::make_unique<upstream_connection>(
        upstream_connection{.stream = boost::beast::tcp_stream{this->io}, .buffer = {}});
    fresh->stream.expires_after(connect_limit);
    const auto endpoint = to_endpoint(this->address);
    auto [failed] = co_await fresh->stream.async_connect(endpoint, no_throw);
    if (failed) {
        this->give_back(nullptr);
        co_return nullptr;
    }
    fresh->stream.socket().set_option(asio::ip::tcp::no_delay{true}, failed);
    co_return fresh;
}

void client_pool::give_back(std::unique_ptr<upstream_connection> connection)
{
    --this->in_use;
    if (connection) {
        this->idle.push_back(std::move(connection));
    }
    this->connection_released.cancel_one();
}

} // namespace figreach::load
