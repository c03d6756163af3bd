#pragma once

#include "figreach/request_attempts.h"
#include "figreach/runtime/relay.h"
#include "figreach/server_gate.h"

namespace figreach {

// What the end of an exchange with an upstream means to those who wait for it.

/// To the gate of the backend server.
[[nodiscard]] gate_ending gate_ending_of(const relay_result& result);

/// To the state machine of the request; `replayable` tells whether it can be sent once more.
[[nodiscard]] attempt_event event_of(const relay_result& result, bool replayable);

/// To a slice that moves: whether the request is known to run no longer at the server.
[[nodiscard]] bool has_ended(const relay_result& result);

} // namespace figreach
