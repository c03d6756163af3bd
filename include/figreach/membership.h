#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "figreach/control.h"
#include "figreach/peer_message.h"
#include "figreach/time.h"

namespace figreach {

struct membership_settings {
    milliseconds probe_interval{250};
    milliseconds suspect_after{900};
};

/// Which entry hosts live, learned by probing. A hint: no safety rests on it.
class membership {
public:
    membership(host_identity self, membership_settings settings);

    /// Probes that are due.
    [[nodiscard]] std::vector<send_to_host> on_tick(const gossip& news, monotonic_time now);
    /// Takes a message of a peer; answers probes.
    [[nodiscard]] std::vector<send_to_host> on_message(const peer_message& message,
                                                       const gossip& news, monotonic_time now);

    /// Hosts that live as far as is known, this one among them, ordered by name.
    [[nodiscard]] std::vector<host_state> live_hosts(monotonic_time now) const;

private:
    struct known_host {
        host_state state;
        monotonic_time heard_at{};
    };

    [[nodiscard]] host_state own_state(const gossip& news) const;
    void learn(const host_state& state, monotonic_time heard_at);

    host_identity self;
    membership_settings settings;
    std::map<host_id, known_host> hosts;
    monotonic_time next_probe{};
    std::uint64_t sequence = 0;
};

} // namespace figreach
