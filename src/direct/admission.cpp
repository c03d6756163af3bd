#include "figreach/direct/admission.h"

#include <algorithm>

namespace figreach::direct {

std::optional<milliseconds> excess_wait(const admission_input& question)
{
    const auto allowed = std::max(question.time_left - question.work, milliseconds{0});
    if (question.wait > allowed) {
        return question.wait - allowed;
    }
    if (question.queue_is_full) {
        return question.work;
    }
    return std::nullopt;
}

} // namespace figreach::direct
