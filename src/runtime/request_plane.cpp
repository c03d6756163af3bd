#include "figreach/runtime/request_plane.h"

#include <random>
#include <set>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "figreach/runtime/caller_session.h"
#include "figreach/runtime/connection_pool.h"
#include "figreach/runtime/event_loop.h"

namespace figreach {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::size_t max_idle_connections = 16;
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

/// A request thread with its own event loop, acceptors and connections.
class request_plane::worker {
public:
    worker(const host_id& self, const request_plane_settings& settings,
           const published_routes& routes, const server_link_registry& links,
           request_plane_state& state, request_metrics& counts)
        : pool{io, max_idle_connections},
          thread{.self = self,
                 .routes = routes,
                 .links = links,
                 .pool = pool,
                 .plane = state,
                 .counts = counts,
                 .snapshot = nullptr,
                 .random_state = std::random_device{}()},
          caller_acceptor{listen(io, settings.caller_address)},
          forward_acceptor{listen(io, settings.forward_address)}
    {
    }

    ~worker() { this->io.destroy_handlers(); }
    worker(const worker&) = delete;
    worker& operator=(const worker&) = delete;

    void run()
    {
        asio::co_spawn(this->io, this->accept(this->caller_acceptor), asio::detached);
        asio::co_spawn(this->io, this->accept(this->forward_acceptor), asio::detached);
        this->io.run();
    }

    void stop() { this->io.stop(); }

    void close_idle()
    {
        asio::post(this->io, [this] {
            for (auto* session : this->sessions) {
                session->close_if_idle();
            }
        });
    }

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
                asio::co_spawn(this->io, this->serve(std::move(socket)), asio::detached);
            }
        }
    }

    /// Registers a session in the set of open sessions during its lifetime.
    struct session_registration {
        session_registration(std::set<caller_session*>& sessions_, caller_session& one_)
            : sessions{sessions_}, one{&one_}
        {
            this->sessions.insert(this->one);
        }
        ~session_registration() { this->sessions.erase(this->one); }
        session_registration(const session_registration&) = delete;
        session_registration& operator=(const session_registration&) = delete;

        std::set<caller_session*>& sessions;
        caller_session* one;
    };

    asio::awaitable<void> serve(tcp::socket socket)
    {
        caller_session session{this->thread, std::move(socket)};
        const session_registration entry{this->sessions, session};
        co_await session.run();
    }

    std::set<caller_session*> sessions;
    event_loop io{1};
    connection_pool pool;
    request_thread thread;
    tcp::acceptor caller_acceptor;
    tcp::acceptor forward_acceptor;
};

request_plane::request_plane(const request_plane_settings& settings, const published_routes& routes,
                             const server_link_registry& links, metrics& page)
    : state{std::make_unique<request_plane_state>()}, self{settings.self}
{
    for (std::uint32_t i = 0; i < settings.threads; ++i) {
        this->workers.push_back(std::make_unique<worker>(this->self, settings, routes, links,
                                                         *this->state, page.add_request_thread()));
    }
    for (auto& one : this->workers) {
        this->threads.emplace_back([&one] { one->run(); });
    }
}

request_plane::~request_plane()
{
    for (auto& one : this->workers) {
        one->stop();
    }
    for (auto& thread : this->threads) {
        thread.join();
    }
}

void request_plane::begin_drain()
{
    this->state->draining = true;
    for (auto& one : this->workers) {
        one->close_idle();
    }
}

std::uint64_t request_plane::in_flight() const
{
    return this->state->in_flight;
}

} // namespace figreach
