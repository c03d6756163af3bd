#include "figreach/assigner.h"

#include <algorithm>
#include <limits>
#include <optional>

#include "assignment_fixture.h"
#include "property.h"

using namespace figreach;
using namespace figreach::fixture;

namespace {

constexpr double tolerance = 1e-9;
constexpr double max_over_necessary = 1.25;

monotonic_time at(seconds since_start)
{
    return monotonic_time{std::chrono::hours{1} + since_start};
}

void report_condition(assigner& one, std::size_t server, server_condition condition,
                      monotonic_time now)
{
    one.on_report({.id = lessons_0, .server = server_name(server), .condition = condition}, now);
}

// A change of the set of servers, with the minimum share of the hash space that has to move.
struct change_row {
    const char* name;
    std::size_t servers;
    void (*change)(description&, assigner&, monotonic_time);
    double necessary;
};

const change_row change_rows[] = {
    {"nothing", 12, [](description&, assigner&, monotonic_time) {}, 0.0},
    {"one lost of 12", 12,
     [](description&, assigner& a, monotonic_time now) {
         report_condition(a, 3, server_condition::lost, now);
     },
     1.0 / 12},
    {"one leaving of 12", 12,
     [](description&, assigner& a, monotonic_time now) {
         report_condition(a, 3, server_condition::leaving, now);
     },
     1.0 / 12},
    {"one drained of 30", 30,
     [](description& all, assigner&, monotonic_time) {
         all.backend_servers[29].state = service_state::out;
     },
     1.0 / 30},
    {"domain out of 30", 30,
     [](description& all, assigner&, monotonic_time) {
         all.failure_domains[1].state = service_state::out;
     },
     1.0 / 3},
    {"one removed of 12", 12,
     [](description& all, assigner&, monotonic_time) {
         all.backend_servers.erase(all.backend_servers.begin());
     },
     1.0 / 12},
    {"one added to 12", 12,
     [](description& all, assigner&, monotonic_time) {
         all.backend_servers.push_back(
             {.name = {"new"}, .service = lessons, .failure_domain = {"d0"}});
     },
     1.0 / 13},
    {"one added to 1", 1,
     [](description& all, assigner&, monotonic_time) {
         all.backend_servers.push_back(
             {.name = {"new"}, .service = lessons, .failure_domain = {"d0"}});
     },
     1.0 / 2},
    {"30 added to 1", 1,
     [](description& all, assigner&, monotonic_time) {
         all.backend_servers = describe(31).backend_servers;
     },
     30.0 / 31},
};

} // namespace

TEST_GROUP(assigner_test){};

TEST(assigner_test, moves_the_least_necessary_share_when_servers_come_or_go)
{
    for (const auto& row : change_rows) {
        auto all = describe(row.servers);
        const auto present = first_document(all);
        assigner subject{{}};
        row.change(all, subject, at(seconds{1}));
        const auto planned = subject.plan(present, all, at(seconds{1})).value_or(present);
        STRCMP_EQUAL_TEXT("", defect_of(planned).c_str(), row.name);
        const auto moved = moving_width(planned);
        CHECK_TRUE_TEXT(moved <= max_over_necessary * row.necessary + tolerance, row.name);
        CHECK_TRUE_TEXT(moved >= row.necessary / max_over_necessary - tolerance, row.name);
        for (const auto& [name, width] : widths_by_server(planned)) {
            const auto receiving = std::ranges::count_if(
                all.backend_servers, [&all](const auto& s) { return receives_work(all, s); });
            CHECK_TRUE_TEXT(width * static_cast<double>(receiving) < 1.5, row.name);
        }
    }
}

