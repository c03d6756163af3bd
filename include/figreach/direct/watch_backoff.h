#pragma once

#include <cstddef>
#include <cstdint>

#include "figreach/time.h"

namespace figreach::direct {

/// How often hosts that watch the store for themselves call it. Each call costs, also a refused
/// one, and while nobody leads, or the store is away, all hosts watch.
struct watch_backoff {
    bool leads = false;    ///< other hosts hear from this one what the store says
    std::size_t hosts = 1; ///< entry hosts

    /// Changes that come in quick succession are taken together. When all hosts start there is one
    /// for each host, which would wake all of them.
    [[nodiscard]] milliseconds after_changes() const;
    /// After `failures` calls in a row without an answer, from 1 on. `random` is any 64-bit number.
    [[nodiscard]] milliseconds after_failure(std::uint32_t failures, std::uint64_t random) const;
};

} // namespace figreach::direct
