#pragma once

#include <optional>

#include "figreach/time.h"

namespace figreach::direct {

/// Input of the decision whether a request may join the queue of its server.
struct admission_input {
    milliseconds wait{0};         ///< expected time until a slot is free
    milliseconds service_time{0}; ///< expected service time in the slot
    milliseconds time_left{0};    ///< until the deadline
    double queue_fill = 0.0;      ///< 1: as long as when the server turned a request away
    double draw = 0.0;            ///< random, from 0 to below 1; new for each request
};

/// Returns how much too long the wait is, which the caller may use as a retry delay, or an empty
/// optional if the request may be sent.
///
/// A request that would finish after its deadline takes a slot from one that would finish in time.
/// Without a queue the request is always sent, since the expected service time is only a mean. A
/// full queue accepts a request again after one more request is done; until then the server would
/// refuse the request or reset its connection, which leaves unknown whether the request ran. Many
/// hosts learn of free places at the same time, so a queue that is nearly full takes only a share
/// of the requests (random early detection).
[[nodiscard]] std::optional<milliseconds> excess_wait(const admission_input& input);

} // namespace figreach::direct
