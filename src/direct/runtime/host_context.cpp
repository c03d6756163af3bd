#include "figreach/direct/runtime/host_context.h"

#include <algorithm>
#include <random>

#include "figreach/runtime/log.h"
#include "figreach/runtime/suspension_clock.h"

namespace figreach::direct {

namespace {

constexpr std::size_t max_idle_per_server = 8;
constexpr std::size_t max_idle_per_peer = 16;
/// Fraction of the shared retry budget that is used, because each host counts its requests
/// separately.
constexpr double budget_fraction = 0.6;
constexpr double percent = 100.0;
/// In report intervals; see directory_settings::min_outage.
constexpr int absence_reports = 2;

/// Time between the reloads of two hosts in a new era of the store; keeps 1,200 hosts below the
/// rate limits of the store and the leader's link.
constexpr milliseconds reload_interval_per_host{10};

/// Ages of reports leave out the time on the way. A report counts as later than another event only
/// by more than this.
constexpr milliseconds report_delay{300};

std::string era_text(store_era era)
{
    return std::to_string(static_cast<std::uint64_t>(era));
}

std::string rate_text(std::optional<double> rate)
{
    return rate ? std::to_string(*rate) : "none";
}

void log_rate_limit(const rate_limit_report& report, std::optional<double> former,
                    const std::string& source)
{
    log_event(log_level::info, "server_limit",
              {{"server", report.server.value},
               {"per_second", rate_text(report.rate)},
               {"former", rate_text(former)},
               {"source", source},
               {"age_ms", std::to_string(report.age.count())}});
}

std::uint64_t start_time_ms()
{
    const auto since = calendar_time::clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(since).count());
}

} // namespace

host_context::host_context(boost::asio::io_context& io_, const direct_settings& settings_,
                           metrics& metrics_page_)
    : io{io_},
      settings{settings_},
      metrics_page{metrics_page_},
      requests{metrics_page_.add_request_thread()},
      lifetime{start_time_ms()},
      store{io_, settings_.store_address,
            [this](store_era era, auto former) { this->record_store_era(era, former); }},
      cluster{directory_settings{.min_outage = absence_reports * settings_.report_interval}},
      cluster_changed{io_},
      quota{settings_.quota},
      quota_shares{{.bounds = settings_.quota}},
      quota_wanted{io_},
      quota_changed{io_},
      load_tracker{load_tracker_settings{}},
      path{server_path_settings{}, monotonic_time::clock::now()},
      rate_limits{rate_limit_settings{}},
      suspects{crash_suspects_settings{}},
      crash_record_writes{crash_record_settings{}},
      server_connections{io_, max_idle_per_server},
      cold_checked{io_},
      peer_connections{io_, max_idle_per_peer},
      peers{peer_health_settings{}},
      random_state{std::random_device{}()},
      secret{make_host_secret()}
{
}

void host_context::record_store_call(bool answered, monotonic_time called_at)
{
    if (answered == this->store_reachable) {
        return;
    }
    this->store_reachable = answered;
    if (!answered) {
        this->store_unreachable_since = called_at;
        log_event(log_level::info, "store_lost", {});
        return;
    }
    const auto now = monotonic_time::clock::now();
    const auto away = std::chrono::floor<milliseconds>(now - this->store_unreachable_since);
    log_event(log_level::info, "store_regained", {{"away_ms", std::to_string(away.count())}});
    this->cluster.on_store_reconnected(away, now);
    this->cluster_changed.notify();
}

void host_context::record_store_era(store_era era, std::optional<store_era> former)
{
    log_event(log_level::warn, "store_era",
              {{"era", era_text(era)},
               {"former", former ? era_text(*former) : "none"},
               {"leads", this->leads ? "true" : "false"}});
    if (former) {
        const auto now = monotonic_time::clock::now();
        this->cluster.on_store_restored(now);
        this->reload_at = now + this->spread_delay();
        this->cluster_changed.notify();
    }
    else {
        this->first_seen_era = era;
    }
    this->era_seen_at = time_with_suspension();
}

void host_context::record_server_connected()
{
    const auto now = monotonic_time::clock::now();
    const auto since = this->path.last_reached();
    if (this->path.connects_fail()) {
        this->log_server_path("connects", now - since);
    }
    if (this->path.on_connected(now)) {
        this->log_server_path("regained", now - since);
    }
}

void host_context::record_server_answer()
{
    const auto now = monotonic_time::clock::now();
    const auto since = this->path.last_reached();
    if (this->path.on_answer(now)) {
        this->log_server_path("regained", now - since);
    }
}

