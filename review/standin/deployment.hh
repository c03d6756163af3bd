#pragma once

#include <cstdint>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "host.hh"
#include "link.hh"
#include "record.hh"
#include "store_server.h"
#include "worker.hh"

namespace figreach::review {

/// How a request ended for its caller. Status 0: the connection ended without a whole answer.
struct call_result {
    unsigned status = 0;
    std::string body;
};

struct call {
    std::string id;
    std::string path;
    bool idempotent = true;
    std::optional<std::uint32_t> key;
    std::string body;
    /// If positive, the body is sent in chunks, evenly over this time.
    milliseconds send_time{0};
    milliseconds time_limit{2500};
};

/// What is known of a request that was sent.
struct call_state {
    std::string host;
    bool idempotent = true;
    bool kept_connection = false; ///< an earlier request of the connection was answered
    bool arrived = false;         ///< at a worker
    bool answered = false;
    unsigned status = 0;
    monotonic_time sent_at{};
};

/// The store, the workers, the callers and the entry hosts of a small deployment. The hosts are
/// processes; everything else runs on one thread of this process.
class deployment {
public:
    deployment(std::filesystem::path program, std::filesystem::path folder, record& log);

    worker& add_worker(worker_settings settings);
    /// `store_address` differs from the store's own address if a proxy stands between.
    host& add_host(const std::string& name, const std::string& failure_domain,
                   const std::string& store_address = {});
    void write_configuration();
    void write_item(const std::string& key, const std::string& value);

    /// Removes lapsed entries of workers for as long as the deployment runs.
    boost::asio::awaitable<void> sweep_entries();
    /// Waits until all hosts say that they are ready.
    boost::asio::awaitable<bool> wait_until_ready();
    /// Opens a connection to the host; empty if there is none.
    boost::asio::awaitable<std::unique_ptr<boost::beast::tcp_stream>> connect(const host& to);
    boost::asio::awaitable<call_result> send(boost::beast::tcp_stream& connection, const host& to,
                                             call what, bool kept_connection);
    /// Sends requests one after the other, on connections that are kept, until callers_active is
    /// false.
    boost::asio::awaitable<void> run_caller(std::vector<host*> to, std::function<call()> next,
                                            milliseconds pause);
    [[nodiscard]] std::string next_id();

    boost::asio::io_context io;
    standin::store_model model;
    standin::store_server store;
    record& log;
    std::vector<std::unique_ptr<worker>> workers;
    std::vector<std::unique_ptr<host>> hosts;
    std::map<std::string, call_state> calls;
    /// Requests that a worker began to run on a key that another live worker held, by worker.
    std::map<std::string, std::uint64_t> runs_on_shared_keys;
    bool callers_active = true;

private:
    void remove_item(const std::string& key);
    /// Returns whether the request was sent.
    boost::asio::awaitable<bool> write(boost::beast::tcp_stream& connection,
                                       const direct::http_request& message, milliseconds time);

    std::filesystem::path program;
    std::filesystem::path folder;
    std::uint64_t next_request = 1;
    std::uint64_t caller_count = 0;
};

/// A host whose connections to the store and from other hosts pass through proxies.
struct linked_host {
    linked_host(deployment& all, const std::string& name, const std::string& failure_domain);

    void set_cut(bool cut);

    link to_store;
    host& process;
    link from_peers;
};

/// Finds keys that two workers hold at the same time.
class holder_check {
public:
    explicit holder_check(deployment& all);

    /// To be called often.
    void look();
    /// The longest time for which two workers held a key together.
    [[nodiscard]] milliseconds longest() const;
    [[nodiscard]] std::size_t keys_held_twice() const;

private:
    struct overlap {
        monotonic_time since{};
        milliseconds length{0};
        bool logged = false;
    };

    deployment& all;
    std::map<std::uint32_t, overlap> overlaps;
};

} // namespace figreach::review
