#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "figreach/peer_message.h"

namespace figreach {

/// Serializes a message as a figreach.peer.v1.Envelope.
[[nodiscard]] std::string encode(const peer_message& message);

/// Returns nullopt if the bytes are not a valid message, or the message has no sender or no body
/// that this version knows. Unknown fields are ignored.
[[nodiscard]] std::optional<peer_message> decode_peer_message(std::string_view bytes);

} // namespace figreach
