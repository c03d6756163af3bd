#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <set>

#include "figreach/partition.h"
#include "figreach/peer_message.h"

namespace figreach {

/// The assigning host's part in moving slices of one partition: collects releases and turns
/// moving slices that are released over to their next owner.
class hand_over {
public:
    void on_released(const released& message);

    /// The document with all released slices at their next owners under the next fence; empty
    /// when none is released. Version and writer are unchanged.
    [[nodiscard]] std::optional<partition> complete(const partition& present);

private:
    struct released_range {
        key_hash first = 0;
        std::uint64_t fence = 0;

        friend auto operator<=>(const released_range&, const released_range&) = default;
    };

    std::set<released_range> ranges;
};

/// Whether a plan leaves each moving slice as it is: only a hand-over ends a move, since a release
/// of a move that was given up in between could otherwise count for a later one.
[[nodiscard]] bool keeps_moves(const partition& present, const partition& planned);

} // namespace figreach
