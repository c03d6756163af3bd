#pragma once

#include <cstdint>
#include <filesystem>
#include <map>
#include <memory>
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
    milliseconds fault_time{12000};     ///< for which faults begin
    milliseconds recovery_time{6000};   ///< after the last one has ended
    bool servers_ignore_fences = false; ///< breaks what the hosts rely on, so that checks must fail
    std::filesystem::path program;
    std::filesystem::path folder; ///< for settings and logs
};

/// Plays one seed: entry hosts as processes, the platform's store, backend servers and callers
/// here, faults from outside. Everything is reached through proxies that can harm the links.
class soak_run {
public:
    explicit soak_run(soak_settings settings);

    /// Returns when the seed has been played; all processes have ended then.
    const promise_checks& run();
    [[nodiscard]] const std::map<fault_kind, std::uint32_t>& injected_faults() const;

private:
    struct server_entry {
        std::unique_ptr<standin::backend_server> server;
        std::unique_ptr<fault_proxy> link;
    };
    struct host_entry {
        std::unique_ptr<fault_proxy> store_link;
        std::unique_ptr<host_process> process;
    };
    struct prepared_request {
        direct::http_request message;
        sent_request sent;
        std::uint64_t version = 0; ///< of the route that only tells the configuration; 0: another
    };

    void add_servers();
    void add_hosts();
    void write_configuration();
    void request_started(const standin::backend_server& server, const standin::backend_run& what);
    void check_holders();
    /// Writes promises that were broken since the last call into the folder, with the time of day
    /// as the hosts' logs have it.
    void log_broken_promises();
    [[nodiscard]] prepared_request prepare_request();
    boost::asio::awaitable<void> run_seed();
    boost::asio::awaitable<void> inject(planned_fault fault);
    boost::asio::awaitable<void> inject_host_fault(planned_fault fault);
    boost::asio::awaitable<void> inject_store_fault(planned_fault fault);
    boost::asio::awaitable<void> inject_server_fault(planned_fault fault);
    boost::asio::awaitable<void> inject_link_fault(planned_fault fault);
    boost::asio::awaitable<void> run_caller();
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
    bool callers_active = true;
    bool faults_over = false; ///< no fault any more
    std::uint64_t answers_after_faults = 0;
    std::size_t logged = 0; ///< broken promises
    std::map<fault_kind, std::uint32_t> fault_counts;
};

} // namespace figreach::soak
