#include "figreach/direct/key_table_delta.h"

#include <algorithm>
#include <utility>

#include "../parse_message.h"
#include "key_range_codec.h"

namespace figreach::direct {

namespace {

namespace wire = document::v1;

bool starts_before(const key_range& left, const key_range& right)
{
    return left.keys.first < right.keys.first;
}

} // namespace

key_table_delta make_delta(const key_table& older, store_revision older_revision,
                           const key_table& newer)
{
    key_table_delta out{.service = newer.service,
                        .base_revision = older_revision,
                        .next_fence = newer.next_fence,
                        .changed = {}};
    auto known = older.ranges.begin();
    for (const auto& range : newer.ranges) {
        known = std::lower_bound(known, older.ranges.end(), range, starts_before);
        if (known == older.ranges.end() || *known != range) {
            out.changed.push_back(range);
        }
    }
    return out;
}

std::optional<key_table> apply_delta(const key_table& older, const key_table_delta& delta)
{
    if (older.service != delta.service) {
        return std::nullopt;
    }
    key_table out{
        .service = older.service, .next_fence = delta.next_fence, .ranges = delta.changed};
    for (const auto& range : older.ranges) {
        const bool replaced =
            std::any_of(delta.changed.begin(), delta.changed.end(), [&range](const auto& one) {
                return one.keys.first <= range.keys.last && one.keys.last >= range.keys.first;
            });
        if (!replaced) {
            out.ranges.push_back(range);
        }
    }
    std::sort(out.ranges.begin(), out.ranges.end(), starts_before);
    return covers_all_keys(out) ? std::optional{std::move(out)} : std::nullopt;
}

std::string encode(const key_table_delta& delta)
{
    wire::KeyTableDelta out;
    out.set_service(delta.service.value);
    out.set_base_revision(delta.base_revision.number().value);
    out.set_next_fence(delta.next_fence);
    for (const auto& range : delta.changed) {
        fill(*out.add_changed(), range);
    }
    return out.SerializeAsString();
}

std::optional<key_table_delta> decode_key_table_delta(std::string_view bytes, store_era era)
{
    const auto in = parse_message<wire::KeyTableDelta>(bytes);
    if (!in) {
        return std::nullopt;
    }
    auto changed = to_ranges(in->changed(), in->next_fence());
    if (!changed) {
        return std::nullopt;
    }
    return key_table_delta{.service = {in->service()},
                           .base_revision = {era, in->base_revision()},
                           .next_fence = in->next_fence(),
                           .changed = std::move(*changed)};
}

} // namespace figreach::direct
