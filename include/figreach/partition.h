#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "figreach/ids.h"
#include "figreach/key_hash.h"

namespace figreach {

/// Names one partition: a set of slices of one service that is assigned as one document.
struct partition_id {
    service_id service;
    std::uint32_t number = 0;

    friend auto operator<=>(const partition_id&, const partition_id&) = default;
};

/// A range of the hash space: from `first` up to the hash before the next slice's first.
struct slice {
    key_hash first = 0;
    std::uint32_t owner = 0; ///< index into partition::backend_servers
    std::uint64_t fence = 0; ///< grows with each change of owner
    bool pinned = false;     ///< tied to its owner by an operator
    /// Index of the next owner while the slice moves: nobody may be granted it meanwhile.
    std::optional<std::uint32_t> moving_to;

    friend bool operator==(const slice&, const slice&) = default;
};

/// The assignment of one partition as it is kept in the store.
struct partition {
    partition_id id;
    std::uint64_t version = 0; ///< grows by one with each write; 0: none yet
    std::string writer;        ///< id of the write that made this version
    std::vector<backend_server_id> backend_servers;
    std::vector<slice> slices;                ///< ordered by first
    std::vector<host_id> validators;          ///< hosts that confirm the version to coordinators
    std::vector<host_id> previous_validators; ///< not empty until the change of set has settled

    friend bool operator==(const partition&, const partition&) = default;
};

/// Index of the slice that holds a hash. Requires a well-formed partition.
[[nodiscard]] std::size_t slice_index(const partition& document, key_hash hash);

/// Last hash of the slice at `index`.
[[nodiscard]] key_hash last_hash(const partition& document, std::size_t index);

[[nodiscard]] const backend_server_id& owner_of(const partition& document, std::size_t index);

/// Empty when well-formed, else what is wrong: order, cover, owner indices, repeated names.
[[nodiscard]] std::string defect_of(const partition& document);

/// Key of the document in the store.
[[nodiscard]] std::string store_key(const partition_id& id);

} // namespace figreach
