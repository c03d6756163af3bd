#include "soak_run.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "figreach/direct/runtime/change_signal.h"
#include "figreach/direct/stored_records.h"
#include "figreach/retry_budget.h"
#include "figreach/runtime/connection_pool.h"
#include "names.h"

namespace figreach::soak {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
namespace name = platform::name;

namespace {

constexpr auto no_throw = asio::as_tuple(asio::use_awaitable);
constexpr auto caller_host = "soak.example";
constexpr auto keyed_service = "lessons";
constexpr auto unkeyed_service = "library";
constexpr milliseconds startup_time{1500}; ///< until hosts know all servers
constexpr milliseconds check_interval{50};
constexpr std::uint32_t sampled_keys = 128;
constexpr milliseconds max_caller_pause{40}; ///< between two requests of a caller
constexpr milliseconds request_timeout{2000};
constexpr milliseconds response_timeout = request_timeout + milliseconds{1500};
constexpr milliseconds connect_timeout{1000};
constexpr std::uint32_t default_max_servers = 2;
constexpr std::uint64_t hot_key_count = 24; ///< keys that get half of the requests
constexpr std::uint64_t max_request_body = 60'000;
constexpr auto crash_prefix = "/crash/";
constexpr auto crashing_read_path = "/crash/read/1";
constexpr auto crashing_upload_path = "/crash/upload/1";
constexpr std::size_t crashing_body_bytes = 300;
constexpr milliseconds min_repeat_pause{200}; ///< between two sends of a crashing request
constexpr std::uint64_t repeat_pause_spread_ms = 400;
/// Crashing requests come from one loopback address each, other requests from 127.0.0.1.
constexpr asio::ip::address_v4::uint_type first_crashing_caller = 0x7f000101;
/// Clock rate of every second backend server, relative to real time.
constexpr double slow_clock_rate = 0.98;

/// Of the route that a configuration version adds: 1, 2 and 3 in turn.
std::uint32_t max_servers_of_probe(std::uint64_t version)
{
    constexpr std::uint64_t limits = 3;
    return static_cast<std::uint32_t>((version - 1) % limits) + 1;
}

} // namespace

soak_run::soak_run(soak_settings settings_)
    : settings{std::move(settings_)},
      random_state{this->settings.seed},
      store{this->io, this->model, this->settings.seed}
{
    this->write_configuration();
    this->add_servers();
    this->add_hosts();
}

void soak_run::add_servers()
{
    const auto all = this->settings.keyed_servers + this->settings.unkeyed_servers;
    for (std::uint32_t i = 0; i < all; ++i) {
        const bool keyed = i < this->settings.keyed_servers;
        standin::backend_settings own{.service = keyed ? keyed_service : unkeyed_service,
                                      .failure_domain = "hill",
                                      .divided_by_key = keyed,
                                      .clock_rate = i % 2 == 0 ? 1.0 : slow_clock_rate,
                                      .crash_prefix = crash_prefix};
        auto server = std::make_unique<standin::backend_server>(
            this->io, this->model, this->store, std::move(own), next_random(this->random_state),
            [this](const auto& one, const auto& what) { this->request_started(one, what); });
        server->set_crash_listener(
            [this](const auto& one, const auto& what) { this->crash_step_taken(one, what); });
        server->set_arrival_listener(
            [this](const auto& one, const auto& what) { this->request_arrived(one, what); });
        auto link = std::make_unique<fault_proxy>(this->io, server->address());
        server->set_public_address(link->address());
        server->faults.ignores_fences = this->settings.servers_ignore_fences;
        server->start();
        this->servers.push_back({.server = std::move(server), .link = std::move(link)});
    }
}

void soak_run::add_hosts()
{
    for (std::uint32_t i = 0; i < this->settings.hosts; ++i) {
        auto link = std::make_unique<fault_proxy>(this->io, this->store.address());
        auto process =
            std::make_unique<host_process>("host-" + std::to_string(i + 1), this->settings.program,
                                           this->settings.folder, link->address());
        process->start();
        this->hosts.push_back({.store_link = std::move(link), .process = std::move(process)});
    }
}

/// Writes routes to both services and one route for each configuration version so far.
void soak_run::write_configuration()
{
    json::array resources;
    const auto add_route = [&](const std::string& path, const char* kind, const char* service,
                               std::uint32_t max_servers = default_max_servers) {
        resources.push_back(json::object{{"type", "routes"},
                                         {"metadata", json::object{{"name", "r" + path}}},
                                         {"spec", json::object{{"host", caller_host},
                                                               {"prefix", "/" + path + "/"},
                                                               {"service", service},
                                                               {"route_type", kind},
                                                               {"timeout_s", 2},
                                                               {"latency_target_s", 0.5},
                                                               {"attempts", max_servers},
                                                               {"priority", 1}}}});
    };
    const auto add_service = [&](const char* service, bool keyed) {
        resources.push_back(json::object{{"type", "services"},
                                         {"metadata", json::object{{"name", service}}},
                                         {"spec", json::object{{"health_path", "/healthz"},
                                                               {"max_conns", 200},
                                                               {"sharded", keyed},
                                                               {"cold_start_s", 0},
                                                               {"cold_per_s", 100},
                                                               {"warmup_s", 0}}}});
    };
    add_route("read", "safe", keyed_service);
    add_route("order", "unsafe", keyed_service);
    add_route("upload", "upload", unkeyed_service);
    add_route("crash/read", "safe", keyed_service);
    add_route("crash/upload", "upload", unkeyed_service);
    for (std::uint64_t i = 1; i <= this->version; ++i) {
        add_route("v" + std::to_string(i), "safe", unkeyed_service, max_servers_of_probe(i));
    }
    add_service(keyed_service, true);
    add_service(unkeyed_service, false);
    resources.push_back(json::object{{"type", "limits"},
                                     {"metadata", json::object{{"name", "limits"}}},
                                     {"spec", json::object{{"max_header_bytes", 16384},
                                                           {"max_body_bytes", 4194304},
                                                           {"header_timeout_s", 5},
                                                           {"idle_timeout_s", 30}}}});
    const json::object all{{"version", "r" + std::to_string(this->version)},
                           {"resources", std::move(resources)}};
    const direct::store_transaction what{
        .conditions = {},
        .writes = {{.key = name::configuration_key, .value = json::serialize(all)}},
        .removals = {}};
    static_cast<void>(this->model.commit(what, monotonic_time::clock::now()));
    this->store.notify();
}

const promise_checks& soak_run::run()
{
    asio::co_spawn(this->io, this->run_seed(), asio::detached);
    this->io.run();
    this->hosts.clear();
    return this->checks;
}

const std::map<fault_kind, std::uint32_t>& soak_run::injected_faults() const
{
    return this->fault_counts;
}

void soak_run::request_started(const standin::backend_server& server,
                               const standin::backend_run& what)
{
    const auto now = monotonic_time::clock::now();
    this->checks.executed(what.request_id, what.body_bytes);
    this->checks.started_at(what.request_id, server.id());
    if (!what.key) {
        return;
    }
    std::vector<key_holding> others;
    for (const auto& place : this->servers) {
        const auto& other = *place.server;
        if (&other != &server && other.is_up() && other.divided_by_key() &&
            other.keys().holds(*what.key, now)) {
            others.push_back({.server = other.id(),
                              .key = *what.key,
                              .since = other.keys().held_since(*what.key)});
        }
    }
    this->checks.started_on_key(
        {.server = server.id(), .key = *what.key, .since = server.keys().held_since(*what.key)},
        others, now);
}

void soak_run::request_arrived(const standin::backend_server& server,
                               const standin::request_arrival& what)
{
    const auto now = monotonic_time::clock::now();
    if (this->is_sent_to_directly(server, now)) {
        this->checks.reached(what.request_id, server.id(), what.rest, now);
    }
}

void soak_run::crash_step_taken(const standin::backend_server& server,
                                const standin::crash_event& what)
{
    const auto now = monotonic_time::clock::now();
    if (what.step == standin::crash_step::crashed) {
        this->checks.crashed(what.request_id, now);
        return;
    }
    const auto host = this->crashing_request_hosts.find(what.request_id);
    this->checks.arrived(what.request_id,
                         host != this->crashing_request_hosts.end() &&
                             this->in_touch(this->hosts[host->second], server, now),
                         now);
}

void soak_run::check_holders()
{
    const auto now = monotonic_time::clock::now();
    for (std::uint32_t i = 0; i < sampled_keys; ++i) {
        const auto key = i * (direct::key_count / sampled_keys);
        std::vector<key_holding> holders;
        for (const auto& place : this->servers) {
            const auto& one = *place.server;
            if (one.is_up() && one.divided_by_key() && one.keys().holds(key, now)) {
                holders.push_back(
                    {.server = one.id(), .key = key, .since = one.keys().held_since(key)});
            }
        }
        this->checks.check_holders(key, holders, now);
    }
    this->log_broken_promises();
}

void soak_run::log_broken_promises()
{
    const auto& all = this->checks.broken();
    if (this->logged == all.size()) {
        return;
    }
    const auto since = calendar_time::clock::now().time_since_epoch();
    std::ofstream out{this->settings.folder / "broken.log", std::ios::app};
    for (; this->logged < all.size(); ++this->logged) {
        out << std::chrono::duration_cast<milliseconds>(since).count() << " "
            << name_of(all[this->logged].which) << ": " << all[this->logged].detail << "\n";
    }
}

asio::awaitable<void> soak_run::run_seed()
{
    co_await direct::sleep_for(this->io, startup_time);
    for (std::uint32_t i = 0; i < this->settings.callers; ++i) {
        asio::co_spawn(this->io, this->run_caller(), asio::detached);
    }
    const auto begun = monotonic_time::clock::now();
    const auto plan = make_plan({.seed = this->settings.seed,
                                 .latest_start = this->settings.fault_time,
                                 .store_restores = !this->settings.no_restores,
                                 .crashing_requests = this->settings.crashing_requests});
    auto end = begun;
    auto next = plan.begin();
    while (next != plan.end() || monotonic_time::clock::now() < end) {
        const auto now = monotonic_time::clock::now();
        while (next != plan.end() && now >= begun + next->at) {
            ++this->fault_counts[next->kind];
            asio::co_spawn(this->io, this->inject(*next), asio::detached);
            end = std::max(end, now + next->duration);
            ++next;
        }
        this->check_holders();
        this->record_host_starts();
        this->model.take_copy(now);
        co_await direct::sleep_for(this->io, check_interval);
    }
    this->end_all_faults();
    // A host that received SIGTERM keeps running for a while and cannot restart until it exits.
    const auto calm_from = monotonic_time::clock::now() + stop_timeout;
    const auto last = calm_from + this->settings.recovery_time;
    while (monotonic_time::clock::now() < last) {
        this->end_all_faults();
        this->check_holders();
        this->record_host_starts();
        this->faults_over = monotonic_time::clock::now() >= calm_from;
        co_await direct::sleep_for(this->io, check_interval);
    }
    this->callers_active = false;
    this->checks.answers_after_faults(this->answers_after_faults);
    for (const auto& host : this->hosts) {
        host.process->signal(SIGTERM);
    }
    const auto killed = monotonic_time::clock::now() + stop_timeout;
    const auto runs = [](const host_entry& one) { return one.process->is_running(); };
    while (std::any_of(this->hosts.begin(), this->hosts.end(), runs) &&
           monotonic_time::clock::now() < killed) {
        co_await direct::sleep_for(this->io, check_interval);
    }
    for (const auto& host : this->hosts) {
        this->checks.unexpected_exit(host.process->name(), host.process->unexpected_exit());
    }
    this->io.stop();
}

soak_run::prepared_request soak_run::prepare_request()
{
    const auto draw = [this](std::uint64_t below) {
        return next_random(this->random_state) % below;
    };
    enum class route : std::uint8_t { read, more_reads, order, upload, probe, kinds };
    const auto chosen = static_cast<route>(draw(static_cast<std::uint64_t>(route::kinds)));
    prepared_request out;
    out.sent.id = "soak-" + std::to_string(this->next_request++);
    out.sent.idempotent = chosen != route::order && chosen != route::upload;
    const auto key = draw(2) == 0 ? draw(hot_key_count) : draw(direct::key_count);
    std::string path = "/read/";
    if (chosen == route::probe) {
        out.version = 1 + draw(this->version);
        path = "/v" + std::to_string(out.version) + "/";
        out.sent.max_servers = max_servers_of_probe(out.version);
    }
    else if (!out.sent.idempotent) {
        path = chosen == route::order ? "/order/" : "/upload/";
        out.sent.body_bytes = chosen == route::order ? draw(200) : draw(max_request_body);
    }
    const auto method = out.sent.idempotent ? http::verb::get : http::verb::post;
    out.message = direct::make_request(method, path, std::string(out.sent.body_bytes, 'x'));
    out.message.set(http::field::host, caller_host);
    out.message.set(name::request_id, out.sent.id);
    out.message.set(name::time_limit, std::to_string(request_timeout.count()));
    if (chosen != route::upload && chosen != route::probe) {
        out.message.set(name::key, std::to_string(key));
    }
    out.message.keep_alive(true);
    out.message.prepare_payload();
    return out;
}

/// Returns the status, or 0 if the connection closed without an answer.
asio::awaitable<unsigned> soak_run::exchange(boost::beast::tcp_stream& connection,
                                             const prepared_request& request,
                                             const host_process& host)
{
    const auto start_number = host.start_number();
    const auto process = host.name() + " start " + std::to_string(start_number);
    auto sent_request = request.sent;
    sent_request.sent_at = monotonic_time::clock::now();
    // Suspected requests are sent by one host for all others.
    sent_request.host = sent_request.identity.empty() ? process : "";
    this->checks.sent(sent_request);
    connection.expires_after(response_timeout);
    const auto [unsent, sent] = co_await http::async_write(connection, request.message, no_throw);
    request_result result{.id = request.sent.id};
    if (!unsent) {
        boost::beast::flat_buffer buffer;
        http::response_parser<http::string_body> parser;
        const auto [failed, count] =
            co_await http::async_read(connection, buffer, parser, no_throw);
        if (!failed) {
            const auto& answer = parser.get();
            result.status = answer.result_int();
            result.body = answer.body();
            constexpr std::string_view before_server = "signed-";
            const std::string signature{answer[name::signature]};
            if (answer[name::server_leaving] == "1" && signature.starts_with(before_server)) {
                this->checks.passed_on_leaving(process, signature.substr(before_server.size()),
                                               monotonic_time::clock::now());
            }
        }
    }
    this->checks.finished(result);
    const bool found = result.status == 200;
    if (request.version > 0 && (found || result.status == 404) &&
        host.start_number() == start_number) {
        this->checks.served_version(host.name(), start_number, request.version, found);
    }
    this->answers_after_faults += this->faults_over && found ? 1U : 0U;
    co_return result.status;
}

/// Sends the same request again and again, each time to a random host: same path, caller and body.
asio::awaitable<void> soak_run::repeat_crashing_request(std::uint32_t number)
{
    const bool keyed = number % 2 == 0;
    const asio::ip::tcp::endpoint caller{asio::ip::address_v4{first_crashing_caller + number}, 0};
    const std::string path = keyed ? crashing_read_path : crashing_upload_path;
    const std::string body(keyed ? 0 : crashing_body_bytes, 'x');
    std::uint64_t random = this->settings.seed + number;
    while (this->callers_active) {
        const auto chosen = next_random(random) % this->hosts.size();
        const auto& host = *this->hosts[chosen].process;
        prepared_request request;
        request.sent = {.id = "crash-" + std::to_string(this->next_request++),
                        .idempotent = keyed,
                        .body_bytes = body.size(),
                        .identity = path + " from " + caller.address().to_string()};
        request.message =
            direct::make_request(keyed ? http::verb::get : http::verb::post, path, body);
        request.message.set(http::field::host, caller_host);
        request.message.set(name::request_id, request.sent.id);
        request.message.set(name::time_limit, std::to_string(request_timeout.count()));
        if (keyed) {
            request.message.set(name::key, std::to_string(number));
        }
        request.message.keep_alive(false);
        request.message.prepare_payload();
        this->crashing_request_hosts[request.sent.id] = chosen;
        boost::beast::tcp_stream connection{this->io};
        connection.socket().open(caller.protocol());
        connection.socket().bind(caller);
        connection.expires_after(connect_timeout);
        const auto [failed] =
            co_await connection.async_connect(to_endpoint(host.addresses().caller), no_throw);
        if (!failed) {
            co_await this->exchange(connection, request, host);
        }
        co_await direct::sleep_for(this->io,
                                   min_repeat_pause +
                                       milliseconds{next_random(random) % repeat_pause_spread_ms});
    }
}

/// Runs one caller: reuses its connection until it closes, then connects to a random host.
asio::awaitable<void> soak_run::run_caller()
{
    const auto pause = static_cast<std::uint64_t>(max_caller_pause.count());
    while (this->callers_active) {
        const auto chosen = next_random(this->random_state) % this->hosts.size();
        const auto& host = *this->hosts[chosen].process;
        boost::beast::tcp_stream connection{this->io};
        connection.expires_after(connect_timeout);
        const auto [failed] =
            co_await connection.async_connect(to_endpoint(host.addresses().caller), no_throw);
        bool open = !failed;
        while (open && this->callers_active) {
            const auto status = co_await this->exchange(connection, this->prepare_request(), host);
            open = status != 0;
            co_await direct::sleep_for(this->io,
                                       milliseconds{next_random(this->random_state) % pause});
        }
        co_await direct::sleep_for(this->io, max_caller_pause);
    }
}

} // namespace figreach::soak
