#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>

namespace figreach::direct {

/// Cost of sending to the server with the given index; empty if the request cannot go there.
using candidate_cost = std::function<std::optional<double>(std::size_t)>;

/// Draws servers at random until two of them can take the request, and returns the cheaper one
/// (power of two choices). The number of draws is bounded, so the work does not grow with the
/// number of servers. Empty if fewer than two of the drawn servers can take it; others still may.
[[nodiscard]] std::optional<std::size_t>
draw_cheaper_of_two(std::size_t servers, std::uint64_t& random_state, const candidate_cost& cost);

} // namespace figreach::direct
