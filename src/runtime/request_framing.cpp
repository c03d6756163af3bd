#include "figreach/runtime/request_framing.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/field.hpp>

namespace figreach {

namespace beast = boost::beast;
namespace http = beast::http;

bool has_unambiguous_framing(const http::fields& fields)
{
    const auto codings = fields.count(http::field::transfer_encoding);
    const auto lengths = fields.count(http::field::content_length);
    if (codings == 0) {
        return lengths <= 1;
    }
    return codings == 1 && lengths == 0 &&
           beast::iequals(fields[http::field::transfer_encoding], "chunked");
}

bool is_protocol_error(const beast::error_code& failed)
{
    return failed.category() == make_error_code(http::error{}).category() &&
           failed != http::error::end_of_stream && failed != http::error::partial_message;
}

error_kind kind_of_parse_failure(const beast::error_code& failed)
{
    if (failed == http::error::header_limit) {
        return error_kind::header_too_large;
    }
    return failed == http::error::body_limit ? error_kind::body_too_large
                                             : error_kind::malformed_request;
}

} // namespace figreach
