#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "figreach/direct/key_order.h"
#include "figreach/ids.h"

namespace figreach::direct {

/// A range of keys and the backend server that holds it.
struct key_range {
    key_span keys;
    backend_server_id owner; ///< empty: nobody
    std::uint64_t owner_lifetime = 0;
    std::uint64_t fence = 0;
    bool moving = false;  ///< is being taken from its owner
    std::string handover; ///< token of the former owner, for the present one; empty: none

    friend bool operator==(const key_range&, const key_range&) = default;
};

/// All keys of one service, as they lie in the store. Ranges are in order, do not overlap and
/// cover all keys.
struct key_table {
    service_id service;
    std::uint64_t next_fence = 1; ///< higher than any fence that was ever used
    std::vector<key_range> ranges;

    friend bool operator==(const key_table&, const key_table&) = default;
};

/// A table whose keys nobody holds.
[[nodiscard]] key_table make_key_table(service_id service);

/// Requires key < key_count.
[[nodiscard]] const key_range& range_of(const key_table& table, std::uint32_t key);

/// Whether the ranges are in order and cover all keys.
[[nodiscard]] bool covers_all_keys(const key_table& table);

} // namespace figreach::direct
