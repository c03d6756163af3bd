#pragma once

#include <cstdint>
#include <string_view>

#include "figreach/control.h"
#include "figreach/key_hash.h"

namespace figreach {

/// The route of a key under one snapshot.
struct route {
    const partition* document = nullptr;
    std::size_t slice = 0;
    const server_route* server = nullptr;
    std::uint64_t fence = 0;
    key_hash hash = 0;
};

/// The partition of a service that contains a hash.
[[nodiscard]] partition_id partition_of(const service& service, key_hash hash);

/// Finds the owner of a key. `server` is null if the key has no owner, for example while its slice
/// moves. The pointers are valid as long as the snapshot.
[[nodiscard]] route find_route(const routing_snapshot& snapshot, const service& service,
                               std::string_view key);

} // namespace figreach