TEST(assigner_test, drops_a_removed_server_once_it_is_empty)
{
    auto all = describe(4);
    const auto present = first_document(all);
    all.backend_servers.erase(all.backend_servers.begin() + 1);
    assigner subject{{}};
    const auto emptied = subject.plan(present, all, at(seconds{1}));
    CHECK_TRUE(emptied.has_value());
    LONGS_EQUAL(4, emptied->backend_servers.size());
    const auto arrived = complete_moves(*emptied);
    const auto dropped = subject.plan(arrived, all, at(seconds{2}));
    CHECK_TRUE(dropped.has_value());
    LONGS_EQUAL(3, dropped->backend_servers.size());
    STRCMP_EQUAL("", defect_of(*dropped).c_str());
    for (std::size_t i = 0; i < arrived.slices.size(); ++i) {
        CHECK_TRUE(owner_of(arrived, i) == owner_of(*dropped, i));
    }
}

TEST(assigner_test, leaves_the_owners_when_no_server_receives_work)
{
    auto all = describe(3);
    const auto present = first_document(all);
    for (auto& domain : all.failure_domains) {
        domain.state = service_state::out;
    }
    CHECK_FALSE(assigner{{}}.plan(present, all, at(seconds{1})).has_value());
}

TEST(assigner_test, redirects_only_moves_whose_target_is_unfit)
{
    auto all = describe(4);
    auto present = first_document(all);
    present.slices[0].moving_to = 1;
    present.slices[4].moving_to = 2;
    assigner subject{{}};
    report_condition(subject, 1, server_condition::lost, at(seconds{1}));
    const auto planned = subject.plan(present, all, at(seconds{1}));
    CHECK_TRUE(planned.has_value());
    CHECK_TRUE(planned->slices[0].moving_to != 1);
    LONGS_EQUAL(0, planned->slices[0].owner);
    LONGS_EQUAL(1, planned->slices[0].fence);
    LONGS_EQUAL(2, *planned->slices[4].moving_to);
}

TEST(assigner_test, a_pinned_key_gets_a_slice_of_its_own_at_its_server)
{
    auto all = describe(4);
    all.services[0].pins = {{.key = "plan-7", .server = server_name(2)}};
    const auto hash = hash_key("plan-7");
    assigner subject{{}};
    const auto planned = subject.plan(first_document(all), all, at(seconds{1}));
    CHECK_TRUE(planned.has_value());
    const auto arrived = complete_moves(*planned);
    const auto index = slice_index(arrived, hash);
    CHECK_TRUE(arrived.slices[index].pinned);
    CHECK_TRUE(arrived.slices[index].first == hash && last_hash(arrived, index) == hash);
    STRCMP_EQUAL("s2", owner_of(arrived, index).value.c_str());
    CHECK_FALSE(subject.plan(arrived, all, at(seconds{2})).has_value());
    all.services[0].pins.clear();
    const auto unpinned = subject.plan(arrived, all, at(seconds{3}));
    CHECK_TRUE(unpinned.has_value());
    CHECK_FALSE(unpinned->slices[index].pinned);
}

TEST(assigner_test, a_cold_server_is_filled_in_part_and_later_wholly)
{
    auto all = describe(3);
    auto present = first_document(all);
    all.backend_servers.push_back({.name = {"new"}, .service = lessons, .failure_domain = {"d0"}});
    assigner subject{{}};
    subject.on_report({.id = lessons_0, .server = {"new"}, .condition = server_condition::cold},
                      at(seconds{0}));
    present = complete_moves(*subject.plan(present, all, at(seconds{1})));
    const auto share = widths_by_server(present)[{"new"}];
    CHECK_TRUE(share > 0.04 && share < 0.1);
    for (int i = 1; i <= 10; ++i) {
        const auto now = at(seconds{10 * i});
        subject.on_report({.id = lessons_0, .server = {"new"}}, now);
        present = complete_moves(subject.plan(present, all, now).value_or(present));
    }
    CHECK_TRUE((widths_by_server(present)[{"new"}]) > 0.12);
}

TEST(assigner_test, moves_load_off_a_slow_server_within_the_churn_budget)
{
    const auto all = describe(12);
    auto present = first_document(all);
    const assigner_settings settings;
    assigner subject{settings};
    for (int i = 1; i <= 5; ++i) {
        const auto now = at(seconds{i * 10});
        report_condition(subject, 5, server_condition::slow, now);
        const auto planned = subject.plan(present, all, now).value_or(present);
        CHECK_TRUE(moving_width(planned) <= settings.max_churn + tolerance);
        present = complete_moves(planned);
    }
    const auto share = widths_by_server(present)[server_name(5)];
    CHECK_TRUE(share > 0.03 && share < 0.06);
}

