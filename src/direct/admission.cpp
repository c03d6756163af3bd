#include "figreach/direct/admission.h"

#include <algorithm>

namespace figreach::direct {

std::optional<milliseconds> excess_wait(const admission_input& question)
{
    const auto allowed = std::max(question.time_left - question.service_time, milliseconds{0});
    if (question.wait > allowed) {
        return question.wait - allowed;
    }
    if (question.queue_is_full) {
        return question.service_time;
    }
    return std::nullopt;
}

} // namespace figreach::direct
