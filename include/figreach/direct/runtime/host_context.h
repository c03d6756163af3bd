#pragma once

#include <cstdint>
#include <map>
#include <string>

#include <boost/asio/io_context.hpp>

#include "figreach/direct/direct_settings.h"
#include "figreach/direct/knowledge.h"
#include "figreach/direct/runtime/change_signal.h"
#include "figreach/direct/server_views.h"
#include "figreach/retry_budget.h"
#include "figreach/runtime/connection_pool.h"
#include "figreach/runtime/metrics.h"
#include "store_client.h"

namespace figreach::direct {

/// What the duties of one entry host share. All run on one thread.
struct host_context {
    host_context(boost::asio::io_context& io, const direct_settings& settings,
                 metrics& metrics_page);

    /// Notes whether a call to the store that was made at `asked` got an answer; logs when the
    /// store is lost or regained.
    void record_store_call(bool answered, monotonic_time called_at);
    /// Retries of requests for one service that this host may make.
    [[nodiscard]] retry_budget& retry_budget_for(const service_id& service);

    boost::asio::io_context& io;
    direct_settings settings;
    metrics& metrics_page;
    request_metrics& requests; ///< of this host
    std::uint64_t lifetime;    ///< of this process; grows with each start
    platform::store_client store;
    knowledge cluster;
    change_signal cluster_changed; ///< of beliefs
    server_views views;
    connection_pool server_connections; ///< connections that carry requests
    std::map<service_id, retry_budget> retry_budgets;
    std::uint64_t random_state;
    bool store_reachable = true;
    monotonic_time store_unreachable_since{}; ///< first call without an answer, while not reachable
    bool stopping = false;
    bool leads = false; ///< this host gives the orders about keys
    /// Grants of this host that have not ended. While there are any it tells nobody that it has
    /// stopped leading.
    std::uint32_t pending_grants = 0;
    std::uint32_t in_flight = 0;
    std::uint64_t buffered_bytes = 0; ///< of bodies
};

} // namespace figreach::direct
