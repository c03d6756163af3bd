#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <sys/socket.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include "../free_port.h"
#include "figreach/routing.h"
#include "figreach/runtime/request_plane.h"

namespace figreach {

using tcp = boost::asio::ip::tcp;

/// Polls the condition about every millisecond, up to 30000 times, so that a failing test ends.
template <class Condition>
void wait_for(Condition condition)
{
    constexpr int max_polls = 30000;
    for (int i = 0; i < max_polls && !condition(); ++i) {
        std::this_thread::sleep_for(milliseconds{1});
    }
}

/// Makes blocking reads and writes fail after 30 s, so that a hanging test ends.
inline void set_watchdog(tcp::socket& socket)
{
    const timeval limit{.tv_sec = 30, .tv_usec = 0};
    setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    setsockopt(socket.native_handle(), SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
}

/// Minimal upstream server on one thread. It passes one connection at a time to `serve` and closes
/// the connection when `serve` returns.
class fake_upstream {
public:
    using handler = std::function<void(tcp::socket&)>;

    explicit fake_upstream(handler serve_)
        : acceptor{io, {boost::asio::ip::make_address("127.0.0.1"), 0}},
          serve{std::move(serve_)},
          thread{[this] { this->run(); }}
    {
    }

    ~fake_upstream()
    {
        this->stopping = true;
        boost::system::error_code ignored;
        tcp::socket wake{this->io};
        wake.connect(this->acceptor.local_endpoint(), ignored);
        this->thread.join();
    }

    fake_upstream(const fake_upstream&) = delete;
    fake_upstream& operator=(const fake_upstream&) = delete;

    [[nodiscard]] std::string address() const
    {
        return local_address(this->acceptor.local_endpoint().port());
    }

    std::atomic<std::uint64_t> requests{0};
    std::atomic<std::uint64_t> body_bytes{0};

private:
    void run()
    {
        while (!this->stopping) {
            tcp::socket socket{this->io};
            boost::system::error_code failed;
            this->acceptor.accept(socket, failed);
            if (!failed && !this->stopping) {
                set_watchdog(socket);
                this->serve(socket);
            }
        }
    }

    boost::asio::io_context io;
    tcp::acceptor acceptor;
    handler serve;
    std::atomic<bool> stopping{false};
    std::thread thread;
};

/// Reads the header of one request; empty if the peer closed the connection.
inline std::string read_head(tcp::socket& socket, std::string& rest)
{
    boost::system::error_code failed;
    const auto count =
        boost::asio::read_until(socket, boost::asio::dynamic_buffer(rest), "\r\n\r\n", failed);
    if (failed) {
        return {};
    }
    auto head = rest.substr(0, count);
    rest.erase(0, count);
    return head;
}

/// Reads until the peer closes the connection.
inline std::string read_all(tcp::socket& socket)
{
    std::string out;
    boost::system::error_code failed;
    std::vector<char> chunk(64 * 1024);
    while (!failed) {
        const auto count = socket.read_some(boost::asio::buffer(chunk), failed);
        out.append(chunk.data(), count);
    }
    return out;
}

/// Sends without pause until the other side closes the connection or the time is over. Returns
/// whether it was closed.
inline bool send_until_closed(tcp::socket& socket, const std::string& text)
{
    constexpr milliseconds sending_limit{8000};
    constexpr std::size_t min_write_bytes = 4000;
    const auto until = monotonic_time::clock::now() + sending_limit;
    std::string many;
    while (many.size() < min_write_bytes) {
        many += text;
    }
    boost::system::error_code failed;
    while (!failed && monotonic_time::clock::now() < until) {
        boost::asio::write(socket, boost::asio::buffer(many), failed);
    }
    return failed.failed();
}

/// A request plane with one service "s" on one backend server.
class plane_fixture {
public:
    explicit plane_fixture(const std::string& server_address,
                           const std::string& coordinator_address = {}, std::uint32_t slots = 4)
        : caller_port{free_port()}
    {
        this->publish(server_address, coordinator_address, slots);
        this->plane = std::make_unique<request_plane>(
            request_plane_settings{.self = {"h1"},
                                   .caller_address = local_address(this->caller_port),
                                   .forward_address = local_address(free_port()),
                                   .threads = 1},
            this->routes, this->links, this->page);
    }

    tcp::socket connect()
    {
        tcp::socket out{this->io};
        out.connect({boost::asio::ip::make_address("127.0.0.1"), this->caller_port});
        set_watchdog(out);
        return out;
    }

    /// Publishes routes in which the slice of the service is moving.
    void start_move()
    {
        auto next = std::make_shared<routing_snapshot>(this->published);
        for (auto& [id, document] : next->partitions) {
            auto moving = *document;
            ++moving.version;
            moving.slices.front().moving_to = 0;
            document = std::make_shared<partition>(moving);
        }
        this->routes.publish(std::move(next));
    }

    /// Sends a text on a new connection and returns everything received until it is closed.
    std::string ask(const std::string& text)
    {
        auto socket = this->connect();
        boost::system::error_code ignored;
        boost::asio::write(socket, boost::asio::buffer(text), ignored);
        return read_all(socket);
    }

    published_routes routes;
    server_link_registry links;
    metrics page;
    std::unique_ptr<request_plane> plane;

private:
    void publish(const std::string& server_address, const std::string& coordinator_address,
                 std::uint32_t slots)
    {
        // Long enough not to expire on a heavily loaded machine.
        const service served{.name = {"s"},
                             .tenant = {"t"},
                             .default_deadline = seconds{300},
                             .longest_deadline = seconds{300}};
        const description all{
            .version = 1,
            .failure_domains = {{.name = {"d"}, .region = {"r"}}},
            .tenants = {{.name = {"t"}}},
            .services = {served},
            .backend_servers = {
                {.name = {"b"}, .service = {"s"}, .failure_domain = {"d"}, .slots = slots}}};
        const partition whole{.id = {.service = {"s"}, .number = 0},
                              .version = 1,
                              .backend_servers = {{"b"}},
                              .slices = {{.first = 0, .owner = 0, .fence = 7}}};
        auto snapshot = std::make_shared<routing_snapshot>();
        snapshot->system_description = std::make_shared<description>(all);
        snapshot->partitions[whole.id] = std::make_shared<partition>(whole);
        snapshot->servers[{"b"}] = {.server = {"b"},
                                    .address = server_address,
                                    .coordinator = {"h1"},
                                    .forward_address = coordinator_address,
                                    .coordinated_here = coordinator_address.empty()};
        this->links.update(*snapshot);
        this->links.find({"b"})->set_authority(
            {.until = monotonic_time::clock::now() + std::chrono::hours{1}, .incarnation = 1});
        this->published = *snapshot;
        this->routes.publish(std::move(snapshot));
    }

    boost::asio::io_context io;
    std::uint16_t caller_port;
    routing_snapshot published;
};

} // namespace figreach
