#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "figreach/ids.h"
#include "figreach/key_hash.h"

namespace figreach {

/// Identifies a partition: a set of slices of one service that is assigned by one document.
struct partition_id {
    service_id service;
    std::uint32_t number = 0;

    friend auto operator<=>(const partition_id&, const partition_id&) = default;
};

/// A range of the hash space, from `first` up to the hash before the `first` of the next slice.
struct slice {
    key_hash first = 0;
    std::uint32_t owner = 0; ///< index into partition::backend_servers
    std::uint64_t fence = 0; ///< increases with each change of owner
    bool pinned = false;     ///< assigned to its owner by an operator
    /// Index of the next owner while the slice is moving. A moving slice is granted to no server.
    std::optional<std::uint32_t> moving_to;

    friend bool operator==(const slice&, const slice&) = default;
};

/// Assignment of one partition, as kept in the store.
struct partition {
    partition_id id;
    std::uint64_t version = 0; ///< incremented by each write; 0 before the first write
    std::string writer;        ///< id of the write that created this version
    std::vector<backend_server_id> backend_servers;
    std::vector<slice> slices;                ///< sorted by `first`
    std::vector<host_id> validators;          ///< hosts that confirm the version to coordinators
    std::vector<host_id> previous_validators; ///< non-empty while the set is being changed

    friend bool operator==(const partition&, const partition&) = default;
};

/// Returns the index of the slice that contains a hash. Requires a well-formed partition.
[[nodiscard]] std::size_t slice_index(const partition& document, key_hash hash);

/// Returns the last hash of the slice at `index`.
[[nodiscard]] key_hash last_hash(const partition& document, std::size_t index);

[[nodiscard]] const backend_server_id& owner_of(const partition& document, std::size_t index);

/// Checks slice order, coverage of the hash space, owner indices and duplicate server names.
/// Returns an empty string for a well-formed partition, otherwise a description of the first
/// defect.
[[nodiscard]] std::string defect_of(const partition& document);

/// Returns the key of the partition's document in the store.
[[nodiscard]] std::string store_key(const partition_id& id);

} // namespace figreach
