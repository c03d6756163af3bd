#include "figreach/direct/quota/quota_allocator.h"

#include <algorithm>
#include <cmath>

#include "figreach/direct/tenants/tenant_rule.h"
#include "figreach/direct/tenants/tenant_table.h"

namespace figreach::direct {

namespace {

constexpr milliseconds min_interval{500};
/// 250 reports per second.
constexpr milliseconds interval_per_host{4};
/// A host may miss some reports, for example while the leader changes.
constexpr int intervals_per_lifetime = 8;
/// Share of a limit that is divided by demand at most. The rest is there for new demand.
constexpr double divided_part = 0.97;
/// Hosts together get at most this multiple of the demand. The rest fills the reserve, which is
/// better used since no host holds it in vain.
constexpr double overprovision = 1.15;
/// How the burst and the room between a tenant's limit and what may run at most are used. The parts
/// of the room add up to 0.9, which leaves something for hosts without a leader.
constexpr double burst_in_buckets = 0.25;
constexpr double room_in_buckets = 0.25;
constexpr double room_for_min_depth = 0.45; ///< lets each host with demand hold a token or two
/// A bucket that holds a single token loses what comes in until the next request.
constexpr double max_least_depth = 2.0;
constexpr double room_in_reserve = 0.1;
constexpr double room_per_window = 0.1; ///< added to the reserve
/// Requests beyond those that wait, which a host gets with them.
constexpr double max_ahead = 4.0;
constexpr milliseconds demand_memory{4000};
/// Part of the mean demand of hosts that is added to each one's, whose own is known from a few
/// requests only.
constexpr double mean_demand_part = 0.5;
constexpr double min_demand = 0.01; ///< requests per second; less counts as none
/// In requests per second. While the demand is near the limit, smaller shares stay in the reserve:
/// what a bucket gains between two requests of one host could serve those of another.
constexpr double min_bucket_rate = 2.0;
constexpr double near_limit = 0.8; ///< part of a limit
constexpr milliseconds expiry_interval{50};

/// How many more requests than a tenant's limit may run in a window.
double excess_room(const quota_bounds& bounds, const tenant_rule& tenant)
{
    const std::chrono::duration<double> window = bounds.window;
    return bounds.excess * (tenant.rate * window.count() + tenant.burst) + bounds.slack;
}

} // namespace

milliseconds quota_report_interval(std::size_t hosts)
{
    return std::max(min_interval, interval_per_host * static_cast<std::int64_t>(hosts));
}

milliseconds quota_share_lifetime(std::size_t hosts)
{
    return quota_report_interval(hosts) * intervals_per_lifetime;
}

quota_allocator::quota_allocator(quota_allocator_settings settings_) : settings{settings_} {}

void quota_allocator::lead(std::uint64_t term_, const std::vector<host_id>& known,
                           monotonic_time now)
{
    if (term_ == this->term) {
        return;
    }
    this->term = term_;
    this->term_began = now;
    this->hosts.clear();
    this->tenants.clear();
    this->unreported = {known.begin(), known.end()};
}

bool quota_allocator::is_complete(monotonic_time now) const
{
    const auto former_lifetime = quota_share_lifetime(this->hosts.size() + this->unreported.size());
    return this->unreported.empty() ||
           now >= this->term_began + this->settings.former_authority + former_lifetime;
}

void quota_allocator::drop(host_state& host)
{
    for (const auto& [name, own] : host.claims) {
        auto& all = this->tenants[name];
        all.demand -= own.demand;
        all.hosts -= own.demand > 0.0 ? 1 : 0;
        all.counted -= own.counted;
        all.depth -= own.depth;
    }
    host.claims.clear();
}

/// Forgets hosts whose shares have expired. Their own clocks started the lifetime earlier, when
/// they sent their reports.
void quota_allocator::expire(monotonic_time now)
{
    if (now < this->expired_at + expiry_interval) {
        return;
    }
    this->expired_at = now;
    for (auto at = this->hosts.begin(); at != this->hosts.end();) {
        if (now >= at->second.expires_at) {
            this->drop(at->second);
            at = this->hosts.erase(at);
        }
        else {
            ++at;
        }
    }
}

void quota_allocator::update_demand(claim& own, const tenant_demand& demand) const
{
    const std::chrono::duration<double> over = demand.over;
    const std::chrono::duration<double> memory = demand_memory;
    if (own.demand <= 0.0 || over.count() <= 0.0) {
        own.demand = std::max(own.demand, demand.requests / std::max(over.count(), 1.0));
        return;
    }
    const double seen = demand.requests / over.count();
    own.demand += (1.0 - std::exp(-over / memory)) * (seen - own.demand);
    if (own.demand < min_demand) {
        own.demand = 0.0;
    }
}

/// Of the requests that are wanted, how many the reserve allows. It is filled with what is not
/// divided among hosts.
std::uint32_t quota_allocator::take_reserve(tenant_state& all, const tenant_rule& rule,
                                            std::uint32_t wanted, monotonic_time now) const
{
    const double room = excess_room(this->settings.bounds, rule);
    const double most = rule.burst * (1.0 - burst_in_buckets) + room * room_in_reserve;
    const std::chrono::duration<double> passed = now - all.reserve_at;
    const std::chrono::duration<double> window = this->settings.bounds.window;
    const double rate =
        rule.rate * std::max(1.0 - all.counted, 0.0) + room * room_per_window / window.count();
    all.reserve = std::min(most, all.reserve + rate * std::max(passed.count(), 0.0));
    all.reserve_at = now;
    if (wanted == 0) {
        return 0;
    }
    // Some more than are wanted, so that hosts ask less often.
    const double fair = std::max(all.reserve - wanted, 0.0) / (all.hosts + 1);
    const double asked = wanted + std::min(fair, max_ahead);
    const auto taken = static_cast<std::uint32_t>(std::max(std::min(all.reserve, asked), 0.0));
    all.reserve -= taken;
    return taken;
}

double quota_allocator::weight_of(const claim& own, const tenant_state& others)
{
    if (own.demand <= 0.0) {
        return 0.0;
    }
    const double hosts = others.hosts + 1.0;
    const double total = others.demand + own.demand;
    const double smoothed = own.demand + mean_demand_part * total / hosts;
    return smoothed / (total * (1.0 + mean_demand_part));
}

quota_shares quota_allocator::on_report(const quota_report& report, const tenant_table& known,
                                        bool has_lease, monotonic_time now)
{
    this->expire(now);
    this->unreported.erase(report.host);
    auto& host = this->hosts[report.host];
    const bool is_old = report.lifetime < host.lifetime ||
                        (report.lifetime == host.lifetime && report.number <= host.number);
    const auto count = static_cast<std::uint32_t>(this->hosts.size());
    quota_shares out{
        .number = report.number, .lifetime = quota_share_lifetime(count), .hosts = count};
    if (is_old) {
        out.lifetime = milliseconds{0};
        return out;
    }
    // A host starts its next process only once the former one has ended, so that nothing is left of
    // what that one held.
    host.lifetime = report.lifetime;
    host.number = report.number;
    host.expires_at = std::max(host.expires_at, now + out.lifetime);
    const auto former = host.claims;
    this->drop(host);
    const bool complete = this->is_complete(now);
    const bool may_increase = complete && has_lease;
    for (const auto& demand : report.tenants) {
        const auto* rule = known.find(demand.tenant);
        if (rule == nullptr || rule->rate <= 0.0) {
            continue;
        }
        const auto [place, is_new] = this->tenants.try_emplace(demand.tenant);
        auto& all = place->second;
        const double room = excess_room(this->settings.bounds, *rule);
        if (is_new) {
            all.reserve = may_increase
                              ? rule->burst * (1.0 - burst_in_buckets) + room * room_in_reserve
                              : 0.0;
            all.reserve_at = now;
        }
        claim own;
        if (const auto before = former.find(demand.tenant); before != former.end()) {
            own = before->second;
        }
        this->update_demand(own, demand);
        const double total = all.demand + own.demand;
        const double divided = std::min(divided_part, overprovision * total / rule->rate);
        const double target = divided * weight_of(own, all);
        const double free = may_increase ? 1.0 - all.counted : demand.held_share;
        double fraction = std::clamp(target, 0.0, std::max(free, 0.0));
        const double in_buckets = rule->burst * burst_in_buckets + room * room_in_buckets;
        const double proportional =
            divided > 0.0 ? std::min(1.0, fraction / divided) * in_buckets : 0.0;
        const double all_depth = in_buckets + room * room_for_min_depth;
        const double least = std::clamp(all_depth / (all.hosts + 1), 1.0, max_least_depth);
        double depth =
            std::min(std::max(proportional, least), std::max(all_depth - all.depth, 0.0));
        const bool is_pooled =
            total > near_limit * rule->rate && fraction * rule->rate < min_bucket_rate;
        if (fraction <= 0.0 || (may_increase && (depth < 1.0 || is_pooled))) {
            // A bucket that never holds a token would take its part of the rate in vain.
            fraction = 0.0;
            depth = 0.0;
        }
        // Until the next report the host may still use what it held.
        own.counted = std::max(fraction, demand.held_share);
        own.depth = std::max(depth, own.issued_depth);
        own.issued_depth = depth;
        all.demand += own.demand;
        all.hosts += own.demand > 0.0 ? 1 : 0;
        all.counted += own.counted;
        all.depth += own.depth;
        const auto immediate =
            may_increase ? this->take_reserve(all, *rule, demand.wanted, now) : 0U;
        host.claims[demand.tenant] = own;
        out.tenants.push_back({.tenant = demand.tenant,
                               .fraction = fraction,
                               .depth = depth,
                               .immediate = immediate});
    }
    return out;
}

} // namespace figreach::direct
