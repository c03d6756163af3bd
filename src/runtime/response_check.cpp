#include "figreach/runtime/response_check.h"

#include <boost/asio/error.hpp>

namespace figreach {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

/// Whether the connection ended otherwise than by a close, of the server or of this host.
bool is_connection_lost(const beast::error_code& write_error)
{
    // A reset that follows the server's close is reported as a broken pipe.
    const bool closed_by_server = write_error == asio::error::broken_pipe;
    const bool closed_here = write_error == asio::error::operation_aborted ||
                             write_error == asio::error::bad_descriptor ||
                             write_error == beast::error::timeout;
    return write_error && !closed_by_server && !closed_here;
}

} // namespace

bool is_cut_off(const http::basic_parser<false>& response, const beast::error_code& write_error)
{
    return response.need_eof() && is_connection_lost(write_error);
}

} // namespace figreach
