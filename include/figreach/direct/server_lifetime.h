#pragma once

#include <compare>
#include <cstdint>

#include "figreach/ids.h"

namespace figreach::direct {

/// One process of a backend server.
struct server_lifetime {
    backend_server_id server;
    std::uint64_t lifetime = 0;

    friend auto operator<=>(const server_lifetime&, const server_lifetime&) = default;
};

} // namespace figreach::direct
