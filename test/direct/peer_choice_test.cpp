#include "figreach/direct/peer_choice.h"

#include <set>

#include "../property.h"

using namespace figreach;
using namespace figreach::direct;

namespace {

constexpr monotonic_time start{std::chrono::hours{1}};

/// Twelve hosts in three failure domains.
cluster_state make_cluster()
{
    cluster_state out{{}};
    std::vector<item_update> hosts;
    for (int i = 0; i < 12; ++i) {
        hosts.emplace_back(host_update{{.name = {"h" + std::to_string(i)},
                                        .lifetime = 1,
                                        .failure_domain = {std::string(1, "abc"[i % 3])}}});
    }
    (void)out.apply(store_part::own, hosts, true, start);
    return out;
}

} // namespace

TEST_GROUP(peer_choice_test){};

TEST(peer_choice_test, prefers_registered_hosts_in_the_domain_of_the_server)
{
    auto cluster = make_cluster();
    const auto before = order_peers("s1", {"b"}, cluster);
    CHECK_EQUAL(12, before.size());
    for (std::size_t i = 0; i < 4; ++i) {
        STRCMP_EQUAL("b", cluster.find_host(before[i])->failure_domain.value.c_str());
    }
    (void)cluster.apply(store_part::own, {host_removal{before.front()}}, false, start);
    auto after = order_peers("s1", {"b"}, cluster);
    CHECK_TRUE(after.back() == before.front());
    after.pop_back();
    CHECK_TRUE(std::equal(after.begin(), after.end(), before.begin() + 1));
}

TEST(peer_choice_test, spreads_servers_over_the_hosts_of_their_domain)
{
    const auto cluster = make_cluster();
    std::set<host_id> first;
    for (int i = 0; i < 100; ++i) {
        first.insert(order_peers("s" + std::to_string(i), {"a"}, cluster).front());
    }
    CHECK_EQUAL(4, first.size());
}
