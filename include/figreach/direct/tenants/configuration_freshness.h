#pragma once

#include "figreach/time.h"

namespace figreach::direct {

/// Tracks until when this host is known to have had the newest configuration. Revoked API keys
/// stop being accepted because authority to accept keys expires with it. All times include time
/// spent suspended (time_with_suspension()).
class configuration_freshness {
public:
    /// The configuration was confirmed by the answer to a question sent at `asked_at`. Earlier
    /// times than the known one have no effect.
    void confirm(monotonic_time asked_at);
    /// The latest time for which the newest configuration is known; the epoch if there is none.
    [[nodiscard]] monotonic_time confirmed_at() const;
    /// Whether a request that arrived at `arrival` may run although its key may have been revoked
    /// since the confirmation; `limit` is the time after which a revocation binds.
    [[nodiscard]] bool may_serve(monotonic_time arrival, milliseconds limit) const;

private:
    monotonic_time confirmed{};
};

} // namespace figreach::direct
