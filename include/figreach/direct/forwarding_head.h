#pragma once

#include <cstdint>

#include "figreach/ids.h"

namespace figreach::direct {

/// How one entry host passes a request to another.
struct forwarding_head {
    host_id from;
    std::uint32_t hops_left = 0; ///< how often the receiver may pass the request on
    backend_server_id server;    ///< the only server to send to; empty if the receiver chooses
};

} // namespace figreach::direct
