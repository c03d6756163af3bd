#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "figreach/direct/runtime/http_client.h"
#include "figreach/runtime/connection_pool.h"
#include "figreach/time.h"
#include "request_codec.h"

namespace figreach::direct {

/// Outcome of one request/response exchange with a backend server.
enum class exchange_outcome : std::uint8_t {
    answered,  ///< complete response to this request
    not_run,   ///< the server reports that it did not execute the request
    lost,      ///< no response that can be forwarded; the request may have been executed
    late,      ///< the deadline expired
    cancelled, ///< the connection was closed locally before the deadline
};

struct exchange_result {
    exchange_outcome outcome = exchange_outcome::lost;
    http_response answer; ///< set when answered or not_run
    /// Parsed from `answer`. `leaving` is set if any response said so, also one that is not used.
    platform::answer_head head;
    std::string detail;            ///< reason when lost; otherwise empty
    bool closed_by_server = false; ///< lost because the server's side ended the connection
};

using shared_connection = std::shared_ptr<upstream_connection>;

/// Sends a request and reads the complete response. On return the connection is open only if it
/// can be reused. `buffered_bytes` counts the bodies that are being read; a response that would
/// exceed the limit of all of them together counts as lost.
boost::asio::awaitable<exchange_result> exchange(shared_connection connection,
                                                 std::shared_ptr<const http_request> request,
                                                 std::string request_id, monotonic_time deadline,
                                                 std::uint64_t& buffered_bytes);

/// The caller's message without the header fields that concern only the caller's connection.
[[nodiscard]] http_request make_upstream_message(const http_request& message);

[[nodiscard]] constexpr const char* name_of(exchange_outcome outcome)
{
    switch (outcome) {
    case exchange_outcome::answered:
        return "answered";
    case exchange_outcome::not_run:
        return "not_run";
    case exchange_outcome::lost:
        return "lost";
    case exchange_outcome::late:
        return "late";
    case exchange_outcome::cancelled:
        return "cancelled";
    }
    return "unknown";
}

} // namespace figreach::direct
