#include "figreach/direct/runtime/quota_client.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "figreach/direct/runtime/host_context.h"
#include "figreach/direct/runtime/leadership.h"
#include "figreach/direct/runtime/store_feed.h"
#include "figreach/runtime/log.h"
#include "figreach/runtime/suspension_clock.h"

namespace figreach::direct {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr milliseconds call_timeout{400};
/// Requests that begin to wait within this time share a report.
constexpr milliseconds min_pause{50};
constexpr milliseconds configuration_check_interval{500};

} // namespace

quota_client::quota_client(host_context& state_, leadership& leader_, store_feed& feed_)
    : state{state_}, leader{leader_}, feed{feed_}, peers{state_.io}
{
}

void quota_client::start()
{
    asio::co_spawn(this->state.io, this->run(), asio::detached);
}

bool quota_client::has_limits() const
{
    const auto routes = this->state.cluster.routes();
    if (!routes) {
        return false;
    }
    const auto& tenants = routes->configuration().tenants;
    return std::any_of(tenants.begin(), tenants.end(),
                       [](const tenant_rule& one) { return one.rate > 0.0; });
}

asio::awaitable<void> quota_client::run()
{
    for (;;) {
        if (!this->has_limits()) {
            co_await sleep_for(this->state.io, configuration_check_interval);
            continue;
        }
        const bool answered = co_await this->report();
        if (answered != std::exchange(this->state.quota_answered, answered)) {
            log_event(log_level::info, answered ? "quota_shares_received" : "quota_shares_missing",
                      {});
        }
        this->state.quota_changed.notify();
        const auto next =
            monotonic_time::clock::now() + quota_report_interval(this->state.cluster.host_count());
        co_await sleep_for(this->state.io, min_pause);
        if (!this->state.quota.is_wanted()) {
            co_await this->state.quota_wanted.wait(next);
        }
    }
}

/// Returns whether the leader has answered.
asio::awaitable<bool> quota_client::report()
{
    const auto asked_at = time_with_suspension();
    auto own = this->state.quota.make_report(asked_at);
    own.host = this->state.settings.name;
    own.lifetime = this->state.lifetime;
    std::optional<quota_shares> shares;
    if (this->leader.leads()) {
        shares = answer(this->state, this->leader, own);
    }
    else {
        shares = co_await this->ask_leader(std::move(own));
    }
    if (shares) {
        this->state.quota.apply(*shares, asked_at, time_with_suspension());
    }
    co_return shares.has_value();
}

asio::awaitable<std::optional<quota_shares>> quota_client::ask_leader(quota_report report)
{
    const auto followed = this->feed.followed_leader();
    if (!followed) {
        co_return std::nullopt;
    }
    auto message = make_request(http::verb::post, "/quota", encode(report));
    const auto result = co_await this->peers.call(followed->peer_address, std::move(message),
                                                  monotonic_time::clock::now() + call_timeout);
    const auto* answered = std::get_if<http_response>(&result);
    if (answered == nullptr || answered->result() != http::status::ok) {
        co_return std::nullopt;
    }
    co_return decode_quota_shares(answered->body());
}

std::optional<quota_shares> quota_client::answer(host_context& state, const leadership& leader,
                                                 const quota_report& report)
{
    const auto routes = state.cluster.routes();
    if (!leader.leads() || !routes) {
        return std::nullopt;
    }
    const auto now = time_with_suspension();
    state.quota_shares.lead(leader.term(), state.cluster.hosts(), now);
    return state.quota_shares.on_report(report, routes->tenants(), leader.holds_lease(), now);
}

} // namespace figreach::direct
