#include "figreach/direct/placement/server_sample.h"

#include "figreach/retry_budget.h"

namespace figreach::direct {

namespace {

/// If half of the servers can take the request, two are found in 96 of 100 choices.
constexpr std::size_t max_draws = 8;

} // namespace

std::optional<std::size_t> draw_cheaper_of_two(std::size_t servers, std::uint64_t& random_state,
                                               const candidate_cost& cost)
{
    std::optional<std::size_t> best;
    double best_cost = 0.0;
    constexpr int wanted = 2;
    int found = 0;
    for (std::size_t draw = 0; draw < max_draws && servers > 0 && found < wanted; ++draw) {
        const auto index = next_random(random_state) % servers;
        const auto own = cost(index);
        if (!own) {
            continue;
        }
        ++found;
        if (!best || *own < best_cost) {
            best = index;
            best_cost = *own;
        }
    }
    // A single one would be no choice, and loads are uneven just when few servers are left.
    return found == wanted ? best : std::nullopt;
}

} // namespace figreach::direct
