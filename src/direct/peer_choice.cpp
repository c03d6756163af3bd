#include "figreach/direct/peer_choice.h"

#include <algorithm>
#include <cstdint>
#include <tuple>

#include "figreach/key_hash.h"

namespace figreach::direct {

std::vector<host_id> order_peers(const std::string& item, const failure_domain_id& domain,
                                 const cluster_state& cluster)
{
    struct ranked_host {
        std::tuple<bool, bool, std::uint64_t> rank;
        host_id name;
    };
    std::vector<ranked_host> ranked;
    for (const auto& name : cluster.hosts()) {
        const auto* host = cluster.find_host(name);
        const bool is_near = host != nullptr && host->failure_domain == domain;
        ranked.push_back(
            {.rank = {cluster.is_registered(name), is_near, rendezvous_weight(item, name.value)},
             .name = name});
    }
    std::sort(ranked.begin(), ranked.end(),
              [](const auto& left, const auto& right) { return left.rank > right.rank; });
    std::vector<host_id> out;
    out.reserve(ranked.size());
    for (auto& one : ranked) {
        out.push_back(std::move(one.name));
    }
    return out;
}

} // namespace figreach::direct
