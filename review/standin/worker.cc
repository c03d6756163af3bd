#include "worker.hh"

#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "figreach/direct/runtime/change_signal.h"
#include "http_server.h"
#include "json_reader.h"
#include "names.h"
#include "request_codec.h"

namespace figreach::review {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
namespace name = platform::name;
using asio::ip::tcp;
using direct::http_request;
using direct::http_response;

namespace {

constexpr auto no_throw = asio::as_tuple(asio::use_awaitable);
constexpr milliseconds poll_interval{3};
constexpr std::uint32_t max_header_bytes = 64 * 1024;
constexpr std::uint64_t max_body_bytes = 64 * 1024 * 1024;
constexpr unsigned first_failure = 400;

} // namespace

std::uint64_t unix_ms()
{
    const auto since = calendar_time::clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(since).count());
}

worker::worker(asio::io_context& io_, standin::store_model& store_,
               standin::store_server& store_api_, worker_settings settings_)
    : io{io_},
      store{store_},
      store_api{store_api_},
      settings{std::move(settings_)},
      listening{io_, tcp::endpoint{asio::ip::address_v4::loopback(), 0}},
      endpoint{this->listening.local_endpoint()},
      own_address{"127.0.0.1:" + std::to_string(this->endpoint.port())}
{
}

void worker::start()
{
    if (!this->listening.is_open()) {
        this->listening = tcp::acceptor{this->io, this->endpoint};
    }
    this->up = true;
    this->born_ms = unix_ms();
    ++this->starts;
    this->sequence = 0;
    this->held = {};
    this->running = 0;
    this->waiting = 0;
    this->running_by_key.clear();
    asio::co_spawn(this->io, this->accept(), asio::detached);
    asio::co_spawn(this->io, this->report(), asio::detached);
}

void worker::end()
{
    this->up = false;
    boost::system::error_code ignored;
    this->listening.close(ignored);
    for (const auto& one : this->connections) {
        standin::reset(one->socket());
    }
    this->connections.clear();
}

const worker_settings& worker::about() const
{
    return this->settings;
}

const std::string& worker::address() const
{
    return this->own_address;
}

std::string worker::entry_key() const
{
    return name::servers_prefix + this->settings.id;
}

bool worker::is_up() const
{
    return this->up;
}

bool worker::holds(std::uint32_t key, monotonic_time now) const
{
    return this->up && this->held.holds(key, now);
}

monotonic_time worker::held_since(std::uint32_t key) const
{
    return this->held.held_since(key);
}

asio::awaitable<void> worker::accept()
{
    while (this->up) {
        auto [failed, socket] = co_await this->listening.async_accept(no_throw);
        if (failed) {
            co_return;
        }
        auto connection = std::make_shared<stream>(std::move(socket));
        this->connections.insert(connection);
        asio::co_spawn(this->io, this->serve(std::move(connection)), asio::detached);
    }
}

asio::awaitable<void> worker::serve(std::shared_ptr<stream> connection)
{
    boost::beast::flat_buffer buffer;
    for (bool open = true; open;) {
        http::request_parser<http::string_body> parser;
        parser.header_limit(max_header_bytes);
        parser.body_limit(max_body_bytes);
        const auto [failed, count] =
            co_await http::async_read(*connection, buffer, parser, no_throw);
        if (failed) {
            break;
        }
        const auto request = parser.release();
        boost::system::error_code unknown;
        const auto from = connection->socket().remote_endpoint(unknown).port();
        if (!unknown && this->is_cut_from && this->is_cut_from(from)) {
            standin::reset(connection->socket());
            break;
        }
        auto out = co_await this->handle(request);
        if (!out || !this->up) {
            break;
        }
        const std::string id{request[name::request_id]};
        if (!id.empty()) {
            out->set(name::request_id, id);
        }
        out->version(request.version());
        out->keep_alive(request.keep_alive());
        out->prepare_payload();
        const auto [unsent, sent] = co_await http::async_write(*connection, *out, no_throw);
        open = !unsent && out->keep_alive();
    }
    this->connections.erase(connection);
}

asio::awaitable<worker::answer> worker::handle(const http_request& request)
{
    const auto expected = request[name::expected_server];
    if (!expected.empty() && std::string{expected} != this->settings.id) {
        auto out = this->make_answer(421);
        out.set(name::not_run, "1");
        co_return out;
    }
    const auto target = request.target();
    if (target == "/healthz") {
        co_return this->make_answer(200);
    }
    if (target == name::grant_path || target == name::release_path) {
        co_return co_await this->order(request);
    }
    co_return co_await this->work(request);
}

