#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "figreach/direct/cluster_state.h"
#include "figreach/direct/cold_checks.h"
#include "figreach/direct/crash_record_schedule.h"
#include "figreach/direct/crash_suspects.h"
#include "figreach/direct/direct_settings.h"
#include "figreach/direct/peer_health.h"
#include "figreach/direct/process_continuity.h"
#include "figreach/direct/quota/counted_proof.h"
#include "figreach/direct/quota/host_quota.h"
#include "figreach/direct/quota/quota_allocator.h"
#include "figreach/direct/refused_keys.h"
#include "figreach/direct/runtime/change_signal.h"
#include "figreach/direct/server_load_tracker.h"
#include "figreach/direct/server_path.h"
#include "figreach/direct/server_rate_limits.h"
#include "figreach/direct/server_rests.h"
#include "figreach/direct/store_revision.h"
#include "figreach/direct/tenants/configuration_freshness.h"
#include "figreach/retry_budget.h"
#include "figreach/runtime/connection_pool.h"
#include "figreach/runtime/metrics.h"
#include "request_codec.h"
#include "store_client.h"

namespace figreach::direct {

/// State shared by the components of an entry host. Accessed from a single thread.
struct host_context {
    host_context(boost::asio::io_context& io, const direct_settings& settings,
                 metrics& metrics_page);

    /// Records whether the store answered a call made at `called_at`. Logs when the store becomes
    /// unreachable or reachable again.
    void record_store_call(bool answered, monotonic_time called_at);
    /// Records and logs that the store names a later era. If there was a former one, the store came
    /// back from an older copy.
    void record_store_era(store_era era, std::optional<store_era> former);
    /// Records a new connection to a backend server.
    void record_server_connected();
    /// Records an answer of a backend server.
    void record_server_answer();
    /// Records that no connection to a backend server could be made. If the path is lost by that,
    /// connections to servers are reset: they may be silent for good.
    void record_server_unreachable(const backend_server_id& server);
    /// Whether this host has lost its path to all backend servers while other hosts reach some.
    [[nodiscard]] bool is_cut_off() const;
    /// Records what an answer of a backend server says about the rate that it accepts. Logs
    /// changes, and the first of several fields that cannot be read.
    void record_rate_limit(const backend_server_id& server, const platform::answer_head& head,
                           monotonic_time now);
    /// Records that a backend server has said in an answer that it is leaving, and logs it once.
    /// `source` is the host that got the answer, or says which own answer it was.
    void record_leaving(const leaving_report& report, const std::string& source);
    /// As above, for an answer of the known lifetime of the server.
    void record_leaving(const backend_server_id& server, const std::string& source);
    /// Records for how long a backend server that turned a request of this host away wants none.
    /// Logs each rest that is longer than what is known, and fields that cannot be read.
    void record_rest(const server_lifetime& server, const platform::answer_head& head,
                     monotonic_time now);
    /// Records for how long a backend server has said in an answer that it stays cold. Logs when it
    /// did not count as cold. `source` says which answer it was.
    void record_cold(const server_lifetime& server, const platform::answer_head& head,
                     const char* source);
    /// Merges what another host reports about the rates that backend servers accept.
    void merge_rate_limits(const std::vector<rate_limit_report>& reports, const host_id& from);
    /// Merges what another host reports about requests that crash backend servers.
    void merge_crash_reports(const std::vector<crash_report>& reports);
    /// Takes over what the leader reports about such requests.
    void apply_leader_crash_reports(const std::vector<crash_report>& reports,
                                    bool has_crash_record);
    /// Takes over the store's record of such requests if this process has just started and no
    /// leader has told it more.
    void apply_crash_record();
    /// Looks for signs of life of the servers that ended sends, and logs changes.
    void refresh_crash_suspects(monotonic_time now);
    void log_crash_changes();
    /// Clears the requests that the settings name.
    void release_requests();
    /// Drops what is known about backend servers that no longer exist.
    void forget_removed_servers(monotonic_time now);
    /// Returns a random delay that spreads calls of all hosts to the store.
    [[nodiscard]] milliseconds spread_delay();
    /// Whether requests with an API key that arrive now may run: the configuration has no tenants,
    /// its keys may be revoked late, or it has been confirmed lately.
    [[nodiscard]] bool may_accept_keys() const;
    /// This host's retry budget for requests to `service`.
    [[nodiscard]] retry_budget& retry_budget_for(const service_id& service);

