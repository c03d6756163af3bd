#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "figreach/direct/key_table.h"
#include "figreach/direct/store_revision.h"

namespace figreach::direct {

/// Difference between two versions of a table, usually a few of its hundreds of ranges.
struct key_table_delta {
    service_id service;
    store_revision base_revision; ///< store revision of the older version
    std::uint64_t next_fence = 0;
    std::vector<key_range> changed; ///< ranges of the newer version that the older one lacks

    friend bool operator==(const key_table_delta&, const key_table_delta&) = default;
};

[[nodiscard]] key_table_delta make_delta(const key_table& older, store_revision older_revision,
                                         const key_table& newer);

/// Returns the newer version, or an empty optional if the delta does not belong to this table.
[[nodiscard]] std::optional<key_table> apply_delta(const key_table& older,
                                                   const key_table_delta& delta);

[[nodiscard]] std::string encode(const key_table_delta& delta);
/// Returns an empty optional if the bytes are malformed. The delta is of the era `era`.
[[nodiscard]] std::optional<key_table_delta> decode_key_table_delta(std::string_view bytes,
                                                                    store_era era);

} // namespace figreach::direct
