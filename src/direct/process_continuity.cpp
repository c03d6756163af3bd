#include "figreach/direct/process_continuity.h"

#include <algorithm>

namespace figreach::direct {

void process_continuity::record_answer(const std::string& address, monotonic_time connected_at,
                                       monotonic_time sent_at)
{
    const auto [place, is_new] = this->spans.try_emplace(address, span{connected_at, sent_at});
    auto& known = place->second;
    if (is_new || sent_at < known.from) {
        return;
    }
    const bool overlaps = connected_at <= known.until;
    known.from = overlaps ? std::min(known.from, connected_at) : connected_at;
    known.until = std::max(known.until, sent_at);
}

bool process_continuity::has_run_since(const std::string& address, monotonic_time time,
                                       monotonic_time connected_at) const
{
    if (connected_at <= time) {
        return true;
    }
    const auto known = this->spans.find(address);
    return known != this->spans.end() && known->second.from <= time &&
           connected_at <= known->second.until;
}

void process_continuity::prune(const std::function<bool(const std::string&)>& is_used)
{
    std::erase_if(this->spans, [&](const auto& item) { return !is_used(item.first); });
}

} // namespace figreach::direct
