#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "figreach/direct/request_digest.h"
#include "figreach/direct/server_lifetime.h"
#include "figreach/ids.h"
#include "figreach/time.h"

namespace figreach::direct {

/// A send during which the server's side ended the connection before the answer.
struct reported_loss {
    server_lifetime server;
    failure_domain_id failure_domain;
    host_id sender;
    milliseconds ran{0};                   ///< from the send to the loss
    milliseconds age{0};                   ///< since the loss
    std::optional<milliseconds> alive_age; ///< since the latest sign of life of the server
    bool stored = false; ///< read from the store: the loss may be older than `age`

    friend bool operator==(const reported_loss&, const reported_loss&) = default;
};

/// What a host knows about one request that may crash backend servers.
struct crash_report {
    request_digest digest;
    std::vector<reported_loss> losses;
    std::optional<milliseconds> cleared_age; ///< since its latest answer

    friend bool operator==(const crash_report&, const crash_report&) = default;
};

} // namespace figreach::direct
