#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "figreach/direct/crash_suspects.h"
#include "figreach/direct/forwarding_head.h"
#include "figreach/direct/request_digest.h"
#include "figreach/direct/runtime/exchange.h"
#include "figreach/direct/runtime/host_context.h"
#include "figreach/direct/runtime/store_feed.h"
#include "figreach/direct/server_allowance.h"
#include "figreach/direct/server_lifetime.h"
#include "figreach/error_kind.h"
#include "figreach/request_attempts.h"
#include "request_codec.h"

namespace figreach::direct {

struct forwarded_answer_head;

/// A completely received client request.
struct caller_request {
    http_request message;
    platform::caller_head head;
    monotonic_time arrival{};
    std::optional<forwarding_head> forwarded = std::nullopt; ///< set if an entry host passed it on
    std::optional<request_digest> digest = std::nullopt;     ///< unknown if an older host did
};

/// A refusal issued by this host.
struct host_refusal {
    error_kind kind = error_kind::overloaded;
    milliseconds retry_after{0};
};

/// The caller has disconnected; no response is sent.
struct caller_disconnected {};

using request_outcome = std::variant<http_response, host_refusal, caller_disconnected>;

/// Serves one request: selects the route and the backend server and handles failed attempts.
class request_runner {
public:
    /// `state` and `feed` must outlive the runner.
    request_runner(host_context& state, store_feed& feed);

    boost::asio::awaitable<request_outcome> run(const caller_request& request);
    /// The server that answered, or to which the request was sent last; empty if there is none.
    [[nodiscard]] const backend_server_id& server() const;
    /// Called when the caller disconnects. Aborts a pending exchange only if the request is
    /// idempotent.
    void cancel();

private:
    [[nodiscard]] bool ends_before_stop() const;
    struct target {
        backend_server_id id;
        std::string address;
        std::uint64_t lifetime = 0;
        failure_domain_id failure_domain;
        std::uint32_t slots = 0;
        bool cold = false;
        std::uint64_t fence = 0;
        /// Other hosts to pass the request to, in order of preference; empty if this host sends.
        std::vector<host_id> peers;
        std::uint32_t hops_left = 0;    ///< how often a peer may pass it on
        const char* forwarded_for = ""; ///< why a peer sends, for the log

        [[nodiscard]] server_lifetime process() const
        {
            return {.server = this->id, .lifetime = this->lifetime};
        }
    };
    struct wait_for_change {};
    using choice = std::variant<target, wait_for_change, host_refusal>;

