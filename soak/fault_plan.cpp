#include "fault_plan.h"

#include <algorithm>

#include "figreach/retry_budget.h"

namespace figreach::soak {

namespace {

constexpr std::uint64_t percent = 100;
constexpr std::uint64_t same_target_percent = 30;
constexpr std::uint64_t same_kind_percent = 15;
constexpr std::uint64_t max_targets = 64;
/// All kinds but store_restored, crashing_request, server_resting and server_refusals_unconfirmed,
/// which are added on their own.
constexpr auto drawn_kinds = static_cast<std::uint64_t>(fault_kind::kinds) - 4;
constexpr std::uint64_t restore_seed_offset = 1U << 20U;
constexpr std::uint64_t crash_seed_offset = 1U << 21U;
constexpr std::uint64_t rest_seed_offset = 1U << 22U;
constexpr std::uint64_t unconfirmed_seed_offset = 1U << 23U;

fault_kind drawn_kind(std::uint64_t number)
{
    const bool is_after = number >= static_cast<std::uint64_t>(fault_kind::store_restored);
    return static_cast<fault_kind>(number + (is_after ? 1 : 0));
}

/// Faults that are drawn on their own, so that the other faults of a seed stay the same.
void add_restores(std::vector<planned_fault>& plan, const plan_settings& settings)
{
    std::uint64_t state = settings.seed + restore_seed_offset;
    const auto draw = [&state](milliseconds below) {
        return milliseconds{static_cast<std::int64_t>(next_random(state) %
                                                      static_cast<std::uint64_t>(below.count()))};
    };
    auto at = settings.earliest_start + draw(settings.mean_restore_interval);
    while (at < settings.latest_start) {
        plan.push_back({.at = at,
                        .kind = fault_kind::store_restored,
                        .duration = settings.min_duration +
                                    draw(settings.max_duration - settings.min_duration)});
        at += draw(2 * settings.mean_restore_interval);
    }
}

/// Faults of servers that are drawn on their own, as restores are.
void add_server_faults(std::vector<planned_fault>& plan, const plan_settings& settings,
                       fault_kind kind, milliseconds mean_interval, std::uint64_t seed_offset)
{
    std::uint64_t state = settings.seed + seed_offset;
    const auto draw = [&state](milliseconds below) {
        return milliseconds{static_cast<std::int64_t>(next_random(state) %
                                                      static_cast<std::uint64_t>(below.count()))};
    };
    auto at = settings.earliest_start + draw(mean_interval);
    while (at < settings.latest_start) {
        plan.push_back({.at = at,
                        .kind = kind,
                        .target = static_cast<std::uint32_t>(next_random(state) % max_targets),
                        .duration = settings.min_duration +
                                    draw(settings.max_duration - settings.min_duration)});
        at += draw(2 * mean_interval);
    }
}

/// Drawn on their own, as restores are.
void add_crashing_requests(std::vector<planned_fault>& plan, const plan_settings& settings)
{
    std::uint64_t state = settings.seed + crash_seed_offset;
    const auto draw = [&state](std::uint64_t below) { return next_random(state) % below; };
    const auto count = settings.crashing_requests.value_or(static_cast<std::uint32_t>(draw(2)));
    const auto first = static_cast<std::uint32_t>(draw(2));
    const auto spread = std::max(settings.latest_start - settings.earliest_start, milliseconds{1});
    for (std::uint32_t i = 0; i < count; ++i) {
        plan.push_back({.at = settings.earliest_start +
                              milliseconds{draw(static_cast<std::uint64_t>(spread.count()))},
                        .kind = fault_kind::crashing_request,
                        .target = first + i,
                        .duration = settings.min_duration});
    }
}

} // namespace

const char* name_of(fault_kind kind)
{
    switch (kind) {
    case fault_kind::host_killed:
        return "host_killed";
    case fault_kind::host_stopped:
        return "host_stopped";
    case fault_kind::host_paused:
        return "host_paused";
    case fault_kind::host_reloaded:
        return "host_reloaded";
    case fault_kind::all_hosts_killed:
        return "all_hosts_killed";
    case fault_kind::host_cut_from_store:
        return "host_cut_from_store";
    case fault_kind::store_silent:
        return "store_silent";
    case fault_kind::store_busy:
        return "store_busy";
    case fault_kind::store_slow:
        return "store_slow";
    case fault_kind::store_answers_lost:
        return "store_answers_lost";
    case fault_kind::store_leases_lapsed:
        return "store_leases_lapsed";
    case fault_kind::store_history_dropped:
        return "store_history_dropped";
    case fault_kind::store_restored:
        return "store_restored";
    case fault_kind::server_crashed:
        return "server_crashed";
    case fault_kind::server_silent:
        return "server_silent";
    case fault_kind::server_left:
        return "server_left";
    case fault_kind::server_cut_from_store:
        return "server_cut_from_store";
    case fault_kind::server_answers_lost:
        return "server_answers_lost";
    case fault_kind::link_delayed:
        return "link_delayed";
    case fault_kind::link_reset:
        return "link_reset";
    case fault_kind::link_cut_to:
        return "link_cut_to";
    case fault_kind::link_cut_from:
        return "link_cut_from";
    case fault_kind::link_silent:
        return "link_silent";
    case fault_kind::configuration_changed:
        return "configuration_changed";
    case fault_kind::crashing_request:
        return "crashing_request";
    case fault_kind::server_resting:
        return "server_resting";
    case fault_kind::server_refusals_unconfirmed:
        return "server_refusals_unconfirmed";
    case fault_kind::kinds:
        break;
    }
    return "unknown";
}

std::vector<planned_fault> make_plan(const plan_settings& settings)
{
    std::uint64_t state = settings.seed;
    const auto draw = [&state](std::uint64_t below) { return next_random(state) % below; };
    const auto spread =
        static_cast<std::uint64_t>((settings.max_duration - settings.min_duration).count());
    std::vector<planned_fault> out;
    auto at = settings.earliest_start;
    while (at < settings.latest_start) {
        planned_fault next{.at = at,
                           .kind = drawn_kind(draw(drawn_kinds)),
                           .target = static_cast<std::uint32_t>(draw(max_targets)),
                           .duration = settings.min_duration + milliseconds{draw(spread)}};
        if (!out.empty() && draw(percent) < same_target_percent) {
            next.target = out.back().target;
        }
        if (!out.empty() && draw(percent) < same_kind_percent) {
            next.kind = out.back().kind;
        }
        out.push_back(next);
        at += milliseconds{draw(2 * static_cast<std::uint64_t>(settings.mean_interval.count()))};
    }
    if (settings.store_restores) {
        add_restores(out, settings);
    }
    add_crashing_requests(out, settings);
    add_server_faults(out, settings, fault_kind::server_resting, settings.mean_rest_interval,
                      rest_seed_offset);
    add_server_faults(out, settings, fault_kind::server_refusals_unconfirmed,
                      settings.mean_unconfirmed_interval, unconfirmed_seed_offset);
    std::stable_sort(out.begin(), out.end(),
                     [](const auto& left, const auto& right) { return left.at < right.at; });
    return out;
}

} // namespace figreach::soak
