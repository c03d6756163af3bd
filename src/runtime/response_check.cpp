#include "figreach/runtime/response_check.h"

#include <algorithm>

#include <boost/asio/error.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>

namespace figreach {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr unsigned first_interim = 100;
constexpr unsigned first_final = 200;
constexpr unsigned end_of_final = 600;

/// Whether the body remains encoded once chunks are decoded. Transfer-Encoding concerns one
/// connection and is not sent on.
bool has_other_coding(const http::fields& head)
{
    const auto [first, last] = head.equal_range(http::field::transfer_encoding);
    return !std::all_of(first, last, [](const auto& line) {
        return beast::iequals(line.value(), "chunked") || beast::iequals(line.value(), "identity");
    });
}

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

bool is_interim(unsigned status)
{
    return status < first_final;
}

beast::error_code check_response_head(const http::response_header<>& head)
{
    const auto status = head.result_int();
    // Requests are sent without Upgrade.
    const bool switches_protocol = head.result() == http::status::switching_protocols;
    if (status < first_interim || status >= end_of_final || switches_protocol) {
        return http::error::bad_status;
    }
    if (has_other_coding(head)) {
        return http::error::bad_transfer_encoding;
    }
    return {};
}

bool is_cut_off(const http::basic_parser<false>& response, const beast::error_code& write_error)
{
    return response.need_eof() && is_connection_lost(write_error);
}

} // namespace figreach
