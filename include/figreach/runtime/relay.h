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

/// The caller's side of one exchange: the header is parsed, the body may still be on the way.
struct inbound_request {
    boost::beast::tcp_stream& stream;
    boost::beast::flat_buffer& buffer;
    request_parser& parser;
    const std::string* buffered_body = nullptr; ///< the whole body, when it was read ahead
};

/// What is to be sent upstream, and what is to be told meanwhile.
struct relay_options {
    boost::beast::http::fields fields; ///< replaces the request's end-to-end fields
    monotonic_time deadline{};
    /// Asked right before the first byte is sent.
    std::function<bool()> may_send = [] { return true; };
    /// Called when the upstream has given its whole answer, or will give no more.
    std::function<void()> upstream_done = [] {};
    bool cancel_when_caller_leaves = true;
    bool keep_answer = false; ///< fill relay_result::kept
};

/// How one exchange with an upstream ended.
enum class relay_ending : std::uint8_t {
    answered,    ///< the whole answer was passed on
    refused,     ///< the upstream said that it did not run the request; nothing was passed on
    not_sent,    ///< no byte can have reached the upstream
    lost,        ///< a byte may have been sent; no answer was passed on
    cut_short,   ///< the answer broke off after its beginning was passed on
    caller_gone, ///< the caller left
    late,        ///< the deadline passed after a byte may have been sent
};

struct relay_result {
    relay_ending ending = relay_ending::lost;
    unsigned status = 0;
    bool keep_caller = false;   ///< the caller's connection can carry another request
    bool keep_upstream = false; ///< the upstream connection can carry another request
    milliseconds retry_after{0};
    std::string refused_as;          ///< error name given by an upstream that refused
    std::uint64_t incarnation = 0;   ///< named by a backend server; 0: none
    std::optional<kept_answer> kept; ///< a whole short answer, when asked for
};

/// Sends the caller's request upstream and passes the answer back, in bounded memory.
boost::asio::awaitable<relay_result> relay(inbound_request caller, upstream_connection& upstream,
                                           relay_options order);

/// Reads a short body ahead, so that the request can be sent again and a slow sender holds no
/// slot. Empty when the caller left or the body is malformed. Requires can_read_ahead(parser).
boost::asio::awaitable<std::optional<std::string>> read_ahead(inbound_request caller,
                                                              monotonic_time deadline);

/// Whether the body has a length that is short enough to be read ahead.
[[nodiscard]] bool can_read_ahead(const request_parser& parser);

/// Answers a request that is given up, with the body and fields that the error table states.
/// True when the caller's connection can carry another request.
boost::asio::awaitable<bool> refuse(inbound_request caller, error_kind kind,
                                    milliseconds retry_after);

/// Answers a repeat with the answer that the first request got.
boost::asio::awaitable<bool> replay(inbound_request caller, const kept_answer& answer);

/// The end-to-end fields of a message: all but those that concern one connection.
[[nodiscard]] boost::beast::http::fields end_to_end_fields(const boost::beast::http::fields& all);

} // namespace figreach
