#include "figreach/assignment_draft.h"

#include <cmath>
#include <limits>
#include <utility>

namespace figreach {

namespace {

/// Part of a slice's load that is proportional to its width, so that idle slices are distributed
/// evenly as well.
constexpr double width_weight = 0.01;

/// Weight of the failure domain's relative load in the choice of a target.
constexpr double failure_domain_weight = 0.05;

/// Consecutive concentrated splits after which a slice's load is attributed to a single key.
constexpr std::uint32_t min_single_key_splits = 3;

const double whole_space = std::ldexp(1.0, std::numeric_limits<key_hash>::digits);

double width_share(key_hash first, key_hash last)
{
    return (static_cast<double>(last - first) + 1.0) / whole_space;
}

double total_rate(const std::vector<slice_estimate>& estimates)
{
    double total = 0.0;
    for (const auto& one : estimates) {
        total += one.requests_per_second;
    }
    return total;
}

draft_slice to_shares(const slice_estimate& estimate, double total)
{
    draft_slice out;
    out.width = width_share(estimate.first, estimate.last);
    out.load = out.width;
    if (total > 0.0) {
        const auto measured_share = estimate.requests_per_second / total;
        out.load = (1.0 - width_weight) * measured_share + width_weight * out.width;
    }
    out.measured = estimate.measured;
    out.settled = estimate.measured || estimate.since == monotonic_time{};
    out.single_key = estimate.concentrated_splits >= min_single_key_splits;
    return out;
}

} // namespace

assignment_draft::assignment_draft(partition document, std::vector<draft_server> servers,
                                   const std::vector<slice_estimate>& estimates)
    : draft{std::move(document)}, server_list{std::move(servers)}
{
    for (const auto& server : this->server_list) {
        this->total_capacity += server.capacity;
        this->domain_totals[server.failure_domain].capacity += server.capacity;
    }
    const auto total = total_rate(estimates);
    for (const auto& estimate : estimates) {
        this->slice_shares.push_back(to_shares(estimate, total));
    }
    for (std::size_t i = 0; i < this->slice_shares.size(); ++i) {
        this->add_share(i, this->destination(i), 1.0);
    }
}

std::uint32_t assignment_draft::destination(std::size_t index) const
{
    const auto& one = this->draft.slices[index];
    return one.moving_to.value_or(one.owner);
}

bool assignment_draft::may_receive(std::uint32_t server) const
{
    return this->server_list[server].capacity > 0.0;
}

double assignment_draft::fair_load(std::uint32_t server) const
{
    return this->server_list[server].capacity / this->total_capacity;
}

double assignment_draft::relative_load(std::uint32_t server) const
{
    return this->server_list[server].load / this->fair_load(server);
}

std::optional<std::uint32_t> assignment_draft::most_loaded() const
{
    std::optional<std::uint32_t> best;
    for (std::uint32_t i = 0; i < this->server_list.size(); ++i) {
        if (this->may_receive(i) &&
            (!best || this->relative_load(i) > this->relative_load(*best))) {
            best = i;
        }
    }
    return best;
}

std::optional<std::uint32_t> assignment_draft::least_loaded() const
{
    std::optional<std::uint32_t> best;
    for (std::uint32_t i = 0; i < this->server_list.size(); ++i) {
        if (this->may_receive(i) &&
            (!best || this->relative_load(i) < this->relative_load(*best))) {
            best = i;
        }
    }
    return best;
}

std::optional<std::uint32_t> assignment_draft::best_target(double load) const
{
    std::optional<std::uint32_t> best;
    double best_score = 0.0;
    for (std::uint32_t i = 0; i < this->server_list.size(); ++i) {
        if (!this->may_receive(i)) {
            continue;
        }
        const auto& server = this->server_list[i];
        const auto& domain = this->domain_totals.at(server.failure_domain);
        const auto score = (server.load + load) / server.capacity +
                           failure_domain_weight * (domain.load + load) / domain.capacity;
        if (!best || score < best_score) {
            best = i;
            best_score = score;
        }
    }
    return best;
}

void assignment_draft::move(std::size_t index, std::uint32_t server)
{
    this->add_share(index, this->destination(index), -1.0);
    this->draft.slices[index].moving_to = server;
    this->add_share(index, server, 1.0);
}

void assignment_draft::split(std::size_t index, key_hash at)
{
    const auto last = last_hash(this->draft, index);
    auto& left = this->slice_shares[index];
    auto right = left;
    right.width = width_share(at, last);
    right.load = left.load * right.width / left.width;
    right.measured = false;
    right.settled = false;
    left.width -= right.width;
    left.load -= right.load;
    left.measured = false;
    left.settled = false;
    const auto after = static_cast<std::ptrdiff_t>(index) + 1;
    this->slice_shares.insert(this->slice_shares.begin() + after, right);
    auto second = this->draft.slices[index];
    second.first = at;
    this->draft.slices.insert(this->draft.slices.begin() + after, second);
    ++this->server_list[this->destination(index)].slices;
}

void assignment_draft::merge_with_next(std::size_t index)
{
    const auto after = static_cast<std::ptrdiff_t>(index) + 1;
    auto& left = this->slice_shares[index];
    const auto& right = this->slice_shares[index + 1];
    left.width += right.width;
    left.load += right.load;
    left.measured = false;
    --this->server_list[this->destination(index)].slices;
    this->slice_shares.erase(this->slice_shares.begin() + after);
    this->draft.slices.erase(this->draft.slices.begin() + after);
}

void assignment_draft::set_pinned(std::size_t index, bool pinned)
{
    this->draft.slices[index].pinned = pinned;
}

void assignment_draft::remove_server(std::uint32_t server)
{
    const auto place = static_cast<std::ptrdiff_t>(server);
    this->server_list.erase(this->server_list.begin() + place);
    this->draft.backend_servers.erase(this->draft.backend_servers.begin() + place);
    for (auto& one : this->draft.slices) {
        one.owner -= one.owner > server ? 1U : 0U;
        if (one.moving_to && *one.moving_to > server) {
            --*one.moving_to;
        }
    }
}

void assignment_draft::add_share(std::size_t index, std::uint32_t server, double sign)
{
    const auto& part = this->slice_shares[index];
    auto& one = this->server_list[server];
    one.load += sign * part.load;
    one.width += sign * part.width;
    one.slices += sign > 0.0 ? 1 : -1;
    this->domain_totals[one.failure_domain].load += sign * part.load;
}

} // namespace figreach
