#include "backend.h"

#include <array>
#include <charconv>
#include <functional>
#include <string_view>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json.hpp>

#include "figreach/grant_codec.h"
#include "figreach/request_head.h"
#include "figreach/runtime/connection_pool.h"

namespace figreach::standin {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using asio::ip::tcp;
using body_sink = std::function<bool(std::string_view)>;
using request_parser = http::request_parser<http::buffer_body>;
using response = http::response<http::string_body>;

namespace {

constexpr auto no_throw = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t chunk_bytes = 64 * 1024;
constexpr std::size_t max_control_bytes = 16 * 1024 * 1024;
constexpr std::uint64_t max_answer_bytes = 1024ULL * 1024 * 1024;
constexpr milliseconds frozen_poll_interval{10};
constexpr std::string_view size_parameter = "bytes=";

std::uint64_t parse_number(std::string_view text)
{
    std::uint64_t out = 0;
    std::from_chars(text.data(), text.data() + text.size(), out);
    return out;
}

/// Response size requested by the target, at most max_answer_bytes; 0 if none is requested.
std::uint64_t requested_size(std::string_view target)
{
    const auto at = target.find(size_parameter);
    if (at == std::string_view::npos) {
        return 0;
    }
    return std::min(parse_number(target.substr(at + size_parameter.size())), max_answer_bytes);
}

incoming_request parse_incoming_request(const http::request_header<>& head)
{
    return {.request_id = std::string{head[field::request_id]},
            .idempotency_key = std::string{head[field::idempotency_key]},
            .key = std::string{head[field::key]},
            .method = std::string{head.method_string()},
            .fence = parse_number(head[field::fence])};
}

bool deadline_passed(const http::request_header<>& head)
{
    const auto text = head[field::deadline];
    return !text.empty() && parse_number(text) == 0;
}

/// A connection from a figreach host or a test tool.
class connection {
public:
    connection(backend_state& state_, tcp::socket socket) : state{state_}, stream{std::move(socket)}
    {
    }

    asio::awaitable<void> serve()
    {
        bool open = true;
        while (open) {
            open = co_await this->serve_one();
        }
    }

private:
    asio::awaitable<bool> serve_one()
    {
        request_parser parser;
        parser.body_limit(boost::none);
        const auto [failed, count] =
            co_await http::async_read_header(this->stream, this->buffer, parser, no_throw);
        if (failed) {
            co_return false;
        }
        const std::string target{parser.get().target()};
        if (target.starts_with("/standin/")) {
            co_return co_await this->control(parser, target);
        }
        co_await this->wait_until_unfrozen();
        if (target == "/figreach/v1/grant") {
            co_return co_await this->handle_grant(parser);
        }
        co_return co_await this->execute(parser, target);
    }

    /// Returns once the server is not frozen.
    asio::awaitable<void> wait_until_unfrozen()
    {
        while (this->state.frozen()) {
            asio::steady_timer pause{this->stream.get_executor(), frozen_poll_interval};
            co_await pause.async_wait(asio::use_awaitable);
        }
    }

    /// Reads the body and passes each chunk to `consume`. False if reading fails or `consume`
    /// rejects a chunk.
    asio::awaitable<bool> read_body(request_parser& parser, const body_sink& consume)
    {
        std::string chunk(chunk_bytes, '\0');
        while (!parser.is_done()) {
            parser.get().body().data = chunk.data();
            parser.get().body().size = chunk.size();
            const auto [failed, count] =
                co_await http::async_read(this->stream, this->buffer, parser, no_throw);
            if (failed && failed != http::error::need_buffer) {
                co_return false;
            }
            const auto filled = chunk.size() - parser.get().body().size;
            if (!consume(std::string_view{chunk}.substr(0, filled))) {
                co_return false;
            }
        }
        co_return true;
    }

    asio::awaitable<bool> read_control_body(request_parser& parser, std::string& out)
    {
        const body_sink append = [&out](std::string_view part) {
            out += part;
            return out.size() <= max_control_bytes;
        };
        co_return co_await this->read_body(parser, append);
    }

    asio::awaitable<bool> send(response out, bool keep)
    {
        out.version(11);
        out.keep_alive(keep);
        out.prepare_payload();
        const auto [failed, count] = co_await http::async_write(this->stream, out, no_throw);
        co_return keep && !failed;
    }

    asio::awaitable<bool> control(request_parser& parser, const std::string& target)
    {
        std::string body;
        if (!co_await this->read_control_body(parser, body)) {
            co_return false;
        }
        response out;
        if (target == "/standin/fault") {
            out.result(this->set_faults(body) ? http::status::ok : http::status::bad_request);
        }
        else if (target == "/standin/counts") {
            out.body() = json::serialize(this->state.counts());
        }
        else if (target == "/standin/executions") {
            out.body() = json::serialize(this->state.executions());
        }
        else {
            out.result(http::status::not_found);
        }
        co_return co_await this->send(std::move(out), parser.get().keep_alive());
    }

    bool set_faults(const std::string& body)
    {
        boost::system::error_code failed;
        const auto fields = json::parse(body, failed);
        return !failed && fields.is_object() &&
               this->state.set_faults(fields.get_object(), monotonic_time::clock::now());
    }

    asio::awaitable<bool> handle_grant(request_parser& parser)
    {
        std::string body;
        if (!co_await this->read_control_body(parser, body)) {
            co_return false;
        }
        response out;
        const auto new_grant = parse_grant(body);
        if (new_grant) {
            out.set(http::field::content_type, "application/json");
            out.body() =
                to_json(this->state.handle_grant(*new_grant, monotonic_time::clock::now()));
        }
        else {
            out.result(http::status::bad_request);
        }
        co_return co_await this->send(std::move(out), parser.get().keep_alive());
    }

