#pragma once

#include <cstdint>
#include <map>

#include "figreach/ids.h"
#include "figreach/time.h"

namespace figreach::direct {

struct peer_health_settings {
    milliseconds avoid_failed{1000}; ///< after a failed call
    /// A peer that has been silent for this long while calls are pending gets no further ones.
    milliseconds max_silence{1000};
    milliseconds proven_time{2000}; ///< how long an answer shows that a peer can serve requests
};

/// Which other entry hosts answer the requests that this host passes to them.
class peer_health {
public:
    explicit peer_health(peer_health_settings settings);

    void on_sent(const host_id& peer, monotonic_time now);
    /// The peer answered a request, or the call ended without saying anything about the peer.
    void on_finished(const host_id& peer, bool answered, monotonic_time now);
    /// A call failed, or the peer said that it cannot serve requests.
    void on_failed(const host_id& peer, monotonic_time now);
    [[nodiscard]] bool is_usable(const host_id& peer, monotonic_time now) const;
    /// Whether the peer is usable and has answered a request lately.
    [[nodiscard]] bool is_proven(const host_id& peer, monotonic_time now) const;
    /// Forgets peers without pending calls that have not failed recently.
    void on_tick(monotonic_time now);

private:
    struct peer_state {
        std::uint32_t pending = 0;
        monotonic_time silent_since{}; ///< last answer, or the first pending call after it
        monotonic_time avoid_until{};
        monotonic_time proven_until{};
    };

    peer_health_settings settings;
    std::map<host_id, peer_state> peers;
};

} // namespace figreach::direct
