#include "figreach/hand_over.h"

#include <algorithm>

namespace figreach {

void hand_over::on_released(const released& message)
{
    for (const auto& slice : message.slices) {
        this->ranges.insert({.first = slice.first, .fence = slice.fence});
    }
}

std::optional<partition> hand_over::complete(const partition& present)
{
    auto out = present;
    std::set<released_range> still_moving;
    for (auto& slice : out.slices) {
        const released_range range{.first = slice.first, .fence = slice.fence};
        if (!slice.moving_to || !this->ranges.contains(range)) {
            continue;
        }
        still_moving.insert(range);
        slice.owner = *slice.moving_to;
        slice.moving_to.reset();
        ++slice.fence;
    }
    this->ranges = std::move(still_moving);
    if (this->ranges.empty()) {
        return std::nullopt;
    }
    return out;
}

bool keeps_moves(const partition& present, const partition& planned)
{
    for (std::size_t i = 0; i < present.slices.size(); ++i) {
        const auto& before = present.slices[i];
        if (!before.moving_to) {
            continue;
        }
        const auto after = std::ranges::find(planned.slices, before.first, &slice::first);
        if (after == planned.slices.end() || !after->moving_to || after->fence != before.fence) {
            return false;
        }
        const auto index = static_cast<std::size_t>(after - planned.slices.begin());
        const bool same_range = last_hash(present, i) == last_hash(planned, index);
        const bool same_owner = owner_of(present, i) == owner_of(planned, index);
        if (!same_range || !same_owner) {
            return false;
        }
    }
    return true;
}

} // namespace figreach
