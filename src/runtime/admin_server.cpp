#include "figreach/runtime/admin_server.h"

#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include "figreach/runtime/connection_pool.h"
#include "figreach/runtime/read_deadline.h"
#include "figreach/runtime/timed_read.h"

namespace figreach {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr auto no_throw = asio::as_tuple(asio::use_awaitable);
constexpr seconds idle_timeout{30};
constexpr milliseconds accept_pause{100};
constexpr std::uint64_t max_body_bytes = 4096;

using request = http::request<http::string_body>;
using response = http::response<http::string_body>;

} // namespace

class admin_server::listener {
public:
    listener(const std::string& address, const metrics& page_, std::function<bool()> ready_)
        : page{page_}, ready{std::move(ready_)}, acceptor{this->io, to_endpoint(address)}
    {
    }

    void run()
    {
        asio::co_spawn(this->io, this->accept(), asio::detached);
        this->io.run();
    }

    void stop() { this->io.stop(); }

private:
    asio::awaitable<void> accept()
    {
        asio::steady_timer pause{this->io};
        for (;;) {
            auto [failed, socket] = co_await this->acceptor.async_accept(no_throw);
            if (failed) {
                pause.expires_after(accept_pause);
                co_await pause.async_wait(no_throw);
                continue;
            }
            asio::co_spawn(this->io, this->serve(std::move(socket)), asio::detached);
        }
    }

    asio::awaitable<void> serve(tcp::socket socket)
    {
        boost::beast::tcp_stream stream{std::move(socket)};
        boost::beast::flat_buffer buffer{max_read_buffer_bytes};
        bool open = true;
        while (open) {
            http::request_parser<http::string_body> parser;
            parser.body_limit(max_body_bytes);
            const auto read_until = monotonic_time::clock::now() + idle_timeout;
            stream.expires_at(read_until);
            read_deadline deadline{read_until};
            if (co_await read_message(stream, buffer, parser, deadline)) {
                co_return;
            }
            const auto out = this->answer(parser.get());
            const auto [unsent, sent] = co_await http::async_write(stream, out, no_throw);
            open = !unsent && out.keep_alive();
        }
    }

    response answer(const request& in) const
    {
        response out;
        out.version(in.version());
        out.keep_alive(in.keep_alive());
        out.set(http::field::content_type, "text/plain; charset=utf-8");
        this->fill(out, in);
        out.prepare_payload();
        return out;
    }

    void fill(response& out, const request& in) const
    {
        if (in.method() != http::verb::get) {
            out.result(http::status::method_not_allowed);
            out.set(http::field::allow, "GET");
        }
        else if (in.target() == "/metrics") {
            out.set(http::field::content_type, "text/plain; version=0.0.4; charset=utf-8");
            out.body() = this->page.to_text();
        }
        else if (in.target() == "/ready") {
            const bool is_ready = this->ready();
            out.result(is_ready ? http::status::ok : http::status::service_unavailable);
            out.body() = is_ready ? "ready\n" : "not ready\n";
        }
        else {
            out.result(http::status::not_found);
        }
    }

    const metrics& page;
    std::function<bool()> ready;
    asio::io_context io{1};
    tcp::acceptor acceptor;
};

admin_server::admin_server(const std::string& address, const metrics& page,
                           std::function<bool()> ready)
    : state{std::make_unique<listener>(address, page, std::move(ready))}, thread{[this] {
          this->state->run();
      }}
{
}

admin_server::~admin_server()
{
    this->state->stop();
    this->thread.join();
}

} // namespace figreach
