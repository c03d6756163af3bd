#pragma once

#include <boost/beast/core/error.hpp>
#include <boost/beast/http/fields.hpp>

#include "figreach/error_kind.h"

namespace figreach {

/// Whether the body of a request is framed so that no other reader can understand it otherwise:
/// by one length, or by the chunked coding alone.
[[nodiscard]] bool has_unambiguous_framing(const boost::beast::http::fields& fields);

/// Whether a read failed because of the bytes that came, not because they ended.
[[nodiscard]] bool is_protocol_error(const boost::beast::error_code& failed);

/// The refusal that is due for a request that could not be parsed.
[[nodiscard]] error_kind kind_of_parse_failure(const boost::beast::error_code& failed);

} // namespace figreach
