#include "link.hh"

#include <array>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "base64.h"
#include "figreach/direct/runtime/change_signal.h"
#include "figreach/runtime/connection_pool.h"

namespace figreach::review {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr auto no_throw = asio::as_tuple(asio::use_awaitable);
constexpr milliseconds poll_interval{5};
constexpr std::size_t chunk_bytes = 64 * 1024;

} // namespace

struct link::pair {
    tcp::socket caller;
    tcp::socket store;
    bool lost = false;
};

link::link(asio::io_context& io_, std::string to)
    : io{io_},
      target{std::move(to)},
      listening{io_, tcp::endpoint{asio::ip::address_v4::loopback(), 0}},
      own_address{"127.0.0.1:" + std::to_string(this->listening.local_endpoint().port())}
{
    asio::co_spawn(this->io, this->accept(), asio::detached);
}

const std::string& link::address() const
{
    return this->own_address;
}

asio::awaitable<void> link::accept()
{
    for (;;) {
        auto [failed, socket] = co_await this->listening.async_accept(no_throw);
        if (failed) {
            co_return;
        }
        auto ends = std::make_shared<pair>(std::move(socket), tcp::socket{this->io});
        const auto [refused] =
            co_await ends->store.async_connect(to_endpoint(this->target), no_throw);
        if (!refused) {
            asio::co_spawn(this->io, this->pass_calls(ends), asio::detached);
            asio::co_spawn(this->io, this->pass_answers(ends), asio::detached);
        }
    }
}

/// Replaces the address in a host's registration by one of the same length.
std::string link::translate(std::string call) const
{
    constexpr std::string_view before_value = R"("value":")";
    const auto key = call.find("figreach/hosts/");
    const auto value = key == std::string::npos ? key : call.find(before_value, key);
    if (this->own_peer_address.empty() || value == std::string::npos) {
        return call;
    }
    const auto first = value + before_value.size();
    const auto length = call.find('"', first) - first;
    auto bytes = platform::base64_decode(call.substr(first, length));
    const auto at = bytes ? bytes->find(this->own_peer_address) : std::string::npos;
    if (at == std::string::npos) {
        return call;
    }
    bytes->replace(at, this->own_peer_address.size(), this->public_peer_address);
    return call.replace(first, length, platform::base64_encode(*bytes));
}

asio::awaitable<void> link::wait_while_cut()
{
    while (this->cut) {
        co_await direct::sleep_for(this->io, poll_interval);
    }
}

asio::awaitable<void> link::pass_calls(std::shared_ptr<pair> ends)
{
    std::array<char, chunk_bytes> chunk{};
    for (;;) {
        const auto [ended, count] =
            co_await ends->caller.async_read_some(asio::buffer(chunk), no_throw);
        if (ended) {
            break;
        }
        // The caller resets the connection meanwhile, which discards what the cut holds up.
        if (this->cut) {
            co_await this->wait_while_cut();
            break;
        }
        ends->lost =
            ends->lost || (this->loses_answer && this->loses_answer({chunk.data(), count}));
        const auto call = this->translate({chunk.data(), count});
        const auto [unsent, sent] =
            co_await asio::async_write(ends->store, asio::buffer(call), no_throw);
        if (unsent) {
            break;
        }
    }
    boost::system::error_code ignored;
    ends->store.close(ignored);
    ends->caller.close(ignored);
}

asio::awaitable<void> link::pass_answers(std::shared_ptr<pair> ends)
{
    std::array<char, chunk_bytes> chunk{};
    for (;;) {
        const auto [ended, count] =
            co_await ends->store.async_read_some(asio::buffer(chunk), no_throw);
        if (ended) {
            break;
        }
        if (this->cut) {
            co_await this->wait_while_cut();
            break;
        }
        if (ends->lost) {
            continue;
        }
        const auto [unsent, sent] =
            co_await asio::async_write(ends->caller, asio::buffer(chunk.data(), count), no_throw);
        if (unsent) {
            break;
        }
    }
    boost::system::error_code ignored;
    if (!ends->lost) {
        ends->caller.close(ignored);
    }
}

} // namespace figreach::review
