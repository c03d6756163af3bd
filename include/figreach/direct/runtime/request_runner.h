#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>

#include <boost/asio/awaitable.hpp>

#include "figreach/direct/forwarding_head.h"
#include "figreach/direct/runtime/exchange.h"
#include "figreach/direct/runtime/host_context.h"
#include "figreach/direct/runtime/store_feed.h"
#include "figreach/error_kind.h"
#include "figreach/request_attempts.h"
#include "request_codec.h"

namespace figreach::direct {

/// A completely received client request.
struct caller_request {
    http_request message;
    platform::caller_head head;
    monotonic_time arrival{};
    std::optional<forwarding_head> forwarded = std::nullopt; ///< set if an entry host passed it on
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
    struct target {
        backend_server_id id;
        std::string address;
        std::uint32_t slots = 0;
        bool cold = false;
        std::uint64_t fence = 0;
    };
    struct wait_for_change {};
    using choice = std::variant<target, wait_for_change, host_refusal>;

    boost::asio::awaitable<request_outcome> serve(const caller_request& request);
    boost::asio::awaitable<attempt_event> attempt(const caller_request& request);
    boost::asio::awaitable<attempt_event> send(const caller_request& request, target to);
    [[nodiscard]] attempt_event handle_result(const exchange_result& result, const target& to,
                                              nanoseconds latency);
    [[nodiscard]] choice select_target(const caller_request& request);
    [[nodiscard]] choice select_owner(const caller_request& request);
    [[nodiscard]] choice select_any_server();
    [[nodiscard]] choice admit(target to);
    [[nodiscard]] std::uint32_t max_connections_per_server() const;
    [[nodiscard]] target make_target(const server_record& record) const;
    [[nodiscard]] milliseconds add_jitter(milliseconds time);
    void log_send(const caller_request& request, const target& to, const char* ending,
                  const std::string& detail) const;
    void record_outcome(const caller_request& request, const request_outcome& outcome) const;
    void log_outcome(const caller_request& request, const request_outcome& outcome) const;

    host_context& state;
    store_feed& feed;
    std::shared_ptr<route_table> routes; ///< owns the objects that `route` and `service` point to
    const route_rule* route = nullptr;
    const service_rule* service = nullptr;
    std::optional<request_attempts> attempts;
    monotonic_time deadline{};
    std::set<backend_server_id> tried_servers;
    std::optional<http_response> answer;
    std::optional<http_response> server_error; ///< latest 5xx response, in case a retry fails
    shared_connection upstream;
    target last_target;
    bool cancelled = false;
};

} // namespace figreach::direct
