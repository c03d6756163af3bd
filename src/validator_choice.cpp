#include "figreach/validator_choice.h"

#include <algorithm>
#include <map>
#include <utility>

#include "figreach/key_hash.h"

namespace figreach {

namespace {

constexpr std::size_t large_set_size = 5;
constexpr std::size_t small_set_size = 3;

std::size_t validator_count(std::size_t hosts)
{
    if (hosts >= large_set_size) {
        return large_set_size;
    }
    return hosts >= small_set_size ? small_set_size : std::min<std::size_t>(hosts, 1);
}

} // namespace

std::vector<host_id> by_preference(const std::string& item, const std::vector<host_state>& hosts)
{
    std::vector<std::pair<std::uint64_t, host_id>> weighted;
    weighted.reserve(hosts.size());
    for (const auto& host : hosts) {
        weighted.emplace_back(rendezvous_weight(item, host.host.value), host.host);
    }
    std::ranges::sort(weighted, std::ranges::greater{});
    std::vector<host_id> out;
    out.reserve(weighted.size());
    for (auto& [weight, host] : weighted) {
        out.push_back(std::move(host));
    }
    return out;
}

std::vector<host_id> choose_validators(const partition_id& id, const std::vector<host_state>& hosts)
{
    std::map<host_id, failure_domain_id> domain_of;
    for (const auto& host : hosts) {
        domain_of[host.host] = host.failure_domain;
    }
    auto candidates = by_preference(store_key(id), hosts);
    const auto wanted = validator_count(candidates.size());
    std::map<failure_domain_id, std::size_t> chosen_in;
    std::vector<host_id> out;
    while (out.size() < wanted) {
        const auto fewer_chosen = [&](const host_id& left, const host_id& right) {
            return chosen_in[domain_of[left]] < chosen_in[domain_of[right]];
        };
        const auto next = std::ranges::min_element(candidates, fewer_chosen);
        ++chosen_in[domain_of[*next]];
        out.push_back(*next);
        candidates.erase(next);
    }
    return out;
}

host_id preferred_in_domain(const std::string& item, const failure_domain_id& failure_domain,
                            const std::vector<host_state>& hosts)
{
    const host_state* best = nullptr;
    std::pair<bool, std::uint64_t> best_rank;
    for (const auto& host : hosts) {
        const std::pair rank{host.failure_domain == failure_domain,
                             rendezvous_weight(item, host.host.value)};
        if (best == nullptr || rank > best_rank) {
            best = &host;
            best_rank = rank;
        }
    }
    return best == nullptr ? host_id{} : best->host;
}

} // namespace figreach