void host_context::record_server_unreachable(const backend_server_id& server)
{
    const auto now = monotonic_time::clock::now();
    const auto known = this->cluster.servers_for_new_work().size();
    const bool connected = !this->path.connects_fail();
    const bool is_lost = this->path.on_failed(server, known, now);
    if (connected && this->path.connects_fail()) {
        this->log_server_path("connects_fail", now - this->path.last_reached());
    }
    if (is_lost) {
        this->log_server_path("lost", now - this->path.last_reached());
        this->server_connections.clear();
        for (const auto& one : this->repeatable_exchanges) {
            reset(*one);
        }
    }
}

bool host_context::is_cut_off() const
{
    const auto others = this->load_tracker.last_answer_to_others();
    return this->path.is_lost() && others && *others > this->path.last_reached() + report_delay;
}

void host_context::log_server_path(const char* change, monotonic_time::duration silence) const
{
    const auto time = std::chrono::duration_cast<milliseconds>(silence);
    log_event(log_level::warn, "server_path",
              {{"change", change},
               {"silent_ms", std::to_string(time.count())},
               {"failed_servers", std::to_string(this->path.failed_servers())}});
}

void host_context::record_rate_limit(const backend_server_id& server,
                                     const platform::answer_head& head, monotonic_time now)
{
    if (!head.invalid_rate_limit.empty()) {
        if (this->invalid_rate_limits.insert(server).second) {
            log_event(log_level::warn, "server_limit_invalid",
                      {{"server", server.value}, {"field", head.invalid_rate_limit}});
        }
        return;
    }
    this->invalid_rate_limits.erase(server);
    const auto former = this->rate_limits.rate_of(server);
    if (this->rate_limits.on_answer(server, head.rate_limit, now)) {
        log_rate_limit({.server = server, .rate = head.rate_limit, .age = {}}, former, "answer");
    }
}

void host_context::record_leaving(const leaving_report& report, const std::string& source)
{
    if (!this->cluster.record_leaving(report, monotonic_time::clock::now())) {
        return;
    }
    ++this->leaving_answers;
    log_event(log_level::info, "server_said_leaving",
              {{"server", report.server.value},
               {"lifetime", std::to_string(report.lifetime)},
               {"source", source},
               {"age_ms", std::to_string(report.age.count())},
               {"limit_ms", std::to_string(this->settings.leaving_limit.count())}});
    this->cluster_changed.notify();
}

void host_context::record_leaving(const backend_server_id& server, const std::string& source)
{
    if (const auto* record = this->cluster.servers().find(server)) {
        this->record_leaving({.server = server, .lifetime = record->entry.lifetime}, source);
    }
}

void host_context::record_rest(const server_lifetime& server, const platform::answer_head& head,
                               monotonic_time now)
{
    if (!head.invalid_rest.empty() && this->invalid_rests.insert(server.server).second) {
        log_event(log_level::warn, "server_rest_invalid",
                  {{"server", server.server.value}, {"field", head.invalid_rest}});
    }
    if (!head.rest ||
        !this->rests.on_turned_away(server.server, server.lifetime, *head.rest, now)) {
        return;
    }
    ++this->rest_answers;
    const auto believed = this->rests.time_left(server.server, server.lifetime, now);
    log_event(log_level::info, "server_rest",
              {{"server", server.server.value},
               {"lifetime", std::to_string(server.lifetime)},
               {"asked_ms", std::to_string(head.rest->count())},
               {"believed_ms", std::to_string(believed.count())}});
}

void host_context::record_cold(const server_lifetime& server, const platform::answer_head& head,
                               const char* source)
{
    if (!head.cold_for ||
        !this->cluster.record_cold(server, *head.cold_for, monotonic_time::clock::now())) {
        return;
    }
    ++this->cold_answers;
    log_event(log_level::info, "server_cold",
              {{"server", server.server.value},
               {"lifetime", std::to_string(server.lifetime)},
               {"cold_ms", std::to_string(head.cold_for->count())},
               {"source", source}});
}

void host_context::merge_rate_limits(const std::vector<rate_limit_report>& reports,
                                     const host_id& from)
{
    const auto now = monotonic_time::clock::now();
    for (const auto& one : reports) {
        const auto former = this->rate_limits.rate_of(one.server);
        if (this->rate_limits.merge(one, now)) {
            log_rate_limit(one, former, from.value);
        }
    }
}

void host_context::merge_crash_reports(const std::vector<crash_report>& reports)
{
    const auto now = monotonic_time::clock::now();
    for (const auto& one : reports) {
        this->suspects.merge(one, now);
    }
    this->log_crash_changes();
}

void host_context::apply_leader_crash_reports(const std::vector<crash_report>& reports,
                                              bool has_crash_record)
{
    this->merge_crash_reports(reports);
    if (has_crash_record) {
        this->has_leader_crashes = true;
        this->suspects.keep_restored(reports, monotonic_time::clock::now());
        this->log_crash_changes();
    }
}

