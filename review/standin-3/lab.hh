#pragma once

// Parts of the cases: a store, backend servers, entry hosts as separate processes, and callers.

#include <atomic>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "figreach/direct/runtime/http_client.h"
#include "key_holder.h"
#include "store_model.h"
#include "store_server.h"

namespace figreach::review {

inline constexpr auto caller_host = "lab.example";

/// Writes lines with their time to record.txt. Thread-safe.
class recorder {
public:
    explicit recorder(const std::filesystem::path& file);
    void write(const std::string& line);

private:
    std::mutex mutex;
    std::ofstream out;
    monotonic_time start;
};

struct route_spec {
    std::string path; ///< the prefix is "/" + path + "/"
    std::string type;
    std::string service;
    double timeout_s = 2.0;
    double objective_s = 0.5;
    unsigned attempts = 2;
};

struct service_spec {
    std::string name;
    bool divided_by_key = false;
};

class worker;

/// Returns true if it has answered, or broken off, itself; `alive` tells whether the connection may
/// go on.
struct answer_hook_result {
    bool handled = false;
    bool keep_open = false;
};

using answer_hook = std::function<boost::asio::awaitable<answer_hook_result>(
    worker&, boost::beast::tcp_stream&, const direct::http_request&)>;

/// The store and the loop on which it and the workers run, in one thread.
class lab {
public:
    explicit lab(std::filesystem::path folder);
    ~lab();
    lab(const lab&) = delete;
    lab& operator=(const lab&) = delete;

    void start();
    void write_configuration(const std::vector<route_spec>& routes,
                             const std::vector<service_spec>& services);
    /// Removes the folder of settings and logs, and ends this process at once: threads of faulty
    /// servers may still write.
    [[noreturn]] void finish(int status);
    /// Runs `work` on the loop and waits for its end.
    void run_on_loop(const std::function<void()>& work);

    boost::asio::io_context io;
    standin::store_model model;
    standin::store_server store;
    recorder record;
    std::filesystem::path folder;

private:
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard;
    std::thread loop;
    std::uint64_t version = 0;
};

struct worker_spec {
    std::string id;
    std::string service;
    std::string zone = "hill";
    unsigned slots = 4;
    bool divided_by_key = false;
    milliseconds work{30};
};

/// A sound backend server, except for what its hook does.
class worker {
public:
    worker(lab& all, worker_spec spec, answer_hook hook = {});

    void start();
    /// Stops reporting and resets its connections, as a crash.
    void crash();
    /// Reports that it drains; it serves on until it is stopped.
    void drain();
    [[nodiscard]] boost::asio::awaitable<direct::http_response>
    usual_answer(const direct::http_request& request);
    [[nodiscard]] direct::http_response make_answer(unsigned status) const;
    /// Applies a grant as if it had arrived at `arrival`; logs who holds the keys.
    bool apply_grant(const direct::http_request& request, monotonic_time arrival);

    worker_spec spec;
    standin::key_holder held;
    /// Called for each request that begins to run.
    std::function<void(worker&, const direct::http_request&)> on_run;
    std::string address;

private:
    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(std::shared_ptr<boost::beast::tcp_stream> stream);
    boost::asio::awaitable<void> report(std::uint64_t life);
    void write_entry();
    [[nodiscard]] boost::asio::awaitable<direct::http_response>
    order(const direct::http_request& request);

    lab& all;
    answer_hook hook;
    boost::asio::ip::tcp::acceptor acceptor;
    std::vector<std::weak_ptr<boost::beast::tcp_stream>> connections;
    std::uint64_t life = 0;
    std::uint64_t born_ms = 0;
    std::uint64_t reports = 0;
    std::int64_t lease = 0;
    unsigned running = 0;
    bool draining = false;
};

/// An entry host, started with the command of the deploy file.
class entry_host {
public:
    entry_host(lab& all, std::string name, std::string zone = "hill", std::string store = {});
    ~entry_host();
    entry_host(const entry_host&) = delete;
    entry_host& operator=(const entry_host&) = delete;

    void start();
    void signal(int number);
    /// Whether the process runs; records its end.
    bool is_running();
    /// Waits until GET /ready gives 200. Returns false if it does not in time.
    bool wait_ready(milliseconds longest);
    [[nodiscard]] long peak_memory_kb() const;
    [[nodiscard]] long memory_kb() const;
    [[nodiscard]] double processor_seconds() const;
    [[nodiscard]] int exit_status() const { return this->status; }

    std::string name;
    std::uint16_t caller_port = 0;
    std::uint16_t admin_port = 0;
    std::uint16_t peer_port = 0;

private:
    [[nodiscard]] long status_field(const std::string& field) const;

    lab& all;
    std::filesystem::path settings;
    pid_t process = 0;
    int status = 0;
};

struct call_spec {
    std::string method = "GET";
    std::string path;
    std::string body;
    std::string id;
    std::optional<std::uint32_t> key;
    std::optional<milliseconds> time_limit;
    std::string more_fields; ///< complete lines
    bool keep_alive = true;
};

struct call_result {
    int status = 0; ///< 0: none
    std::string head;
    std::string body;
    bool complete = false;
    milliseconds took{0};
    std::string ending; ///< "answer", "closed", "reset", "timeout", "unconnected"
};

/// One connection of a caller, with blocking calls.
class caller {
public:
    explicit caller(std::uint16_t port, int receive_buffer = 0);
    ~caller();
    caller(const caller&) = delete;
    caller& operator=(const caller&) = delete;

    [[nodiscard]] bool is_connected() const { return this->socket >= 0; }
    bool send(const std::string& bytes);
    /// Reads one answer. `pause` sleeps after the head has come, before the body is read on.
    call_result receive(milliseconds longest, milliseconds pause = milliseconds{0});
    call_result call(const call_spec& what, milliseconds longest,
                     milliseconds pause = milliseconds{0});
    void close();
    /// Reads no more than this many bytes a second for some time after the first bytes of an
    /// answer, and then as fast as they come.
    void read_slowly(std::size_t bytes_per_s, milliseconds time)
    {
        this->rate = bytes_per_s;
        this->slow_for = time;
    }
    [[nodiscard]] static std::string bytes_of(const call_spec& what);

private:
    int socket = -1;
    std::string read_ahead;
    std::size_t rate = 0;
    milliseconds slow_for{0};
};

[[nodiscard]] std::string next_id();
[[nodiscard]] bool has_trouble(); ///< TROUBLE is not 0
void pause_for(milliseconds time);

} // namespace figreach::review
