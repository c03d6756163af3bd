#include "figreach/direct/runtime/direct_host.h"

#include <csignal>
#include <fstream>
#include <iterator>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "figreach/direct/runtime/caller_connection.h"
#include "figreach/runtime/log.h"
#include "figreach/runtime/suspension_clock.h"

namespace figreach::direct {

namespace asio = boost::asio;

namespace {

constexpr milliseconds accept_retry_delay{50};
constexpr milliseconds cluster_check_interval{100};
/// The platform probes readiness once per second and removes a host from its rotation after two
/// failed probes.
constexpr milliseconds rotation_removal_time{2500};
constexpr milliseconds stop_poll_interval{20};
/// Part of the stop limit kept in reserve at its end.
constexpr milliseconds stop_reserve{400};
constexpr auto no_throw = asio::as_tuple(asio::use_awaitable);

} // namespace

direct_host::direct_host(const direct_settings& settings, std::string settings_file_)
    : settings_file{std::move(settings_file_)},
      state{this->io, settings, this->metrics_page},
      leader{this->state},
      registration{this->state},
      feed{this->state},
      quota{this->state, this->leader, this->feed},
      peers{this->state, this->leader, this->feed},
      prober{this->state},
      caller_acceptor{this->io, to_endpoint(settings.caller_address)},
      signals{this->io, SIGTERM, SIGINT, SIGHUP},
      admin{settings.admin_address, this->metrics_page, [this] { return this->is_ready(); }}
{
    this->add_metrics();
}

direct_host::~direct_host()
{
    this->io.destroy_handlers();
}

void direct_host::run()
{
    this->feed.start();
    this->registration.start();
    this->leader.start();
    this->peers.start();
    this->prober.start();
    this->quota.start();
    asio::co_spawn(this->io, this->accept(), asio::detached);
    asio::co_spawn(this->io, this->watch_signals(), asio::detached);
    asio::co_spawn(this->io, this->watch_cluster(), asio::detached);
    this->io.run();
}

asio::awaitable<void> direct_host::accept()
{
    for (;;) {
        auto [failed, socket] = co_await this->caller_acceptor.async_accept(no_throw);
        if (failed == asio::error::operation_aborted) {
            co_return;
        }
        if (failed) {
            log_event(log_level::warn, "accept_failed", {{"reason", failed.message()}});
            co_await sleep_for(this->io, accept_retry_delay);
            continue;
        }
        const auto connection =
            std::make_shared<caller_connection>(std::move(socket), this->state, this->feed);
        this->connections.insert(connection);
        asio::co_spawn(this->io, connection->run(), asio::detached);
    }
}

asio::awaitable<void> direct_host::watch_signals()
{
    for (;;) {
        const auto [failed, signal] = co_await this->signals.async_wait(no_throw);
        if (failed) {
            co_return;
        }
        if (signal == SIGHUP) {
            this->reload();
            continue;
        }
        co_await this->stop();
        co_return;
    }
}

/// Forwards recorded loads to the leader component and marks the host ready once the cluster state
/// is complete.
asio::awaitable<void> direct_host::watch_cluster()
{
    while (!this->state.stopping) {
        const auto changes = this->state.cluster.on_tick(monotonic_time::clock::now());
        if (!changes.empty()) {
            this->feed.publish(changes);
        }
        if (this->leader.leads()) {
            for (const auto& one : this->feed.take_loads()) {
                this->leader.record_load(one.service, one.key, one.requests);
            }
            this->leader.record_service_times(this->state.load_tracker.take_service_times());
        }
        this->sample_counts();
        this->state.forget_removed_servers(monotonic_time::clock::now());
        this->state.refresh_crash_suspects(monotonic_time::clock::now());
        this->state.peers.on_tick(monotonic_time::clock::now());
        std::erase_if(this->connections, [](const auto& one) { return one.expired(); });
        if (!this->ready && this->state.cluster.is_complete()) {
            this->ready = true;
            log_event(log_level::info, "ready", {});
        }
        this->check_freshness();
        co_await sleep_for(this->io, cluster_check_interval);
    }
}

/// Callers are better served by hosts that may accept their keys.
bool direct_host::is_ready() const
{
    return this->ready && this->accepts_keys;
}

void direct_host::check_freshness()
{
    const bool accepts = this->state.may_accept_keys();
    if (accepts == this->accepts_keys.exchange(accepts)) {
        return;
    }
    const auto age = time_with_suspension() - this->state.freshness.confirmed_at();
    log_event(log_level::warn, accepts ? "configuration_confirmed" : "configuration_unconfirmed",
              {{"age_ms", std::to_string(std::chrono::duration_cast<milliseconds>(age).count())}});
}

asio::awaitable<void> direct_host::stop()
{
    const auto started = monotonic_time::clock::now();
    const auto until = started + this->state.settings.stop_limit - stop_reserve;
    log_event(log_level::info, "stopping", {{"in_flight", std::to_string(this->state.in_flight)}});
    this->ready = false;
    this->state.stopping = true;
    this->state.stop_until = until;
    asio::co_spawn(this->io, this->resign(), asio::detached);
    while (monotonic_time::clock::now() < started + rotation_removal_time) {
        co_await sleep_for(this->io, stop_poll_interval);
    }
    this->caller_acceptor.close();
    this->close_idle_connections();
    while ((this->state.in_flight > 0 || !this->resigned) && monotonic_time::clock::now() < until) {
        co_await sleep_for(this->io, stop_poll_interval);
    }
    log_event(log_level::info, "stopped",
              {{"in_flight", std::to_string(this->state.in_flight)},
               {"resigned", this->resigned ? "true" : "false"}});
    this->io.stop();
}

/// Runs concurrently with requests in flight: if the store does not answer, resigning takes longer
/// than the stop limit.
asio::awaitable<void> direct_host::resign()
{
    co_await this->leader.resign();
    co_await this->registration.deregister();
    this->resigned = true;
}

void direct_host::close_idle_connections()
{
    for (const auto& one : this->connections) {
        if (const auto connection = one.lock()) {
            connection->close_if_idle();
        }
    }
}

/// Applies the settings that can change at run time. Invalid settings are logged and ignored.
void direct_host::reload()
{
    std::ifstream in{this->settings_file};
    const std::string text{std::istreambuf_iterator<char>{in}, {}};
    const auto parsed = parse_direct_settings(text, this->settings_file);
    if (!parsed.faults.empty()) {
        log_event(log_level::error, "settings_kept", {{"faults", to_text(parsed.faults)}});
        return;
    }
    this->state.settings.stop_limit = parsed.value.stop_limit;
    this->state.settings.leaving_limit = parsed.value.leaving_limit;
    this->state.settings.revocation_limit = parsed.value.revocation_limit;
    this->state.settings.log_level = parsed.value.log_level;
    this->state.settings.released_requests = parsed.value.released_requests;
    this->state.release_requests();
    set_log_level(parsed.value.log_level);
    log_event(log_level::info, "settings_reloaded", {{"log_level", parsed.value.log_level}});
}

void direct_host::sample_counts()
{
    if (const auto routes = this->state.cluster.routes()) {
        this->counts.unreadable_entries = routes->configuration().unreadable.size();
    }
    this->counts.limited_servers = this->state.rate_limits.count();
    this->counts.resting_servers = this->state.rests.count(monotonic_time::clock::now());
    this->counts.rest_answers = this->state.rest_answers;
    this->counts.health_checks = this->state.health_checks;
    this->counts.cold_answers = this->state.cold_answers;
    this->counts.leaving_answers = this->state.leaving_answers;
    this->counts.suspected_requests = this->state.suspects.count_at(crash_level::suspected);
    this->counts.held_requests = this->state.suspects.count_at(crash_level::held);
    this->counts.quota_refusals = this->state.quota_refusals;
    this->counts.key_refusals = this->state.key_refusals;
    this->counts.freshness_refusals = this->state.freshness_refusals;
    this->counts.path_lost = this->state.path.is_lost();
}

void direct_host::add_metrics()
{
    const auto add = [this](const char* name, const char* help, metric_type type,
                            std::function<std::uint64_t()> read) {
        this->metrics_page.add(
            {.name = name, .help = help, .labels = {}, .type = type, .read = std::move(read)});
    };
    add("store_calls_total", "Calls to the platform's store.", metric_type::counter,
        [this] { return this->state.store.calls(); });
    add("store_calls_failed_total", "Calls to the platform's store without an answer.",
        metric_type::counter, [this] { return this->state.store.failures(); });
    add("store_era", "How often the platform's store came back from an older copy.",
        metric_type::gauge, [this] { return static_cast<std::uint64_t>(this->state.store.era()); });
    add("unreadable_configuration_entries",
        "Entries of the configuration in force that cannot be read; their requests are refused.",
        metric_type::gauge, [this] { return this->counts.unreadable_entries.load(); });
    add("requests_in_flight", "Requests under way.", metric_type::gauge,
        [this] { return std::uint64_t{this->state.in_flight}; });
    add("servers_with_rate_limit", "Backend servers that name a limit of requests per second.",
        metric_type::gauge, [this] { return this->counts.limited_servers.load(); });
    add("servers_resting", "Backend servers that want no requests from this host at this moment.",
        metric_type::gauge, [this] { return this->counts.resting_servers.load(); });
    add("server_rests_total", "Answers by which backend servers asked for a rest.",
        metric_type::counter, [this] { return this->counts.rest_answers.load(); });
    add("server_health_checks_total",
        "Questions to backend servers whether they are cold, while the store does not tell.",
        metric_type::counter, [this] { return this->counts.health_checks.load(); });
    add("servers_found_cold_total", "Answers by which backend servers were found to be cold.",
        metric_type::counter, [this] { return this->counts.cold_answers.load(); });
    add("servers_said_leaving_total", "Backend servers that said in an answer that they leave.",
        metric_type::counter, [this] { return this->counts.leaving_answers.load(); });
    add("crash_suspects", "Requests that are sent alone since servers ended while running them.",
        metric_type::gauge, [this] { return this->counts.suspected_requests.load(); });
    add("crash_held", "Requests that are refused since servers ended while running them.",
        metric_type::gauge, [this] { return this->counts.held_requests.load(); });
    add("requests_without_valid_key_total", "Requests refused for want of a valid API key.",
        metric_type::counter, [this] { return this->counts.key_refusals.load(); });
    add("requests_key_unconfirmed_total",
        "Requests refused since the host could not confirm that their API key is still valid.",
        metric_type::counter, [this] { return this->counts.freshness_refusals.load(); });
    add("requests_over_tenant_limit_total", "Requests refused beyond the limit of their tenant.",
        metric_type::counter, [this] { return this->counts.quota_refusals.load(); });
    add("accepts_api_keys",
        "Whether the configuration is confirmed recently enough to accept keys.",
        metric_type::gauge, [this] { return std::uint64_t{this->accepts_keys ? 1U : 0U}; });
    add("server_path_lost", "Whether the host reaches no backend server.", metric_type::gauge,
        [this] { return std::uint64_t{this->counts.path_lost ? 1U : 0U}; });
    add("ready", "Whether the host takes new connections.", metric_type::gauge,
        [this] { return std::uint64_t{this->is_ready() ? 1U : 0U}; });
}

} // namespace figreach::direct
