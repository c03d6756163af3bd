#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "figreach/direct/key_loads.h"
#include "figreach/direct/key_table.h"
#include "figreach/direct/server_queue.h"

namespace figreach::direct {

/// Properties of a backend server that the placement of keys depends on.
struct key_server {
    backend_server_id id;
    std::uint64_t lifetime = 0;
    std::string address;
    server_queue queue;
    bool takes_keys = true; ///< if false, its keys move to other servers
    /// Another server has registered at its address later. It has ended unless it answers there.
    bool address_claimed = false;
};

struct key_plan_settings {
    /// Keys move if the marginal cost of a request at the new owner is below this fraction of the
    /// cost at the old owner.
    double max_cost_ratio = 0.75;
    /// Keys go to the owner of the adjacent keys if the cost there is below this multiple of the
    /// minimum and the owner stays within its share of the total capacity.
    double max_neighbour_cost_ratio = 1.3;
    /// Standard deviations of a server's request count that are treated as random variation.
    double noise_deviations = 2.0;
    /// Placement assumes at least this utilization of all servers together.
    double min_utilization = 0.35;
    /// Each server keeps at least this fraction of an equal share, so that its state is observed.
    double min_share = 0.1;
    double max_chunk_share = 0.25; ///< maximum load of a chunk, as a fraction of an equal share
    std::size_t min_moves_per_round = 12; ///< move limit of a round, or one per server if more
    std::size_t ranges_per_server = 3;    ///< ranges are merged above this average
    double idle_share = 0.02;             ///< fraction of an equal share; ranges below it are idle
};

/// Keys without an owner, with the handover token of the previous owner.
struct unowned_keys {
    key_span keys;
    std::string handover; ///< empty if there is none
};

struct key_placement {
    key_span keys;
    std::string handover;
    backend_server_id owner;
    std::uint64_t owner_lifetime = 0;
};

/// Selects keys to move away from owners whose marginal cost is much higher than elsewhere, in
/// order of decreasing load density. Handles hot keys, slow servers and servers that joined without
/// keys.
[[nodiscard]] std::vector<key_span> keys_to_move(const key_table& table,
                                                 const std::vector<key_server>& servers,
                                                 const key_loads& loads,
                                                 const key_plan_settings& settings);

/// Assigns unowned keys to the server with the lowest marginal cost, or to the owner of the
/// adjacent keys if the cost there is only slightly higher. Returns nothing if no server takes
/// keys.
[[nodiscard]] std::vector<key_placement> place_keys(const std::vector<unowned_keys>& free,
                                                    const key_table& table,
                                                    const std::vector<key_server>& servers,
                                                    const key_loads& loads,
                                                    const key_plan_settings& settings);

/// Returns spans of adjacent ranges of one owner that can be merged into one range.
[[nodiscard]] std::vector<key_span> ranges_to_join(const key_table& table,
                                                   const std::vector<key_server>& servers,
                                                   const key_plan_settings& settings);

/// Returns idle ranges to move to the owners of adjacent keys when there are too many ranges.
[[nodiscard]] std::vector<key_span> idle_ranges_to_move(const key_table& table,
                                                        const std::vector<key_server>& servers,
                                                        const key_loads& loads,
                                                        const key_plan_settings& settings);

} // namespace figreach::direct
