#include "figreach/direct/admission.h"

#include <algorithm>

namespace figreach::direct {

std::optional<milliseconds> excess_wait(const admission_input& input)
{
    const auto allowed = std::max(input.time_left - input.service_time, milliseconds{0});
    if (input.wait > allowed) {
        return input.wait - allowed;
    }
    if (input.queue_is_full) {
        return input.service_time;
    }
    return std::nullopt;
}

} // namespace figreach::direct
