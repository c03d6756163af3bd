#include "figreach/membership.h"

#include <set>

#include "fake_network.h"
#include "property.h"

using namespace figreach;

namespace {

constexpr std::size_t cluster_size = 12;
constexpr std::uint64_t seed = 20261203;
constexpr seconds timeout{30};

fake_network converged_network(std::size_t count, fake_network::settings settings = {},
                               std::uint64_t with_seed = seed)
{
    fake_network out{count, settings, with_seed};
    out.run_until([&out] { return out.is_converged(); }, timeout);
    return out;
}

bool is_seen_dead(const fake_network& network, std::size_t number, std::size_t hosts)
{
    for (std::size_t i = 0; i < hosts; ++i) {
        if (i != number && network.sees(i, number)) {
            return false;
        }
    }
    return true;
}

} // namespace

TEST_GROUP(membership_test){};

TEST(membership_test, hosts_that_start_together_find_each_other)
{
    for (const std::size_t count : {1, 2, 3, 12, 40}) {
        fake_network network{count, {}, seed};
        const auto took = network.run_until([&network] { return network.is_converged(); }, timeout);
        CHECK_TRUE(took < seconds{4});
    }
}

TEST(membership_test, a_new_host_knows_all_hosts_within_a_second)
{
    auto network = converged_network(cluster_size);
    network.add();
    const auto knows_all = [&network] {
        return network.at(cluster_size).live_hosts(network.now()).size() == cluster_size + 1;
    };
    CHECK_TRUE(network.run_until(knows_all, timeout) <= seconds{1});
}

TEST(membership_test, a_lost_host_is_dead_everywhere_within_a_bound)
{
    constexpr milliseconds bound{2000};
    constexpr milliseconds mean_bound{1300};
    milliseconds total{0};
    for (std::size_t lost = 0; lost < cluster_size; ++lost) {
        auto network = converged_network(cluster_size, {}, seed + lost);
        network.run(seconds{3});
        network.stop(lost);
        const auto took = network.run_until(
            [&network, lost] { return is_seen_dead(network, lost, cluster_size); }, timeout);
        CHECK_TRUE(took <= bound);
        total += took;
    }
    CHECK_TRUE(total / cluster_size <= mean_bound);
}

TEST(membership_test, a_host_that_restarts_at_its_address_is_live_again)
{
    auto network = converged_network(cluster_size);
    network.stop(5);
    network.run(seconds{5});
    CHECK_FALSE(network.sees(3, 5));
    network.restart(5);
    const auto took = network.run_until([&network] { return network.is_converged(); }, timeout);
    CHECK_TRUE(took <= seconds{2});
}

TEST(membership_test, a_host_that_restarts_before_it_was_missed_is_known_by_its_new_incarnation)
{
    auto network = converged_network(cluster_size);
    network.restart(5);
    network.run(seconds{2});
    for (const auto& state : network.at(3).live_hosts(network.now())) {
        if (state.host == fake_network::name(5)) {
            CHECK_TRUE(state.incarnation >= 2000);
        }
    }
    CHECK_TRUE(network.is_converged());
}

TEST(membership_test, a_leaving_host_is_not_live_but_stays_known)
{
    auto network = converged_network(cluster_size);
    network.at(4).leave();
    network.run(seconds{3});
    CHECK_TRUE(is_seen_dead(network, 4, cluster_size));
    CHECK_FALSE(network.sees(4, 4));
    for (const auto& state : network.at(2).known_hosts()) {
        const bool leaves = state.host == fake_network::name(4);
        CHECK_TRUE(state.state == (leaves ? host_liveness::leaving : host_liveness::alive));
    }
}

TEST(membership_test, a_paused_host_is_dead_and_comes_back_without_declaring_others_dead)
{
    auto network = converged_network(cluster_size);
    network.pause(7);
    network.run(seconds{5});
    CHECK_TRUE(is_seen_dead(network, 7, cluster_size));
    network.resume(7);
    for (int i = 0; i < 30; ++i) {
        network.run(milliseconds{100});
        LONGS_EQUAL(cluster_size, network.at(7).live_hosts(network.now()).size());
    }
    CHECK_TRUE(network.is_converged());
}

TEST(membership_test, a_one_way_cut_between_two_hosts_kills_neither)
{
    auto network = converged_network(cluster_size);
    network.set_reachability([](std::size_t from, std::size_t to) { return from != 2 || to != 9; });
    for (int i = 0; i < 100; ++i) {
        network.run(milliseconds{200});
        CHECK_TRUE(network.is_converged());
    }
}

TEST(membership_test, a_lossy_network_does_not_kill_hosts)
{
    fake_network::settings settings;
    settings.loss_percent = 5;
    auto network = converged_network(cluster_size, settings);
    for (int i = 0; i < 300; ++i) {
        network.run(milliseconds{200});
        CHECK_TRUE(network.is_converged());
    }
}

