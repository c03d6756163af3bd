#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "figreach/direct/key_table.h"
#include "figreach/direct/route_configuration.h"
#include "figreach/direct/route_table.h"
#include "figreach/direct/server_directory.h"
#include "figreach/direct/store.h"
#include "figreach/direct/stored_records.h"

namespace figreach::direct {

// Decoded updates of items in the store.

struct configuration_update {
    route_configuration value;
};

struct server_update {
    server_entry entry;
};

struct server_removal {
    backend_server_id id;
};

/// The operators take a failure domain out of service or put it back.
struct domain_update {
    failure_domain_id domain;
    bool out = false;
};

struct key_table_update {
    key_table table;
    store_revision revision;
};

struct host_update {
    live_host host;
};

struct host_removal {
    host_id name;
};

struct leader_update {
    bool present = false;
};

struct term_update {
    leader_term term;
};

struct crash_record_update {
    crash_record record;
    store_revision revision;
};

/// A malformed item. It does not change the state.
struct unreadable_item {
    std::string key;
    std::string field;                            ///< the malformed field
    std::optional<backend_server_id> server = {}; ///< whose entry it is
};

/// An item that is not part of the cluster state.
struct ignored_item {};

using item_update = std::variant<configuration_update, server_update, server_removal, domain_update,
                                 key_table_update, host_update, host_removal, leader_update,
                                 term_update, crash_record_update, unreadable_item, ignored_item>;

/// Decodes an item under own_prefix or its removal.
[[nodiscard]] item_update decode_own_item(const store_change& change);

/// Parts of the store that are read and watched separately.
enum class store_part : std::uint8_t { operators, servers, own };

/// A log event for a change of the state.
struct state_change {
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields;
};

/// State of the cluster as an entry host has read it from the store. No item goes back to an
/// earlier version during the lifetime of the process.
class cluster_state {
public:
    /// How long a host still counts after its registration ended: it may still be running, and
    /// other hosts may not have noticed yet.
    static constexpr seconds host_retention{15};

    explicit cluster_state(directory_settings settings);

    /// Applies the updates of one part in order. If `whole` is set, they are a full listing of the
    /// part.
    [[nodiscard]] std::vector<state_change>
    apply(store_part part, const std::vector<item_update>& updates, bool whole, monotonic_time now);
    /// Records what a server has said in an answer to this host or another one. Returns whether it
    /// was not known.
    bool record_leaving(const leaving_report& report, monotonic_time now);
    /// Records for how long a server stays cold, as it has said in an answer to this host. Returns
    /// whether it did not count as cold.
    bool record_cold(const server_lifetime& server, milliseconds cold_for, monotonic_time now);
    /// Handles the return of the store after an outage of length `away`.
    void on_store_reconnected(milliseconds away, monotonic_time now);
    /// Handles the return of the store from an older copy. What servers and operators wrote since
    /// is missing until they have written it again.
    void on_store_restored(monotonic_time now);
    /// Another host has seen an outage of the store, after which missing entries may come back.
    void expect_return_within(milliseconds left, monotonic_time now);
    [[nodiscard]] std::vector<state_change> on_tick(monotonic_time now);

