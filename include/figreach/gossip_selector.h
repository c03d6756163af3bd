#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>

#include "figreach/peer_message.h"

namespace figreach {

struct gossip_selector_settings {
    std::size_t max_partitions = 4;     ///< partition versions in one message
    std::size_t max_coordinators = 4;   ///< coordinator hints in one message
    std::uint32_t sends_per_change = 8; ///< messages that carry a changed entry with priority
};

/// Selects the partition versions and coordinator hints to send in a message: recently changed
/// entries first, then, if there is room, one entry in round-robin order, so that every entry is
/// repeated periodically.
class gossip_selector {
public:
    explicit gossip_selector(gossip_selector_settings settings);

    /// The part of the local gossip to send in the next message. It always includes the description
    /// version but no host states.
    [[nodiscard]] gossip select(const gossip& local);

private:
    /// The version of an entry that was last selected, and its remaining prioritized sends.
    struct sent_entry {
        std::uint64_t version = 0;
        std::uint32_t sends_left = 0;
    };

    gossip_selector_settings settings;
    std::map<partition_id, sent_entry> partitions;
    std::map<backend_server_id, sent_entry> coordinators;
    std::size_t next_partition = 0;
    std::size_t next_coordinator = 0;
};

} // namespace figreach
