// Grants of a leader whose lease has expired, to a backend server that restarts under its id.

#include <map>
#include <memory>
#include <optional>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "../property.h"
#include "figreach/direct/runtime/leadership.h"
#include "figreach/direct/runtime/order_client.h"
#include "figreach/direct/takeover.h"
#include "figreach/runtime/event_loop.h"
#include "figreach/runtime/suspension_clock.h"

using namespace figreach;
using namespace figreach::direct;
namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr milliseconds call_limit{1000};

/// A backend server that accepts all grants and can restart at its address.
class grant_server {
public:
    explicit grant_server(asio::io_context& io_) : io{io_} { this->start(); }

    void restart()
    {
        this->listener->close();
        for (const auto& one : this->connections) {
            boost::system::error_code ignored;
            one->set_option(asio::socket_base::linger{true, 0}, ignored);
            one->close(ignored);
        }
        this->connections.clear();
        this->start();
    }
    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(this->port); }

    std::uint32_t grants = 0;
    bool closes = false; ///< closes the connection after its next answer

private:
    void start()
    {
        this->listener = std::make_shared<tcp::acceptor>(
            this->io, tcp::endpoint{asio::ip::address_v4::loopback(), this->port}, true);
        this->port = this->listener->local_endpoint().port();
        asio::co_spawn(this->io, this->accept(this->listener), asio::detached);
    }

    asio::awaitable<void> accept(std::shared_ptr<tcp::acceptor> from)
    {
        for (;;) {
            auto [failed, socket] =
                co_await from->async_accept(asio::as_tuple(asio::use_awaitable));
            if (failed) {
                co_return;
            }
            const auto kept = std::make_shared<tcp::socket>(std::move(socket));
            this->connections.push_back(kept);
            asio::co_spawn(this->io, this->serve(kept), asio::detached);
        }
    }

    asio::awaitable<void> serve(std::shared_ptr<tcp::socket> socket)
    {
        boost::beast::flat_buffer buffer;
        for (;;) {
            http_request request;
            const auto [failed, count] = co_await http::async_read(
                *socket, buffer, request, asio::as_tuple(asio::use_awaitable));
            if (failed) {
                co_return;
            }
            ++this->grants;
            http_response answer{http::status::ok, 11};
            const bool close = std::exchange(this->closes, false);
            answer.keep_alive(!close);
            answer.prepare_payload();
            (void)co_await http::async_write(*socket, answer, asio::as_tuple(asio::use_awaitable));
            if (close) {
                socket->close();
                co_return;
            }
        }
    }

    asio::io_context& io;
    std::uint16_t port = 0;
    std::shared_ptr<tcp::acceptor> listener;
    std::vector<std::shared_ptr<tcp::socket>> connections;
};

/// What happens between two grants to a server.
enum class event : std::uint8_t { nothing, closes, restarts };

struct grant_row {
    const char* name;
    bool has_lease;            ///< when the first grant is sent
    bool keeps_lease;          ///< when the others are sent
    std::vector<event> events; ///< before the second and later grants
    std::uint32_t grants;      ///< that reach the server
};

const grant_row grant_rows[] = {
    {"the lease lasts", true, true, {event::nothing}, 2},
    {"the lease lasts and the server restarts", true, true, {event::restarts}, 2},
    {"the lease expires", true, false, {event::nothing, event::nothing}, 3},
    {"a connection is closed while there is no lease",
     true,
     false,
     {event::closes, event::nothing, event::closes, event::nothing},
     5},
    {"the server restarts while there is no lease",
     true,
     false,
     {event::nothing, event::restarts, event::nothing},
     2},
    {"the server restarts before the second connection is known",
     true,
     false,
     {event::restarts, event::nothing},
     1},
    {"there was no grant before the lease expired", false, false, {event::nothing}, 0},
};

/// Sends grants one after the other.
struct grant_sender {
    asio::io_context io;
    process_continuity processes;
    order_client client{this->io, this->processes};
    grant_server server{this->io};
    monotonic_time lease_until{};

