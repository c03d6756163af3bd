#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "figreach/direct/key_order.h"
#include "figreach/ids.h"

namespace figreach::direct {

/// A range of keys and the backend server that owns it.
struct key_range {
    key_span keys;
    backend_server_id owner; ///< empty if the range has no owner
    std::uint64_t owner_lifetime = 0;
    std::uint64_t fence = 0;
    bool moving = false;  ///< the keys are being moved away from the owner
    std::string handover; ///< token from the previous to the current owner; may be empty

    friend bool operator==(const key_range&, const key_range&) = default;
};

/// Assignment of all keys of one service as stored. The ranges are sorted, do not overlap and cover
/// all keys.
struct key_table {
    service_id service;
    std::uint64_t next_fence = 1; ///< higher than any fence used so far
    std::vector<key_range> ranges;

    friend bool operator==(const key_table&, const key_table&) = default;
};

/// Returns a table whose keys have no owner.
[[nodiscard]] key_table make_key_table(service_id service);

/// Returns the range that contains a key. Requires key < key_count.
[[nodiscard]] const key_range& range_of(const key_table& table, std::uint32_t key);

/// Whether the ranges are sorted, do not overlap and cover all keys.
[[nodiscard]] bool covers_all_keys(const key_table& table);

} // namespace figreach::direct
