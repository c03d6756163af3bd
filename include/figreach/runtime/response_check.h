#pragma once

#include <boost/beast/core/error.hpp>
#include <boost/beast/http/basic_parser.hpp>

namespace figreach {

// What every reader of responses checks, whoever sent them.

/// Whether a response of which everything has been read was cut off nevertheless. A body without a
/// length or a last chunk is complete only if the server closed its connection. The system reports
/// a reset once: if the write of the request gets the error, the read gets the end of the stream.
/// `write_error` is the result of that write.
[[nodiscard]] bool is_cut_off(const boost::beast::http::basic_parser<false>& response,
                              const boost::beast::error_code& write_error);

} // namespace figreach
