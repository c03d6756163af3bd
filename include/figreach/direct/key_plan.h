#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "figreach/direct/key_loads.h"
#include "figreach/direct/key_table.h"
#include "figreach/direct/server_queue.h"

namespace figreach::direct {

/// A backend server as the placement of keys sees it.
struct key_server {
    backend_server_id id;
    std::uint64_t lifetime = 0;
    std::string address;
    server_queue queue;
    bool takes_keys = true; ///< may be given keys; else its keys move away
    bool ended = false;     ///< for certain, so that it holds no keys
};

struct key_plan_settings {
    /// Keys move when the cost of a request at the new owner is below this part of that at the old
    /// one.
    double max_cost_ratio = 0.75;
    /// Keys go to the owner of the keys beside them, up to its part of all capacity, if that costs
    /// at most this much more.
    double max_neighbour_cost_ratio = 1.3;
    /// Standard deviations of a server's count of requests that are taken for chance.
    double noise_deviations = 2.0;
    /// Placement prepares for at least this utilization of all servers together.
    double min_utilization = 0.35;
    /// Each server has at least this part of an equal share, so that its state is known.
    double min_share = 0.1;
    double max_chunk_share = 0.25;        ///< most load that moves in one piece, of an equal share
    std::size_t min_moves_per_round = 12; ///< that may move in one round, and one for each server
    std::size_t ranges_per_server = 3;    ///< above which ranges are joined
    double idle_share = 0.02; ///< of an equal share; ranges with less move to join others
};

/// Keys that nobody holds, with the token of their former owner.
struct unowned_keys {
    key_span keys;
    std::string handover; ///< empty: none
};

struct key_placement {
    key_span keys;
    std::string handover;
    backend_server_id owner;
    std::uint64_t owner_lifetime = 0;
};

/// Keys to take from owners where requests cost much more than elsewhere, the densest first.
/// Answers hot keys, slow servers, and servers that joined empty.
[[nodiscard]] std::vector<key_span> keys_to_move(const key_table& table,
                                                 const std::vector<key_server>& servers,
                                                 const key_loads& loads,
                                                 const key_plan_settings& settings);

/// New owners for free keys: where one more request costs least, or the owner of the keys beside
/// them if it costs little more there. Nothing when no server takes keys.
[[nodiscard]] std::vector<key_placement> place_keys(const std::vector<unowned_keys>& free,
                                                    const key_table& table,
                                                    const std::vector<key_server>& servers,
                                                    const key_loads& loads,
                                                    const key_plan_settings& settings);

/// Spans of neighbouring ranges of one owner that may become one range.
[[nodiscard]] std::vector<key_span> ranges_to_join(const key_table& table,
                                                   const std::vector<key_server>& servers,
                                                   const key_plan_settings& settings);

/// Small idle ranges between keys of other owners, when there are too many ranges.
[[nodiscard]] std::vector<key_span> idle_ranges_to_move(const key_table& table,
                                                        const std::vector<key_server>& servers,
                                                        const key_loads& loads,
                                                        const key_plan_settings& settings);

} // namespace figreach::direct
