#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "figreach/description.h"
#include "figreach/grant.h"
#include "figreach/peer_message.h"
#include "figreach/store_call.h"
#include "figreach/time.h"

namespace figreach {

struct tick {};

struct peer_received {
    peer_message message;
};

struct store_answered {
    std::uint64_t call = 0;
    store_result result;
};

struct server_answered {
    backend_server_id server;
    std::uint64_t sequence = 0;
    std::optional<grant_answer> answer; ///< empty if no answer arrived
};

/// Load that the data path of this host observed since the last report.
struct observed_load {
    backend_server_id server;
    milliseconds interval{0};
    std::vector<slice_load> slices;
};

/// Reports that the data path routes by this version or a later one and that all its requests for
/// these slices, which leave the backend server in that version, have been answered or have passed
/// their deadline.
struct slices_idle {
    partition_version known;
    backend_server_id server;
    std::vector<key_hash> firsts;
};

using control_event = std::variant<tick, peer_received, store_answered, store_changed,
                                   server_answered, observed_load, slices_idle>;

struct send_to_host {
    std::string address;
    peer_body body;
};

struct call_store {
    std::uint64_t call = 0;
    store_call request;
};

struct call_server {
    backend_server_id server;
    std::string address;
    grant request;
    milliseconds timeout{0};
};

/// Routing information of one backend server.
struct server_route {
    backend_server_id server;
    std::string address;
    host_id coordinator;         ///< empty if unknown
    std::string forward_address; ///< of the coordinator
    bool coordinated_here = false;
    bool takes_new_work = true;
};

/// Immutable routing state of the data path. A change publishes a new snapshot.
struct routing_snapshot {
    std::shared_ptr<const description> system_description;
    std::map<partition_id, std::shared_ptr<const partition>> partitions;
    std::map<backend_server_id, server_route> servers;
    std::vector<host_state> hosts; ///< entry hosts believed to be alive
};

struct publish_routes {
    std::shared_ptr<const routing_snapshot> snapshot;
};

/// Allows the data path to send to a backend server that this host coordinates until `until`.
struct extend_authority {
    backend_server_id server;
    monotonic_time until;
    std::uint32_t in_flight_elsewhere = 0; ///< requests of earlier coordinators still running
    std::uint64_t incarnation = 0;
    bool cold = false;
};

using control_action =
    std::variant<send_to_host, call_store, call_server, publish_routes, extend_authority>;

using control_actions = std::vector<control_action>;

/// Identity and addresses of an entry host, taken from its settings.
struct host_identity {
    host_id name;
    std::uint64_t incarnation = 0;
    failure_domain_id failure_domain;
    std::string peer_address;
    std::string forward_address;
    std::vector<std::string> seeds; ///< peer addresses of other hosts
};

} // namespace figreach
