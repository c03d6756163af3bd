#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "figreach/ids.h"
#include "figreach/time.h"

namespace figreach::direct {

/// Demand of one host for requests of a tenant that has a limit.
struct tenant_demand {
    tenant_id tenant;
    std::uint32_t requests = 0; ///< seen since the last report, refused ones included
    milliseconds over{0};       ///< the time in which they were seen
    double held_share = 0.0;    ///< see tenant_share
    std::uint32_t wanted = 0;   ///< requests that wait because the host holds no share

    friend bool operator==(const tenant_demand&, const tenant_demand&) = default;
};

/// What a host tells the leader about its demand, and what it holds.
struct quota_report {
    host_id host;
    std::uint64_t lifetime = 0; ///< of the host's process
    std::uint64_t number = 0;   ///< rises with each report of the process
    std::vector<tenant_demand> tenants;
};

/// Share of a tenant's limit that one host may use. It is relative, so that a changed limit takes
/// effect with the configuration.
struct tenant_share {
    tenant_id tenant;
    double fraction = 0.0;       ///< of the tenant's rate
    double depth = 0.0;          ///< requests that may run at once after a pause
    std::uint32_t immediate = 0; ///< requests that may run in addition, once

    friend bool operator==(const tenant_share&, const tenant_share&) = default;
};

/// The shares of a host. They replace all that it holds, for a time that begins when the host sent
/// its report.
struct quota_shares {
    std::uint64_t number = 0; ///< of the report
    milliseconds lifetime{0};
    std::uint32_t hosts = 0; ///< number of hosts that may hold shares
    std::vector<tenant_share> tenants;
};

[[nodiscard]] std::string encode(const quota_report& report);
[[nodiscard]] std::string encode(const quota_shares& shares);
// These return an empty optional if the bytes are malformed.
[[nodiscard]] std::optional<quota_report> decode_quota_report(std::string_view bytes);
[[nodiscard]] std::optional<quota_shares> decode_quota_shares(std::string_view bytes);

} // namespace figreach::direct
