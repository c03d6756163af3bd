#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "figreach/fault.h"
#include "figreach/ids.h"
#include "figreach/time.h"

namespace figreach {

/// Settings of one entry host process. They contain only what differs between processes; everything
/// shared is in the description.
struct host_settings {
    host_id name;
    failure_domain_id failure_domain;
    std::string caller_address;   ///< HTTP from callers
    std::string forward_address;  ///< HTTP forwarded by other entry hosts
    std::string peer_address;     ///< messages from other entry hosts
    std::string operator_address; ///< operator RPC
    std::string admin_address;    ///< /metrics and /ready
    std::vector<std::string> seeds;
    std::string store_address;
    std::uint32_t request_threads = 2;
    std::string log_level = "info";
    std::string log_file;         ///< empty: standard error
    std::string operator_token;   ///< empty: changes require a client certificate
    std::string tls_certificate;  ///< PEM file for the operator RPC; empty: plaintext
    std::string tls_key;          ///< PEM file
    std::string tls_client_ca;    ///< PEM file of the CA that signs the operators' certificates
    std::string peer_public_key;  ///< key file for traffic between hosts; empty: plaintext
    std::string peer_secret_key;  ///< key file
    bool allow_plaintext = false; ///< allow listeners outside loopback without encryption
    milliseconds balancer_grace{2000};
    milliseconds drain_limit{30000};
};

struct parsed_host_settings {
    host_settings value;
    fault_list faults;
};

/// Parses and validates a settings file in TOML. `file` is used only in faults.
[[nodiscard]] parsed_host_settings parse_host_settings(std::string_view toml,
                                                       const std::string& file);

} // namespace figreach