    /// Logs that the path to all backend servers was lost or regained.
    void log_server_path(const char* change, monotonic_time::duration silence) const;

    boost::asio::io_context& io;
    direct_settings settings;
    metrics& metrics_page;
    request_metrics& requests; ///< request metrics of this host
    std::uint64_t lifetime;    ///< identifies this process; larger after each start
    platform::store_client store;
    cluster_state cluster;
    change_signal cluster_changed; ///< notified when `cluster` changes
    configuration_freshness freshness;
    host_quota quota;                     ///< this host's part of the limits of tenants
    quota_allocator quota_shares;         ///< of all hosts, used while this host leads
    change_signal quota_wanted;           ///< notified when a request waits for a share
    change_signal quota_changed;          ///< notified when shares have come, or will not come
    bool quota_answered = false;          ///< the leader has answered the latest report
    std::uint64_t quota_refusals = 0;     ///< requests beyond the limit of their tenant
    std::uint64_t key_refusals = 0;       ///< requests without a valid API key
    std::uint64_t freshness_refusals = 0; ///< requests whose key could not be confirmed
    server_load_tracker load_tracker;
    server_path path;
    server_rate_limits rate_limits;
    server_rests rests;
    refused_keys refused;
    crash_suspects suspects;
    crash_record_schedule crash_record_writes; ///< used while this host leads
    store_revision crash_record_seen;          ///< number 0: none
    bool has_leader_crashes = false; ///< a leader that has read the record has told what it knows
    std::set<backend_server_id> invalid_rate_limits; ///< servers whose last field was invalid
    std::set<backend_server_id> invalid_rests;       ///< servers that sent an invalid time
    connection_pool server_connections;              ///< connections for caller requests
    cold_checks cold;
    change_signal cold_checked;          ///< notified when a check ends
    std::uint64_t health_checks = 0;     ///< questions to servers whether they are cold
    std::uint64_t cold_answers = 0;      ///< answers by which servers were found cold
    process_continuity server_processes; ///< of the servers that answer this host
    /// Connections on which requests that may be repeated wait for their answers.
    std::set<std::shared_ptr<upstream_connection>> repeatable_exchanges;
    connection_pool peer_connections; ///< connections for requests passed to other hosts
    peer_health peers;
    std::map<service_id, retry_budget> retry_budgets;
    std::uint64_t random_state;
    store_era first_seen_era{}; ///< of the store, when this process started
    /// When the latest era of the store was first seen, including time spent suspended.
    monotonic_time era_seen_at{};
    /// When this host loads again what it knows of the store's former era, at the latest.
    monotonic_time reload_at{};
    bool store_reachable = true;
    monotonic_time store_unreachable_since{}; ///< start of the first unanswered call
    host_secret secret; ///< proves to other hosts that a message comes from this process
    bool stopping = false;
    monotonic_time stop_until = monotonic_time::max(); ///< requests are cut off then
    bool leads = false;                                ///< this host is the leader and assigns keys
    std::uint64_t led_term = 0;                        ///< set while it leads
    /// Revisions of key tables that this host has written and not yet seen in its watch.
    std::vector<store_revision> unseen_tables;
    /// Grant calls in progress. While there are any, this host does not tell others that it has
    /// stopped leading.
    std::uint32_t pending_grants = 0;
    std::uint32_t in_flight = 0;
    std::uint64_t rest_answers = 0;    ///< answers that began a rest or made it longer
    std::uint64_t leaving_answers = 0; ///< lifetimes of servers that said in an answer they leave
    std::uint64_t answer_bytes = 0;    ///< total size of response bodies that are being read
    std::uint64_t buffered_bytes = 0;  ///< total size of buffered request bodies
};

} // namespace figreach::direct
