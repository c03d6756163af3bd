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
    std::uint32_t sends_per_change = 8; ///< messages that carry a changed entry before others
};

/// Chooses which partition versions and coordinator hints go into a message: those that changed
/// lately, and one other in turn, so that each is told now and then.
class gossip_selector {
public:
    explicit gossip_selector(gossip_selector_settings settings);

    /// The part of the news for the next message; the description version is always in it.
    [[nodiscard]] gossip select(const gossip& local);

private:
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
