#include "backend.h"

#include <charconv>
#include <map>
#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json.hpp>

#include "figreach/grant_codec.h"
#include "figreach/key_hash.h"
#include "figreach/request_head.h"
#include "figreach/runtime/connection_pool.h"

namespace figreach::standin {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using request = http::request<http::string_body>;
using response = http::response<http::string_body>;

namespace {

constexpr std::size_t remembered_answers = 32;

/// One request that this server ran.
struct execution {
    std::string request_id;
    std::string key;
    std::uint64_t fence = 0;
    monotonic_time at{};
};

class backend {
public:
    explicit backend(const backend_settings& settings_) : settings{settings_} {}

    asio::awaitable<void> serve(tcp::socket socket)
    {
        boost::beast::tcp_stream stream{std::move(socket)};
        boost::beast::flat_buffer buffer;
        for (;;) {
            request in;
            const auto [failed, count] =
                co_await http::async_read(stream, buffer, in, asio::as_tuple(asio::use_awaitable));
            if (failed) {
                co_return;
            }
            auto out = co_await this->answer(in);
            out.keep_alive(in.keep_alive());
            out.prepare_payload();
            const auto [unsent, sent] =
                co_await http::async_write(stream, out, asio::as_tuple(asio::use_awaitable));
            if (unsent || !in.keep_alive()) {
                co_return;
            }
        }
    }

private:
    asio::awaitable<response> answer(const request& in)
    {
        if (in.target() == "/figreach/v1/grant") {
            co_return this->take_grant(in);
        }
        if (in.target() == "/standin/executions") {
            co_return this->list_executions();
        }
        co_return co_await this->execute(in);
    }

    response take_grant(const request& in)
    {
        response out;
        const auto asked = parse_grant(in.body());
        if (!asked) {
            out.result(http::status::bad_request);
            return out;
        }
        const bool later =
            asked->term == this->present.term && asked->sequence > this->present.sequence;
        const bool accepted = asked->term > this->present.term || later;
        if (accepted) {
            this->accept_grant(*asked);
        }
        out.body() = to_json(grant_answer{.accepted = accepted,
                                          .sequence = asked->sequence,
                                          .term = this->present.term,
                                          .incarnation = 1,
                                          .in_flight = this->in_flight,
                                          .cold = false,
                                          .leaving = false});
        return out;
    }

    /// The duration of a grant starts with the answer that it names.
    void accept_grant(const grant& asked)
    {
        if (asked.term > this->present.term) {
            this->answered_at.clear();
        }
        const auto start = this->answered_at.find(asked.after);
        const bool known = start != this->answered_at.end();
        this->granted_until = known ? start->second + asked.duration : monotonic_time{};
        this->present = asked;
        this->answered_at[asked.sequence] = monotonic_time::clock::now();
        if (this->answered_at.size() > remembered_answers) {
            this->answered_at.erase(this->answered_at.begin());
        }
    }

    bool may_serve(const request& in) const
    {
        if (!this->settings.checks_fences) {
            return true;
        }
        const auto hash = hash_key(std::string{in[field::key]});
        if (monotonic_time::clock::now() >= this->granted_until) {
            return false;
        }
        for (const auto& slice : this->present.slices) {
            if (slice.first <= hash && hash <= slice.last) {
                return in[field::fence] == std::to_string(slice.fence);
            }
        }
        return false;
    }

    asio::awaitable<response> execute(const request& in)
    {
        response out;
        if (!this->may_serve(in)) {
            out.result(http::status::misdirected_request);
            out.set(field::outcome, name_of(run_state::not_run));
            out.set(field::error, name_of(error_kind::stale_route));
            co_return out;
        }
        ++this->in_flight;
        std::uint64_t fence = 0;
        const auto fence_text = in[field::fence];
        std::from_chars(fence_text.data(), fence_text.data() + fence_text.size(), fence);
        this->executions.push_back({.request_id = std::string{in[field::request_id]},
                                    .key = std::string{in[field::key]},
                                    .fence = fence,
                                    .at = monotonic_time::clock::now()});
        if (this->settings.service_time.count() > 0) {
            asio::steady_timer work{co_await asio::this_coro::executor,
                                    this->settings.service_time};
            co_await work.async_wait(asio::use_awaitable);
        }
        --this->in_flight;
        out.set(field::server, this->settings.name);
        out.set(field::outcome, name_of(run_state::ran));
        out.set(field::request_id, in[field::request_id]);
        out.body() = "{\"server\":\"" + this->settings.name + "\",\"key\":\"" +
                     std::string{in[field::key]} + "\"}";
        co_return out;
    }

    response list_executions() const
    {
        boost::json::array list;
        for (const auto& one : this->executions) {
            list.push_back(boost::json::object{
                {"request", one.request_id},
                {"key", one.key},
                {"fence", one.fence},
                {"at_ns", one.at.time_since_epoch().count()},
            });
        }
        response out;
        out.body() = boost::json::serialize(
            boost::json::object{{"server", this->settings.name}, {"executions", std::move(list)}});
        return out;
    }

    backend_settings settings;
    grant present;
    monotonic_time granted_until{};
    std::map<std::uint64_t, monotonic_time> answered_at; ///< by sequence, of the present term
    std::uint32_t in_flight = 0;
    std::vector<execution> executions;
};

asio::awaitable<void> accept(tcp::acceptor& acceptor, backend& served)
{
    for (;;) {
        auto socket = co_await acceptor.async_accept(asio::use_awaitable);
        socket.set_option(tcp::no_delay{true});
        asio::co_spawn(acceptor.get_executor(), served.serve(std::move(socket)), asio::detached);
    }
}

} // namespace

void run_backend(asio::io_context& io, const backend_settings& settings)
{
    backend served{settings};
    tcp::acceptor acceptor{io, to_endpoint(settings.address)};
    asio::co_spawn(io, accept(acceptor, served), asio::detached);
    io.run();
}

} // namespace figreach::standin