TEST(membership_test, a_cut_that_heals_after_an_hour_leaves_no_live_host_dead)
{
    fake_network::settings settings;
    settings.step = milliseconds{50};
    auto network = converged_network(cluster_size, settings);
    network.set_reachability(
        [](std::size_t from, std::size_t to) { return (from < 4) == (to < 4); });
    network.run(seconds{10});
    CHECK_TRUE(is_seen_dead(network, 0, 0) && !network.sees(0, 8) && !network.sees(8, 0));
    network.run(std::chrono::hours{1});
    network.set_reachability({});
    const auto took = network.run_until([&network] { return network.is_converged(); }, timeout);
    CHECK_TRUE(took <= seconds{5});
}

TEST(membership_test, seeds_heal_a_cut_longer_than_the_memory_of_dead_hosts)
{
    fake_network::settings settings;
    settings.membership.forget_after = std::chrono::hours{0};
    auto network = converged_network(cluster_size, settings);
    network.set_reachability(
        [](std::size_t from, std::size_t to) { return (from < 4) == (to < 4); });
    network.run(seconds{20});
    network.set_reachability({});
    const auto took = network.run_until([&network] { return network.is_converged(); }, timeout);
    CHECK_TRUE(took <= seconds{10});
}

TEST(membership_test, news_of_the_caller_is_passed_on_in_turn)
{
    auto network = converged_network(2);
    gossip local;
    local.description_version = 7;
    constexpr std::uint32_t entry_count = 40;
    for (std::uint32_t i = 0; i < entry_count; ++i) {
        local.partitions.push_back({.id = {.service = {"lessons"}, .number = i}, .version = 3});
        local.coordinators.push_back(
            {.server = {"s" + std::to_string(i)}, .host = {"host-0"}, .term = 2});
    }
    network.set_gossip(0, local);
    std::set<partition_id> partitions;
    std::set<backend_server_id> servers;
    for (int i = 0; i < 1000; ++i) {
        network.run(milliseconds{20});
        for (const auto& entry : network.last_gossip(1).partitions) {
            partitions.insert(entry.id);
        }
        for (const auto& entry : network.last_gossip(1).coordinators) {
            servers.insert(entry.server);
        }
    }
    LONGS_EQUAL(entry_count, partitions.size());
    LONGS_EQUAL(entry_count, servers.size());
    LONGS_EQUAL(7, network.last_gossip(1).description_version);
}

TEST(membership_test, a_new_description_version_of_a_host_is_known_everywhere_within_seconds)
{
    auto network = converged_network(cluster_size);
    gossip local;
    local.description_version = 9;
    network.set_gossip(6, local);
    const auto known_everywhere = [&network] {
        for (std::size_t i = 0; i < cluster_size; ++i) {
            for (const auto& state : network.at(i).known_hosts()) {
                const bool behind = state.description_version != 9;
                if (state.host == fake_network::name(6) && behind) {
                    return false;
                }
            }
        }
        return true;
    };
    CHECK_TRUE(network.run_until(known_everywhere, timeout) <= seconds{3});
}

TEST(membership_test, steady_traffic_of_a_dozen_hosts_is_bounded)
{
    fake_network::settings settings;
    settings.count_bytes = true;
    auto network = converged_network(cluster_size, settings);
    network.run(seconds{10});
    const auto before = network.bytes();
    constexpr std::uint64_t duration = 20;
    network.run(seconds{duration});
    constexpr std::uint64_t most_bytes_per_second = 3000;
    CHECK_TRUE((network.bytes() - before) / cluster_size / duration <= most_bytes_per_second);
}

TEST(membership_test, any_faults_that_end_leave_all_hosts_converged)
{
    CHECK_PROPERTY("hosts converge", [] {
        const auto count = *rc::gen::inRange<std::size_t>(2, 9);
        fake_network::settings settings;
        settings.loss_percent = *rc::gen::inRange(0U, 10U);
        fake_network network{count, settings, *rc::gen::arbitrary<std::uint64_t>()};
        const auto any_host = rc::gen::inRange<std::size_t>(0, count);
        const auto steps = *rc::gen::inRange(0, 12);
        for (int i = 0; i < steps; ++i) {
            switch (*rc::gen::inRange(0, 6)) {
            case 0:
                network.stop(*any_host);
                break;
            case 1:
                network.restart(*any_host);
                break;
            case 2:
                network.pause(*any_host);
                break;
            case 3:
                network.resume(*any_host);
                break;
            case 4: {
                const auto cut =
                    *rc::gen::arbitrary<std::set<std::pair<std::uint8_t, std::uint8_t>>>();
                network.set_reachability([cut, count](std::size_t from, std::size_t to) {
                    for (const auto& [a, b] : cut) {
                        if (a % count == from && b % count == to) {
                            return false;
                        }
                    }
                    return true;
                });
                break;
            }
            default: {
                const auto side = *any_host;
                network.set_reachability([side](std::size_t from, std::size_t to) {
                    return (from < side) == (to < side);
                });
                break;
            }
            }
            network.run(milliseconds{*rc::gen::inRange(10, 4000)});
        }
        network.set_reachability({});
        for (std::size_t i = 0; i < count; ++i) {
            network.resume(i);
        }
        // Hosts that do not know each other can only find each other through a running seed.
        if (!network.runs(0) && !network.runs(1)) {
            network.restart(0);
        }
        const auto took = network.run_until([&network] { return network.is_converged(); }, timeout);
        RC_ASSERT(took < timeout);
    });
}
