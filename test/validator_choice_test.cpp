#include "figreach/validator_choice.h"

#include <algorithm>
#include <map>
#include <set>

#include "property.h"

using namespace figreach;

namespace {

std::vector<host_state> hosts_in(std::size_t count, std::size_t domains)
{
    std::vector<host_state> out;
    for (std::size_t i = 0; i < count; ++i) {
        out.push_back({.host = {"host-" + std::to_string(i)},
                       .failure_domain = {"fd-" + std::to_string(i % domains)}});
    }
    return out;
}

const partition_id lessons{.service = {"lessons"}, .number = 0};

} // namespace

TEST_GROUP(validator_choice_test){};

TEST(validator_choice_test, spreads_an_odd_number_over_the_failure_domains)
{
    CHECK_PROPERTY("spread", [] {
        const auto count = *rc::gen::inRange<std::size_t>(1, 20);
        const auto domains = *rc::gen::inRange<std::size_t>(1, 5);
        const auto hosts = hosts_in(count, domains);
        const auto chosen = choose_validators(lessons, hosts);
        RC_ASSERT(chosen.size() % 2 == 1);
        RC_ASSERT(chosen.size() <= count);
        RC_ASSERT(std::set<host_id>(chosen.begin(), chosen.end()).size() == chosen.size());
        std::map<failure_domain_id, std::size_t> used;
        for (const auto& name : chosen) {
            ++used[std::ranges::find(hosts, name, &host_state::host)->failure_domain];
        }
        RC_ASSERT(used.size() == std::min({domains, count, chosen.size()}));
    });
}

TEST(validator_choice_test, prefers_hosts_of_the_failure_domain)
{
    const auto hosts = hosts_in(12, 3);
    const auto near = preferred_in_domain("server-1", {"fd-2"}, hosts);
    CHECK_TRUE(std::ranges::find(hosts, near, &host_state::host)->failure_domain.value == "fd-2");
    CHECK_FALSE(preferred_in_domain("server-1", {"elsewhere"}, hosts).empty());
    CHECK_TRUE(preferred_in_domain("server-1", {"fd-2"}, {}).empty());
}

TEST(validator_choice_test, the_first_by_preference_is_the_preferred_one)
{
    const auto hosts = hosts_in(12, 3);
    CHECK_TRUE(by_preference("item", hosts).front() == preferred_in_domain("item", {}, hosts));
}
