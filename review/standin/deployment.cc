#include "deployment.hh"

#include <algorithm>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "figreach/direct/runtime/change_signal.h"
#include "figreach/retry_budget.h"
#include "figreach/runtime/connection_pool.h"
#include "names.h"

namespace figreach::review {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
namespace name = platform::name;

namespace {

constexpr auto no_throw = asio::as_tuple(asio::use_awaitable);
constexpr auto caller_host = "lessons.example";
constexpr milliseconds ready_limit{15000};
constexpr milliseconds poll_interval{50};
constexpr milliseconds connect_timeout{1000};
constexpr milliseconds answer_margin{1500}; ///< beyond the time limit of a request
constexpr std::size_t chunk_count = 60;
constexpr std::uint32_t sampled_keys = 512;
constexpr milliseconds sweep_interval{800};
constexpr milliseconds allowed_overlap{500};

json::object route(const std::string& path, const char* kind, const char* service)
{
    return {{"type", "routes"},
            {"metadata", json::object{{"name", "r-" + path}}},
            {"spec", json::object{{"host", caller_host},
                                  {"prefix", "/" + path + "/"},
                                  {"service", service},
                                  {"route_type", kind},
                                  {"timeout_s", 8},
                                  {"latency_target_s", 0.5},
                                  {"attempts", 2},
                                  {"priority", 1}}}};
}

json::object service(const char* called, bool keyed)
{
    return {{"type", "services"},
            {"metadata", json::object{{"name", called}}},
            {"spec", json::object{{"health_path", "/healthz"},
                                  {"max_conns", 130},
                                  {"sharded", keyed},
                                  {"cold_start_s", 3},
                                  {"cold_per_s", 10},
                                  {"warmup_s", 3}}}};
}

} // namespace

deployment::deployment(std::filesystem::path program_, std::filesystem::path folder_, record& log_)
    : store{this->io, this->model, 1},
      log{log_},
      program{std::move(program_)},
      folder{std::move(folder_)}
{
}

worker& deployment::add_worker(worker_settings settings)
{
    auto one = std::make_unique<worker>(this->io, this->model, this->store, std::move(settings));
    one->on_arrival = [this](const worker&, const worker_request& what) {
        this->calls[what.id].arrived = true;
    };
    one->on_run = [this](const worker& at, const worker_request& what) {
        const auto now = monotonic_time::clock::now();
        const auto also_holds = [&](const auto& one) {
            return one.get() != &at && what.key && one->holds(*what.key, now);
        };
        if (std::any_of(this->workers.begin(), this->workers.end(), also_holds)) {
            ++this->runs_on_shared_keys[at.about().id];
        }
        this->log.line("run " + what.id + " at " + at.about().id + " key " +
                       (what.key ? std::to_string(*what.key) : "-") + " body " +
                       std::to_string(what.body_bytes));
    };
    this->workers.push_back(std::move(one));
    return *this->workers.back();
}

host& deployment::add_host(const std::string& called, const std::string& failure_domain,
                           const std::string& store_address)
{
    this->hosts.push_back(
        std::make_unique<host>(called, failure_domain, this->program, this->folder,
                               store_address.empty() ? this->store.address() : store_address));
    return *this->hosts.back();
}

/// Bounds of callers as `fleetbench wire` shows them.
void deployment::write_configuration()
{
    json::array resources;
    resources.push_back(route("read", "safe", "classroom"));
    resources.push_back(route("order", "unsafe", "classroom"));
    resources.push_back(route("upload", "upload", "studio"));
    resources.push_back(service("classroom", true));
    resources.push_back(service("studio", false));
    resources.push_back(json::object{{"type", "limits"},
                                     {"metadata", json::object{}},
                                     {"spec", json::object{{"max_header_bytes", 16384},
                                                           {"max_body_bytes", 67108864},
                                                           {"header_timeout_s", 3},
                                                           {"idle_timeout_s", 15}}}});
    this->write_item(
        name::configuration_key,
        json::serialize(json::object{{"version", "r7"}, {"resources", std::move(resources)}}));
}

void deployment::write_item(const std::string& key, const std::string& value)
{
    const direct::store_transaction what{
        .conditions = {}, .writes = {{.key = key, .value = value}}, .removals = {}};
    static_cast<void>(this->model.commit(what, monotonic_time::clock::now()));
    this->store.notify();
}

void deployment::remove_item(const std::string& key)
{
    const direct::store_transaction what{.conditions = {}, .writes = {}, .removals = {key}};
    static_cast<void>(this->model.commit(what, monotonic_time::clock::now()));
}

/// The store looks for entries that have lapsed at regular times.
asio::awaitable<void> deployment::sweep_entries()
{
    for (;;) {
        co_await direct::sleep_for(this->io, sweep_interval);
        const auto now = monotonic_time::clock::now();
        std::vector<std::string> lapsed;
        for (const auto& one : this->workers) {
            if (one->is_silent(now) && this->model.find(one->entry_key())) {
                lapsed.push_back(one->entry_key());
                this->log.line("entry lapsed: " + one->entry_key());
            }
        }
        for (const auto& key : lapsed) {
            this->remove_item(key);
        }
        if (!lapsed.empty()) {
            this->store.notify();
        }
    }
}

asio::awaitable<bool> deployment::wait_until_ready()
{
    const auto until = monotonic_time::clock::now() + ready_limit;
    std::size_t ready = 0;
    while (ready < this->hosts.size() && monotonic_time::clock::now() < until) {
        boost::beast::tcp_stream connection{this->io};
        connection.expires_after(connect_timeout);
        const auto [refused] = co_await connection.async_connect(
            to_endpoint(this->hosts[ready]->admin_address()), no_throw);
        http::response<http::string_body> answer;
        if (!refused) {
            auto request = direct::make_request(http::verb::get, "/ready");
            request.set(http::field::host, "ready");
            boost::beast::flat_buffer buffer;
            const auto [unsent, sent] = co_await http::async_write(connection, request, no_throw);
            const auto [unread, read] =
                co_await http::async_read(connection, buffer, answer, no_throw);
            ready += !unsent && !unread && answer.result_int() == 200 ? 1U : 0U;
        }
        co_await direct::sleep_for(this->io, poll_interval);
    }
    co_return ready == this->hosts.size();
}

asio::awaitable<std::unique_ptr<boost::beast::tcp_stream>> deployment::connect(const host& to)
{
    auto out = std::make_unique<boost::beast::tcp_stream>(this->io);
    out->expires_after(connect_timeout);
    const auto [failed] = co_await out->async_connect(to_endpoint(to.caller_address()), no_throw);
    if (failed) {
        out.reset();
    }
    co_return out;
}

asio::awaitable<bool> deployment::write(boost::beast::tcp_stream& connection,
                                        const direct::http_request& message, milliseconds time)
{
    if (time <= milliseconds{0}) {
        const auto [failed, sent] = co_await http::async_write(connection, message, no_throw);
        co_return !failed;
    }
    http::request_serializer<http::string_body> head{message};
    const auto [unsent, count] = co_await http::async_write_header(connection, head, no_throw);
    const auto& body = message.body();
    const auto begun = monotonic_time::clock::now();
    bool open = !unsent;
    for (std::size_t i = 0; i < chunk_count && open; ++i) {
        const auto first = body.size() * i / chunk_count;
        const auto size = body.size() * (i + 1) / chunk_count - first;
        const auto [failed, sent] = co_await asio::async_write(
            connection, http::make_chunk(asio::buffer(body.data() + first, size)), no_throw);
        open = !failed;
        const auto due = begun + time * static_cast<std::int64_t>(i + 1) / chunk_count;
        const auto left =
            std::chrono::duration_cast<milliseconds>(due - monotonic_time::clock::now());
        co_await direct::sleep_for(this->io, std::max(left, milliseconds{0}));
    }
    if (open) {
        const auto [failed, sent] =
            co_await asio::async_write(connection, http::make_chunk_last(), no_throw);
        open = !failed;
    }
    co_return open;
}

asio::awaitable<call_result> deployment::send(boost::beast::tcp_stream& connection, const host& to,
                                              call what, bool kept_connection)
{
    auto message = direct::make_request(what.idempotent ? http::verb::get : http::verb::post,
                                        what.path, std::move(what.body));
    message.set(http::field::host, caller_host);
    message.set(name::request_id, what.id);
    message.set(name::time_limit, std::to_string(what.time_limit.count()));
    if (what.key) {
        message.set(name::key, std::to_string(*what.key));
    }
    message.keep_alive(true);
    message.prepare_payload();
    if (what.send_time > milliseconds{0}) {
        message.chunked(true);
    }
    auto& state = this->calls[what.id];
    state.host = to.name();
    state.idempotent = what.idempotent;
    state.kept_connection = kept_connection;
    state.sent_at = monotonic_time::clock::now();
    this->log.line("sent " + what.id + " to " + to.name() + " " + what.path + " body " +
                   std::to_string(message.body().size()));
    connection.expires_after(what.time_limit + answer_margin);
    call_result out;
    if (co_await this->write(connection, message, what.send_time)) {
        boost::beast::flat_buffer buffer;
        http::response_parser<http::string_body> parser;
        const auto [failed, count] =
            co_await http::async_read(connection, buffer, parser, no_throw);
        if (!failed) {
            out.status = parser.get().result_int();
            out.body = parser.get().body();
        }
    }
    state.answered = out.status != 0;
    state.status = out.status;
    this->log.line("answered " + what.id + " " +
                   (out.status == 0 ? "connection ended" : std::to_string(out.status)) +
                   (out.status >= 400 ? " " + out.body : ""));
    co_return out;
}

asio::awaitable<void> deployment::run_caller(std::vector<host*> to, std::function<call()> next,
                                             milliseconds pause)
{
    std::uint64_t random = ++this->caller_count;
    while (this->callers_active) {
        const auto& chosen = *to[next_random(random) % to.size()];
        const auto connection = co_await this->connect(chosen);
        unsigned status = connection ? 1 : 0;
        bool kept = false;
        while (status != 0 && this->callers_active) {
            const auto result = co_await this->send(*connection, chosen, next(), kept);
            status = result.status;
            kept = true;
            co_await direct::sleep_for(this->io, pause);
        }
        co_await direct::sleep_for(this->io, pause);
    }
}

std::string deployment::next_id()
{
    return "q" + std::to_string(this->next_request++);
}

linked_host::linked_host(deployment& all, const std::string& name,
                         const std::string& failure_domain)
    : to_store{all.io, all.store.address()},
      process{all.add_host(name, failure_domain, this->to_store.address())},
      from_peers{all.io, this->process.peer_address()}
{
    this->to_store.own_peer_address = this->process.peer_address();
    this->to_store.public_peer_address = this->from_peers.address();
}

void linked_host::set_cut(bool cut)
{
    this->to_store.cut = cut;
    this->from_peers.cut = cut;
}

holder_check::holder_check(deployment& all_) : all{all_} {}

void holder_check::look()
{
    const auto now = monotonic_time::clock::now();
    for (std::uint32_t i = 0; i < sampled_keys; ++i) {
        const auto key = i * (direct::key_count / sampled_keys);
        std::vector<const worker*> holders;
        for (const auto& one : this->all.workers) {
            if (one->holds(key, now)) {
                holders.push_back(one.get());
            }
        }
        if (holders.size() < 2) {
            this->overlaps[key].since = {};
            continue;
        }
        auto& found = this->overlaps[key];
        if (found.since == monotonic_time{}) {
            found.since = std::max(holders[0]->held_since(key), holders[1]->held_since(key));
        }
        found.length =
            std::max(found.length, std::chrono::duration_cast<milliseconds>(now - found.since));
        if (!found.logged && found.length > allowed_overlap) {
            found.logged = true;
            this->all.log.line("held twice: key " + std::to_string(key) + " by " +
                               holders[0]->about().id + " and " + holders[1]->about().id +
                               " for over " + std::to_string(found.length.count()) + " ms");
        }
    }
}

milliseconds holder_check::longest() const
{
    milliseconds out{0};
    for (const auto& [key, one] : this->overlaps) {
        out = std::max(out, one.length);
    }
    return out;
}

std::size_t holder_check::keys_held_twice() const
{
    return static_cast<std::size_t>(
        std::count_if(this->overlaps.begin(), this->overlaps.end(),
                      [](const auto& one) { return one.second.logged; }));
}

} // namespace figreach::review
