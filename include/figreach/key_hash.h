#pragma once

#include <cstdint>
#include <string_view>

namespace figreach {

/// Position of a key in the 64-bit hash space of its service.
using key_hash = std::uint64_t;

/// Hash of a key. It is identical on every host and in every version of figreach.
[[nodiscard]] key_hash hash_key(std::string_view key);

/// Weight of a candidate for an item in rendezvous hashing. The candidate with the highest weight
/// is chosen.
[[nodiscard]] std::uint64_t rendezvous_weight(std::string_view item, std::string_view candidate);

} // namespace figreach