    asio::awaitable<bool> execute(request_parser& parser, const std::string& target)
    {
        const auto incoming = parse_incoming_request(parser.get());
        const auto refused = deadline_passed(parser.get())
                                 ? std::optional{error_kind::deadline_expired}
                                 : this->state.start(incoming, monotonic_time::clock::now());
        if (refused) {
            co_return co_await this->refuse(parser, *refused);
        }
        const auto number = this->state.last_started();
        const auto incarnation = this->state.incarnation();
        std::uint64_t received = 0;
        const body_sink count = [&received](std::string_view part) {
            received += part.size();
            return true;
        };
        const bool whole = co_await this->read_body(parser, count);
        const bool done = whole && co_await this->work();
        co_await this->wait_until_unfrozen();
        this->state.finish(number, monotonic_time::clock::now(), !done);
        if (!done || this->state.incarnation() != incarnation) {
            co_return false;
        }
        co_return co_await this->answer(parser, incoming, received, requested_size(target));
    }

    asio::awaitable<bool> refuse(request_parser& parser, error_kind kind)
    {
        const body_sink ignore = [](std::string_view) { return true; };
        if (!co_await this->read_body(parser, ignore)) {
            co_return false;
        }
        response out;
        const bool misdirected = kind == error_kind::stale_route;
        out.result(misdirected ? http::status::misdirected_request
                               : http::status::service_unavailable);
        out.set(field::outcome, name_of(run_state::not_run));
        out.set(field::error, name_of(kind));
        co_return co_await this->send(std::move(out), parser.get().keep_alive());
    }

    /// Waits for the service time. False if the peer closes the connection meanwhile.
    asio::awaitable<bool> work()
    {
        using namespace asio::experimental::awaitable_operators;
        const auto time = this->state.service_time();
        if (time <= milliseconds{0}) {
            co_return true;
        }
        asio::steady_timer timer{this->stream.get_executor(), time};
        auto worked = timer.async_wait(no_throw);
        auto readable = this->stream.socket().async_wait(tcp::socket::wait_read, no_throw);
        const auto first = co_await (std::move(worked) || std::move(readable));
        if (first.index() == 0 || !this->peer_closed()) {
            timer.expires_at(timer.expiry());
            co_await timer.async_wait(no_throw);
            co_return true;
        }
        co_return false;
    }

    bool peer_closed()
    {
        char byte = 0;
        boost::system::error_code failed;
        this->stream.socket().non_blocking(true, failed);
        this->stream.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek, failed);
        return failed && failed != asio::error::would_block;
    }

    asio::awaitable<bool> answer(request_parser& parser, const incoming_request& incoming,
                                 std::uint64_t received, std::uint64_t size)
    {
        const auto head =
            json::serialize(json::object{{"server", this->state.name()},
                                         {"key", incoming.key},
                                         {"request", incoming.request_id},
                                         {"idempotency_key", incoming.idempotency_key},
                                         {"received", received}});
        http::response<http::buffer_body> out;
        out.version(11);
        out.keep_alive(parser.get().keep_alive());
        out.set(http::field::content_type, "application/json");
        out.set(field::server, this->state.name());
        out.set(field::outcome, name_of(run_state::ran));
        out.set(field::request_id, incoming.request_id);
        const auto length = std::max<std::uint64_t>(size, head.size());
        out.content_length(length);
        const bool only_head = parser.get().method() == http::verb::head;
        co_return co_await this->stream_answer(out, head, only_head ? 0 : length);
    }

    /// Sends `first`, padded with spaces to `length` bytes.
    asio::awaitable<bool> stream_answer(http::response<http::buffer_body>& out,
                                        const std::string& first, std::uint64_t length)
    {
        const std::string spaces(length > first.size() ? chunk_bytes : 0, ' ');
        http::response_serializer<http::buffer_body> writer{out};
        std::uint64_t sent = 0;
        out.body().more = length > 0;
        if (length == 0) {
            const auto [failed, count] =
                co_await http::async_write_header(this->stream, writer, no_throw);
            co_return !failed && out.keep_alive();
        }
        while (!writer.is_done()) {
            const auto& part = sent == 0 ? first : spaces;
            const auto size = std::min<std::uint64_t>(part.size(), length - sent);
            // The serializer only reads the data, but its interface requires a mutable pointer.
            out.body().data = const_cast<char*>(part.data());
            out.body().size = size;
            sent += size;
            out.body().more = sent < length;
            const auto [failed, count] = co_await http::async_write(this->stream, writer, no_throw);
            if (failed && failed != http::error::need_buffer) {
                co_return false;
            }
        }
        co_return out.keep_alive();
    }

    backend_state& state;
    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
};

asio::awaitable<void> serve(backend_state& state, tcp::socket socket)
{
    connection one{state, std::move(socket)};
    co_await one.serve();
}

asio::awaitable<void> accept(tcp::acceptor& acceptor, backend_state& state)
{
    for (;;) {
        auto [failed, socket] = co_await acceptor.async_accept(no_throw);
        if (failed) {
            continue;
        }
        socket.set_option(tcp::no_delay{true}, failed);
        asio::co_spawn(acceptor.get_executor(), serve(state, std::move(socket)), asio::detached);
    }
}

} // namespace

void run_backend(asio::io_context& io, const backend_settings& settings)
{
    backend_state state{settings};
    tcp::acceptor acceptor{io, to_endpoint(settings.address)};
    asio::co_spawn(io, accept(acceptor, state), asio::detached);
    io.run();
}

} // namespace figreach::standin
