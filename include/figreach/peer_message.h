#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "figreach/ids.h"
#include "figreach/key_hash.h"
#include "figreach/partition.h"
#include "figreach/time.h"

namespace figreach {

enum class host_liveness : std::uint8_t { alive, suspect, leaving, dead };

/// State of an entry host as reported by itself or by another host.
struct host_state {
    host_id host;
    std::uint64_t incarnation = 0;
    host_liveness state = host_liveness::alive;
    failure_domain_id failure_domain;
    std::string peer_address;
    std::string forward_address;
    std::uint64_t description_version = 0;

    friend bool operator==(const host_state&, const host_state&) = default;
};

struct partition_version {
    partition_id id;
    std::uint64_t version = 0;

    friend bool operator==(const partition_version&, const partition_version&) = default;
};

/// Coordinator of a backend server. A hint for forwarding: no safety property depends on it.
struct coordinator_hint {
    backend_server_id server;
    host_id host;
    std::uint64_t term = 0; ///< the hint with the higher term wins

    friend bool operator==(const coordinator_hint&, const coordinator_hint&) = default;
};

/// State that is piggybacked on probes and their answers.
struct gossip {
    std::vector<host_state> hosts;
    std::uint64_t description_version = 0;
    std::vector<partition_version> partitions;
    std::vector<coordinator_hint> coordinators;

    friend bool operator==(const gossip&, const gossip&) = default;
};

/// Liveness probe, or a request for an indirect probe or for all host states.
struct probe {
    std::uint64_t sequence = 0;
    host_id on_behalf_of; ///< set in a probe sent for another host
    host_id target;       ///< host to probe indirectly; the sender itself: requests all host states
    gossip piggyback;

    friend bool operator==(const probe&, const probe&) = default;
};

struct probe_answer {
    std::uint64_t sequence = 0;
    gossip piggyback;

    friend bool operator==(const probe_answer&, const probe_answer&) = default;
};

/// Asks a validator whether it knows a higher version of the partition, and whether the sender may
/// coordinate the listed backend servers.
struct confirm_request {
    std::uint64_t sequence = 0;
    partition_version known;
    std::vector<backend_server_id> servers;

    friend bool operator==(const confirm_request&, const confirm_request&) = default;
};

struct confirm_answer {
    std::uint64_t sequence = 0;
    partition_version known;
    std::vector<backend_server_id> servers; ///< those that the requester may coordinate
    bool recovering = false;                ///< the validator restarted and cannot confirm yet

    friend bool operator==(const confirm_answer&, const confirm_answer&) = default;
};

/// Requests a newer partition or description.
struct document_request {
    partition_version above;  ///< requests the partition if a newer version exists
    bool description = false; ///< requests the description instead, if newer than above.version

    friend bool operator==(const document_request&, const document_request&) = default;
};

/// Encoded documents. An empty string means that the document is not included.
struct document_offer {
    std::string partition;
    std::string description;

    friend bool operator==(const document_offer&, const document_offer&) = default;
};

struct slice_load {
    key_hash first = 0;
    double requests_per_second = 0.0;

    friend bool operator==(const slice_load&, const slice_load&) = default;
};

/// State of a backend server as observed by its coordinator.
enum class server_condition : std::uint8_t { serving, cold, slow, shedding, leaving, lost };

/// Load of one backend server, sent by its coordinator to the assigner of the partition.
struct load_report {
    partition_id id;
    backend_server_id server;
    server_condition condition = server_condition::serving;
    std::uint64_t incarnation = 0;
    std::vector<slice_load> slices;
    std::chrono::microseconds latency{0}; ///< smoothed, as measured by the coordinator
    double busy = 0.0;                    ///< fraction of the slots in use, 0 to 1

    friend bool operator==(const load_report&, const load_report&) = default;
};

struct released_slice {
    key_hash first = 0;
    std::uint64_t fence = 0;

    friend bool operator==(const released_slice&, const released_slice&) = default;
};

/// Sent by a coordinator to the assigner: the slices are no longer served under these fences, and a
/// majority of the validators knows the version in which they move.
struct released {
    partition_version known;
    backend_server_id server;
    std::vector<released_slice> slices;

    friend bool operator==(const released&, const released&) = default;
};

using peer_body = std::variant<probe, probe_answer, confirm_request, confirm_answer,
                               document_request, document_offer, load_report, released>;

/// A message between entry hosts. `incarnation` identifies the sending process.
struct peer_message {
    host_id sender;
    std::uint64_t incarnation = 0;
    peer_body body;

    friend bool operator==(const peer_message&, const peer_message&) = default;
};

} // namespace figreach