    void grant()
    {
        bool ended = false;
        const auto one = [this, &ended]() -> asio::awaitable<void> {
            (void)co_await this->client.call(
                this->server.address(), make_request(http::verb::post, "/grant", "keys"),
                monotonic_time::clock::now() + call_limit, [this] { return this->lease_until; });
            ended = true;
        };
        asio::co_spawn(this->io, one, asio::detached);
        while (!ended) {
            this->io.run_one();
        }
    }
    void set_lease(bool lasts)
    {
        this->lease_until = time_with_suspension() + (lasts ? seconds{60} : seconds{0});
        while (!lasts && time_with_suspension() <= this->lease_until) {
        }
    }
};

struct offer_row {
    const char* name;
    milliseconds authority; ///< of the term that is handed over
    bool grants;            ///< whether the server gets grants
};

const offer_row offer_rows[] = {
    {"the lease lasts", outage_authority + seconds{5}, true},
    {"the lease has expired", outage_authority - seconds{5}, false},
};

/// A host that takes over a term with one range, owned by the server at an address.
class taking_host {
public:
    explicit taking_host(asio::io_context& io_, const std::string& server)
        : io{io_}, state{io_, settings(), this->page}, leader{this->state}
    {
        const auto now = monotonic_time::clock::now();
        route_configuration all{.version = 1};
        all.services[{"lessons"}] = {.name = {"lessons"}, .divided_by_key = true};
        auto& cluster = this->state.cluster;
        (void)cluster.apply(store_part::operators, {configuration_update{all}}, true, now);
        const server_update entry{
            {.id = {"s1"}, .lifetime = 1, .service = {"lessons"}, .address = server, .slots = 4}};
        (void)cluster.apply(store_part::servers, {entry}, true, now);
        (void)cluster.apply(store_part::own, {}, true, now);
    }

    void take_over(milliseconds authority)
    {
        auto table = make_key_table({"lessons"});
        table.ranges.front().owner = {"s1"};
        table.ranges.front().owner_lifetime = 1;
        table.ranges.front().fence = 1;
        table.ranges.front().moving = false;
        table.next_fence = 2;
        CHECK_TRUE(this->leader.accept_offer({.term = 3,
                                              .lease = {.id = 1},
                                              .term_revision = {{}, 1},
                                              .authority = authority,
                                              .former_orders = milliseconds{0},
                                              .tables = {{.table = table, .revision = {{}, 1}}}}));
        this->leader.start();
    }

private:
    static direct_settings settings()
    {
        direct_settings out;
        out.name = {"h1"};
        out.store_address = "127.0.0.1:1";
        return out;
    }

    asio::io_context& io;
    metrics page;
    host_context state;
    leadership leader;
};

} // namespace

TEST_GROUP(former_leader_test){};

/// Guards against two owners of a key: a leader without a lease renews a grant at a server that has
/// restarted and so forgotten that the key went to another one.
TEST(former_leader_test, without_a_lease_grants_go_only_to_processes_that_ran_before)
{
    for (const auto& row : grant_rows) {
        grant_sender sender;
        sender.set_lease(row.has_lease);
        sender.grant();
        if (row.has_lease != row.keeps_lease) {
            sender.set_lease(row.keeps_lease);
        }
        for (const auto one : row.events) {
            if (one == event::restarts) {
                sender.server.restart();
            }
            sender.server.closes = one == event::closes;
            sender.grant();
        }
        CHECK_EQUAL_TEXT(row.grants, sender.server.grants, row.name);
    }
}

/// Guards against the same after a hand-over of a term whose lease has expired.
TEST(former_leader_test, a_successor_without_a_lease_grants_nothing_over_new_connections)
{
    for (const auto& row : offer_rows) {
        event_loop io;
        grant_server server{io};
        taking_host host{io, server.address()};
        host.take_over(row.authority);
        io.run_for(milliseconds{500});
        io.destroy_handlers();
        CHECK_EQUAL_TEXT(row.grants, server.grants > 0, row.name);
    }
}
