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
    std::optional<grant_answer> answer; ///< empty: no answer
};

/// Load seen by the data path at this host since the last report.
struct observed_load {
    backend_server_id server;
    milliseconds interval{0};
    std::vector<slice_load> slices;
};

/// The data path has taken up this version or a later one, and all its requests for these slices
/// of the backend server, which move away in that version, were answered or passed their deadline.
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

/// One backend server as the data path needs it.
struct server_route {
    backend_server_id server;
    std::string address;
    host_id coordinator;         ///< empty: nobody known
    std::string forward_address; ///< of the coordinator
    bool coordinated_here = false;
    bool takes_new_work = true;
};

/// Everything the data path needs, replaced as a whole.
struct routing_snapshot {
    std::shared_ptr<const description> system_description;
    std::map<partition_id, std::shared_ptr<const partition>> partitions;
    std::map<backend_server_id, server_route> servers;
    std::vector<host_state> hosts; ///< entry hosts that live as far as is known
};

struct publish_routes {
    std::shared_ptr<const routing_snapshot> snapshot;
};

/// The data path may send to a backend server that is coordinated here until this time.
struct extend_authority {
    backend_server_id server;
    monotonic_time until;
    std::uint32_t in_flight_elsewhere = 0; ///< requests of earlier coordinators that still run
    std::uint64_t incarnation = 0;
    bool cold = false;
};

using control_action =
    std::variant<send_to_host, call_store, call_server, publish_routes, extend_authority>;

using control_actions = std::vector<control_action>;

/// What an entry host knows of itself from its settings.
struct host_identity {
    host_id name;
    std::uint64_t incarnation = 0;
    failure_domain_id failure_domain;
    std::string peer_address;
    std::string forward_address;
    std::vector<std::string> seeds; ///< peer addresses of other hosts
};

} // namespace figreach
