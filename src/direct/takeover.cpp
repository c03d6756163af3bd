#include "figreach/direct/takeover.h"

#include <algorithm>
#include <utility>

namespace figreach::direct {

namespace {

/// Leaves more numbers to an era than it can use, and keeps those of a million eras below 2^53.
constexpr unsigned numbers_per_era_bits = 32;

} // namespace

milliseconds max_order_duration(const grant_manager_settings& settings, milliseconds hold)
{
    constexpr std::int64_t whole_percent = 100;
    return settings.order_timeout +
           hold * (whole_percent + settings.clock_drift_percent) / whole_percent + settings.margin;
}

std::uint64_t first_number_of(store_era era)
{
    return std::max(static_cast<std::uint64_t>(era) << numbers_per_era_bits, std::uint64_t{1});
}

std::uint64_t next_term(std::uint64_t latest, store_era era)
{
    return std::max(latest + 1, first_number_of(era));
}

leader_term former_term(const leader_term& stored, bool is_own, const own_claims& claims)
{
    const bool has_led = stored.term == claims.led_term;
    return is_own && !has_led && claims.replaced ? *claims.replaced : stored;
}

milliseconds former_orders_wait(const predecessor& former, store_era era,
                                const grant_manager_settings& settings)
{
    const auto& stored = former.stored;
    // A store that came back from a copy may have lost all terms.
    if (stored.host.empty() && former.known_term == 0 && era == first_era) {
        return milliseconds{0};
    }
    const auto last_grant = max_order_duration(settings, std::max(stored.hold, settings.hold));
    // The store may have lost the terms that followed the one of an earlier era.
    const bool is_latest = stored.term >= former.known_term && stored.term >= first_number_of(era);
    // A leader that has ended may have handed over its term; only a recorded resignation, or this
    // process having led itself, rules that out.
    const bool led_to_the_end = former.was_self && stored.term != former.handed_over_term;
    const bool ended = is_latest && (stored.resigned || led_to_the_end);
    return ended ? std::max(last_grant, stored.former_orders) : last_grant + outage_authority;
}

bool is_latest_of_era(monotonic_time lease_until, monotonic_time seen_at)
{
    return seen_at < lease_until;
}

store_transaction make_term_claim(const leader_term& next, const store_lease& lease,
                                  store_revision leader, store_revision term)
{
    return {.era = lease.era,
            .conditions = {{.key = leader_key, .revision = leader},
                           {.key = term_key, .revision = term}},
            .writes = {{.key = leader_key, .value = next.host.value, .lease = lease},
                       {.key = term_key, .value = encode(next)}},
            .removals = {}};
}

key_table adopt_table(const service_id& service, std::optional<key_table> stored, store_era era)
{
    if (stored && stored->next_fence >= first_number_of(era)) {
        return std::move(*stored);
    }
    auto out = stored ? std::move(*stored) : make_key_table(service);
    out.next_fence = first_number_of(era);
    for (auto& range : out.ranges) {
        range = {.keys = range.keys, .fence = out.next_fence++, .moving = true};
    }
    return out;
}

} // namespace figreach::direct
