#include "figreach/direct/runtime/path_prober.h"

#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "figreach/retry_budget.h"

namespace figreach::direct {

namespace asio = boost::asio;

namespace {

constexpr milliseconds tick_interval{50};
constexpr milliseconds connect_timeout{250};
/// Servers that are tried at the same time.
constexpr std::size_t probes_at_once = 3;

} // namespace

path_prober::path_prober(host_context& state_) : state{state_} {}

void path_prober::start()
{
    asio::co_spawn(this->state.io, this->run(), asio::detached);
}

asio::awaitable<void> path_prober::run()
{
    for (;;) {
        const auto now = monotonic_time::clock::now();
        this->state.path.on_tick(now);
        if (this->state.path.should_probe(now)) {
            this->start_probes();
        }
        co_await sleep_for(this->state.io, tick_interval);
    }
}

void path_prober::start_probes()
{
    const auto servers = this->state.cluster.servers_for_new_work();
    for (std::size_t i = 0; i < probes_at_once && !servers.empty(); ++i) {
        const auto& entry = servers[next_random(this->state.random_state) % servers.size()]->entry;
        asio::co_spawn(this->state.io, this->probe(entry.id, entry.address), asio::detached);
    }
}

asio::awaitable<void> path_prober::probe(backend_server_id server, std::string address)
{
    boost::beast::tcp_stream stream{this->state.io};
    stream.expires_after(connect_timeout);
    const auto [failed] =
        co_await stream.async_connect(to_endpoint(address), asio::as_tuple(asio::use_awaitable));
    if (failed) {
        this->state.record_server_unreachable(server);
    }
    else {
        this->state.record_server_connected();
    }
}

} // namespace figreach::direct
