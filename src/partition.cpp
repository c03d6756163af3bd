#include "figreach/partition.h"

#include <algorithm>
#include <limits>
#include <set>

#include "figreach/document_codec.h"

namespace figreach {

std::size_t slice_index(const partition& document, key_hash hash)
{
    const auto after = std::ranges::upper_bound(document.slices, hash, {}, &slice::first);
    return static_cast<std::size_t>(after - document.slices.begin()) - 1;
}

key_hash last_hash(const partition& document, std::size_t index)
{
    const bool is_last = index + 1 == document.slices.size();
    return is_last ? std::numeric_limits<key_hash>::max() : document.slices[index + 1].first - 1;
}

const backend_server_id& owner_of(const partition& document, std::size_t index)
{
    return document.backend_servers[document.slices[index].owner];
}

std::string defect_of(const partition& document)
{
    if (document.slices.empty() || document.slices.front().first != 0) {
        return "slices do not begin at hash 0";
    }
    const auto not_ascending = [](const slice& left, const slice& right) {
        return left.first >= right.first;
    };
    if (std::ranges::adjacent_find(document.slices, not_ascending) != document.slices.end()) {
        return "slices are not in ascending order";
    }
    const auto count = document.backend_servers.size();
    const auto no_owner = [count](const slice& one) {
        return one.owner >= count || one.moving_to.value_or(0) >= count;
    };
    if (std::ranges::any_of(document.slices, no_owner)) {
        return "a slice names a backend server that is not listed";
    }
    const std::set<backend_server_id> names(document.backend_servers.begin(),
                                            document.backend_servers.end());
    if (names.size() != count) {
        return "a backend server is listed twice";
    }
    return {};
}

std::string store_key(const partition_id& id)
{
    return std::string{partition_prefix} + id.service.value + "/" + std::to_string(id.number);
}

} // namespace figreach
