// A request that crashes the backend servers that run it. Entry hosts, the store and the backend
// servers run in this process.

#include <csignal>
#include <future>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include <boost/asio/read.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "../property.h"
#include "../runtime/plane_fixture.h"
#include "backend_server.h"
#include "figreach/direct/runtime/direct_host.h"
#include "figreach/retry_budget.h"
#include "names.h"
#include "promise_checks.h"

using namespace figreach;
using namespace figreach::direct;

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::uint64_t max_callers = 200;
constexpr std::size_t host_count = 3;
constexpr std::size_t servers_per_service = 3;
constexpr auto keyed_service = "lessons";
constexpr auto unkeyed_service = "media";
constexpr milliseconds watched_time{10000};
/// Hosts may hold the request before the third crash.
constexpr milliseconds max_wait_for_crashes{15000};
constexpr std::uint32_t tolerated_crashes = 3;
constexpr std::uint32_t tolerated_late_arrivals = 3;
constexpr milliseconds other_request_pause{40};
constexpr std::uint64_t min_repeat_pause_ms = 200;
constexpr std::uint64_t repeat_pause_spread_ms = 400;
constexpr std::uint64_t percent = 100;
constexpr std::uint64_t min_served_percent = 80;

struct crash_row {
    const char* name;
    const char* crashing; ///< request line of the request that crashes servers
    const char* body;
    const char* network; ///< of the callers; each attempt comes from another address
    const char* other;   ///< request line of other requests to the same service
};

const crash_row crash_rows[] = {
    {"keyed, may be repeated", "GET /crash/read/1", "", "127.0.1.", "GET /read/1"},
    {"any server, may run once", "POST /crash/order/1", "body", "127.0.2.", "GET /media/1"},
};

/// What became of one row's requests.
struct crash_outcome {
    soak::crash_counts crashing;
    /// Other requests since the watched time began.
    std::uint64_t others_sent = 0;
    std::uint64_t others_served = 0;
};

json::object make_resource(const char* type, const std::string& named, json::object spec)
{
    return {{"type", type}, {"metadata", json::object{{"name", named}}}, {"spec", std::move(spec)}};
}

std::string make_configuration()
{
    json::array all;
    const auto add_route = [&all](const char* prefix, const char* kind, const char* service) {
        all.push_back(make_resource("routes", prefix,
                                    {{"host", "a.example"},
                                     {"prefix", prefix},
                                     {"service", service},
                                     {"route_type", kind},
                                     {"timeout_s", 2},
                                     {"latency_target_s", 0.5},
                                     {"attempts", 2},
                                     {"priority", 1}}));
    };
    add_route("/read/", "safe", keyed_service);
    add_route("/crash/read/", "safe", keyed_service);
    add_route("/media/", "safe", unkeyed_service);
    add_route("/crash/order/", "unsafe", unkeyed_service);
    for (const auto* service : {keyed_service, unkeyed_service}) {
        all.push_back(make_resource("services", service,
                                    {{"health_path", "/healthz"},
                                     {"max_conns", 200},
                                     {"sharded", service == keyed_service},
                                     {"cold_start_s", 0},
                                     {"cold_per_s", 100},
                                     {"warmup_s", 0}}));
    }
    return json::serialize(json::object{{"version", "r1"}, {"resources", std::move(all)}});
}

/// Returns everything that the host writes; empty if there was no connection.
std::string exchange(const std::string& host, const std::string& caller, const std::string& request)
{
    asio::io_context io;
    tcp::socket socket{io};
    boost::system::error_code failed;
    socket.open(tcp::v4());
    set_watchdog(socket);
    socket.bind({asio::ip::make_address(caller), 0});
    socket.connect(to_endpoint(host), failed);
    std::string out;
    if (!failed) {
        asio::write(socket, asio::buffer(request), failed);
        asio::read(socket, asio::dynamic_buffer(out), failed);
    }
    return out;
}

