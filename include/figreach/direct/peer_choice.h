#pragma once

#include <string>
#include <vector>

#include "figreach/direct/cluster_state.h"
#include "figreach/ids.h"

namespace figreach::direct {

/// Orders the hosts that may send all requests to a backend server: registered hosts first, then
/// hosts in the failure domain of the server, then by a rendezvous hash weighted by processor
/// share. Hosts with the same cluster state get the same order.
[[nodiscard]] std::vector<host_id> order_senders(const backend_server_id& server,
                                                 const failure_domain_id& domain,
                                                 const cluster_state& cluster);

/// Orders the hosts that may serve a request for another host: registered hosts first, then by the
/// weighted hash of the request's id, so that requests spread over all hosts.
[[nodiscard]] std::vector<host_id> order_helpers(const std::string& request_id,
                                                 const cluster_state& cluster);

/// The hosts that read the store for the others while no leader answers: in each failure domain
/// the registered host with the largest processor share, other than the last leader, which may have
/// lost the store. Those in `near` come first. Empty if no other host is known to be registered.
[[nodiscard]] std::vector<host_id> order_store_readers(const failure_domain_id& near,
                                                       const cluster_state& cluster);

} // namespace figreach::direct
