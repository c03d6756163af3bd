#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/parser.hpp>

#include "figreach/error_kind.h"
#include "figreach/runtime/connection_pool.h"
#include "figreach/time.h"

namespace figreach {

using request_parser = boost::beast::http::request_parser<boost::beast::http::buffer_body>;

/// The caller's side of one exchange: the header is parsed, the body may still be on the way.
struct caller_side {
    boost::beast::tcp_stream& stream;
    boost::beast::flat_buffer& buffer;
    request_parser& parser;
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
    std::string refused_as; ///< error name given by an upstream that refused
};

/// Sends the caller's request upstream and passes the answer back, in bounded memory.
/// `fields` replaces the request's end-to-end fields. `may_send` is asked right before the first
/// byte is sent.
boost::asio::awaitable<relay_result> relay(caller_side caller, upstream_connection& upstream,
                                           boost::beast::http::fields fields,
                                           monotonic_time deadline, std::function<bool()> may_send);

/// Answers a request that is given up, with the body and fields that the error table states.
boost::asio::awaitable<bool> refuse(caller_side caller, error_kind kind, milliseconds retry_after);

/// The end-to-end fields of a message: all but those that concern one connection.
[[nodiscard]] boost::beast::http::fields end_to_end(const boost::beast::http::fields& all);

} // namespace figreach
