#pragma once

#include <cstdint>
#include <map>
#include <variant>

#include "figreach/direct/quota/quota_bounds.h"
#include "figreach/direct/quota/quota_report.h"
#include "figreach/ids.h"
#include "figreach/time.h"

namespace figreach::direct {

struct tenant_rule;

/// The request may run; it counts against the limit until it is given back.
struct quota_admitted {};

/// The tenant has used its limit, as far as this host may use it.
struct quota_refused {
    milliseconds retry_after{0};
};

/// This host has used its part of the limit, or has none yet; the leader may have more.
struct quota_unknown {};

using quota_decision = std::variant<quota_admitted, quota_refused, quota_unknown>;

/// A host's part of the limits of tenants: token buckets that are filled at the host's share of
/// each tenant's rate. Shares come from the leader and expire. Without one, a host fills its
/// buckets at a rate at which all hosts together stay within the permitted excess. All times
/// include time spent suspended.
class host_quota {
public:
    explicit host_quota(quota_bounds bounds);

    /// Decides whether a request of the tenant may run, and counts it if so.
    [[nodiscard]] quota_decision admit(const tenant_rule& tenant, monotonic_time now);
    /// As admit(), for a request that has waited for a share and is counted as demand already.
    [[nodiscard]] quota_decision admit_waiting(const tenant_rule& tenant, monotonic_time now);
    /// A request that was admitted has not run.
    void give_back(const tenant_id& tenant);
    /// A request waits for a share, after admit() has not known one.
    void want(const tenant_id& tenant);
    /// Whether a request waits that no report names yet.
    [[nodiscard]] bool is_wanted() const;

    /// What decided over a request, for logs.
    struct usage {
        double fraction = 0.0; ///< of the tenant's rate
        double tokens = 0.0;
        double depth = 0.0;
        bool exhausted = false; ///< the leader had nothing left
    };
    [[nodiscard]] usage usage_of(const tenant_id& tenant) const;
    /// Whether the host has shares of the leader's, of which some may be zero.
    [[nodiscard]] bool has_shares(monotonic_time now) const;
    /// What the leader needs to know; restarts the counts.
    [[nodiscard]] quota_report make_report(monotonic_time now);
    /// Applies the answer to the latest report, which was sent at `asked_at`. An answer to an
    /// earlier one is ignored.
    void apply(const quota_shares& shares, monotonic_time asked_at, monotonic_time now);

private:
    struct bucket {
        double tokens = 0.0;
        double depth = 0.0;
        double fraction = 0.0; ///< of the tenant's rate
        double rate = 0.0;     ///< of the tenant, when a request was last seen
        monotonic_time filled_at{};
        monotonic_time return_at{}; ///< when the last refused caller was told to come back
        monotonic_time used_at{};
        std::uint32_t requests = 0; ///< since the last report
        std::uint32_t wanted = 0;   ///< since the last report
        std::uint32_t asked = 0;    ///< `wanted` of the last report
        bool exhausted = false;     ///< the leader had fewer than were wanted
    };

    void fill(bucket& own, monotonic_time now) const;
    [[nodiscard]] double fallback_fraction() const;

    quota_bounds bounds;
    std::map<tenant_id, bucket> buckets;
    std::uint64_t reports = 0;
    std::uint32_t wanted = 0; ///< requests that wait and that no report names yet
    std::uint32_t hosts = 0;  ///< 0: no leader has answered yet
    monotonic_time reported_at{};
    monotonic_time shares_until{};
};

} // namespace figreach::direct
