#include "figreach/direct/admission.h"

#include <algorithm>

namespace figreach::direct {

namespace {

constexpr double nearly_full = 0.75;

/// Probability that a request is kept away from the queue.
double refused_share(double queue_fill)
{
    return std::clamp((queue_fill - nearly_full) / (1.0 - nearly_full), 0.0, 1.0);
}

} // namespace

std::optional<milliseconds> excess_wait(const admission_input& input)
{
    const auto allowed = std::max(input.time_left - input.service_time, milliseconds{0});
    if (input.wait > allowed) {
        return input.wait - allowed;
    }
    if (input.draw < refused_share(input.queue_fill)) {
        return input.service_time;
    }
    return std::nullopt;
}

} // namespace figreach::direct
