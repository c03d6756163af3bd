#pragma once

#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <sys/types.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "figreach/direct/runtime/change_signal.h"
#include "store_model.h"
#include "store_server.h"

namespace review {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using clock_type = std::chrono::steady_clock;
using std::chrono::milliseconds;
using request_type = http::request<http::string_body>;
using response_type = http::response<http::string_body>;

/// Writes lines with the time since the start to the record of a case.
class record {
public:
    explicit record(const std::string& path);
    ~record();
    record(const record&) = delete;
    record& operator=(const record&) = delete;

    void line(const char* format, ...) __attribute__((format(printf, 2, 3)));

private:
    std::FILE* file;
    clock_type::time_point start = clock_type::now();
};

struct route {
    std::string name;
    std::string prefix;
    std::string type;
    std::string service;
    double timeout_s = 1.0;
    double target_s = 0.5;
    unsigned attempts = 2;
};

struct service {
    std::string name;
    bool sharded = false;
    unsigned max_conns = 130;
};

/// Figures of the site that differ between cases.
struct site_settings {
    double grace_s = 6.0;
    double drain_s = 2.0;
    double retry_slack = 64.0;
    double heartbeat_s = 0.87;
    double cpu_share = 0.2;
};

/// An entry host, run as the deploy file and the template of its settings say.
class host {
public:
    host(std::string name, std::string zone, const site_settings& site,
         const std::string& store_address, const std::string& folder);
    ~host();
    host(const host&) = delete;
    host& operator=(const host&) = delete;

    void start();
    void signal(int number) const;
    /// Whether the process runs; notes how it ended.
    [[nodiscard]] bool is_running();
    [[nodiscard]] const std::string& exit_text() const { return this->ending; }
    [[nodiscard]] tcp::endpoint front() const;
    [[nodiscard]] tcp::endpoint ready() const;
    [[nodiscard]] const std::string& name() const { return this->own_name; }

private:
    std::string own_name;
    std::string settings_path;
    std::string log_path;
    std::uint16_t front_port;
    std::uint16_t ready_port;
    std::uint16_t peer_port;
    pid_t process = 0;
    std::string ending;
};

class worker;

/// A connection to a worker, for handlers that answer by hand.
struct worker_connection {
    explicit worker_connection(tcp::socket socket_) : socket{std::move(socket_)} {}
    tcp::socket socket;
    beast::flat_buffer buffer;
    std::uint64_t requests = 0;
};

/// What a worker does with a request that it runs. Returns whether the connection stays open.
using work_handler =
    std::function<asio::awaitable<bool>(worker&, worker_connection&, request_type)>;

/// A backend server of a service that is not divided by key, as the pages describe it.
class worker {
public:
    worker(asio::io_context& io, figreach::standin::store_model& store,
           figreach::standin::store_server& store_api, std::string id, std::string service,
           std::string zone, double heartbeat_s);

    void start();
    /// The plain answer of a sound worker.
    [[nodiscard]] response_type make_answer(const request_type& request, std::string body) const;
    asio::awaitable<bool> answer(worker_connection& connection, response_type answer,
                                 bool keep_alive);

    std::string id;
    std::string service;
    std::string zone;
    unsigned slots = 4;
    unsigned queue = 16;
    milliseconds work{48};
    std::size_t answer_bytes = 5000;
    /// Replaces the work and the answer of a request that has begun to run.
    work_handler handler;
    /// Called when a request begins to run.
    std::function<void(const worker&, const std::string& request_id, const request_type&)> on_run;
    asio::io_context& io;

    [[nodiscard]] std::string address() const;

private:
    asio::awaitable<void> accept(std::shared_ptr<tcp::acceptor> listener);
    asio::awaitable<void> serve(std::shared_ptr<worker_connection> connection);
    asio::awaitable<bool> serve_one(worker_connection& connection, request_type request);
    asio::awaitable<void> report();
    void write_entry();

    figreach::standin::store_model& store;
    figreach::standin::store_server& store_api;
    double heartbeat_s;
    std::shared_ptr<tcp::acceptor> listener;
    std::set<std::shared_ptr<worker_connection>> connections;
    std::uint16_t port = 0;
    bool up = false;
    std::uint64_t reports = 0;
    std::int64_t lease = 0;
    unsigned running = 0;
    unsigned waiting = 0;
    std::uint64_t born = 0;
};

/// How a client attempt ended.
struct attempt_result {
    unsigned status = 0; ///< 0: no complete answer
    bool stamped = false;
    std::size_t body_bytes = 0;
    std::string body;
    std::string error;
    bool closed_by_host = false; ///< the connection ended without a complete answer
};

struct client_request {
    std::string method = "GET";
    std::string path;
    std::string id;
    unsigned deadline_ms = 1000;
    std::string body;
    std::optional<unsigned> key;
};

/// A client that keeps its connection for many requests.
class client {
public:
    client(asio::io_context& io, tcp::endpoint to);
    asio::awaitable<attempt_result> send(client_request request);
    void close();
    [[nodiscard]] bool is_open() const { return this->socket.is_open(); }

private:
    asio::awaitable<bool> connect();

    asio::io_context& io;
    tcp::endpoint to;
    tcp::socket socket;
    beast::flat_buffer buffer;
};

/// The platform, the operator and the processes of a case.
class world {
public:
    world(std::string folder, site_settings site);

    asio::io_context io;
    figreach::standin::store_model model;
    figreach::standin::store_server store;
    site_settings site;
    std::string folder;
    std::string scratch;
    record log;
    std::vector<std::unique_ptr<host>> hosts;
    std::vector<std::unique_ptr<worker>> workers;

    void write_configuration(const std::vector<route>& routes,
                             const std::vector<service>& services);
    /// `store_address` is where the host finds the store if it is not the usual place.
    host& add_host(const std::string& name, const std::string& zone,
                   const std::string& store_address = "");
    worker& add_worker(const std::string& id, const std::string& service, const std::string& zone);
    /// Waits until all hosts say that they are ready. Returns false if they do not.
    asio::awaitable<bool> wait_until_ready(milliseconds limit);
    asio::awaitable<void> sleep(milliseconds time);
    std::string next_id();

private:
    std::uint64_t version = 0;
    std::uint64_t ids = 0;
    std::uint64_t id_base;
};

constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_not_run = 2;
constexpr auto caller_host = "review.example";

/// Each returns the exit code of its case.
using scenario = std::function<asio::awaitable<int>(world&, bool trouble)>;

asio::awaitable<int> play_attempts(world& all, bool trouble);
asio::awaitable<int> play_plain_503(world& all, bool trouble);
asio::awaitable<int> play_stale_peer(world& all, bool trouble);

} // namespace review
