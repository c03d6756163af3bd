#pragma once

#include "figreach/request_attempts.h"
#include "figreach/runtime/relay.h"
#include "figreach/server_gate.h"

namespace figreach {

// Conversions from the result of a relayed request.

/// The result as reported to the gate of the backend server.
[[nodiscard]] gate_ending gate_ending_of(const relay_result& result);

/// The result as an event for the request's state machine; `replayable`: the request can be sent
/// again.
[[nodiscard]] attempt_event event_of(const relay_result& result, bool replayable);

/// Whether the request is known not to be running at the server any more. A moving slice waits for
/// this.
[[nodiscard]] bool has_ended(const relay_result& result);

} // namespace figreach
