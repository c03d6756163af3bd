#pragma once

#include <atomic>
#include <functional>
#include <future>
#include <thread>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include "../property.h"
#include "../runtime/plane_fixture.h"
#include "figreach/direct/runtime/caller_connection.h"
#include "figreach/direct/runtime/leadership.h"
#include "figreach/direct/runtime/peer_server.h"
#include "figreach/runtime/event_loop.h"
#include "figreach/runtime/suspension_clock.h"

namespace figreach::direct {

namespace asio = boost::asio;

inline const std::string signature = "Figreach-Server-Stamp: 3e1b\r\n";
inline const std::string own_id = "Figreach-Request-Id: 9c41\r\n";
/// Marks a request that another host passes on.
inline const std::string from_h2 = "X-Figreach-Forwarded-By: h2\r\n";

inline std::string answer(const char* status, const std::string& fields, const std::string& body)
{
    return std::string{"HTTP/1.1 "} + status + "\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string success(const std::string& body)
{
    return answer("200 OK", own_id + signature, body);
}

/// Returns everything that arrives until the other side closes the connection.
inline std::string read_until_closed(tcp::socket& socket)
{
    std::string out;
    boost::system::error_code failed;
    std::array<char, 4096> chunk{};
    while (!failed) {
        const auto count = socket.read_some(asio::buffer(chunk), failed);
        out.append(chunk.data(), count);
    }
    return out;
}

/// Reads a request without a body. Returns false if the other side closes the connection first.
inline bool read_request(tcp::socket& socket)
{
    boost::system::error_code failed;
    asio::streambuf buffer;
    asio::read_until(socket, buffer, "\r\n\r\n", failed);
    return !failed;
}

/// A backend server that answers each request with the next scripted response. It closes the
/// connection instead of sending an empty response and when no responses are left.
class scripted_server {
public:
    explicit scripted_server(std::vector<std::string> answers_)
        : answers{std::move(answers_)}, upstream{[this](tcp::socket& socket) {
              this->serve(socket);
          }}
    {
    }

    [[nodiscard]] std::string address() const { return this->upstream.address(); }
    [[nodiscard]] std::size_t requests() const { return this->served; }
    /// Header of the last request. Read it only after the request was answered.
    [[nodiscard]] const std::string& last_head() const { return this->head; }

private:
    void serve(tcp::socket& socket)
    {
        boost::system::error_code failed;
        asio::streambuf buffer;
        for (;;) {
            const auto size = asio::read_until(socket, buffer, "\r\n\r\n", failed);
            if (failed) {
                return;
            }
            this->head.assign(asio::buffers_begin(buffer.data()),
                              asio::buffers_begin(buffer.data()) +
                                  static_cast<std::ptrdiff_t>(size));
            buffer.consume(size);
            const auto index = this->served++;
            if (index >= this->answers.size() || this->answers[index].empty()) {
                return;
            }
            const auto& text = this->answers[index];
            asio::write(socket, asio::buffer(text), failed);
            const bool has_length = text.find("Content-Length") != std::string::npos;
            if (!has_length || text.find("Connection: close") != std::string::npos) {
                return;
            }
        }
    }

    std::vector<std::string> answers;
    std::string head;
    std::atomic<std::size_t> served{0};
    fake_upstream upstream;
};

/// An entry host of a path_fixture.
struct fixture_host {
    host_id name{"h1"};
    std::string peer_address = "127.0.0.1:0";
    milliseconds leaving_limit{2000};
};

/// Three hosts that can reach each other.
inline std::vector<fixture_host> three_hosts()
{
    std::vector<fixture_host> out;
    for (const auto* name : {"h1", "h2", "h3"}) {
        out.push_back({.name = {name}, .peer_address = local_address(free_port())});
    }
    return out;
}

/// The request path of an entry host with a preset cluster state.
class path_fixture {
public:
    /// `others` are further registered hosts.
    explicit path_fixture(const std::string& server_address, const fixture_host& own = {},
                          const std::vector<fixture_host>& others = {})
        : state{this->io, settings(own), this->metrics_page},
          feed{this->state},
          leader{this->state},
          peers{this->state, this->leader, this->feed}
    {
        this->set_cluster_state(server_address);
        this->register_host(own);
        for (const auto& one : others) {
            this->register_host(one);
        }
        this->peers.start();
        this->acceptor.listen();
        asio::co_spawn(this->io, this->accept(), asio::detached);
        this->io_thread = std::thread{[this] { this->io.run(); }};
    }
    ~path_fixture() { this->end(); }
    path_fixture(const path_fixture&) = delete;
    path_fixture& operator=(const path_fixture&) = delete;

    /// Returns everything the host writes until it closes the connection.
    std::string exchange(const std::string& request)
    {
        return this->exchange(request, this->acceptor.local_endpoint());
    }

    /// As exchange(), through the address for other hosts.
    std::string exchange_as_peer(const std::string& request)
    {
        return this->exchange(request, this->peers.local_endpoint());
    }

    /// Blocks the host until `resume` is ready, simulating a lack of CPU time.
    void block_event_loop(std::shared_future<void> resume)
    {
        asio::post(this->io, [resume = std::move(resume)] { resume.wait(); });
    }

    /// Makes the host behave as during a planned stop.
    void start_stopping(milliseconds left = std::chrono::hours{1})
    {
        asio::post(this->io, [this, left] {
            this->state.stopping = true;
            this->state.stop_until = monotonic_time::clock::now() + left;
        });
    }

    /// Makes the host find that connections to several servers have failed for a while.
    void lose_server_path() { this->fail_connections(seconds{1}); }

    /// Makes the host find that new connections fail, while a server has just answered.
    void lose_new_connections() { this->fail_connections(seconds{0}); }

    void fail_connections(milliseconds silence)
    {
        this->run_on_loop([this, silence] {
            const auto now = monotonic_time::clock::now();
            this->state.path = server_path{{}, now - silence};
            for (const auto* server : {"a", "b", "c"}) {
                this->state.record_server_unreachable({server});
            }
        });
    }

    /// Makes the host find that servers, of which none is known here, ended while they ran a
    /// request.
    void lose_sends(const request_digest& digest, std::size_t servers)
    {
        this->run_on_loop([&] {
            const auto now = monotonic_time::clock::now();
            for (std::size_t i = 0; i < servers; ++i) {
                const server_lifetime ended{.server = {"ended" + std::to_string(i)}, .lifetime = 1};
                this->state.suspects.on_lost({.digest = digest,
                                              .server = ended,
                                              .failure_domain = {"d"},
                                              .sender = {"h1"},
                                              .sent_at = now},
                                             now);
            }
        });
    }

    /// Puts a changed configuration into force.
    void change_configuration(const std::function<void(route_configuration&)>& change)
    {
        this->run_on_loop([&] {
            ++this->configuration.version;
            change(this->configuration);
            (void)this->state.cluster.apply(store_part::operators,
                                            {configuration_update{this->configuration}}, true,
                                            monotonic_time::clock::now());
        });
    }

    /// Adds a route for one more prefix.
    void add_route(const char* prefix, request_kind kind, const char* service)
    {
        this->change_configuration([&](route_configuration& all) {
            all.routes.push_back(make_route(prefix, kind, service));
        });
    }

    /// Sets how many backend servers a request of any route may be sent to.
    void limit_servers(std::uint32_t max_servers)
    {
        this->change_configuration([max_servers](route_configuration& all) {
            for (auto& route : all.routes) {
                route.max_servers = max_servers;
            }
        });
    }

    /// Registers a further backend server.
    void add_server(const std::string& id, const std::string& service, const std::string& address)
    {
        this->run_on_loop([&] {
            const server_update entry{
                {.id = {id}, .lifetime = 1, .service = {service}, .address = address, .slots = 4}};
            (void)this->state.cluster.apply(store_part::servers, {entry}, false,
                                            monotonic_time::clock::now());
        });
    }

    /// Gives the keys of the divided service to another backend server.
    void move_keys(const std::string& owner)
    {
        this->run_on_loop([&] {
            auto& range = this->keys.ranges.front();
            range.owner = {owner};
            range.fence = this->keys.next_fence++;
            const store_revision revision{{}, ++this->keys_revision};
            (void)this->state.cluster.apply(
                store_part::own, {key_table_update{.table = this->keys, .revision = revision}},
                false, monotonic_time::clock::now());
            this->state.cluster_changed.notify();
        });
    }

    /// Marks the keys of the divided service as moving, so that requests wait, or as owned again.
    void set_moving(bool moving)
    {
        this->run_on_loop([&] {
            this->keys.ranges.front().moving = moving;
            const store_revision revision{{}, ++this->keys_revision};
            (void)this->state.cluster.apply(
                store_part::own, {key_table_update{.table = this->keys, .revision = revision}},
                false, monotonic_time::clock::now());
            this->state.cluster_changed.notify();
        });
    }

    /// Gives the host a share of the limit of a tenant, as the leader does. Requests wait for a
    /// share from then on.
    void give_share(const tenant_share& share)
    {
        this->run_on_loop([&] {
            const auto now = time_with_suspension();
            const auto report = this->state.quota.make_report(now);
            this->state.quota.apply({.number = report.number,
                                     .lifetime = std::chrono::minutes{1},
                                     .hosts = 1,
                                     .tenants = {share}},
                                    now, now);
            this->state.quota_answered = true;
        });
    }

    /// Sets after which time a revoked API key must not be accepted, and when the host last learned
    /// that it has the newest configuration.
    void limit_revocation(milliseconds limit, milliseconds confirmed_ago)
    {
        this->run_on_loop([&] {
            this->state.settings.revocation_limit = limit;
            this->state.freshness = {};
            this->state.freshness.confirm(time_with_suspension() - confirmed_ago);
        });
    }

    /// Number of servers that ended while they ran a request, as the host knows.
    std::size_t lost_sends(const request_digest& digest)
    {
        std::promise<std::size_t> count;
        asio::post(this->io, [&] { count.set_value(this->state.suspects.count(digest)); });
        return count.get_future().get();
    }

    /// Connects as a caller and sends a request without reading the response.
    tcp::socket call(asio::io_context& own, const std::string& request)
    {
        return call(own, request, this->acceptor.local_endpoint());
    }

    /// As call(), through the address for other hosts.
    tcp::socket call_as_peer(asio::io_context& own, const std::string& request)
    {
        return call(own, request, this->peers.local_endpoint());
    }

    /// Ends the host with all its requests. Nothing else may be called afterwards, except counts().
    void end()
    {
        if (this->io_thread.joinable()) {
            this->io.stop();
            this->io_thread.join();
            this->io.destroy_handlers();
        }
    }

    /// Requests in progress and buffered bytes of bodies. Call it on the event loop or after end().
    [[nodiscard]] std::uint64_t counts() const
    {
        return this->state.in_flight + this->state.buffered_bytes;
    }

    /// counts() of a host that runs.
    std::uint64_t current_counts()
    {
        std::promise<std::uint64_t> count;
        asio::post(this->io, [&] { count.set_value(this->counts()); });
        return count.get_future().get();
    }

private:
    void run_on_loop(const std::function<void()>& task)
    {
        std::promise<void> done;
        asio::post(this->io, [&] {
            task();
            done.set_value();
        });
        done.get_future().wait();
    }

    static tcp::socket call(asio::io_context& own, const std::string& request,
                            const tcp::endpoint& endpoint)
    {
        tcp::socket socket{own};
        socket.connect(endpoint);
        asio::write(socket, asio::buffer(request));
        return socket;
    }

    static std::string exchange(const std::string& request, const tcp::endpoint& endpoint)
    {
        asio::io_context own;
        auto socket = call(own, request, endpoint);
        return read_until_closed(socket);
    }

    void register_host(const fixture_host& host)
    {
        const host_update update{
            {.name = host.name, .lifetime = 1, .peer_address = host.peer_address}};
        (void)this->state.cluster.apply(store_part::own, {update}, false,
                                        monotonic_time::clock::now());
    }

    static direct_settings settings(const fixture_host& own)
    {
        direct_settings out;
        out.name = own.name;
        out.peer_address = own.peer_address;
        out.leaving_limit = own.leaving_limit;
        out.store_address = "127.0.0.1:1";
        return out;
    }

    static route_rule make_route(const char* prefix, request_kind kind, const char* service)
    {
        return {.name = prefix,
                .host = "a.example",
                .prefix = prefix,
                .kind = kind,
                .services = {{.service = {service}, .weight = 1}},
                .max_servers = 2,
                .timeout = std::chrono::minutes{5},
                .latency_objective = seconds{1}};
    }

    void set_cluster_state(const std::string& server_address)
    {
        auto& all = this->configuration;
        all.version = 1;
        all.routes = {make_route("/read/", request_kind::idempotent, "lessons"),
                      make_route("/order/", request_kind::non_idempotent, "lessons"),
                      make_route("/media/", request_kind::idempotent, "media"),
                      make_route("/nobody/", request_kind::non_idempotent, "empty"),
                      make_route("/odd/", request_kind::idempotent, "lessons"),
                      make_route("/absent/", request_kind::idempotent, "unknown"),
                      make_route("/faulty/", request_kind::idempotent, "faulty")};
        all.routes[4].unreadable_field = "spec.route_type";
        all.services[{"faulty"}] = {.name = {"faulty"}, .unreadable_field = "spec.max_conns"};
        all.services[{"lessons"}] = {
            .name = {"lessons"}, .most_connections = 100, .divided_by_key = true};
        all.services[{"media"}] = {.name = {"media"}};
        all.services[{"empty"}] = {.name = {"empty"}};
        auto& table = this->keys;
        table = make_key_table({"lessons"});
        table.ranges.front() = {
            .keys = table.ranges.front().keys, .owner = {"s1"}, .owner_lifetime = 1, .fence = 1};
        table.next_fence = 2;
        const auto entry = [&](const char* id, const char* service) {
            return server_update{{.id = {id},
                                  .lifetime = 1,
                                  .service = {service},
                                  .address = server_address,
                                  .slots = 4}};
        };
        const auto now = monotonic_time::clock::now();
        auto& cluster = this->state.cluster;
        (void)cluster.apply(store_part::operators, {configuration_update{all}}, true, now);
        (void)cluster.apply(store_part::servers, {entry("s1", "lessons"), entry("m1", "media")},
                            true, now);
        (void)cluster.apply(store_part::own,
                            {key_table_update{.table = table, .revision = {{}, 1}}}, true, now);
    }

    asio::awaitable<void> accept()
    {
        for (;;) {
            auto socket = co_await this->acceptor.async_accept(asio::use_awaitable);
            const auto connection =
                std::make_shared<caller_connection>(std::move(socket), this->state, this->feed);
            asio::co_spawn(this->io, connection->run(), asio::detached);
        }
    }

    event_loop io{1};
    metrics metrics_page;
    host_context state;
    store_feed feed;
    leadership leader;
    peer_server peers;
    tcp::acceptor acceptor{this->io, {asio::ip::make_address("127.0.0.1"), 0}};
    std::thread io_thread;
    route_configuration configuration;
    key_table keys;
    std::int64_t keys_revision = 1;
};

inline std::string request(const std::string& line, const std::string& more = "")
{
    return line + " HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n" + own_id +
           "Figreach-Shard-Key: 7\r\n" + more + "\r\n";
}

inline const std::string read_one = request("GET /read/1");
inline const std::string order_one = request("POST /order/1", "Content-Length: 0\r\n");

} // namespace figreach::direct
