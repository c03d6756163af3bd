#pragma once

#include <boost/beast/core/error.hpp>
#include <boost/beast/http/fields.hpp>

#include "figreach/error_kind.h"

namespace figreach {

/// Whether the body of a request is framed by at most one Content-Length or by chunked transfer
/// coding alone, so that no other parser can frame it differently (request smuggling).
[[nodiscard]] bool has_unambiguous_framing(const boost::beast::http::fields& fields);

/// Whether a read failed because of malformed input, not because the connection ended.
[[nodiscard]] bool is_protocol_error(const boost::beast::error_code& failed);

/// The error to answer with if a request could not be parsed.
[[nodiscard]] error_kind kind_of_parse_failure(const boost::beast::error_code& failed);

} // namespace figreach
