#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <set>

#include "figreach/partition.h"
#include "figreach/peer_message.h"

namespace figreach {

/// The assigning host's side of moving slices of one partition: collects releases and assigns
/// released slices to their next owner.
class hand_over {
public:
    void on_released(const released& message);

    /// Returns the document with all released slices assigned to their next owner under the next
    /// fence, or nothing if no moving slice is released. Version and writer are unchanged.
    [[nodiscard]] std::optional<partition> complete(const partition& present);

private:
    struct released_range {
        key_hash first = 0;
        std::uint64_t fence = 0;

        friend auto operator<=>(const released_range&, const released_range&) = default;
    };

    std::set<released_range> ranges;
};

/// Returns whether a plan keeps range, owner and fence of each moving slice and keeps it moving.
/// Only a hand-over may end a move; otherwise a release for an abandoned move could be applied to a
/// later one.
[[nodiscard]] bool keeps_moves(const partition& present, const partition& planned);

} // namespace figreach
