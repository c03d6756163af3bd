#include "figreach/direct/runtime/host_registration.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "figreach/direct/stored_records.h"
#include "figreach/runtime/log.h"

namespace figreach::direct {

namespace asio = boost::asio;

namespace {

/// Long enough that a busy or slow store does not expire the lease. The set of live hosts
/// determines each host's share of limits and whether a former leader may still send orders; see
/// cluster_state::hosts_seen_within.
constexpr milliseconds lease_duration{12000};
constexpr milliseconds renew_interval{4000};
constexpr milliseconds retry_interval{500};
constexpr milliseconds call_timeout{1000};

} // namespace

host_registration::host_registration(host_context& state_) : state{state_} {}

void host_registration::start()
{
    asio::co_spawn(this->state.io, this->run(), asio::detached);
}

asio::awaitable<void> host_registration::run()
{
    while (!this->state.stopping) {
        if (!this->lease) {
            co_await this->register_host();
        }
        else {
            const auto failure = co_await this->state.store.renew_lease(*this->lease, call_timeout);
            if (failure == store_failure::lease_gone) {
                log_event(log_level::info, "registration_lapsed", {});
                this->lease.reset();
                continue;
            }
        }
        co_await this->wait_for_renewal();
    }
}

/// Returns early if the store has lost the registration in a new era.
asio::awaitable<void> host_registration::wait_for_renewal()
{
    const auto until =
        monotonic_time::clock::now() + (this->lease ? renew_interval : retry_interval);
    while (monotonic_time::clock::now() < until) {
        co_await sleep_for(this->state.io, retry_interval);
        const bool is_lost = this->lease && this->lease->era < this->state.store.era();
        if (is_lost && monotonic_time::clock::now() >= this->state.reload_at) {
            co_return;
        }
    }
}

asio::awaitable<void> host_registration::register_host()
{
    const auto opened = co_await this->state.store.open_lease(lease_duration, call_timeout);
    const auto* opened_lease = std::get_if<store_lease>(&opened);
    if (opened_lease == nullptr) {
        co_return;
    }
    constexpr double percent = 100.0;
    const auto processor = this->state.settings.processor_share * percent;
    const live_host self{.name = this->state.settings.name,
                         .lifetime = this->state.lifetime,
                         .peer_address = this->state.settings.peer_address,
                         .processor_percent = static_cast<std::uint32_t>(processor),
                         .failure_domain = this->state.settings.failure_domain,
                         .secret = this->state.secret.bytes};
    store_transaction entry{.era = opened_lease->era};
    entry.writes.push_back(
        {.key = hosts_prefix + self.name.value, .value = encode(self), .lease = *opened_lease});
    const auto written = co_await this->state.store.commit(std::move(entry), call_timeout);
    if (std::holds_alternative<store_revision>(written)) {
        this->lease = *opened_lease;
    }
}

asio::awaitable<void> host_registration::deregister()
{
    if (this->lease) {
        co_await this->state.store.end_lease(*this->lease, call_timeout);
    }
}

} // namespace figreach::direct
