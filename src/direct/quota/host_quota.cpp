#include "figreach/direct/quota/host_quota.h"

#include <algorithm>
#include <utility>

#include "figreach/direct/tenants/tenant_rule.h"

namespace figreach::direct {

namespace {

using fractional_seconds = std::chrono::duration<double>;

/// Without an answer of the leader, all hosts together use this part of the excess. The rest allows
/// for shares that change hands and for two leaders.
constexpr double fallback_part = 0.3;
/// Buckets of tenants without requests are dropped after this time.
constexpr seconds idle_time{10};
/// Where others use the whole limit: about two reports, after which it is divided anew.
constexpr milliseconds no_share_retry_after{1000};
/// Refused callers are not told to come back later than this.
constexpr milliseconds max_retry_after{5000};

milliseconds to_milliseconds(double seconds_)
{
    return std::chrono::ceil<milliseconds>(fractional_seconds{seconds_});
}

} // namespace

host_quota::host_quota(quota_bounds bounds_) : bounds{bounds_} {}

double host_quota::fallback_fraction() const
{
    return this->hosts > 0 ? this->bounds.excess * fallback_part / this->hosts : 0.0;
}

/// Adds the tokens since the last call. A share that has expired meanwhile counts until its end.
void host_quota::fill(bucket& own, monotonic_time now) const
{
    const auto live_end =
        std::clamp(this->shares_until, own.filled_at, std::max(now, own.filled_at));
    const fractional_seconds live = live_end - own.filled_at;
    const fractional_seconds expired = std::max(now, own.filled_at) - live_end;
    const double added =
        own.rate * (live.count() * own.fraction + expired.count() * this->fallback_fraction());
    const double depth = now < this->shares_until ? own.depth : std::max(own.depth, 1.0);
    own.tokens = std::max(own.tokens, std::min(own.tokens + added, depth));
    own.filled_at = std::max(now, own.filled_at);
}

quota_decision host_quota::admit(const tenant_rule& tenant, monotonic_time now)
{
    if (tenant.rate > 0.0) {
        ++this->buckets[tenant.name].requests;
    }
    return this->admit_waiting(tenant, now);
}

quota_decision host_quota::admit_waiting(const tenant_rule& tenant, monotonic_time now)
{
    if (tenant.rate <= 0.0) {
        return quota_admitted{};
    }
    auto& own = this->buckets[tenant.name];
    if (own.used_at == monotonic_time{}) {
        own.filled_at = now;
        own.rate = tenant.rate;
    }
    own.used_at = now;
    this->fill(own, now);
    own.rate = tenant.rate;
    if (own.tokens >= 1.0) {
        own.tokens -= 1.0;
        return quota_admitted{};
    }
    if (!this->has_shares(now) || !own.exhausted) {
        return quota_unknown{};
    }
    if (own.fraction <= 0.0) {
        return quota_refused{no_share_retry_after};
    }
    // Each refused caller is told the time of another token.
    const fractional_seconds gap{1.0 / (tenant.rate * own.fraction)};
    const auto first = now + to_milliseconds((1.0 - own.tokens) * gap.count());
    own.return_at = std::max(own.return_at + to_milliseconds(gap.count()), first);
    const auto wait = std::chrono::ceil<milliseconds>(own.return_at - now);
    if (wait > max_retry_after) {
        own.return_at = now + max_retry_after;
    }
    return quota_refused{std::min(wait, max_retry_after)};
}

void host_quota::give_back(const tenant_id& tenant)
{
    const auto found = this->buckets.find(tenant);
    if (found != this->buckets.end()) {
        auto& own = found->second;
        own.tokens = std::max(own.tokens, std::min(own.tokens + 1.0, std::max(own.depth, 1.0)));
    }
}

void host_quota::want(const tenant_id& tenant)
{
    ++this->buckets[tenant].wanted;
    ++this->wanted;
}

bool host_quota::is_wanted() const
{
    return this->wanted > 0;
}

host_quota::usage host_quota::usage_of(const tenant_id& tenant) const
{
    const auto found = this->buckets.find(tenant);
    if (found == this->buckets.end()) {
        return {};
    }
    const auto& own = found->second;
    return {.fraction = own.fraction,
            .tokens = own.tokens,
            .depth = own.depth,
            .exhausted = own.exhausted};
}

bool host_quota::has_shares(monotonic_time now) const
{
    return now < this->shares_until;
}

quota_report host_quota::make_report(monotonic_time now)
{
    quota_report out{.number = ++this->reports};
    const auto over = this->reports > 1 ? std::chrono::ceil<milliseconds>(now - this->reported_at)
                                        : milliseconds{0};
    this->reported_at = now;
    this->wanted = 0;
    const bool live = this->has_shares(now);
    std::erase_if(this->buckets, [now, live](const auto& one) {
        const bool holds = live && one.second.fraction > 0.0;
        return !holds && now > one.second.used_at + idle_time;
    });
    for (auto& [name, own] : this->buckets) {
        own.asked = std::exchange(own.wanted, 0);
        out.tenants.push_back({.tenant = name,
                               .requests = std::exchange(own.requests, 0),
                               .over = over,
                               .held_share = live ? own.fraction : 0.0,
                               .wanted = own.asked});
    }
    return out;
}

void host_quota::apply(const quota_shares& shares, monotonic_time asked_at, monotonic_time now)
{
    if (shares.number != this->reports) {
        return;
    }
    std::map<tenant_id, const tenant_share*> given;
    for (const auto& one : shares.tenants) {
        given.emplace(one.tenant, &one);
    }
    for (auto& [name, own] : this->buckets) {
        this->fill(own, now);
    }
    this->hosts = shares.hosts;
    this->shares_until = asked_at + shares.lifetime;
    for (auto& [name, own] : this->buckets) {
        const auto found = given.find(name);
        const tenant_share none;
        const auto& share = found != given.end() ? *found->second : none;
        own.fraction = share.fraction;
        own.depth = share.depth;
        own.exhausted = share.immediate < own.asked;
        own.tokens = std::min(own.tokens, std::max(own.depth, 1.0)) + share.immediate;
    }
}

} // namespace figreach::direct
