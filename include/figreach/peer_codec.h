#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "figreach/peer_message.h"

namespace figreach {

[[nodiscard]] std::string encode(const peer_message& message);

/// Empty when the bytes are no message, or one without a body that this version knows.
[[nodiscard]] std::optional<peer_message> decode_peer_message(std::string_view bytes);

} // namespace figreach
