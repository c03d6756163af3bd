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
        known.proven_until = now + this->settings.proven_time;
    }
}

void peer_health::on_failed(const host_id& peer, monotonic_time now)
{
    auto& known = this->peers[peer];
    known.avoid_until = now + this->settings.avoid_failed;
    known.proven_until = {};
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

bool peer_health::is_proven(const host_id& peer, monotonic_time now) const
{
    const auto found = this->peers.find(peer);
    return found != this->peers.end() && now < found->second.proven_until &&
           this->is_usable(peer, now);
}

void peer_health::on_tick(monotonic_time now)
{
    std::erase_if(this->peers, [&](const auto& item) {
        const auto& known = item.second;
        return known.pending == 0 && now >= known.avoid_until && now >= known.proven_until;
    });
}

} // namespace figreach::direct
