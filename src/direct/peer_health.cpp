#include "figreach/direct/peer_health.h"

#include <algorithm>

namespace figreach::direct {

peer_health::peer_health(peer_health_settings settings_) : settings{settings_} {}

void peer_health::on_sent(const host_id& peer, monotonic_time now)
{
    auto& known = this->peers[peer];
    if (known.pending++ == 0) {
        known.silent_since = now;
    }
}

void peer_health::on_finished(const host_id& peer, bool answered, monotonic_time now)
{
    auto& known = this->peers[peer];
    known.pending -= std::min(known.pending, 1U);
    if (answered) {
        known.silent_since = now;
        known.avoid_until = {};
    }
}

void peer_health::on_failed(const host_id& peer, monotonic_time now)
{
    this->peers[peer].avoid_until = now + this->settings.avoid_failed;
}

bool peer_health::is_usable(const host_id& peer, monotonic_time now) const
{
    const auto found = this->peers.find(peer);
    if (found == this->peers.end()) {
        return true;
    }
    const auto& known = found->second;
    const bool silent = known.pending > 0 && now - known.silent_since >= this->settings.max_silence;
    return now >= known.avoid_until && !silent;
}

void peer_health::on_tick(monotonic_time now)
{
    std::erase_if(this->peers, [&](const auto& item) {
        return item.second.pending == 0 && now >= item.second.avoid_until;
    });
}

} // namespace figreach::direct
