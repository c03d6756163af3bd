#include "figreach/direct/owner_wait.h"

#include <algorithm>

namespace figreach::direct {

namespace {

constexpr milliseconds min_wait{400};
/// Bounds the requests that a host keeps waiting when many keys are away.
constexpr milliseconds max_wait{2000};

} // namespace

milliseconds longest_owner_wait(milliseconds latency_objective)
{
    return std::clamp(latency_objective, min_wait, max_wait);
}

} // namespace figreach::direct