std::string make_text(const std::string& line, const std::string& id, std::uint64_t key,
                      const std::string& body = {})
{
    return line +
           " HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\nFigreach-Request-Id: " + id +
           "\r\nFigreach-Deadline-Ms: 2000\r\nFigreach-Shard-Key: " + std::to_string(key) +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// The store and backend servers, on a thread of their own.
class standin_platform {
public:
    standin_platform() : store{this->io, this->model, 1}
    {
        const store_transaction what{
            .conditions = {},
            .writes = {{.key = platform::name::configuration_key, .value = make_configuration()}},
            .removals = {}};
        static_cast<void>(this->model.commit(what, monotonic_time::clock::now()));
        for (const auto* service : {keyed_service, unkeyed_service}) {
            for (std::size_t i = 0; i < servers_per_service; ++i) {
                this->add_server(service);
            }
        }
        this->thread = std::thread{[this] { this->io.run(); }};
    }
    ~standin_platform()
    {
        this->io.stop();
        this->thread.join();
    }
    standin_platform(const standin_platform&) = delete;
    standin_platform& operator=(const standin_platform&) = delete;

    [[nodiscard]] const std::string& store_address() const { return this->store.address(); }

    void record_sent(const std::string& id, const std::string& identity)
    {
        const std::lock_guard lock{this->mutex};
        this->checks.sent({.id = id, .identity = identity});
    }

    [[nodiscard]] soak::crash_counts counts_of(const std::string& identity)
    {
        const std::lock_guard lock{this->mutex};
        const auto& all = this->checks.crashing_requests();
        const auto found = all.find(identity);
        return found == all.end() ? soak::crash_counts{} : found->second;
    }

private:
    void add_server(const char* service)
    {
        standin::backend_settings own{.service = service,
                                      .failure_domain = "hill",
                                      .divided_by_key = service == keyed_service,
                                      .crash_prefix = "/crash/"};
        auto server = std::make_unique<standin::backend_server>(
            this->io, this->model, this->store, std::move(own), this->servers.size() + 1,
            [](const auto&, const auto&) {});
        server->set_public_address(server->address());
        server->set_crash_listener(
            [this](const auto&, const standin::crash_event& what) { this->record(what); });
        server->start();
        this->servers.push_back(std::move(server));
    }

    void record(const standin::crash_event& what)
    {
        const auto now = monotonic_time::clock::now();
        const std::lock_guard lock{this->mutex};
        if (what.step == standin::crash_step::crashed) {
            this->checks.crashed(what.request_id, now);
        }
        else {
            this->checks.arrived(what.request_id, true, now);
        }
    }

    asio::io_context io{1};
    standin::store_model model;
    standin::store_server store;
    std::vector<std::unique_ptr<standin::backend_server>> servers;
    std::mutex mutex; ///< of `checks`
    soak::promise_checks checks;
    std::thread thread;
};

/// Entry hosts, on a thread each.
class running_hosts {
public:
    explicit running_hosts(const std::string& store_address)
    {
        for (std::size_t i = 0; i < host_count; ++i) {
            direct_settings own;
            own.name = {"h" + std::to_string(i + 1)};
            own.failure_domain = {"hill"};
            own.caller_address = local_address(free_port());
            own.admin_address = local_address(free_port());
            own.peer_address = local_address(free_port());
            own.store_address = store_address;
            own.report_interval = milliseconds{300};
            this->addresses.push_back(own.caller_address);
            this->hosts.push_back(std::make_unique<direct_host>(own, ""));
        }
        for (const auto& host : this->hosts) {
            this->threads.emplace_back([&host] { host->run(); });
        }
    }
    /// A host stops on SIGTERM only. All hosts of the process get it.
    ~running_hosts()
    {
        static_cast<void>(std::raise(SIGTERM));
        for (auto& one : this->threads) {
            one.join();
        }
    }
    running_hosts(const running_hosts&) = delete;
    running_hosts& operator=(const running_hosts&) = delete;

    std::vector<std::string> addresses; ///< for callers

private:
    std::vector<std::unique_ptr<direct_host>> hosts;
    std::vector<std::thread> threads;
};

/// Sends requests of one row to random hosts, from before the first crash until the end of the
/// watched time.
class row_player {
public:
    row_player(const crash_row& row_, standin_platform& platform_, const running_hosts& hosts_)
        : row{row_}, platform{platform_}, hosts{hosts_}
    {
    }

    crash_outcome play()
    {
        auto others = std::async(std::launch::async, [this] { this->send_others(); });
        std::uint64_t random = 1;
        while (!this->is_over()) {
            const auto id = "crash-" + std::to_string(this->next_id++) + "-" + this->row.network;
            this->platform.record_sent(id, this->row.name);
            const auto from = this->row.network + std::to_string(1 + this->next_id % max_callers);
            exchange(this->hosts.addresses.at(next_random(random) % host_count), from,
                     make_text(this->row.crashing, id, 0, this->row.body));
            std::this_thread::sleep_for(
                milliseconds{min_repeat_pause_ms + next_random(random) % repeat_pause_spread_ms});
        }
        others.wait();
        this->outcome.crashing = this->platform.counts_of(this->row.name);
        return this->outcome;
    }

private:
    [[nodiscard]] monotonic_time watched_from() const
    {
        const auto counts = this->platform.counts_of(this->row.name);
        return counts.crashes < tolerated_crashes ? this->begun + max_wait_for_crashes
                                                  : counts.third_crash + soak::stable_window;
    }

    [[nodiscard]] bool is_over() const
    {
        return monotonic_time::clock::now() > this->watched_from() + watched_time;
    }

    void send_others()
    {
        std::uint64_t random = 2;
        while (!this->is_over()) {
            const bool watched = monotonic_time::clock::now() > this->watched_from();
            const auto id = "other-" + std::to_string(next_random(random));
            const auto answer =
                exchange(this->hosts.addresses.at(next_random(random) % host_count), "127.0.0.1",
                         make_text(this->row.other, id, next_random(random) % key_count));
            this->outcome.others_sent += watched ? 1U : 0U;
            this->outcome.others_served += watched && answer.starts_with("HTTP/1.1 200") ? 1U : 0U;
            std::this_thread::sleep_for(other_request_pause);
        }
    }

    const crash_row& row;
    standin_platform& platform;
    const running_hosts& hosts;
    monotonic_time begun = monotonic_time::clock::now();
    std::uint64_t next_id = 1;
    crash_outcome outcome;
};

void wait_until_served(const running_hosts& hosts)
{
    for (const auto& host : hosts.addresses) {
        for (const auto& row : crash_rows) {
            wait_for([&] {
                return exchange(host, "127.0.0.1", make_text(row.other, "first", 0))
                    .starts_with("HTTP/1.1 200");
            });
        }
    }
}

} // namespace

