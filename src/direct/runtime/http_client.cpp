#include "figreach/direct/runtime/http_client.h"

#include <algorithm>
#include <optional>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/write.hpp>

#include "figreach/direct/runtime/counted_body.h"
#include "figreach/runtime/read_deadline.h"
#include "figreach/runtime/response_check.h"

namespace figreach::direct {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t max_idle_per_address = 4;
constexpr unsigned http_1_1 = 11;
constexpr auto no_throw = asio::as_tuple(asio::use_awaitable);

} // namespace

http_request make_request(http::verb method, const std::string& target, std::string body)
{
    http_request out{method, target, http_1_1};
    out.body() = std::move(body);
    return out;
}

asio::awaitable<http_result> call_on(upstream_connection& connection, std::string address,
                                     http_request request, monotonic_time deadline, bool keep_alive,
                                     std::uint64_t max_answer_bytes)
{
    request.set(http::field::host, address);
    request.keep_alive(keep_alive);
    request.prepare_payload();
    connection.stream.expires_at(deadline);
    const auto [write_error, sent] =
        co_await http::async_write(connection.stream, request, no_throw);
    if (write_error) {
        reset(connection);
        co_return call_failure::no_answer;
    }
    std::optional<http::response_parser<http::string_body>> parser;
    read_deadline read_until{deadline};
    std::uint64_t body_bytes = 0;
    counted_body counted{body_bytes};
    auto read_error =
        co_await read_final_head(connection.stream, connection.buffer, parser, read_until,
                                 [&](auto& next) { next.body_limit(max_answer_bytes); });
    if (!read_error) {
        read_error = co_await read_counted(connection.stream, connection.buffer, *parser,
                                           read_until, counted, max_answer_bytes);
    }
    if (read_error) {
        reset(connection);
        co_return call_failure::no_answer;
    }
    co_return parser->release();
}

bool leaves_reusable(const http_result& result)
{
    const auto* answer = std::get_if<http_response>(&result);
    return answer != nullptr && answer->keep_alive() && answer->result() == http::status::ok;
}

http_client::http_client(asio::io_context& io, std::uint64_t max_answer_bytes_)
    : pool{io, max_idle_per_address}, max_answer_bytes{max_answer_bytes_}
{
}

asio::awaitable<http_result> http_client::call(std::string address, http_request request,
                                               monotonic_time deadline, call_connection use)
{
    const bool keep = use == call_connection::pooled;
    std::unique_ptr<upstream_connection> connection;
    // g++ 12 miscompiles co_await in a conditional expression.
    if (keep) {
        connection = co_await this->pool.try_take(address, deadline);
    }
    else {
        connection = co_await this->pool.try_connect(address, deadline);
    }
    if (!connection || monotonic_time::clock::now() >= deadline) {
        co_return call_failure::not_sent;
    }
    auto result = co_await call_on(*connection, address, std::move(request), deadline, keep,
                                   this->max_answer_bytes);
    if (keep && leaves_reusable(result)) {
        this->pool.give_back(address, std::move(connection));
    }
    co_return result;
}

} // namespace figreach::direct
