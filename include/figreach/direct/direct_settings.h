#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "figreach/fault.h"
#include "figreach/ids.h"
#include "figreach/time.h"

namespace figreach::direct {

/// Settings of one entry host that sends to owners directly.
struct direct_settings {
    host_id name;
    failure_domain_id failure_domain;
    std::string caller_address; ///< HTTP of callers
    std::string admin_address;  ///< /ready and /metrics
    std::string peer_address;   ///< datagrams between entry hosts
    std::string store_address;
    std::string log_level = "info";
    double processor_share = 1.0;        ///< of a core that the host may use
    milliseconds stop_limit{6000};       ///< from the signal to stop until the process is killed
    milliseconds leaving_limit{2000};    ///< after which a leaving server gets nothing
    double repeat_share = 0.2;           ///< of a service's requests that may be sent once more
    std::uint32_t repeat_allowance = 64; ///< repeats beyond the share, of all hosts together
    milliseconds max_hold{10000};        ///< of a grant, as backend servers accept it
    milliseconds report_interval{1000};  ///< between a backend server's reports to the store
};

struct parsed_direct_settings {
    direct_settings value;
    fault_list faults;
};

/// Parses and checks a whole settings file in TOML. `file` is used in faults only.
[[nodiscard]] parsed_direct_settings parse_direct_settings(std::string_view toml,
                                                           const std::string& file);

} // namespace figreach::direct
