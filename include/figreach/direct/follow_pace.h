#pragma once

#include <cstddef>

#include "figreach/time.h"

namespace figreach::direct {

/// How often followers call the leader. Its work is the number of hosts times the calls of each.
struct follow_pace {
    std::size_t hosts = 0; ///< number of registered hosts

    /// How long the leader may keep a call that it has no changes for. Followers report loads at
    /// the same rate.
    [[nodiscard]] milliseconds longest_wait() const;
    /// Time from an answer to the next call. Changes that arrive meanwhile are sent together.
    [[nodiscard]] milliseconds pause() const;
};

} // namespace figreach::direct
