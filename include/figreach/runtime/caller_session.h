#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "figreach/ids.h"
#include "figreach/request_attempts.h"
#include "figreach/request_head.h"
#include "figreach/routing.h"
#include "figreach/runtime/connection_pool.h"
#include "figreach/runtime/published_routes.h"
#include "figreach/runtime/relay.h"
#include "figreach/runtime/request_metrics.h"
#include "figreach/runtime/server_link_registry.h"

namespace figreach {

/// State shared by the threads of one request plane.
struct request_plane_state {
    std::atomic<bool> draining{false};
    std::atomic<std::uint64_t> in_flight{0};
};

/// State shared by the sessions of one request thread.
struct request_thread {
    const host_id& self;
    const published_routes& routes;
    const server_link_registry& links;
    connection_pool& pool;
    request_plane_state& plane;
    request_metrics& counts;
    std::shared_ptr<const routing_snapshot> snapshot;
    std::uint64_t seen_generation = 0;
    retry_budget budget{{}};
    std::uint64_t random_state = 0;
    /// Number of requests of this thread in progress, by backend server.
    std::map<backend_server_id, std::uint32_t> outstanding;
};

/// How the current request was served, for the metrics.
struct served_request {
    tenant_id tenant;
    class_id request_class;
    bool forwarded = false;               ///< received from another entry host
    std::optional<request_result> result; ///< empty: no answer was sent
};

/// Serves one connection of a caller or of a forwarding entry host until it closes.
class caller_session {
public:
    caller_session(request_thread& thread, boost::asio::ip::tcp::socket socket);

    boost::asio::awaitable<void> run();
    /// Closes the connection if no request is in progress. Must be called on the session's thread.
    void close_if_idle();

private:
    struct exchange;

    static constexpr milliseconds default_retry_after{200};

    boost::asio::awaitable<bool> serve_one();
    boost::asio::awaitable<bool> check_and_serve(inbound_request caller, monotonic_time arrival);
    boost::asio::awaitable<bool>
    serve_checked(inbound_request caller, const checked_request& request, monotonic_time arrival);
    boost::asio::awaitable<bool> serve(exchange& one);
    boost::asio::awaitable<std::optional<attempt_event>> perform(exchange& one,
                                                                 const attempt_action& action);
    boost::asio::awaitable<attempt_event> wait_and_look_up(exchange& one, milliseconds delay);
    boost::asio::awaitable<attempt_event> send_to_owner(exchange& one);
    boost::asio::awaitable<attempt_event> send_admitted(exchange& one, server_link& link,
                                                        ticket id);
    [[nodiscard]] bool still_owned(const exchange& one);
    boost::asio::awaitable<attempt_event> forward(exchange& one);
    boost::asio::awaitable<std::unique_ptr<upstream_connection>> connect(const std::string& address,
                                                                         monotonic_time deadline);
    /// Answers the request with an error and records it for the metrics.
    boost::asio::awaitable<bool> refuse_and_record(inbound_request caller, error_kind kind,
                                                   milliseconds retry_after = default_retry_after);
    /// Records the metrics of the request that was just served. A forwarded request is recorded by
    /// the host that forwarded it.
    void count(monotonic_time arrival);
    [[nodiscard]] attempt_event look_up(exchange& one);
    void choose_server(exchange& one);

    request_thread& thread;
    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer{max_read_buffer_bytes};
    bool idle = false;
    served_request served; ///< the current request
};

} // namespace figreach