namespace {

/// Applies plans in virtual time under a constant load and returns the final document.
template <class Load>
partition settle(const description& all, partition present, const Load& load, int rounds)
{
    assigner subject{{}};
    for (int i = 1; i <= rounds; ++i) {
        const auto now = at(seconds{2 * i});
        for (const auto& report : reports_of(present, load)) {
            subject.on_report(report, now);
        }
        present = complete_moves(subject.plan(present, all, now).value_or(present));
    }
    return present;
}

template <class Load>
double imbalance(const partition& document, const Load& load)
{
    double total = 0.0;
    double max_load = 0.0;
    const auto reports = reports_of(document, load);
    for (const auto& report : reports) {
        double sum = 0.0;
        for (const auto& one : report.slices) {
            sum += one.requests_per_second;
        }
        total += sum;
        max_load = std::max(max_load, sum);
    }
    return max_load * static_cast<double>(reports.size()) / total;
}

} // namespace

TEST(assigner_test, balances_hot_ranges_and_hot_keys)
{
    constexpr key_hash hot_key = 0x123456789abcdef0;
    constexpr key_hash other_key = hot_key + (key_hash{1} << 48U);
    const auto even = [](key_hash first, key_hash last) {
        return 1000.0 * std::ldexp(static_cast<double>(last - first) + 1.0, -64);
    };
    const auto key = [](key_hash first, key_hash last, key_hash hash, double rate) {
        return first <= hash && hash <= last ? rate : 0.0;
    };
    const auto hot_range = [&even](key_hash first, key_hash last) {
        constexpr key_hash end = key_hash{1} << 58U;
        const auto inside = first < end ? even(first, std::min(last, end)) : 0.0;
        return even(first, last) + 32.0 * inside;
    };
    const auto one_key = [&](key_hash first, key_hash last) {
        return even(first, last) + key(first, last, hot_key, 90.0);
    };
    const auto two_keys = [&](key_hash first, key_hash last) {
        return one_key(first, last) + key(first, last, other_key, 90.0);
    };
    const auto all = describe(10);
    const auto start = first_document(all);
    constexpr int rounds = 60;
    CHECK_TRUE(imbalance(settle(all, start, hot_range, rounds), hot_range) <= 1.25);
    CHECK_TRUE(imbalance(settle(all, start, one_key, rounds), one_key) <= 1.25);
    const auto apart = settle(all, start, two_keys, rounds);
    CHECK_TRUE(imbalance(apart, two_keys) <= 1.25);
    CHECK_TRUE(apart.slices.size() <= 4 * start.slices.size() + 16);
}

