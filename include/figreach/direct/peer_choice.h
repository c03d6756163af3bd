#pragma once

#include <string>
#include <vector>

#include "figreach/direct/cluster_state.h"
#include "figreach/ids.h"

namespace figreach::direct {

/// Orders the hosts that may send to a backend server on behalf of others: registered hosts first,
/// then hosts in the same failure domain as the server, then by a rendezvous hash of `item`. Hosts
/// with the same cluster state get the same order.
[[nodiscard]] std::vector<host_id>
order_peers(const std::string& item, const failure_domain_id& domain, const cluster_state& cluster);

} // namespace figreach::direct
