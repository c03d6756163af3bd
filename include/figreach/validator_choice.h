#pragma once

#include <vector>

#include "figreach/partition.h"
#include "figreach/peer_message.h"

namespace figreach {

/// Hosts that confirm the versions of a partition: five where there are as many hosts, else
/// three, else one; spread over the failure domains, in rendezvous order within each.
[[nodiscard]] std::vector<host_id> choose_validators(const partition_id& id,
                                                     const std::vector<host_state>& hosts);

/// The host with the highest rendezvous weight among those of a failure domain; among all where
/// the failure domain has none.
[[nodiscard]] host_id preferred_in_domain(const std::string& item,
                                          const failure_domain_id& failure_domain,
                                          const std::vector<host_state>& hosts);

/// All hosts by falling rendezvous weight for an item.
[[nodiscard]] std::vector<host_id> by_preference(const std::string& item,
                                                 const std::vector<host_state>& hosts);

} // namespace figreach
