#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "figreach/direct/cluster_state.h"
#include "figreach/direct/service_time_sample.h"
#include "figreach/direct/store.h"
#include "figreach/time.h"

namespace figreach::direct {

/// Up to which revision each part of the store is known.
using part_positions = std::map<store_part, std::int64_t>;

/// Requests for one key that one host has seen.
struct key_load_entry {
    service_id service;
    std::uint32_t key = 0;
    std::uint32_t requests = 0;

    friend bool operator==(const key_load_entry&, const key_load_entry&) = default;
};

/// A host asks the leading one for changes, and tells what it saw since the last call.
struct follow_request {
    host_id host;
    part_positions positions;
    std::vector<key_load_entry> loads;
    std::vector<service_time_sample> paces;
    std::vector<server_load> server_loads;
};

struct part_changes {
    store_part part = store_part::own;
    store_changes changes;
};

struct follow_answer {
    std::vector<part_changes> parts;
    std::vector<server_load> server_loads; ///< the newest that all hosts have seen
};

/// Who leads, as a host that does not lead believes.
struct leader_hint {
    std::uint64_t term = 0;
    host_id host;
    std::string peer_address;

    friend bool operator==(const leader_hint&, const leader_hint&) = default;
};

struct transferred_table {
    key_table table;
    std::int64_t revision = 0; ///< in the store

    friend bool operator==(const transferred_table&, const transferred_table&) = default;
};

/// What a leading host that stops hands to another one, so that orders go on without the store.
struct leadership_transfer {
    std::uint64_t term = 0;
    std::int64_t lease = 0;
    std::int64_t term_revision = 0;
    milliseconds authority{0};     ///< for which grants may still be renewed without the store
    milliseconds former_orders{0}; ///< for which earlier leaders' grants may still run
    std::vector<transferred_table> tables;

    friend bool operator==(const leadership_transfer&, const leadership_transfer&) = default;
};

[[nodiscard]] std::string encode(const follow_request& request);
[[nodiscard]] std::string encode(const follow_answer& answer);
[[nodiscard]] std::string encode(const leader_hint& hint);
[[nodiscard]] std::string encode(const leadership_transfer& offer);
// Empty: the bytes cannot be read.
[[nodiscard]] std::optional<follow_request> decode_follow_request(std::string_view bytes);
[[nodiscard]] std::optional<follow_answer> decode_follow_answer(std::string_view bytes);
[[nodiscard]] std::optional<leader_hint> decode_leader_hint(std::string_view bytes);
[[nodiscard]] std::optional<leadership_transfer> decode_leadership_transfer(std::string_view bytes);

/// Which changes a log keeps.
enum class kept_changes : std::uint8_t {
    all,
    newest_of_each_key, ///< for items of which each version stands for itself
};

/// The changes without those that a later one of the same key replaces.
[[nodiscard]] store_changes newest_of_each_key(store_changes changes);

/// The recent changes of one part of the store, for hosts that follow.
class change_log {
public:
    explicit change_log(kept_changes kept = kept_changes::all);

    /// Begins anew from a snapshot.
    void restart(std::int64_t revision, monotonic_time now);
    /// Adds changes that were read up to a revision. Earlier ones are ignored.
    void add(const store_changes& more, monotonic_time now);

    /// All changes after a revision. Nothing: some of them are not kept, or the log has not been
    /// confirmed since `confirmed_after`.
    [[nodiscard]] std::optional<store_changes> after(std::int64_t revision,
                                                     monotonic_time confirmed_after) const;

private:
    [[nodiscard]] std::deque<store_change>::const_iterator first_after(std::int64_t revision) const;

    kept_changes kept;
    std::deque<store_change> changes; ///< by rising revision
    std::int64_t floor = 0;           ///< changes after it are kept
    std::int64_t position = 0;        ///< changes up to it are known
    std::optional<monotonic_time> confirmed_at;
};

} // namespace figreach::direct
