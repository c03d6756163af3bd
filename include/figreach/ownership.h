#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "figreach/confirmation.h"
#include "figreach/control.h"
#include "figreach/coordinator.h"
#include "figreach/hand_over.h"
#include "figreach/ownership_settings.h"
#include "figreach/partition_writer.h"
#include "figreach/validator.h"

namespace figreach {

/// Decides which changes are made to a partition; see assigner.
struct assignment_policy {
    std::function<std::optional<partition>(const partition&, const description&, monotonic_time)>
        plan;
    std::function<void(const load_report&, monotonic_time)> on_report;
};

/// A host's view of the other hosts and of the operators' description.
struct cluster_view {
    std::shared_ptr<const description> system_description; ///< null until known
    std::vector<host_state> hosts; ///< hosts believed to be alive, including this one
};

/// The ownership protocol of one host: the partitions it knows, its role as a validator, the
/// backend servers it coordinates and the partitions it assigns. See docs/ownership.md.
class ownership {
public:
    using documents = std::map<partition_id, std::shared_ptr<const partition>>;

    ownership(host_identity self, ownership_settings settings, assignment_policy policy);

    [[nodiscard]] control_actions on_tick(const cluster_view& view, monotonic_time now);
    [[nodiscard]] control_actions on_message(const peer_message& message, const cluster_view& view,
                                             monotonic_time now);
    /// Ignores answers to calls of other modules.
    [[nodiscard]] control_actions on_store(const store_answered& event, const cluster_view& view,
                                           monotonic_time now);
    [[nodiscard]] control_actions on_server(const server_answered& event, const cluster_view& view,
                                            monotonic_time now);
    void on_load(const observed_load& event);
    void on_idle(const slices_idle& event);

    [[nodiscard]] const documents& partitions() const;
    /// Returns the backend servers over which this host has authority, for gossip.
    [[nodiscard]] std::vector<coordinator_hint> coordinated(monotonic_time now) const;

private:
    struct partition_state {
        partition_state(const partition_id& id, const ownership_settings& settings,
                        const std::string& writer_prefix);

        confirmation confirmations;
        hand_over moves;
        partition_writer writer;
        std::uint64_t requested_version = 0;
        std::vector<backend_server_id> requested_servers;
        monotonic_time next_confirmation{};
        monotonic_time next_document_request{};
        monotonic_time next_release{};
        std::optional<monotonic_time> settled_since; ///< since when a majority knows the new set
        bool was_recovering = true;
    };
    struct server_state {
        std::optional<coordinator> role;
        std::optional<monotonic_time> other_preferred_since;
        monotonic_time published_until{};
        std::uint64_t published_incarnation = 0;
        server_condition reported_condition = server_condition::serving;
        monotonic_time next_report{};
        observed_load load;
    };

    void start(monotonic_time now);
    control_actions advance(const cluster_view& view, monotonic_time now);
    partition_state& state_of(const partition_id& id);

    // documents and their distribution
    void learn(partition document, bool announce);
    void request_newer(const partition_version& advertised, const host_id& from,
                       monotonic_time now);
    void broadcast(const partition& document);
    void receive(const peer_message& message, monotonic_time now);
    void receive(const peer_message& from, const probe& body, monotonic_time now);
    void receive(const peer_message& from, const probe_answer& body, monotonic_time now);
    void receive(const peer_message& from, const confirm_request& body, monotonic_time now);
    void receive(const peer_message& from, const confirm_answer& body, monotonic_time now);
    void receive(const peer_message& from, const document_request& body, monotonic_time now);
    void receive(const peer_message& from, const document_offer& body, monotonic_time now);
    void receive(const peer_message& from, const load_report& body, monotonic_time now);
    void receive(const peer_message& from, const released& body, monotonic_time now);

    // validators
    void request_confirmations(monotonic_time now);
    void send_confirm_requests(const partition& document, partition_state& state,
                               const std::vector<backend_server_id>& requested, monotonic_time now);
    [[nodiscard]] std::vector<backend_server_id> servers_to_request(const partition& document,
                                                                    monotonic_time now);
    [[nodiscard]] bool should_coordinate(const backend_server_id& name,
                                         const confirmation& confirmations, monotonic_time now);
    void finish_recovery(monotonic_time now);

    // coordinator
    void coordinate(monotonic_time now);
    void coordinate_server(const backend_server_id& name, monotonic_time now);
    [[nodiscard]] monotonic_time authority_until(const backend_server_id& name) const;
    [[nodiscard]] coordinated_server make_coordinated_server(const backend_server_id& name,
                                                             monotonic_time until) const;
    void send_grant(const backend_server_id& name, coordinator& role,
                    const coordinated_server& target, monotonic_time now);
    void publish_authority(const backend_server_id& name, server_state& state,
                           const coordinated_server& target, monotonic_time now);
    void report_load(const backend_server_id& name, server_state& state, monotonic_time now);
    void report_released(const partition& document, partition_state& state, monotonic_time now);

    // store
    void read_all(monotonic_time now);
    void poll_store(monotonic_time now);
    void assign(const partition_id& id, partition_state& state, monotonic_time now);
    void create_document(const partition_id& id, partition_state& state, monotonic_time now);
    [[nodiscard]] std::optional<partition> next_change(const partition& present,
                                                       partition_state& state, monotonic_time now);
    [[nodiscard]] std::optional<partition>
    change_validators(const partition& present, partition_state& state, monotonic_time now);
    void start_call(const partition_id& id, store_call request);

    [[nodiscard]] host_id assigning_host(const partition_id& id) const;
    void send(const host_id& to, peer_body body, monotonic_time now);

    host_identity self;
    ownership_settings settings;
    assignment_policy policy;
    cluster_view view;
    std::optional<monotonic_time> started_at;
    validator local_validator;
    documents known_partitions;
    std::map<partition_id, partition_state> states;
    std::map<backend_server_id, server_state> servers;
    std::map<host_id, std::string> addresses;
    std::map<host_id, monotonic_time> last_live_at;
    std::map<std::uint64_t, partition_id> pending_calls;
    std::optional<std::uint64_t> pending_read_all;
    bool store_loaded = false;
    unsigned failed_reads = 0;
    monotonic_time next_read_all{};
    std::uint64_t next_call;
    control_actions actions;
};

} // namespace figreach
