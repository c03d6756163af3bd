#include "figreach/routing.h"

namespace figreach {

partition_id partition_of(const service& service, key_hash hash)
{
    // The partition uses other bits of the hash than the slice, so that both are evenly
    // distributed.
    constexpr std::uint64_t odd_multiplier = 0x9e3779b97f4a7c15ULL;
    constexpr unsigned high_half = 32;
    const auto mixed = (hash * odd_multiplier) >> high_half;
    const auto number = static_cast<std::uint32_t>(mixed % service.partitions);
    return {.service = service.name, .number = number};
}

route find_route(const routing_snapshot& snapshot, const service& service, std::string_view key)
{
    route out;
    out.hash = hash_key(key);
    const auto found = snapshot.partitions.find(partition_of(service, out.hash));
    if (found == snapshot.partitions.end()) {
        return out;
    }
    out.document = found->second.get();
    out.slice = slice_index(*out.document, out.hash);
    out.fence = out.document->slices[out.slice].fence;
    if (out.document->slices[out.slice].moving_to) {
        return out;
    }
    const auto server = snapshot.servers.find(owner_of(*out.document, out.slice));
    if (server != snapshot.servers.end()) {
        out.server = &server->second;
    }
    return out;
}

} // namespace figreach
