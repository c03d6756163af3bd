#include "figreach/direct/peer_choice.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <tuple>
#include <utility>

#include "figreach/key_hash.h"

namespace figreach::direct {

namespace {

/// The probability that a host has the highest weight is proportional to its processor share.
double weighted_hash(const std::string& item, const host_id& name, std::uint32_t processor_percent)
{
    constexpr double hashes = 18446744073709551616.0; // 2^64
    const auto fraction = (static_cast<double>(rendezvous_weight(item, name.value)) + 0.5) / hashes;
    return std::max(processor_percent, 1U) / -std::log(std::min(fraction, 1.0 - 1e-12));
}

std::vector<host_id> order_hosts(const std::string& item, const failure_domain_id* domain,
                                 const cluster_state& cluster)
{
    struct ranked_host {
        std::tuple<bool, bool, double> rank;
        host_id name;
    };
    std::vector<ranked_host> ranked;
    for (auto& name : cluster.hosts()) {
        const auto* host = cluster.find_host(name);
        const bool is_near =
            domain != nullptr && host != nullptr && host->failure_domain == *domain;
        const auto processor = host != nullptr ? host->processor_percent : 1U;
        const std::tuple rank{cluster.is_registered(name), is_near,
                              weighted_hash(item, name, processor)};
        ranked.push_back({.rank = rank, .name = std::move(name)});
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

} // namespace

std::vector<host_id> order_senders(const backend_server_id& server, const failure_domain_id& domain,
                                   const cluster_state& cluster)
{
    return order_hosts(server.value, &domain, cluster);
}

std::vector<host_id> order_helpers(const std::string& request_id, const cluster_state& cluster)
{
    return order_hosts(request_id, nullptr, cluster);
}

std::vector<host_id> order_store_readers(const failure_domain_id& near,
                                         const cluster_state& cluster)
{
    const auto rank = [](const live_host& host) {
        return std::pair{host.processor_percent,
                         rendezvous_weight("store_reader", host.name.value)};
    };
    std::map<failure_domain_id, const live_host*> first;
    for (const auto& name : cluster.hosts()) {
        const auto* host = cluster.find_host(name);
        if (name == cluster.term().host || !cluster.is_registered(name)) {
            continue;
        }
        auto& best = first[host->failure_domain];
        best = best == nullptr || rank(*host) > rank(*best) ? host : best;
    }
    std::vector<host_id> out;
    for (const auto& [domain, host] : first) {
        out.insert(domain == near ? out.begin() : out.end(), host->name);
    }
    return out;
}

} // namespace figreach::direct
