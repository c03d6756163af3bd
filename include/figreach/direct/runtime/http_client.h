#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/verb.hpp>

#include "figreach/runtime/connection_pool.h"
#include "figreach/time.h"

namespace figreach::direct {

enum class call_failure : std::uint8_t {
    not_sent,         ///< nothing was sent: no connection before the deadline
    no_answer,        ///< the peer may have received the request or may still receive it
    unproven_process, ///< nothing was sent: no connection is known to lead to the right process
};

using http_request = boost::beast::http::request<boost::beast::http::string_body>;
using http_response = boost::beast::http::response<boost::beast::http::string_body>;
using http_result = std::variant<http_response, call_failure>;

[[nodiscard]] http_request make_request(boost::beast::http::verb method, const std::string& target,
                                        std::string body = {});

/// An answer of the store contains up to 1 MB of items, encoded in base64.
inline constexpr std::uint64_t max_listing_bytes = 8ULL * 1024 * 1024;
/// Of an order, whose answer has no body. A faulty server may send one without end.
inline constexpr std::uint64_t max_order_answer_bytes = 64ULL * 1024;

/// Which connection a call uses.
enum class call_connection : std::uint8_t {
    pooled, ///< kept open for further calls
    own,    ///< a new one, closed after the call: no answer to an earlier call can arrive on it
};

/// Sends a request on a connection and reads the answer. Resets the connection if that fails by the
/// deadline, which discards bytes that are still queued for sending.
boost::asio::awaitable<http_result> call_on(upstream_connection& connection, std::string address,
                                            http_request request, monotonic_time deadline,
                                            bool keep_alive, std::uint64_t max_answer_bytes);
/// Whether a connection may be used for further calls after a kept call that ended so. Calls carry
/// no id: a copy of a refusal must not be taken for the answer to a later call.
[[nodiscard]] bool leaves_reusable(const http_result& result);

/// HTTP client with pooled connections for short control calls. Not thread-safe.
class http_client {
public:
    explicit http_client(boost::asio::io_context& io,
                         std::uint64_t max_answer_bytes = max_listing_bytes);

    /// Sends nothing after `deadline`. Without a response by then it resets the connection, which
    /// discards bytes that are still queued for sending.
    boost::asio::awaitable<http_result> call(std::string address, http_request request,
                                             monotonic_time deadline,
                                             call_connection use = call_connection::pooled);

private:
    connection_pool pool;
    std::uint64_t max_answer_bytes;
};

} // namespace figreach::direct
