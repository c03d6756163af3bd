#pragma once

#include <limits>
#include <optional>
#include <string_view>

namespace figreach {

/// Parses a protobuf message. Empty if the bytes are malformed or too many for protobuf.
template <class Message>
std::optional<Message> parse_message(std::string_view bytes)
{
    constexpr std::size_t max_bytes = std::numeric_limits<int>::max();
    Message message;
    if (bytes.size() > max_bytes ||
        !message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return std::nullopt;
    }
    return message;
}

} // namespace figreach