namespace {

struct scenario {
    description all;
    partition present;
    std::vector<load_report> reports;
};

/// Generates arbitrary states of servers and failure domains, owners, moves, pins and loads.
scenario any_scenario()
{
    scenario out;
    const auto servers = *rc::gen::inRange<std::size_t>(1, 8);
    out.all = describe(servers, 4);
    for (auto& domain : out.all.failure_domains) {
        domain.state = *rc::gen::weightedElement<service_state>(
            {{5, service_state::in}, {1, service_state::out}});
    }
    for (auto& server : out.all.backend_servers) {
        server.state = *rc::gen::weightedElement<service_state>(
            {{5, service_state::in}, {1, service_state::out}});
    }
    auto& document = out.present;
    document = {.id = lessons_0, .version = 3, .writer = "w"};
    const auto listed = *rc::gen::inRange<std::size_t>(1, servers + 2);
    for (std::size_t i = 0; i < listed; ++i) {
        document.backend_servers.push_back(server_name(i));
    }
    auto firsts = *rc::gen::arbitrary<std::set<key_hash>>();
    firsts.insert(0);
    const auto any_listed = rc::gen::inRange<std::uint32_t>(0, static_cast<std::uint32_t>(listed));
    for (const auto first : firsts) {
        slice one{.first = first, .owner = *any_listed};
        one.fence = *rc::gen::inRange<std::uint64_t>(1, 5);
        if (*rc::gen::inRange(0, 4) == 0) {
            one.moving_to = *any_listed;
        }
        document.slices.push_back(one);
    }
    for (const auto& key : *rc::gen::arbitrary<std::set<std::uint8_t>>()) {
        const auto number = *rc::gen::inRange<std::size_t>(0, servers + 1);
        out.all.services[0].pins.push_back(
            {.key = std::to_string(key), .server = server_name(number)});
    }
    out.reports = reports_of(document, [](key_hash, key_hash) {
        return static_cast<double>(*rc::gen::inRange(0, 1000));
    });
    for (auto& report : out.reports) {
        report.condition =
            *rc::gen::weightedElement<server_condition>({{6, server_condition::serving},
                                                         {1, server_condition::cold},
                                                         {1, server_condition::slow},
                                                         {1, server_condition::leaving},
                                                         {1, server_condition::lost}});
    }
    return out;
}

bool is_fit(const scenario& in, const backend_server_id& name)
{
    const auto* server = find_server(in.all, name);
    if (server == nullptr || !receives_work(in.all, *server)) {
        return false;
    }
    const auto report = std::ranges::find(in.reports, name, &load_report::server);
    return report == in.reports.end() || (report->condition != server_condition::lost &&
                                          report->condition != server_condition::leaving);
}

std::optional<backend_server_id> target_of(const partition& document, std::size_t index)
{
    const auto& moving_to = document.slices[index].moving_to;
    return moving_to ? std::optional{document.backend_servers[*moving_to]} : std::nullopt;
}

/// Returns the first hashes of the slices of both documents. Between two of them neither document
/// has a boundary.
std::set<key_hash> boundaries(const partition& left, const partition& right)
{
    std::set<key_hash> out;
    for (const auto* document : {&left, &right}) {
        for (const auto& one : document->slices) {
            out.insert(one.first);
        }
    }
    return out;
}

assigner with_reports(const scenario& in, assigner_settings settings)
{
    assigner out{settings};
    for (const auto& report : in.reports) {
        out.on_report(report, at(seconds{1}));
    }
    return out;
}

} // namespace

TEST(assigner_test, any_plan_keeps_owners_and_fences_and_targets_fit_servers)
{
    CHECK_PROPERTY("plan is safe", [] {
        const auto in = any_scenario();
        auto subject = with_reports(in, {});
        const auto planned = subject.plan(in.present, in.all, at(seconds{2}));
        RC_PRE(planned.has_value());
        RC_ASSERT(defect_of(*planned) == "");
        RC_ASSERT(planned->version == in.present.version);
        RC_ASSERT(planned->writer == in.present.writer);
        for (const auto hash : boundaries(in.present, *planned)) {
            const auto before = slice_index(in.present, hash);
            const auto after = slice_index(*planned, hash);
            RC_ASSERT(owner_of(in.present, before) == owner_of(*planned, after));
            RC_ASSERT(in.present.slices[before].fence == planned->slices[after].fence);
            const auto old_target = target_of(in.present, before);
            const auto target = target_of(*planned, after);
            if (old_target && is_fit(in, *old_target)) {
                RC_ASSERT(target == old_target);
            }
            RC_ASSERT(!target || is_fit(in, *target));
            RC_ASSERT(target || is_fit(in, owner_of(*planned, after)));
        }
    });
}

