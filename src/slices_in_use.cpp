#include "figreach/slices_in_use.h"

#include <algorithm>

namespace figreach {

void slices_in_use::begin(key_hash hash, monotonic_time now)
{
    this->erase_expired(now);
    ++this->uses[hash].running;
}

void slices_in_use::end(key_hash hash, bool end_known, monotonic_time deadline)
{
    const auto found = this->uses.find(hash);
    if (found == this->uses.end()) {
        return;
    }
    auto& one = found->second;
    --one.running;
    if (!end_known) {
        one.may_run_until = std::max(one.may_run_until, deadline);
        this->unknown_ends.push_back({.hash = hash, .until = deadline});
    }
    if (one.running == 0 && one.may_run_until == monotonic_time{}) {
        this->uses.erase(found);
    }
}

/// Deadlines arrive nearly in order, so an entry behind a later deadline is kept only briefly.
void slices_in_use::erase_expired(monotonic_time now)
{
    while (!this->unknown_ends.empty() && this->unknown_ends.front().until <= now) {
        const auto found = this->uses.find(this->unknown_ends.front().hash);
        const bool over = found != this->uses.end() && found->second.running == 0 &&
                          found->second.may_run_until <= now;
        if (over) {
            this->uses.erase(found);
        }
        this->unknown_ends.pop_front();
    }
}

bool slices_in_use::in_use(key_hash first, key_hash last, monotonic_time now) const
{
    const auto end = this->uses.upper_bound(last);
    return std::any_of(this->uses.lower_bound(first), end, [now](const auto& item) {
        return item.second.running > 0 || now < item.second.may_run_until;
    });
}

} // namespace figreach
