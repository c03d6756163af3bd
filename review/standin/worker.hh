#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "figreach/direct/runtime/http_client.h"
#include "key_holder.h"
#include "store_server.h"

namespace figreach::review {

struct worker_settings {
    std::string id;
    std::string service;
    std::string failure_domain;
    bool divided_by_key = false;
    std::uint32_t slots = 4;
    std::uint32_t queue = 16;
    milliseconds work{120};
    milliseconds heartbeat{870};
};

/// A request at the moment at which the worker takes it from its queue and begins to run it, or at
/// which it has arrived.
struct worker_request {
    std::string id;
    std::optional<std::uint32_t> key;
    std::uint64_t body_bytes = 0;
};

/// A sound backend server of the platform: reports to the store, takes grants and runs requests.
class worker {
public:
    using listener = std::function<void(const worker&, const worker_request&)>;

    worker(boost::asio::io_context& io, standin::store_model& store,
           standin::store_server& store_api, worker_settings settings);

    listener on_arrival;
    listener on_run;
    bool reports = true; ///< whether it writes its entry
    /// Whether a connection from this port of a caller is cut, so that it is reset.
    std::function<bool(std::uint16_t port)> is_cut_from;

    /// Starts the process; after end() it starts again under its id and address.
    void start();
    /// Ends the process: closes its port and resets all connections.
    void end();

    [[nodiscard]] const worker_settings& about() const;
    [[nodiscard]] const std::string& address() const;
    /// The key of its entry in the store.
    [[nodiscard]] std::string entry_key() const;
    /// Its entry as another writer would write it for another service.
    [[nodiscard]] std::string entry_for(const std::string& service, std::uint64_t born_ms) const;
    [[nodiscard]] bool is_up() const;
    /// Whether its entry lapses: it has not reported for three intervals.
    [[nodiscard]] bool is_silent(monotonic_time now) const;
    [[nodiscard]] bool holds(std::uint32_t key, monotonic_time now) const;
    [[nodiscard]] monotonic_time held_since(std::uint32_t key) const;

private:
    using stream = boost::beast::tcp_stream;
    using answer = std::optional<direct::http_response>;

    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(std::shared_ptr<stream> connection);
    boost::asio::awaitable<answer> handle(const direct::http_request& request);
    boost::asio::awaitable<answer> order(const direct::http_request& request);
    boost::asio::awaitable<answer> work(const direct::http_request& request);
    boost::asio::awaitable<void> report();
    void write_entry();
    [[nodiscard]] direct::http_response make_answer(unsigned status) const;
    [[nodiscard]] bool is_busy(const direct::key_span& keys) const;

    boost::asio::io_context& io;
    standin::store_model& store;
    standin::store_server& store_api;
    worker_settings settings;
    boost::asio::ip::tcp::acceptor listening;
    boost::asio::ip::tcp::endpoint endpoint;
    std::string own_address;
    std::uint64_t starts = 0;
    std::set<std::shared_ptr<stream>> connections;
    bool up = false;
    std::uint64_t born_ms = 0;
    std::uint64_t sequence = 0;
    monotonic_time reported_at{};
    standin::key_holder held;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::map<std::uint32_t, std::uint32_t> running_by_key;
};

/// Unix milliseconds now.
[[nodiscard]] std::uint64_t unix_ms();

} // namespace figreach::review
