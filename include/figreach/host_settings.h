#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "figreach/fault.h"
#include "figreach/ids.h"
#include "figreach/time.h"

namespace figreach {

/// Settings of one entry host process: only what differs by process. All that is shared lives in
/// the description.
struct host_settings {
    host_id name;
    failure_domain_id failure_domain;
    std::string caller_address;   ///< HTTP of callers
    std::string forward_address;  ///< HTTP of other entry hosts
    std::string peer_address;     ///< messages between entry hosts
    std::string operator_address; ///< operators' RPC
    std::string admin_address;    ///< /metrics and /ready
    std::vector<std::string> seeds;
    std::string store_address;
    std::uint32_t request_threads = 2;
    std::string log_level = "info";
    std::string log_file;         ///< empty: standard error
    std::string operator_token;   ///< empty: changes need a client certificate
    std::string tls_certificate;  ///< of the operators' RPC, file in PEM; empty: plaintext
    std::string tls_key;          ///< file in PEM
    std::string tls_client_ca;    ///< file in PEM; operators need a certificate signed by it
    std::string peer_public_key;  ///< of the traffic between hosts, file; empty: plaintext
    std::string peer_secret_key;  ///< file
    bool allow_plaintext = false; ///< listeners not on loopback may do without TLS
    milliseconds balancer_grace{2000};
    milliseconds drain_limit{30000};
};

struct parsed_host_settings {
    host_settings value;
    fault_list faults;
};

/// Parses and checks a whole settings file in TOML. `file` is used in faults only.
[[nodiscard]] parsed_host_settings parse_host_settings(std::string_view toml,
                                                       const std::string& file);

} // namespace figreach
