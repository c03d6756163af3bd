#pragma once

#include <atomic>
#include <memory>
#include <set>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>

#include "figreach/direct/runtime/host_context.h"
#include "figreach/direct/runtime/host_registration.h"
#include "figreach/direct/runtime/leadership.h"
#include "figreach/direct/runtime/path_prober.h"
#include "figreach/direct/runtime/peer_server.h"
#include "figreach/direct/runtime/quota_client.h"
#include "figreach/direct/runtime/store_feed.h"
#include "figreach/runtime/admin_server.h"
#include "figreach/runtime/event_loop.h"
#include "figreach/runtime/metrics.h"

namespace figreach::direct {

class caller_connection;

/// An entry host that sends requests directly to key owners. Runs all its components on one event
/// loop.
class direct_host {
public:
    /// Starts listening; throws boost::system::system_error on failure. `settings_file` is reloaded
    /// on SIGHUP.
    direct_host(const direct_settings& settings, std::string settings_file);
    ~direct_host();
    direct_host(const direct_host&) = delete;
    direct_host& operator=(const direct_host&) = delete;

    /// Serves until SIGTERM or SIGINT, then waits up to the stop limit for requests in flight.
    void run();

private:
    /// Counts that `admin` reads on its own thread, as of the last check of the cluster.
    struct sampled_counts {
        std::atomic<std::uint64_t> unreadable_entries{0}; ///< in the configuration
        std::atomic<std::uint64_t> limited_servers{0};
        std::atomic<std::uint64_t> resting_servers{0};
        std::atomic<std::uint64_t> rest_answers{0};
        std::atomic<std::uint64_t> health_checks{0};
        std::atomic<std::uint64_t> cold_answers{0};
        std::atomic<std::uint64_t> leaving_answers{0};
        std::atomic<std::uint64_t> suspected_requests{0};
        std::atomic<std::uint64_t> held_requests{0};
        std::atomic<std::uint64_t> quota_refusals{0};
        std::atomic<std::uint64_t> key_refusals{0};
        std::atomic<std::uint64_t> freshness_refusals{0};
        std::atomic<bool> path_lost{false};
    };

    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> watch_signals();
    boost::asio::awaitable<void> watch_cluster();
    boost::asio::awaitable<void> stop();
    boost::asio::awaitable<void> resign();
    [[nodiscard]] bool is_ready() const;
    void check_freshness();
    void reload();
    void close_idle_connections();
    void add_metrics();
    void sample_counts();

    event_loop io{1};
    metrics metrics_page;
    std::string settings_file;
    host_context state;
    leadership leader;
    host_registration registration;
    store_feed feed;
    quota_client quota;
    peer_server peers;
    path_prober prober;
    boost::asio::ip::tcp::acceptor caller_acceptor;
    boost::asio::signal_set signals;
    std::set<std::weak_ptr<caller_connection>, std::owner_less<>> connections;
    bool resigned = false; ///< leadership and registration have been released
    std::atomic<bool> ready{false};
    std::atomic<bool> accepts_keys{true}; ///< see host_context::may_accept_keys()
    sampled_counts counts;
    admin_server admin;
};

} // namespace figreach::direct
