#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "figreach/direct/cluster_state.h"
#include "figreach/direct/crash_report.h"
#include "figreach/direct/service_time_sample.h"
#include "figreach/direct/store.h"
#include "figreach/time.h"

namespace figreach::direct {

/// The revision up to which each part of the store is known.
using part_positions = std::map<store_part, store_revision>;

/// Number of requests for one key that one host has observed.
struct key_load_entry {
    service_id service;
    std::uint32_t key = 0;
    std::uint32_t requests = 0;

    friend bool operator==(const key_load_entry&, const key_load_entry&) = default;
};

/// Asks the leader for store changes and reports the load observed since the last call.
struct follow_request {
    host_id host;
    part_positions positions;
    std::vector<key_load_entry> loads;
    std::vector<service_time_sample> service_times;
    std::vector<server_load> server_loads;
    std::vector<rate_limit_report> rate_limits;
    std::vector<leaving_report> leaving = {};
    std::vector<crash_report> crashes; ///< seen by this host and not told yet
    store_era era{};                   ///< the latest that the host knows
    bool wants_listing = false;    ///< of the parts that it knows in an earlier era than the leader
    std::uint64_t load_cursor = 0; ///< of this leader's last answer; 0 asks for all server loads
};

struct part_changes {
    store_part part = store_part::own;
    store_changes changes;
};

struct follow_answer {
    std::vector<part_changes> parts;
    std::vector<server_load> server_loads;      ///< news from all hosts since the request's cursor
    std::vector<rate_limit_report> rate_limits; ///< the latest known to any host
    std::vector<leaving_report> leaving = {};   ///< heard by any host
    std::vector<crash_report> crashes;          ///< known to any host
    store_era era{};                            ///< the latest that the leader knows
    std::uint64_t load_cursor = 0;              ///< `server_loads` holds all news up to here
    /// For how long missing entries may still come back after an outage of the store.
    milliseconds return_left{0};
    /// From the latest confirmation of the configuration to the arrival of the request; negative if
    /// it was confirmed while the request waited. Empty if unknown.
    std::optional<milliseconds> configuration_age = std::nullopt;
    /// Whether `crashes` includes what the store holds of requests that crash servers.
    bool has_crash_record = false;
};

/// The leader as known to a host that is not the leader itself.
struct leader_hint {
    std::uint64_t term = 0;
    host_id host;
    std::string peer_address;

    friend bool operator==(const leader_hint&, const leader_hint&) = default;
};

struct transferred_table {
    key_table table;
    store_revision revision; ///< store revision of the table

    friend bool operator==(const transferred_table&, const transferred_table&) = default;
};

/// State that a stopping leader transfers to its successor, so that orders continue while the store
/// is unavailable.
struct leadership_transfer {
    std::uint64_t term = 0;
    store_lease lease;
    store_revision term_revision;
    milliseconds authority{0};     ///< how long grants may be renewed without the store
    milliseconds former_orders{0}; ///< how long grants of earlier leaders may still be valid
    std::vector<transferred_table> tables;

    friend bool operator==(const leadership_transfer&, const leadership_transfer&) = default;
};

[[nodiscard]] std::string encode(const follow_request& request);
[[nodiscard]] std::string encode(const follow_answer& answer);
[[nodiscard]] std::string encode(const leader_hint& hint);
[[nodiscard]] std::string encode(const leadership_transfer& offer);
// These return an empty optional if the bytes are malformed.
[[nodiscard]] std::optional<follow_request> decode_follow_request(std::string_view bytes);
[[nodiscard]] std::optional<follow_answer> decode_follow_answer(std::string_view bytes);
[[nodiscard]] std::optional<leader_hint> decode_leader_hint(std::string_view bytes);
[[nodiscard]] std::optional<leadership_transfer> decode_leadership_transfer(std::string_view bytes);

/// Which changes a change_log retains.
enum class kept_changes : std::uint8_t {
    all,
    newest_of_each_key, ///< for items whose versions do not build on each other
};

/// Drops changes that a later change of the same key supersedes.
[[nodiscard]] store_changes newest_of_each_key(store_changes changes);

/// Recent changes of one part of the store, served to followers.
class change_log {
public:
    explicit change_log(kept_changes kept = kept_changes::all);

    /// Clears the log and starts from a snapshot.
    void restart(const store_snapshot& snapshot, monotonic_time now);
    /// Appends the changes up to `more.revision`. Changes that are already known are ignored.
    void add(const store_changes& more, monotonic_time now);

    /// Returns all changes after a revision, or an empty optional if some of them are no longer
    /// retained or the log has not been confirmed since `confirmed_after`. A host that wants one
    /// gets a full listing instead if it knows nothing (number 0) or a revision of an earlier era;
    /// without it, an earlier era gets no changes yet. In a listing, an item whose last change was
    /// partial is marked so, and its value has to be filled in.
    [[nodiscard]] std::optional<store_changes>
    after(store_revision revision, monotonic_time confirmed_after, bool wants_listing) const;
    /// The changes that lead from what the log holds to a later snapshot of the same era; of
    /// several changes of an item only the last one.
    [[nodiscard]] store_changes changes_to(const store_snapshot& later) const;
    /// When the log was last known to be complete; empty if never.
    [[nodiscard]] std::optional<monotonic_time> last_confirmed() const;

private:
    [[nodiscard]] store_changes listing() const;
    [[nodiscard]] std::deque<store_change>::const_iterator
    first_after(store_revision revision) const;

    kept_changes kept;
    std::deque<store_change> changes;            ///< sorted by revision
    std::map<std::string, store_change> current; ///< last change of each present item
    store_revision floor;                        ///< all changes after this revision are retained
    store_revision position;                     ///< all changes up to this revision are known
    std::optional<monotonic_time> confirmed_at;
};

} // namespace figreach::direct
