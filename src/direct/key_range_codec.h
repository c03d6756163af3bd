#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include <google/protobuf/repeated_ptr_field.h>

#include "document.pb.h"
#include "figreach/direct/key_table.h"

namespace figreach::direct {

inline key_range to_range(const document::v1::KeyRange& in)
{
    return {.keys = {.first = in.first(), .last = in.last()},
            .owner = {in.owner()},
            .owner_lifetime = in.owner_lifetime(),
            .fence = in.fence(),
            .moving = in.moving(),
            .handover = in.handover()};
}

/// Returns an empty optional if a fence is not below `next_fence`.
inline std::optional<std::vector<key_range>>
to_ranges(const google::protobuf::RepeatedPtrField<document::v1::KeyRange>& in,
          std::uint64_t next_fence)
{
    std::vector<key_range> out;
    out.reserve(static_cast<std::size_t>(in.size()));
    for (const auto& range : in) {
        if (range.fence() >= next_fence) {
            return std::nullopt;
        }
        out.push_back(to_range(range));
    }
    return out;
}

inline void fill(document::v1::KeyRange& out, const key_range& range)
{
    out.set_first(range.keys.first);
    out.set_last(range.keys.last);
    out.set_owner(range.owner.value);
    out.set_owner_lifetime(range.owner_lifetime);
    out.set_fence(range.fence);
    out.set_moving(range.moving);
    out.set_handover(range.handover);
}

} // namespace figreach::direct
