#pragma once

#include <optional>

#include "figreach/time.h"

namespace figreach::direct {

/// What decides whether a request may join the queue of its server.
struct admission_input {
    milliseconds wait{0};      ///< expected, until a slot is free
    milliseconds work{0};      ///< expected, once it has a slot
    milliseconds time_left{0}; ///< until the deadline
    bool queue_is_full = false;
};

/// By how much the wait is too long, so that the caller may come back after it. Nothing: the
/// request may be sent.
///
/// A request that would end after its deadline takes a slot from one that would end in time.
/// Without a queue it is sent in any case, since the expected work is only a mean. A full queue has
/// a place again when one more request is done; until then the server would refuse the request, or
/// reset its connection, after which nobody can say whether it ran.
[[nodiscard]] std::optional<milliseconds> excess_wait(const admission_input& question);

} // namespace figreach::direct