    boost::asio::awaitable<request_outcome> serve(const caller_request& request);
    /// These return the refusal if the request may not run.
    [[nodiscard]] std::optional<host_refusal> find_route(const caller_request& request);
    [[nodiscard]] std::optional<host_refusal> select_service(const caller_request& request);
    [[nodiscard]] host_refusal configuration_mismatch();
    [[nodiscard]] bool may_be_outdated(const host_refusal& refusal,
                                       const caller_request& request) const;
    [[nodiscard]] std::optional<host_refusal> identify_tenant(const caller_request& request);
    /// Counts the request against the limit of its tenant; waits a short time for a share of it.
    /// Returns the refusal if the request may not run.
    boost::asio::awaitable<std::optional<host_refusal>>
    count_against_limit(const caller_request& request);
    [[nodiscard]] bool is_counted_elsewhere(const caller_request& request) const;
    boost::asio::awaitable<attempt_event> attempt(const caller_request& request);
    boost::asio::awaitable<attempt_event> attempt_alone(const caller_request& request);
    [[nodiscard]] bool may_be_cold(const choice& chosen) const;
    boost::asio::awaitable<bool> check_cold(const target& to);
    boost::asio::awaitable<bool> call_health_path(const target& to, monotonic_time until);
    boost::asio::awaitable<attempt_event> send_or_forward(const caller_request& request, target to);
    boost::asio::awaitable<attempt_event> send(const caller_request& request, target to);
    boost::asio::awaitable<attempt_event> forward(const caller_request& request, target to);
    [[nodiscard]] attempt_event handle_forwarded_answer(exchange_result result,
                                                        const forwarded_answer_head& head,
                                                        const target& to);
    void record_forwarded(const forwarded_answer_head& head);
    void limit_replay(attempt_event& event, const caller_request& request) const;
    [[nodiscard]] attempt_event accept_answer(http_response received, execution_claim claim);
    /// Sends the message on a connection of the pool and gives the connection back if it can be
    /// used again.
    boost::asio::awaitable<exchange_result> exchange_on(connection_pool& pool,
                                                        const std::string& address,
                                                        std::unique_ptr<upstream_connection> taken,
                                                        std::shared_ptr<const http_request> message,
                                                        const std::string& request_id);
    [[nodiscard]] attempt_event handle_result(const caller_request& request,
                                              const exchange_result& result, const target& to,
                                              nanoseconds latency);
    [[nodiscard]] static std::optional<attempt_event> event_without_target(const choice& chosen);
    [[nodiscard]] choice select_target(const caller_request& request);
    [[nodiscard]] choice select_owner(const caller_request& request);
    [[nodiscard]] choice select_any_server(const caller_request& request);
    /// Why servers of a service cannot take a request.
    struct unavailable_servers {
        const server_record* unreachable =
            nullptr; ///< reached by other hosts; null if there is none
        host_refusal refusal;
    };
    [[nodiscard]] choice select_of_all(const caller_request& request,
                                       const std::vector<const server_record*>& records,
                                       unavailable_servers& unavailable, monotonic_time now);
    [[nodiscard]] std::optional<double> cost_of(const caller_request& request,
                                                const server_record& record,
                                                unavailable_servers& unavailable,
                                                monotonic_time now);
    [[nodiscard]] bool accepts_requests(const server_record& record, monotonic_time now) const;
    [[nodiscard]] bool accepts_requests(const target& to, monotonic_time now) const;
    [[nodiscard]] choice admit(const caller_request& request, target to);
    [[nodiscard]] choice admit_limited(const caller_request& request, target to, bool reachable);
    [[nodiscard]] choice pass_on(const caller_request& request, target to);
    [[nodiscard]] choice admit_load(target to);
    [[nodiscard]] std::optional<host_refusal> refuse_load(const backend_server_id& id,
                                                          std::uint64_t lifetime,
                                                          std::uint32_t slots, bool cold);
    [[nodiscard]] std::vector<host_id> preferred_senders(const caller_request& request,
                                                         const target& to, bool reachable) const;
    [[nodiscard]] std::vector<host_id> usable_senders(std::vector<host_id> ordered,
                                                      bool can_send) const;
    [[nodiscard]] std::vector<host_id> helpers(const caller_request& request) const;
    [[nodiscard]] std::vector<host_id> suspect_senders(const caller_request& request) const;
    [[nodiscard]] crash_level level_of(const caller_request& request, monotonic_time now) const;
    [[nodiscard]] bool is_suspected(const caller_request& request) const;
    void record_evidence(const caller_request& request, const exchange_result& result,
                         const target& to, monotonic_time sent_at);
    [[nodiscard]] bool can_reach(const backend_server_id& id, const std::string& address) const;
    [[nodiscard]] bool is_reached_by_others(const backend_server_id& id) const;
    [[nodiscard]] host_refusal refuse_without_path() const;
    [[nodiscard]] std::uint32_t max_connections_per_server() const;
    [[nodiscard]] target make_target(const server_record& record) const;
    [[nodiscard]] milliseconds add_jitter(milliseconds time);
    void log_forward(const caller_request& request, const target& to, const host_id& peer,
                     std::string_view ending) const;
    void log_unreachable(const caller_request& request, const target& to) const;
    void log_send(const caller_request& request, const target& to, const exchange_result& result,
                  nanoseconds latency) const;
    void record_outcome(const caller_request& request, const request_outcome& outcome) const;
    void log_outcome(const caller_request& request, const request_outcome& outcome) const;

    host_context& state;
    store_feed& feed;
    std::shared_ptr<route_table> routes; ///< owns the objects that `route` and `service` point to
    const route_rule* route = nullptr;
    const service_rule* service = nullptr;
    /// Owns the object that `tenant` points to: the newest configuration when it was identified.
    std::shared_ptr<route_table> identified_by;
    const tenant_rule* tenant = nullptr;          ///< null if the request needs no API key
    std::optional<api_key_digest> key;            ///< decoded when the request is first identified
    std::optional<host_refusal> identity_refusal; ///< the API key has been revoked meanwhile
    std::optional<request_attempts> attempts;
    tenant_id counted_tenant;    ///< against whose limit this host has counted the request
    bool counted = false;        ///< against the limit of the tenant, by this host
    monotonic_time arrived_at{}; ///< including time spent suspended
    monotonic_time deadline{};
    server_allowance allowance{1}; ///< set from the route once it is known
    std::optional<http_response> answer;
    std::optional<http_response> server_error; ///< latest 5xx response, in case a retry fails
    shared_connection upstream;
    target last_target;
    crash_level highest_level = crash_level::none; ///< at any attempt
    bool cancelled = false;
};

} // namespace figreach::direct
