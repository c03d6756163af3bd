#pragma once

#include <cstddef>
#include <cstdint>

#include "figreach/time.h"

namespace figreach::direct {

/// Delays between store calls of a host that watches the store itself. Every call has a cost, even
/// a refused one, and all hosts watch while there is no leader or the store is unavailable.
struct watch_backoff {
    bool watches_for_others = false; ///< other hosts learn from this one
    std::size_t hosts = 1;           ///< number of entry hosts

    /// Delay after a batch of changes, which coalesces changes in quick succession. When all hosts
    /// start, each of them causes a change that would wake all the others.
    [[nodiscard]] milliseconds after_changes() const;
    /// Delay after `failures` consecutive failed calls, at least 1. `random` is any 64-bit number.
    [[nodiscard]] milliseconds after_failure(std::uint32_t failures, std::uint64_t random) const;
};

} // namespace figreach::direct
