#include "figreach/slice_loads.h"

#include <algorithm>

namespace figreach {

namespace {

/// Weight of a new measurement in the exponentially smoothed rate.
constexpr double smoothing_factor = 0.5;

/// A split is concentrated if one part has at least this share of the load before the split.
constexpr double concentration_threshold = 0.9;

double width(key_hash first, key_hash last)
{
    return static_cast<double>(last - first) + 1.0;
}

} // namespace

slice_loads::slice_loads(milliseconds settling_time_, milliseconds report_lifetime_)
    : settling_time{settling_time_}, report_lifetime{report_lifetime_}
{
}

void slice_loads::on_report(const load_report& report, monotonic_time now)
{
    auto& latest = this->reports[report.server];
    latest.condition = report.condition;
    latest.received_at = now;
    latest.rates.clear();
    for (const auto& one : report.slices) {
        latest.rates[one.first] = one.requests_per_second;
    }
}

server_condition slice_loads::condition(const backend_server_id& server, monotonic_time now) const
{
    const auto found = this->reports.find(server);
    const bool current =
        found != this->reports.end() && now - found->second.received_at <= this->report_lifetime;
    return current ? found->second.condition : server_condition::serving;
}

const std::vector<slice_estimate>& slice_loads::update(const partition& present, monotonic_time now)
{
    std::vector<const received_report*> by_owner;
    for (const auto& server : present.backend_servers) {
        const auto found = this->reports.find(server);
        by_owner.push_back(found == this->reports.end() ? nullptr : &found->second);
    }
    std::vector<slice_estimate> next;
    next.reserve(present.slices.size());
    for (std::size_t i = 0; i < present.slices.size(); ++i) {
        auto estimate = this->carry_over(present, i, now);
        if (const auto* report = by_owner[estimate.owner]; report != nullptr) {
            this->measure(estimate, *report);
        }
        next.push_back(estimate);
    }
    this->estimates = std::move(next);
    return this->estimates;
}

slice_estimate slice_loads::carry_over(const partition& present, std::size_t index,
                                       monotonic_time now) const
{
    const auto& one = present.slices[index];
    const auto last = last_hash(present, index);
    const auto same =
        std::ranges::lower_bound(this->estimates, one.first, {}, &slice_estimate::first);
    const bool known = same != this->estimates.end() && same->first == one.first &&
                       same->last == last && same->owner == one.owner;
    if (known) {
        return *same;
    }
    slice_estimate fresh{.first = one.first, .last = last, .owner = one.owner};
    if (!this->estimates.empty()) {
        fresh.since = now;
        fresh.requests_per_second = this->previous_load(one.first, last);
        this->inherit_split_history(fresh);
    }
    return fresh;
}

void slice_loads::inherit_split_history(slice_estimate& part) const
{
    auto parent = std::ranges::upper_bound(this->estimates, part.first, {}, &slice_estimate::first);
    --parent;
    if (parent->last < part.last) {
        return;
    }
    const bool is_split = parent->first != part.first || parent->last != part.last;
    part.load_before_split = is_split ? parent->requests_per_second : parent->load_before_split;
    part.concentrated_splits = parent->concentrated_splits;
}

double slice_loads::previous_load(key_hash first, key_hash last) const
{
    double load = 0.0;
    auto one = std::ranges::upper_bound(this->estimates, first, {}, &slice_estimate::first);
    --one;
    for (; one != this->estimates.end() && one->first <= last; ++one) {
        const auto common = width(std::max(first, one->first), std::min(last, one->last));
        load += one->requests_per_second * common / width(one->first, one->last);
    }
    return load;
}

void slice_loads::measure(slice_estimate& estimate, const received_report& report) const
{
    const bool at_start = estimate.since == monotonic_time{};
    const bool settled = at_start || report.received_at >= estimate.since + this->settling_time;
    const bool already_counted = estimate.measured && report.received_at <= estimate.measured_at;
    if (!settled || already_counted) {
        return;
    }
    const auto found = report.rates.find(estimate.first);
    const auto rate = found == report.rates.end() ? 0.0 : found->second;
    const auto old = estimate.requests_per_second;
    estimate.requests_per_second = estimate.measured ? old + smoothing_factor * (rate - old) : rate;
    if (!estimate.measured && estimate.load_before_split > 0.0) {
        const bool concentrated = rate >= concentration_threshold * estimate.load_before_split;
        estimate.concentrated_splits = concentrated ? estimate.concentrated_splits + 1 : 0;
        estimate.load_before_split = 0.0;
    }
    estimate.measured = true;
    estimate.measured_at = report.received_at;
}

} // namespace figreach
