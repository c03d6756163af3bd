#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "figreach/direct/quota/quota_bounds.h"
#include "figreach/direct/request_digest.h"
#include "figreach/fault.h"
#include "figreach/ids.h"
#include "figreach/time.h"

namespace figreach::direct {

/// Settings of an entry host that sends requests to owners directly.
struct direct_settings {
    host_id name;
    failure_domain_id failure_domain;
    std::string caller_address; ///< HTTP endpoint for callers
    std::string admin_address;  ///< HTTP endpoint for /ready and /metrics
    std::string peer_address;   ///< endpoint for datagrams between entry hosts
    std::string store_address;
    std::string log_level = "info";
    double processor_share = 1.0;       ///< CPU cores that the host may use
    milliseconds stop_limit{6000};      ///< from the stop signal until the process is killed
    milliseconds leaving_limit{2000};   ///< after which a leaving server gets no requests
    double repeat_share = 0.2;          ///< fraction of a service's requests that may be retried
    double repeat_allowance = 64.0;     ///< retries beyond the share, total of all hosts
    milliseconds max_hold{10000};       ///< longest grant that backend servers accept
    milliseconds report_interval{1000}; ///< between reports of a backend server to the store
    /// Time after its confirmation from which a revoked API key is not accepted, even by hosts that
    /// the configuration has not reached; empty if such hosts may go on accepting it.
    std::optional<milliseconds> revocation_limit = std::nullopt;
    quota_bounds quota = {};                            ///< for the limits of tenants
    std::vector<request_digest> released_requests = {}; ///< cleared at each reload
};

struct parsed_direct_settings {
    direct_settings value;
    fault_list faults;
};

/// Parses and validates a settings file in TOML. `file` is only used in fault messages.
[[nodiscard]] parsed_direct_settings parse_direct_settings(std::string_view toml,
                                                           const std::string& file);

} // namespace figreach::direct
