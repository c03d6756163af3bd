#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/parser.hpp>

#include "figreach/error_kind.h"
#include "figreach/idempotency_window.h"
#include "figreach/runtime/connection_pool.h"
#include "figreach/time.h"

namespace figreach {

using request_parser = boost::beast::http::request_parser<boost::beast::http::buffer_body>;

/// A request on its caller's connection. The header is parsed; the body may not have been read yet.
struct inbound_request {
    boost::beast::tcp_stream& stream;
    boost::beast::flat_buffer& buffer;
    request_parser& parser;
    const std::string* buffered_body = nullptr; ///< the whole body if it was read ahead, else null
};

/// How to relay one request: the header fields to send upstream, the deadline and the callbacks.
struct relay_options {
    boost::beast::http::fields fields; ///< sent instead of the request's header fields
    monotonic_time deadline{};
    /// Called right before the first byte is sent. If it returns false, nothing is sent.
    std::function<bool()> may_send = [] { return true; };
    /// Called when the whole answer has been read from the upstream; not called if reading fails.
    std::function<void()> upstream_done = [] {};
    bool cancel_when_caller_leaves = true;
    bool keep_answer = false; ///< store a short answer in relay_result::kept
};

/// How one exchange with an upstream ended.
enum class relay_ending : std::uint8_t {
    answered,    ///< the whole answer was sent to the caller
    refused,     ///< the upstream reported that it did not run the request; nothing was sent on
    not_sent,    ///< no byte was sent to the upstream
    lost,        ///< bytes may have reached the upstream; no answer was sent to the caller
    truncated,   ///< the answer was truncated after its header was sent to the caller
    caller_left, ///< the caller closed or reset its connection
    late,        ///< the deadline passed after bytes may have been sent
};

struct relay_result {
    relay_ending ending = relay_ending::lost;
    unsigned status = 0;
    bool keep_caller = false;   ///< the caller's connection can be reused
    bool keep_upstream = false; ///< the upstream connection can be reused
    milliseconds retry_after{0};
    std::string refusal_name;        ///< error name in the refusal of the upstream
    std::uint64_t incarnation = 0;   ///< reported by a backend server; 0: none
    std::optional<kept_answer> kept; ///< set if relay_options::keep_answer and the answer is short
};

/// Sends the caller's request upstream and streams the answer back. Memory use does not depend on
/// the size of the bodies.
boost::asio::awaitable<relay_result> relay(inbound_request caller, upstream_connection& upstream,
                                           relay_options order);

/// Reads a short body before the request is sent, so that the request can be retried and a slow
/// sender does not occupy a slot. Empty if the caller disconnects, the body is malformed or the
/// deadline passes. Requires can_read_ahead(parser).
boost::asio::awaitable<std::optional<std::string>> read_ahead(inbound_request caller,
                                                              monotonic_time deadline);

/// Whether the body is still unread and has a known length small enough to be read ahead.
[[nodiscard]] bool can_read_ahead(const request_parser& parser);

/// Answers a request with an error; status, fields and body follow the error table. Returns whether
/// the caller's connection can be reused.
boost::asio::awaitable<bool> refuse(inbound_request caller, error_kind kind,
                                    milliseconds retry_after);

/// Answers a repeated request with the stored answer to the first. Returns whether the caller's
/// connection can be reused.
boost::asio::awaitable<bool> replay(inbound_request caller, const kept_answer& answer);

/// Returns the header fields of a message without its hop-by-hop fields, Content-Length and Expect.
[[nodiscard]] boost::beast::http::fields end_to_end_fields(const boost::beast::http::fields& all);

} // namespace figreach