void host_context::apply_crash_record()
{
    const auto& [record, revision] = this->cluster.crashes();
    if (revision == this->crash_record_seen) {
        return;
    }
    this->crash_record_seen = revision;
    const bool is_own = this->leads && record.term >= this->led_term;
    if (is_own) {
        return;
    }
    this->crash_record_writes.on_stored(record.reports);
    // A store that was restored from a copy holds less than this process knows.
    if (this->has_leader_crashes || revision.era() != this->first_seen_era) {
        return;
    }
    auto wanted = record.reports;
    std::erase_if(wanted, [this](const crash_report& one) {
        const auto& released = this->settings.released_requests;
        return std::find(released.begin(), released.end(), one.digest) != released.end();
    });
    this->suspects.restore(wanted, monotonic_time::clock::now());
    log_event(log_level::info, "crash_record_read",
              {{"term", std::to_string(record.term)},
               {"revision", std::to_string(revision.number().value)},
               {"requests", std::to_string(wanted.size())}});
    this->log_crash_changes();
}

void host_context::refresh_crash_suspects(monotonic_time now)
{
    const auto find = [this](const backend_server_id& id) -> std::optional<discovered_server> {
        const auto* record = this->cluster.servers().find(id);
        if (record == nullptr) {
            return std::nullopt;
        }
        const auto& view = this->load_tracker.view(id);
        return discovered_server{.lifetime = record->entry.lifetime,
                                 .report = record->entry.report,
                                 .answered_at =
                                     view.report ? std::optional{view.reported_at} : std::nullopt};
    };
    this->suspects.on_tick(find, now);
    this->log_crash_changes();
}

void host_context::log_crash_changes()
{
    for (const auto& one : this->suspects.take_changes()) {
        std::string servers;
        std::string senders;
        std::string ages;
        for (const auto& loss : one.losses) {
            const auto* separator = servers.empty() ? "" : " ";
            servers += separator + loss.server.server.value;
            senders += separator + loss.sender.value;
            ages += separator + std::to_string(loss.age.count());
        }
        const auto change = one.to == crash_level::none ? "cleared" : name_of(one.to);
        log_event(log_level::warn, "crash_suspect",
                  {{"change", std::string{change}},
                   {"former", std::string{name_of(one.from)}},
                   {"digest", to_text(one.digest)},
                   {"servers", servers},
                   {"hosts", senders},
                   {"ages_ms", ages}});
    }
}

void host_context::release_requests()
{
    for (const auto& digest : this->settings.released_requests) {
        this->suspects.on_answered(digest, monotonic_time::clock::now());
    }
    this->log_crash_changes();
}

void host_context::forget_removed_servers(monotonic_time now)
{
    const auto is_known = [this](const backend_server_id& id) {
        return this->cluster.servers().find(id) != nullptr;
    };
    this->rate_limits.prune(is_known, now);
    this->rests.prune(now);
    this->cold.prune(is_known);
    std::erase_if(this->invalid_rate_limits, [&](const auto& id) { return !is_known(id); });
    std::erase_if(this->invalid_rests, [&](const auto& id) { return !is_known(id); });
    const auto& servers = this->cluster.servers().all();
    if (this->server_processes.size() > servers.size()) {
        std::set<std::string> addresses;
        for (const auto& [id, record] : servers) {
            addresses.insert(record.entry.address);
        }
        this->server_processes.prune(
            [&addresses](const std::string& address) { return addresses.contains(address); });
    }
}

milliseconds host_context::spread_delay()
{
    const auto hosts = static_cast<std::int64_t>(this->cluster.host_count());
    const auto longest = reload_interval_per_host * (hosts + 1);
    const auto random =
        next_random(this->random_state) % static_cast<std::uint64_t>(longest.count());
    return milliseconds{static_cast<std::int64_t>(random)};
}

bool host_context::may_accept_keys() const
{
    const auto routes = this->cluster.routes();
    const auto& limit = this->settings.revocation_limit;
    return !routes || routes->tenants().empty() || !limit ||
           this->freshness.may_serve(time_with_suspension(), *limit);
}

retry_budget& host_context::retry_budget_for(const service_id& service)
{
    const auto known = this->retry_budgets.find(service);
    if (known != this->retry_budgets.end()) {
        return known->second;
    }
    const auto hosts = std::max<std::size_t>(this->cluster.host_count(), 1);
    const auto share = this->settings.repeat_share * budget_fraction * percent;
    const auto allowance =
        this->settings.repeat_allowance * budget_fraction / static_cast<double>(hosts);
    const retry_budget_settings own{.percent = static_cast<std::uint32_t>(share),
                                    .max_retries = static_cast<std::uint32_t>(allowance)};
    return this->retry_budgets.emplace(service, retry_budget{own}).first->second;
}

} // namespace figreach::direct
