#include "http_control.h"

#include <memory>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include "figreach/runtime/connection_pool.h"

namespace figreach::standin {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr auto no_throw = asio::as_tuple(asio::use_awaitable);

asio::awaitable<void> serve(tcp::socket socket, control_handler handler)
{
    boost::beast::tcp_stream stream{std::move(socket)};
    boost::beast::flat_buffer buffer;
    for (;;) {
        http::request<http::string_body> in;
        const auto [failed, count] = co_await http::async_read(stream, buffer, in, no_throw);
        if (failed) {
            co_return;
        }
        auto answered =
            handler(std::string{in.method_string()}, std::string{in.target()}, in.body());
        http::response<http::string_body> out;
        out.result(answered.status);
        out.keep_alive(in.keep_alive());
        out.body() = std::move(answered.body);
        out.prepare_payload();
        const auto [unsent, sent] = co_await http::async_write(stream, out, no_throw);
        if (unsent || !in.keep_alive()) {
            co_return;
        }
    }
}

asio::awaitable<void> accept(std::shared_ptr<tcp::acceptor> acceptor, control_handler handler)
{
    for (;;) {
        auto [failed, socket] = co_await acceptor->async_accept(no_throw);
        if (!failed) {
            asio::co_spawn(acceptor->get_executor(), serve(std::move(socket), handler),
                           asio::detached);
        }
    }
}

} // namespace

void serve_control(asio::io_context& io, const std::string& address, control_handler handler)
{
    auto acceptor = std::make_shared<tcp::acceptor>(io, to_endpoint(address));
    asio::co_spawn(io, accept(std::move(acceptor), std::move(handler)), asio::detached);
}

} // namespace figreach::standin
