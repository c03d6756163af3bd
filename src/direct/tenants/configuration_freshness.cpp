#include "figreach/direct/tenants/configuration_freshness.h"

#include <algorithm>

namespace figreach::direct {

namespace {

/// Allows for clocks of hosts that run at different rates while a confirmation is passed on.
constexpr milliseconds drift_margin{100};

} // namespace

void configuration_freshness::confirm(monotonic_time asked_at)
{
    this->confirmed = std::max(this->confirmed, asked_at);
}

monotonic_time configuration_freshness::confirmed_at() const
{
    return this->confirmed;
}

bool configuration_freshness::may_serve(monotonic_time arrival, milliseconds limit) const
{
    return arrival <= this->confirmed + limit - drift_margin;
}

} // namespace figreach::direct
