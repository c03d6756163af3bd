#include "figreach/direct/takeover.h"

#include <algorithm>

namespace figreach::direct {

milliseconds max_order_duration(const grant_manager_settings& settings, milliseconds hold)
{
    constexpr std::int64_t whole_percent = 100;
    return settings.order_timeout +
           hold * (whole_percent + settings.clock_drift_percent) / whole_percent + settings.margin;
}

milliseconds former_orders_wait(const leader_term& former, bool was_self,
                                const grant_manager_settings& settings)
{
    if (former.host.empty()) {
        return milliseconds{0};
    }
    const auto last_grant = max_order_duration(settings, std::max(former.hold, settings.hold));
    // A leader that has ended may have handed over its term; only a recorded resignation, or this
    // process having led itself, rules that out.
    const bool ended = former.resigned || was_self;
    return ended ? std::max(last_grant, former.former_orders) : last_grant + outage_authority;
}

} // namespace figreach::direct
