#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace figreach::direct {

/// SHA-256 digest of an API key. Keys themselves are neither stored nor logged.
struct api_key_digest {
    static constexpr std::size_t size = 32;

    std::array<std::uint8_t, size> bytes{};

    friend auto operator<=>(const api_key_digest&, const api_key_digest&) = default;
};

[[nodiscard]] api_key_digest digest_of_key(std::string_view key);

} // namespace figreach::direct