TEST_GROUP(crashing_request_test){};

/// Guards against a request that takes down one backend server after the other: it is kept from
/// servers after the third crash, and other requests of the service are served.
TEST(crashing_request_test, a_request_that_crashed_three_servers_is_kept_from_the_others)
{
    std::vector<crash_outcome> outcomes;
    {
        standin_platform platform;
        const running_hosts hosts{platform.store_address()};
        wait_until_served(hosts);
        std::vector<std::future<crash_outcome>> rows;
        for (const auto& row : crash_rows) {
            rows.push_back(std::async(std::launch::async, [&row, &platform, &hosts] {
                return row_player{row, platform, hosts}.play();
            }));
        }
        for (auto& one : rows) {
            outcomes.push_back(one.get());
        }
    }
    std::string text;
    for (std::size_t i = 0; i < outcomes.size(); ++i) {
        const auto& seen = outcomes[i];
        text += std::string{crash_rows[i].name} + ": " + std::to_string(seen.crashing.crashes) +
                " crashes, " + std::to_string(seen.crashing.late_arrivals) + " late arrivals, " +
                std::to_string(seen.others_served) + " of " + std::to_string(seen.others_sent) +
                " others served\n";
    }
    for (const auto& seen : outcomes) {
        CHECK_TRUE_TEXT(seen.crashing.crashes > 0, text.c_str());
        CHECK_TRUE_TEXT(seen.others_sent > 0, text.c_str());
        CHECK_TRUE_TEXT(seen.crashing.late_arrivals <= tolerated_late_arrivals, text.c_str());
        CHECK_TRUE_TEXT(seen.others_served * percent >= seen.others_sent * min_served_percent,
                        text.c_str());
    }
}

/// Guards against forgetting a request that crashes servers when all hosts end. Each further
/// generation of hosts would let it crash three servers more.
TEST(crashing_request_test, a_request_stays_held_after_all_hosts_have_ended)
{
    constexpr int generations = 3;
    constexpr std::uint64_t sends = 12;
    constexpr milliseconds pause{400};
    const auto& row = crash_rows[1];
    standin_platform platform;
    std::uint64_t number = 0;
    std::vector<std::uint32_t> crashes;
    for (int i = 0; i < generations; ++i) {
        const running_hosts hosts{platform.store_address()};
        wait_until_served(hosts);
        for (std::uint64_t j = 0; j < sends; ++j) {
            const auto id = "held-" + std::to_string(++number);
            platform.record_sent(id, row.name);
            exchange(hosts.addresses.at(j % host_count), "127.0.0.1",
                     make_text(row.crashing, id, 0, row.body));
            std::this_thread::sleep_for(pause);
        }
        crashes.push_back(platform.counts_of(row.name).crashes);
    }
    CHECK_TRUE(crashes.front() >= tolerated_crashes);
    CHECK_EQUAL(crashes.front(), crashes.back());
}
