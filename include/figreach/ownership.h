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

/// Decides which changes of a partition are wanted; see assigner.
struct placement {
    std::function<std::optional<partition>(const partition&, const description&, monotonic_time)>
        plan;
    std::function<void(const load_report&, monotonic_time)> on_report;
};

/// What a host knows of the others and of the operators' description.
struct surroundings {
    std::shared_ptr<const description> system_description; ///< null: not known yet
    std::vector<host_state> hosts; ///< that live as far as is known, this one included
};

/// The ownership protocol of one host: the partitions that it knows, its part as a validator, the
/// backend servers that it coordinates and the partitions that it assigns. See docs/ownership.md.
class ownership {
public:
    using documents = std::map<partition_id, std::shared_ptr<const partition>>;

    ownership(host_identity self, ownership_settings settings, placement wanted);

    [[nodiscard]] control_actions on_tick(const surroundings& around, monotonic_time now);
    [[nodiscard]] control_actions on_message(const peer_message& message,
                                             const surroundings& around, monotonic_time now);
    /// Does nothing with an answer to a call of another module.
    [[nodiscard]] control_actions on_store(const store_answered& event, const surroundings& around,
                                           monotonic_time now);
    [[nodiscard]] control_actions on_server(const server_answered& event,
                                            const surroundings& around, monotonic_time now);
    void on_load(const observed_load& event);
    void on_idle(const slices_idle& event);

    [[nodiscard]] const documents& partitions() const;
    /// The backend servers that this host has authority over, for gossip.
    [[nodiscard]] std::vector<coordinator_hint> coordinated(monotonic_time now) const;

private:
    struct partition_state {
        partition_state(const partition_id& id, const ownership_settings& settings,
                        const std::string& writer_prefix);

        confirmation asked;
        hand_over moves;
        partition_writer writer;
        std::uint64_t asked_version = 0;
        std::vector<backend_server_id> asked_servers;
        monotonic_time next_ask{};
        monotonic_time next_request{};
        monotonic_time next_release{};
        std::optional<monotonic_time> settled_since; ///< old validators know the new set
        bool was_recovering = true;
    };
    struct server_state {
        std::optional<coordinator> role;
        std::optional<monotonic_time> other_preferred_since;
        monotonic_time told_until{};
        std::uint64_t told_incarnation = 0;
        server_condition told_condition = server_condition::serving;
        monotonic_time next_report{};
        observed_load load;
    };

    void start(monotonic_time now);
    control_actions drive(const surroundings& around, monotonic_time now);
    partition_state& state_of(const partition_id& id);

    // documents and their spreading
    void learn(partition document, bool spread);
    void request_newer(const partition_version& heard, const host_id& from, monotonic_time now);
    void offer(const partition& document);
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
    void ask_validators(monotonic_time now);
    void ask_round(const partition& document, partition_state& state,
                   const std::vector<backend_server_id>& asked, monotonic_time now);
    [[nodiscard]] std::vector<backend_server_id> wanted_servers(const partition& document,
                                                                monotonic_time now);
    [[nodiscard]] bool wants(const backend_server_id& name, const confirmation& asked,
                             monotonic_time now);
    void finish_recovery(monotonic_time now);

    // coordinator
    void coordinate(monotonic_time now);
    void coordinate_server(const backend_server_id& name, monotonic_time now);
    [[nodiscard]] monotonic_time authority_until(const backend_server_id& name) const;
    [[nodiscard]] coordinated_server describe(const backend_server_id& name,
                                              monotonic_time until) const;
    void send_grant(const backend_server_id& name, coordinator& role,
                    const coordinated_server& what, monotonic_time now);
    void tell_authority(const backend_server_id& name, server_state& state,
                        const coordinated_server& what, monotonic_time now);
    void report(const backend_server_id& name, server_state& state, monotonic_time now);
    void release(const partition& document, partition_state& state, monotonic_time now);

    // store
    void read_all(monotonic_time now);
    void poll(monotonic_time now);
    void assign(const partition_id& id, partition_state& state, monotonic_time now);
    void create(const partition_id& id, partition_state& state, monotonic_time now);
    [[nodiscard]] std::optional<partition> next_change(const partition& present,
                                                       partition_state& state, monotonic_time now);
    [[nodiscard]] std::optional<partition>
    change_validators(const partition& present, partition_state& state, monotonic_time now);
    void call(const partition_id& id, store_call what);

    [[nodiscard]] host_id assigning_host(const partition_id& id) const;
    void send(const host_id& to, peer_body body, monotonic_time now);

    host_identity self;
    ownership_settings settings;
    placement wanted;
    surroundings around;
    std::optional<monotonic_time> started_at;
    validator own_validator;
    documents known;
    std::map<partition_id, partition_state> states;
    std::map<backend_server_id, server_state> servers;
    std::map<host_id, std::string> addresses;
    std::map<host_id, monotonic_time> seen_at;
    std::map<std::uint64_t, partition_id> open_calls;
    std::optional<std::uint64_t> open_read_all;
    bool store_seen = false;
    unsigned silent_reads = 0;
    monotonic_time next_read_all{};
    std::uint64_t next_call;
    control_actions actions;
};

} // namespace figreach