TEST(assigner_test, any_plan_moves_no_more_from_fit_servers_than_new_servers_and_budget_need)
{
    CHECK_PROPERTY("plan is frugal", [] {
        auto in = any_scenario();
        in.all.services[0].pins.clear();
        const assigner_settings settings;
        auto subject = with_reports(in, settings);
        const auto planned = subject.plan(in.present, in.all, at(seconds{2}));
        RC_PRE(planned.has_value());
        const auto before = widths_by_server(in.present);
        double new_share = 0.0;
        for (const auto& [name, width] : widths_by_server(*planned)) {
            new_share += before.contains(name) ? 0.0 : width;
        }
        double moved = 0.0;
        for (std::size_t i = 0; i < planned->slices.size(); ++i) {
            const auto old = slice_index(in.present, planned->slices[i].first);
            const bool by_choice = planned->slices[i].moving_to &&
                                   !in.present.slices[old].moving_to &&
                                   is_fit(in, owner_of(*planned, i));
            moved += by_choice ? width_of(*planned, i) : 0.0;
        }
        RC_ASSERT(moved <= new_share + settings.max_churn + tolerance);
    });
}

TEST(assigner_test, plans_end_when_the_world_stands_still)
{
    CHECK_PROPERTY("plans end", [] {
        const auto in = any_scenario();
        auto subject = with_reports(in, {});
        auto present = in.present;
        constexpr int max_rounds = 60;
        int round = 0;
        for (; round < max_rounds; ++round) {
            const auto now = at(seconds{2 + 11 * round});
            for (auto report : in.reports) {
                report.slices.clear();
                subject.on_report(report, now);
            }
            const auto planned = subject.plan(present, in.all, now);
            if (!planned) {
                break;
            }
            present = complete_moves(*planned);
        }
        RC_ASSERT(round < max_rounds);
        for (std::size_t i = 0; i < present.slices.size(); ++i) {
            const bool nobody_fit = std::ranges::none_of(
                in.all.backend_servers, [&in](const auto& s) { return is_fit(in, s.name); });
            RC_ASSERT(nobody_fit || is_fit(in, owner_of(present, i)));
        }
    });
}

namespace {

/// Returns the lowest possible maximum load over all placements of the given loads, by exhaustive
/// search.
double best_placement(std::vector<double>& servers, const std::vector<double>& loads,
                      std::size_t next)
{
    if (next == loads.size()) {
        return *std::ranges::max_element(servers);
    }
    auto best = std::numeric_limits<double>::max();
    for (auto& server : servers) {
        server += loads[next];
        best = std::min(best, best_placement(servers, loads, next + 1));
        server -= loads[next];
    }
    return best;
}

} // namespace

TEST(assigner_test, spreads_a_lost_server_nearly_as_well_as_trying_all_placements)
{
    CHECK_PROPERTY("greedy against exhaustive", [] {
        constexpr std::size_t servers = 4;
        constexpr double list_scheduling_bound = 2.0 - 1.0 / (servers - 1);
        const auto all = describe(servers, 6);
        const auto present = first_document(all);
        assigner subject{{}};
        std::vector<double> others(servers - 1, 0.0);
        std::vector<double> lost;
        for (auto& report : reports_of(present, [](key_hash, key_hash) {
                 return static_cast<double>(*rc::gen::inRange(1, 100));
             })) {
            const bool is_lost = report.server == server_name(0);
            report.condition = is_lost ? server_condition::lost : server_condition::serving;
            for (const auto& one : report.slices) {
                if (is_lost) {
                    lost.push_back(one.requests_per_second);
                }
                else {
                    const auto number = static_cast<std::size_t>(report.server.value[1] - '1');
                    others[number] += one.requests_per_second;
                }
            }
            subject.on_report(report, at(seconds{1}));
        }
        std::map<key_hash, double> load_by_first;
        auto loads = lost.begin();
        for (std::size_t i = 0; i < present.slices.size(); ++i) {
            if (present.slices[i].owner == 0) {
                load_by_first[present.slices[i].first] = *loads++;
            }
        }
        const auto planned = subject.plan(present, all, at(seconds{1}));
        auto after = others;
        for (const auto& one : planned->slices) {
            if (one.owner == 0) {
                after[*one.moving_to - 1] += load_by_first[one.first];
            }
        }
        const auto best = best_placement(others, lost, 0);
        RC_ASSERT(*std::ranges::max_element(after) <= list_scheduling_bound * best);
    });
}
