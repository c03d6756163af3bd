#include "figreach/direct/refused_keys.h"

#include <algorithm>

namespace figreach::direct {

refused_keys::refused_keys(refused_keys_settings settings_) : settings{settings_} {}

void refused_keys::on_refused(const service_id& service, std::uint32_t key, std::uint64_t fence,
                              monotonic_time now)
{
    const std::pair place{service, key};
    if (!this->refusals.contains(place) && this->refusals.size() >= this->settings.max_keys) {
        std::erase_if(this->refusals, [now](const auto& one) { return now >= one.second.until; });
        if (this->refusals.size() >= this->settings.max_keys) {
            return;
        }
    }
    auto& known = this->refusals[place];
    // Requests that were under way together are refused together.
    if (known.fence == fence && now < known.until) {
        return;
    }
    const auto pause = known.fence == fence && known.pause > milliseconds{0}
                           ? std::min(known.pause * 2, this->settings.max_pause)
                           : this->settings.first_pause;
    known = {.fence = fence, .pause = pause, .until = now + pause};
}

bool refused_keys::must_wait(const service_id& service, std::uint32_t key, std::uint64_t fence,
                             monotonic_time now) const
{
    const auto found = this->refusals.find({service, key});
    return found != this->refusals.end() && found->second.fence == fence &&
           now < found->second.until;
}

} // namespace figreach::direct
