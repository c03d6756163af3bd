#include "backend_records.h"

#include <exception>
#include <limits>

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json.hpp>

#include "figreach/runtime/connection_pool.h"

namespace figreach::load {

namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

constexpr seconds fetch_limit{30};
constexpr unsigned http_1_1 = 11;

std::string http_get(const std::string& address, const std::string& target)
{
    boost::asio::io_context io;
    boost::beast::tcp_stream stream{io};
    stream.expires_after(fetch_limit);
    stream.connect(to_endpoint(address));
    http::request<http::string_body> request{http::verb::get, target, http_1_1};
    request.set(http::field::host, address);
    http::write(stream, request);
    boost::beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    http::read(stream, buffer, parser);
    return parser.get().body();
}

std::string string_field(const json::object& in, const char* key)
{
    return std::string{in.at(key).as_string()};
}

server_execution to_execution(const std::string& server, const json::object& in)
{
    return {.server = server,
            .request_id = string_field(in, "request"),
            .idempotency_key = string_field(in, "idempotency_key"),
            .key = string_field(in, "key"),
            .fence = in.at("fence").to_number<std::uint64_t>(),
            .start_ns = in.at("start_ns").to_number<std::int64_t>(),
            .end_ns = in.at("end_ns").to_number<std::int64_t>()};
}

} // namespace

std::optional<backend_record> fetch_backend(const std::string& address)
{
    try {
        const auto parsed = json::parse(http_get(address, "/standin/executions"));
        const auto& in = parsed.as_object();
        const auto server = string_field(in, "server");
        backend_record out;
        out.complete = in.at("dropped").to_number<std::uint64_t>() == 0;
        for (const auto& one : in.at("executions").as_array()) {
            out.executions.push_back(to_execution(server, one.as_object()));
        }
        out.counts = http_get(address, "/standin/counts");
        return out;
    }
    catch (const std::exception&) {
        return std::nullopt;
    }
}

} // namespace figreach::load
