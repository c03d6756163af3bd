#include "figreach/direct/runtime/host_context.h"

#include <algorithm>
#include <random>

#include "figreach/runtime/log.h"

namespace figreach::direct {

namespace {

constexpr std::size_t most_idle_per_server = 8;
/// Part of the shared retry budget that is used, since hosts count their requests apart.
constexpr double used_budget = 0.6;
constexpr double percent = 100.0;
/// Intervals of reports; see directory_settings::min_outage.
constexpr int lasting_reports = 2;

std::uint64_t start_time()
{
    const auto since = calendar_time::clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(since).count());
}

} // namespace

host_context::host_context(boost::asio::io_context& io_, const direct_settings& settings_,
                           metrics& page_)
    : io{io_},
      settings{settings_},
      page{page_},
      requests{page_.add_request_thread()},
      lifetime{start_time()},
      store{io_, settings_.store_address},
      beliefs{directory_settings{.min_outage = lasting_reports * settings_.report_interval}},
      changed{io_},
      views{load_tracker_settings{}},
      servers{io_, most_idle_per_server},
      random_state{std::random_device{}()}
{
}

void host_context::note_store(bool answered, monotonic_time asked)
{
    if (answered == this->store_reachable) {
        return;
    }
    this->store_reachable = answered;
    if (!answered) {
        this->store_lost_since = asked;
        log_event(log_level::info, "store_lost", {});
        return;
    }
    const auto now = monotonic_time::clock::now();
    const auto away = std::chrono::floor<milliseconds>(now - this->store_lost_since);
    log_event(log_level::info, "store_regained", {{"away_ms", std::to_string(away.count())}});
    this->beliefs.on_store_reconnected(away, now);
    this->changed.notify();
}

retry_budget& host_context::budget_of(const service_id& service)
{
    const auto known = this->budgets.find(service);
    if (known != this->budgets.end()) {
        return known->second;
    }
    const auto hosts = std::max<std::size_t>(this->beliefs.host_count(), 1);
    const auto share = this->settings.repeat_share * used_budget * percent;
    const auto allowance = static_cast<double>(this->settings.repeat_allowance) * used_budget /
                           static_cast<double>(hosts);
    const retry_budget_settings own{.percent = static_cast<std::uint32_t>(share),
                                    .max_retries = static_cast<std::uint32_t>(allowance)};
    return this->budgets.emplace(service, retry_budget{own}).first->second;
}

} // namespace figreach::direct
