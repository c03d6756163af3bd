#pragma once

#include <cstdint>
#include <filesystem>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "backend_server.h"
#include "fault_plan.h"
#include "fault_proxy.h"
#include "host_process.h"
#include "promise_checks.h"
#include "store_server.h"

namespace figreach::soak {

struct soak_settings {
    std::uint64_t seed = 1;
    std::uint32_t hosts = 3;
    std::uint32_t keyed_servers = 6;
    std::uint32_t unkeyed_servers = 2; ///< of a service that is not divided by key
    std::uint32_t callers = 16;
    milliseconds fault_time{12000};   ///< period in which faults start
    milliseconds recovery_time{6000}; ///< after faults ended and hosts had time to restart
    bool no_restores = false;         ///< the store never comes back from a copy
    std::optional<std::uint32_t> crashing_requests; ///< see plan_settings
    bool servers_ignore_fences = false; ///< violates the fencing contract, so that checks must fail
    std::filesystem::path program;
    std::filesystem::path folder; ///< for settings and logs
};

/// Runs one seed: entry hosts are child processes; the platform's store, the backend servers and
/// the callers run in this process. Hosts reach the store and the servers through fault proxies.
class soak_run {
public:
    explicit soak_run(soak_settings settings);

    /// Returns when the run is complete and all host processes have exited.
    const promise_checks& run();
    [[nodiscard]] const std::map<fault_kind, std::uint32_t>& injected_faults() const;

private:
    static constexpr milliseconds stop_timeout{7000}; ///< between SIGTERM and SIGKILL

    struct server_entry {
        std::unique_ptr<standin::backend_server> server;
        std::unique_ptr<fault_proxy> link;
        monotonic_time link_faulty_until{};
        monotonic_time absent_until{}; ///< the server was down until then
    };
    struct host_entry {
        std::unique_ptr<fault_proxy> store_link;
        std::unique_ptr<host_process> process;
        std::uint64_t last_start = 0; ///< start number of the process when last checked
        monotonic_time faulty_until{};
    };
    struct prepared_request {
        direct::http_request message;
        sent_request sent;
        /// Configuration version that added the route; 0 for the other routes.
        std::uint64_t version = 0;
    };

    void add_servers();
    void add_hosts();
    void write_configuration();
    void request_started(const standin::backend_server& server, const standin::backend_run& what);
    void request_arrived(const standin::backend_server& server,
                         const standin::request_arrival& what);
    void crash_step_taken(const standin::backend_server& server, const standin::crash_event& what);
    /// Whether hosts send requests for this server themselves instead of passing them on.
    [[nodiscard]] bool is_sent_to_directly(const standin::backend_server& server,
                                           monotonic_time now) const;
    /// Whether a request from the host reaches the server without a fault in `stable_window`.
    [[nodiscard]] bool in_touch(const host_entry& host, const standin::backend_server& server,
                                monotonic_time now) const;
    void record_fault_end(const planned_fault& fault);
    void record_host_starts();
    void check_holders();
    /// Appends promises broken since the last call to broken.log, with wall-clock timestamps in the
    /// format of the hosts' logs.
    void log_broken_promises();
    [[nodiscard]] prepared_request prepare_request();
    boost::asio::awaitable<void> run_seed();
    boost::asio::awaitable<void> inject(planned_fault fault);
    boost::asio::awaitable<void> inject_host_fault(planned_fault fault);
    boost::asio::awaitable<void> inject_store_fault(planned_fault fault);
    boost::asio::awaitable<void> inject_server_fault(planned_fault fault);
    boost::asio::awaitable<void> inject_link_fault(planned_fault fault);
    boost::asio::awaitable<void> run_caller();
    boost::asio::awaitable<void> repeat_crashing_request(std::uint32_t number);
    boost::asio::awaitable<unsigned> exchange(boost::beast::tcp_stream& connection,
                                              const prepared_request& request,
                                              const host_process& host);
    void end_all_faults();

    soak_settings settings;
    std::uint64_t random_state;
    boost::asio::io_context io;
    standin::store_model model;
    standin::store_server store;
    std::vector<server_entry> servers;
    std::vector<host_entry> hosts;
    promise_checks checks;
    std::uint64_t version = 1; ///< of the configuration
    std::uint64_t next_request = 1;
    monotonic_time store_faulty_until{};
    /// Index of the host that a crashing request was sent to, by request id.
    std::map<std::string, std::size_t> crashing_request_hosts;
    bool callers_active = true;
    bool faults_over = false; ///< all faults ended and hosts had time to restart
    std::uint64_t answers_after_faults = 0;
    std::size_t logged = 0; ///< broken promises written to broken.log
    std::map<fault_kind, std::uint32_t> fault_counts;
};

} // namespace figreach::soak
