#pragma once

#include <cstdint>
#include <string_view>

#include "figreach/control.h"
#include "figreach/key_hash.h"

namespace figreach {

/// Where a key goes under one snapshot.
struct route {
    const partition* document = nullptr;
    std::size_t slice = 0;
    const server_route* server = nullptr;
    std::uint64_t fence = 0;
    key_hash hash = 0;
};

/// The partition of a service that holds a hash.
[[nodiscard]] partition_id partition_of(const service& service, key_hash hash);

/// The owner of a key. `server` is null when the key has no owner now, as while it moves.
/// The pointers live as long as the snapshot.
[[nodiscard]] route find_route(const routing_snapshot& snapshot, const service& service,
                               std::string_view key);

} // namespace figreach
