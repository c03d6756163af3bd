#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "figreach/direct/quota/quota_bounds.h"
#include "figreach/direct/quota/quota_report.h"
#include "figreach/ids.h"
#include "figreach/time.h"

namespace figreach::direct {

class tenant_table;
struct tenant_rule;

struct quota_allocator_settings {
    quota_bounds bounds;
    /// For how long a former leader may go on giving out shares after its successor took over.
    milliseconds former_authority{9000};
};

/// How often hosts report, so that the leader gets at most 250 reports per second, and for how long
/// shares last.
[[nodiscard]] milliseconds quota_report_interval(std::size_t hosts);
[[nodiscard]] milliseconds quota_share_lifetime(std::size_t hosts);

/// The leader's division of the limits of tenants among hosts, in proportion to demand. The
/// fractions of a tenant's rate that hosts may use at the same time never exceed 1: a share counts
/// until a later report shows that it was replaced, or until it has expired. All times include time
/// spent suspended.
class quota_allocator {
public:
    explicit quota_allocator(quota_allocator_settings settings);

    /// Begins a term of this host unless it is the known one. What hosts hold is not known then;
    /// until all of `hosts` have reported, or nothing of a former leader can be left, shares are
    /// only continued.
    void lead(std::uint64_t term, const std::vector<host_id>& hosts, monotonic_time now);
    /// Answers a report. One that is older than a known one gets no shares. A leader without a
    /// lease in the store may have a successor, which continues what hosts report; so it only
    /// continues shares, too.
    [[nodiscard]] quota_shares on_report(const quota_report& report, const tenant_table& tenants,
                                         bool has_lease, monotonic_time now);
    /// Whether all that hosts may hold is known.
    [[nodiscard]] bool is_complete(monotonic_time now) const;

private:
    struct claim {
        double demand = 0.0;       ///< requests per second, smoothed
        double counted = 0.0;      ///< fraction that the host may use at this moment
        double depth = 0.0;        ///< bucket depth that the host may use at this moment
        double issued_depth = 0.0; ///< the latest, which the host may not have yet
    };
    struct host_state {
        std::uint64_t lifetime = 0;
        std::uint64_t number = 0;
        monotonic_time expires_at{}; ///< of all that the host may hold
        std::map<tenant_id, claim> claims;
    };
    struct tenant_state {
        double demand = 0.0;  ///< sum of all hosts
        double counted = 0.0; ///< likewise
        double depth = 0.0;   ///< likewise
        int hosts = 0;        ///< with demand
        double reserve = 0.0; ///< requests that hosts may run beyond their shares
        monotonic_time reserve_at{};
    };

    void expire(monotonic_time now);
    void drop(host_state& host);
    void update_demand(claim& own, const tenant_demand& demand) const;
    [[nodiscard]] std::uint32_t take_reserve(tenant_state& all, const tenant_rule& rule,
                                             std::uint32_t wanted, monotonic_time now) const;
    /// The host's part of what is divided; `others` is the sum of all other hosts.
    [[nodiscard]] static double weight_of(const claim& own, const tenant_state& others);

    quota_allocator_settings settings;
    std::uint64_t term = 0;
    monotonic_time term_began{};
    std::set<host_id> unreported; ///< hosts of which it is not known what they hold
    std::map<host_id, host_state> hosts;
    std::map<tenant_id, tenant_state> tenants;
    monotonic_time expired_at{};
};

} // namespace figreach::direct