    /// Returns null if no configuration is known.
    [[nodiscard]] std::shared_ptr<route_table> routes() const;
    [[nodiscard]] const server_directory& servers() const;
    /// Returns null if the table is not known.
    [[nodiscard]] const key_table* keys(const service_id& service) const;
    /// Store revision of that table. Its number is 0 if the table is not known.
    [[nodiscard]] store_revision keys_revision(const service_id& service) const;
    /// The latest one that could be read; its revision has number 0 if there is none.
    [[nodiscard]] const crash_record_update& crashes() const;
    [[nodiscard]] bool is_out(const failure_domain_id& domain) const;
    /// Hosts that are registered or were within host_retention, sorted by name. A host that is
    /// partitioned from the store loses its registration but may still serve and send orders.
    [[nodiscard]] std::vector<host_id> hosts() const;
    [[nodiscard]] std::size_t host_count() const;
    /// All hosts that were registered at any moment of the last `time`, which is at most
    /// host_retention. Empty if registrations have not been followed for that long.
    [[nodiscard]] std::optional<std::vector<host_id>> hosts_seen_within(milliseconds time,
                                                                        monotonic_time now) const;
    /// Returns null if the host is not known.
    [[nodiscard]] const live_host* find_host(const host_id& name) const;
    /// Whether the store holds the registration of the host.
    [[nodiscard]] bool is_registered(const host_id& name) const;
    [[nodiscard]] bool has_leader() const;
    [[nodiscard]] const leader_term& term() const;
    /// Whether each part has been read at least once and a configuration is known.
    [[nodiscard]] bool is_complete() const;

    /// Whether a backend server may get a request that is not bound to a particular server.
    [[nodiscard]] bool takes_new_work(const server_record& record) const;
    /// Servers of a service that may get such a request. Servers whose entries are missing after a
    /// store outage are included only if at least half of all entries are missing: fewer missing
    /// entries mean that servers have left rather than that their entries lapsed.
    [[nodiscard]] std::vector<const server_record*>
    servers_for_new_work(const service_id& service) const;
    /// Servers of all services that take new work.
    [[nodiscard]] std::vector<const server_record*> servers_for_new_work() const;

private:
    struct host_record {
        live_host host;
        std::optional<monotonic_time> ended_at;
    };

    void apply_update(const configuration_update& update, std::vector<state_change>& out,
                      monotonic_time now);
    void apply_update(const server_update& update, std::vector<state_change>& out,
                      monotonic_time now);
    void apply_update(const server_removal& update, std::vector<state_change>& out,
                      monotonic_time now);
    void apply_update(const domain_update& update, std::vector<state_change>& out,
                      monotonic_time now);
    void apply_update(const key_table_update& update, std::vector<state_change>& out,
                      monotonic_time now);
    void apply_update(const host_update& update, std::vector<state_change>& out,
                      monotonic_time now);
    void apply_update(const host_removal& update, std::vector<state_change>& out,
                      monotonic_time now);
    void apply_update(const leader_update& update, std::vector<state_change>& out,
                      monotonic_time now);
    void apply_update(const term_update& update, std::vector<state_change>& out,
                      monotonic_time now);
    void apply_update(const crash_record_update& update, std::vector<state_change>& out,
                      monotonic_time now);
    void apply_update(const unreadable_item& update, std::vector<state_change>& out,
                      monotonic_time now);
    void apply_update(const ignored_item& update, std::vector<state_change>& out,
                      monotonic_time now);
    /// Whether an entry names a server of a service of the configuration, or one known already.
    [[nodiscard]] bool names_server(const server_entry& entry) const;
    void apply_set_aside(std::vector<state_change>& out, monotonic_time now);
    void remove_unlisted(store_part part, const std::vector<item_update>& updates,
                         std::vector<state_change>& out, monotonic_time now);

    server_directory directory;
    milliseconds return_grace;            ///< for what a restored store lacks
    std::vector<backend_server_id> ended; ///< servers removed by the current batch
    /// Entries of services that no configuration so far names. They change nothing else.
    std::map<backend_server_id, server_update> set_aside;
    std::shared_ptr<route_table> current_routes;
    std::map<service_id, key_table_update> tables;
    crash_record_update stored_crashes;
    std::set<failure_domain_id> domains_out;
    std::set<failure_domain_id> domains_unlisted; ///< missing in a restored store; still out
    monotonic_time restore_grace_until{};
    std::map<host_id, host_record> host_records;
    std::optional<monotonic_time> own_read_at; ///< when the own part was first read in full
    bool leader_present = false;
    leader_term current_term;
    std::set<std::string> reported_unreadable; ///< keys of malformed items
    std::set<store_part> parts_read;
};

} // namespace figreach::direct
