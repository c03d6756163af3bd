#pragma once

#include "figreach/direct/key_grant_manager.h"
#include "figreach/direct/stored_records.h"
#include "figreach/time.h"

namespace figreach::direct {

/// While the store does not answer, a leader keeps renewing grants for this long after its lease
/// expired, so that store outages do not revoke keys. A successor waits this long if an owner does
/// not answer.
inline constexpr milliseconds outage_authority{9000};

/// Maximum time from the decision to grant keys for `hold` until the grant expires at the server.
[[nodiscard]] milliseconds max_order_duration(const grant_manager_settings& settings,
                                              milliseconds hold);

/// Returns for how long grants of earlier leaders may last from the moment of a takeover. `former`
/// is the latest term in the store, `was_self` whether this process led in it.
[[nodiscard]] milliseconds former_orders_wait(const leader_term& former, bool was_self,
                                              const grant_manager_settings& settings);

} // namespace figreach::direct
