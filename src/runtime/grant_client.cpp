#include "figreach/runtime/grant_client.h"

#include <atomic>
#include <map>
#include <optional>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include "figreach/grant_codec.h"
#include "figreach/runtime/connection_pool.h"
#include "figreach/runtime/read_deadline.h"
#include "figreach/runtime/response_check.h"

namespace figreach {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t outbox_capacity = 4096;
constexpr std::size_t max_idle_connections = 2;
constexpr unsigned http_1_1 = 11;

} // namespace

class grant_client::connections {
public:
    explicit connections(ring<control_event>& inbox_) : inbox{inbox_} {}

    void run() { this->io.run(); }
    void stop() { this->io.stop(); }
    bool call(call_server what) { return this->outbox.push(std::move(what)); }

    std::atomic<std::uint64_t> answered{0};
    std::atomic<std::uint64_t> unanswered{0};

private:
    void drain()
    {
        while (auto what = this->outbox.pop()) {
            asio::co_spawn(this->io, this->execute(std::move(*what)), asio::detached);
        }
    }

    asio::awaitable<void> execute(call_server what)
    {
        server_answered event{
            .server = what.server, .sequence = what.request.sequence, .answer = {}};
        try {
            event.answer = co_await this->exchange(what);
        }
        catch (const boost::system::system_error&) {
            event.answer.reset();
        }
        (event.answer ? this->answered : this->unanswered).fetch_add(1);
        this->inbox.push(std::move(event));
    }

    asio::awaitable<std::optional<grant_answer>> exchange(const call_server& what)
    {
        const auto deadline = monotonic_time::clock::now() + what.timeout;
        auto connection = co_await this->pool.take(what.address, deadline);
        connection->stream.expires_at(deadline);
        http::request<http::string_body> request{http::verb::post, "/figreach/v1/grant", http_1_1};
        request.set(http::field::host, what.address);
        request.set(http::field::content_type, "application/json");
        request.body() = to_json(what.request);
        request.prepare_payload();
        co_await http::async_write(connection->stream, request, asio::use_awaitable);
        std::optional<http::response_parser<http::string_body>> parser;
        read_deadline read_until{deadline};
        auto failed = co_await read_final_head(connection->stream, connection->buffer, parser,
                                               read_until, [](auto&) {});
        if (!failed) {
            failed =
                co_await read_message(connection->stream, connection->buffer, *parser, read_until);
        }
        if (failed) {
            reset(*connection);
            co_return std::nullopt;
        }
        const auto answer = parser->release();
        auto parsed = parse_grant_answer(answer.body());
        if (answer.keep_alive()) {
            this->pool.give_back(what.address, std::move(connection));
        }
        co_return parsed;
    }

    ring<control_event>& inbox;
    asio::io_context io{1};
    asio::executor_work_guard<asio::io_context::executor_type> work{io.get_executor()};
    connection_pool pool{io, max_idle_connections};
    ring<call_server> outbox{outbox_capacity,
                             [this] { asio::post(this->io, [this] { this->drain(); }); }};
};

grant_client::grant_client(ring<control_event>& inbox)
    : state{std::make_unique<connections>(inbox)}, thread{[this] { this->state->run(); }}
{
}

grant_client::~grant_client()
{
    this->state->stop();
    this->thread.join();
}

bool grant_client::call(call_server what)
{
    return this->state->call(std::move(what));
}

std::uint64_t grant_client::answered() const
{
    return this->state->answered;
}

std::uint64_t grant_client::unanswered() const
{
    return this->state->unanswered;
}

} // namespace figreach
