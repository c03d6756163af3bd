#include "figreach/runtime/request_plane.h"

#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "figreach/runtime/caller_session.h"
#include "figreach/runtime/connection_pool.h"

namespace figreach {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::size_t most_idle_connections = 16;
constexpr int listen_backlog = 1024;

using reuse_port = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

tcp::acceptor listen(asio::io_context& io, const std::string& address)
{
    const auto endpoint = to_endpoint(address);
    tcp::acceptor acceptor{io, endpoint.protocol()};
    acceptor.set_option(tcp::acceptor::reuse_address{true});
    acceptor.set_option(reuse_port{true});
    acceptor.bind(endpoint);
    acceptor.listen(listen_backlog);
    return acceptor;
}

} // namespace

/// One request thread: its own event loop, acceptors and connections.
class request_plane::worker {
public:
    worker(const host_id& self, const request_plane_settings& settings, const route_board& routes,
           const link_board& links)
        : pool{io, most_idle_connections},
          home{.self = self,
               .routes = routes,
               .links = links,
               .pool = pool,
               .snapshot = nullptr,
               .seen_generation = 0},
          for_callers{listen(io, settings.caller_address)},
          for_hosts{listen(io, settings.forward_address)}
    {
    }

    void run()
    {
        asio::co_spawn(this->io, this->accept(this->for_callers), asio::detached);
        asio::co_spawn(this->io, this->accept(this->for_hosts), asio::detached);
        this->io.run();
    }

    void stop() { this->io.stop(); }

private:
    asio::awaitable<void> accept(tcp::acceptor& acceptor)
    {
        for (;;) {
            auto [failed, socket] =
                co_await acceptor.async_accept(asio::as_tuple(asio::use_awaitable));
            if (failed == asio::error::operation_aborted) {
                co_return;
            }
            if (!failed) {
                asio::co_spawn(this->io, serve(this->home, std::move(socket)), asio::detached);
            }
        }
    }

    static asio::awaitable<void> serve(request_thread& home, tcp::socket socket)
    {
        caller_session session{home, std::move(socket)};
        co_await session.run();
    }

    asio::io_context io{1};
    connection_pool pool;
    request_thread home;
    tcp::acceptor for_callers;
    tcp::acceptor for_hosts;
};

request_plane::request_plane(const request_plane_settings& settings, const route_board& routes,
                             const link_board& links)
    : self{settings.self}
{
    for (std::uint32_t i = 0; i < settings.threads; ++i) {
        this->workers.push_back(std::make_unique<worker>(this->self, settings, routes, links));
    }
    for (auto& one : this->workers) {
        this->duties.emplace_back([&one] { one->run(); });
    }
}

request_plane::~request_plane()
{
    for (auto& one : this->workers) {
        one->stop();
    }
    for (auto& duty : this->duties) {
        duty.join();
    }
}

} // namespace figreach