asio::awaitable<worker::answer> worker::order(const http_request& request)
{
    const auto arrival = monotonic_time::clock::now();
    const auto parsed = platform::parse_json(request.body());
    if (!parsed || !this->settings.divided_by_key) {
        co_return this->make_answer(first_failure);
    }
    platform::json_reader in{*parsed};
    const direct::key_span keys{
        .first = static_cast<std::uint32_t>(in.whole_number("from", direct::key_count - 1)),
        .last = static_cast<std::uint32_t>(in.whole_number("to", direct::key_count - 1))};
    const auto fence = in.whole_number("fence");
    const bool is_grant = request.target() == name::grant_path;
    const auto hold = is_grant ? in.time("hold_s") : milliseconds{0};
    if (!in.invalid_field().empty() || keys.last < keys.first) {
        co_return this->make_answer(first_failure);
    }
    if (is_grant) {
        co_return this->make_answer(this->held.grant(keys, fence, hold, arrival) ? 200 : 409);
    }
    this->held.release(keys, fence);
    while (this->is_busy(keys) && this->up) {
        co_await direct::sleep_for(this->io, poll_interval);
    }
    auto out = this->make_answer(200);
    out.set(name::handover, "token-" + std::to_string(fence));
    co_return out;
}

bool worker::is_busy(const direct::key_span& keys) const
{
    const auto first = this->running_by_key.lower_bound(keys.first);
    return first != this->running_by_key.end() && first->first <= keys.last;
}

asio::awaitable<worker::answer> worker::work(const http_request& request)
{
    const auto life = this->starts;
    const auto head = platform::decode_caller_head(request);
    const auto deadline = monotonic_time::clock::now() + head.time_limit.value_or(seconds{5});
    const auto refuse = [this](unsigned status) {
        auto out = this->make_answer(status);
        out.set(name::not_run, "1");
        return out;
    };
    const worker_request what{
        .id = head.request_id, .key = head.key, .body_bytes = request.body().size()};
    if (head.request_id.empty()) {
        co_return refuse(first_failure);
    }
    if (this->on_arrival) {
        this->on_arrival(*this, what);
    }
    if (this->running >= this->settings.slots && this->waiting >= this->settings.queue) {
        co_return refuse(503);
    }
    ++this->waiting;
    while (this->running >= this->settings.slots && this->up && this->starts == life &&
           monotonic_time::clock::now() < deadline) {
        co_await direct::sleep_for(this->io, poll_interval);
    }
    if (!this->up || this->starts != life) {
        co_return std::nullopt;
    }
    --this->waiting;
    const auto now = monotonic_time::clock::now();
    const bool lacks_key =
        this->settings.divided_by_key && (!head.key || !this->holds(*head.key, now));
    if (lacks_key || now >= deadline) {
        co_return refuse(lacks_key ? 421 : 503);
    }
    ++this->running;
    if (head.key) {
        ++this->running_by_key[*head.key];
    }
    if (this->on_run) {
        this->on_run(*this, what);
    }
    co_await direct::sleep_for(this->io, this->settings.work);
    if (!this->up || this->starts != life) {
        co_return std::nullopt;
    }
    --this->running;
    if (head.key && --this->running_by_key[*head.key] == 0) {
        this->running_by_key.erase(*head.key);
    }
    const bool expired =
        this->settings.divided_by_key && !this->holds(*head.key, monotonic_time::clock::now());
    auto out = this->make_answer(expired ? 500 : 200);
    out.set(name::signature, "signed-" + this->settings.id);
    out.body() = "answer to " + std::string{head.request_id};
    co_return out;
}

http_response worker::make_answer(unsigned status) const
{
    http_response out;
    out.result(status);
    out.set(name::answering_server, this->settings.id);
    out.set(name::load, std::to_string(this->running) + "," + std::to_string(this->waiting) + "," +
                            std::to_string(this->settings.slots));
    return out;
}

bool worker::is_silent(monotonic_time now) const
{
    constexpr int intervals = 3;
    return now >= this->reported_at + this->settings.heartbeat * intervals;
}

asio::awaitable<void> worker::report()
{
    const auto life = this->starts;
    while (this->up && this->starts == life) {
        if (this->reports) {
            this->write_entry();
        }
        co_await direct::sleep_for(this->io, this->settings.heartbeat);
    }
}

std::string worker::entry_for(const std::string& service, std::uint64_t born) const
{
    return json::serialize(json::object{
        {"born", born},
        {"address", this->own_address},
        {"info", json::object{{"service", service},
                              {"zone", this->settings.failure_domain},
                              {"version", "v1"},
                              {"slots", this->settings.slots}}},
        {"status", json::object{{"state", "ready"}, {"seq", this->sequence}, {"cold_left_s", 0}}}});
}

void worker::write_entry()
{
    if (this->store_api.faults.silent || this->store_api.faults.busy) {
        return;
    }
    ++this->sequence;
    const direct::store_transaction entry{
        .conditions = {},
        .writes = {{.key = this->entry_key(),
                    .value = this->entry_for(this->settings.service, this->born_ms)}},
        .removals = {}};
    this->reported_at = monotonic_time::clock::now();
    static_cast<void>(this->store.commit(entry, this->reported_at));
    this->store_api.notify();
}

} // namespace figreach::review
