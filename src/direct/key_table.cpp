#include "figreach/direct/key_table.h"

#include <algorithm>
#include <utility>

namespace figreach::direct {

key_table make_key_table(service_id service)
{
    return {.service = std::move(service),
            .next_fence = 1,
            .ranges = {{.keys = {.first = 0, .last = key_count - 1}}}};
}

const key_range& range_of(const key_table& table, std::uint32_t key)
{
    const auto after = std::upper_bound(
        table.ranges.begin(), table.ranges.end(), key,
        [](std::uint32_t sought, const key_range& one) { return sought < one.keys.first; });
    return *(after - 1);
}

bool covers_all_keys(const key_table& table)
{
    std::uint32_t expected = 0;
    for (const auto& range : table.ranges) {
        if (range.keys.first != expected || range.keys.last < range.keys.first ||
            range.keys.last >= key_count) {
            return false;
        }
        expected = range.keys.last + 1;
    }
    return expected == key_count;
}

} // namespace figreach::direct
