#include "figreach/direct/server_rests.h"

#include <algorithm>

namespace figreach::direct {

server_rests::server_rests(server_rest_settings settings_) : settings{settings_} {}

bool server_rests::on_turned_away(const backend_server_id& id, std::uint64_t lifetime,
                                  milliseconds wanted, monotonic_time now)
{
    if (wanted <= milliseconds{0}) {
        return false;
    }
    auto& known = this->rests[id];
    const auto until = now + std::min(wanted, this->settings.longest);
    const bool ends_sooner = lifetime == known.lifetime && until <= known.until;
    if (lifetime < known.lifetime || ends_sooner) {
        return false;
    }
    known = {.lifetime = lifetime, .until = until};
    return true;
}

milliseconds server_rests::time_left(const backend_server_id& id, std::uint64_t lifetime,
                                     monotonic_time now) const
{
    const auto found = this->rests.find(id);
    if (found == this->rests.end() || found->second.lifetime != lifetime ||
        now >= found->second.until) {
        return milliseconds{0};
    }
    return std::chrono::ceil<milliseconds>(found->second.until - now);
}

std::size_t server_rests::count(monotonic_time now) const
{
    return static_cast<std::size_t>(
        std::count_if(this->rests.begin(), this->rests.end(),
                      [now](const auto& one) { return now < one.second.until; }));
}

void server_rests::prune(monotonic_time now)
{
    std::erase_if(this->rests, [now](const auto& one) { return now >= one.second.until; });
}

} // namespace figreach::direct
