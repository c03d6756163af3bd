#pragma once

#include <vector>

#include "figreach/partition.h"
#include "figreach/peer_message.h"

namespace figreach {

/// Chooses the validators of a partition: five if there are at least five hosts, three if there are
/// at least three, otherwise one. They are distributed evenly over the failure domains and picked
/// by rendezvous weight within each.
[[nodiscard]] std::vector<host_id> choose_validators(const partition_id& id,
                                                     const std::vector<host_state>& hosts);

/// The host with the highest rendezvous weight for an item in a failure domain, or among all hosts
/// if the failure domain has none. Empty if there are no hosts.
[[nodiscard]] host_id preferred_in_domain(const std::string& item,
                                          const failure_domain_id& failure_domain,
                                          const std::vector<host_state>& hosts);

/// All hosts ordered by descending rendezvous weight for an item.
[[nodiscard]] std::vector<host_id> by_preference(const std::string& item,
                                                 const std::vector<host_state>& hosts);

} // namespace figreach
