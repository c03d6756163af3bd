#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "figreach/direct/request_digest.h"
#include "figreach/ids.h"

namespace figreach::direct {

/// How one entry host passes a request to another.
struct forwarding_head {
    host_id from;
    std::uint32_t hops_left = 0; ///< how often the receiver may pass the request on
    backend_server_id server;    ///< the only server to send to; empty if the receiver chooses
    std::optional<request_digest> digest = std::nullopt; ///< unknown from older hosts
    /// Shows that the sender has counted the request against its tenant's limit; may be empty.
    std::string counted = {};
    /// The service that the sender has selected; empty from hosts that let the receiver select it.
    service_id service = {};
    /// Version of the sender's configuration; 0 from hosts that do not name it.
    std::uint64_t configuration = 0;
};

} // namespace figreach::direct
