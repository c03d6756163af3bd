#include "figreach/direct/runtime/leadership.h"

#include "../property.h"
#include "idle_host.h"

using namespace figreach;
using namespace figreach::direct;

namespace {

struct offer_row {
    const char* name;
    bool complete;            ///< the host has loaded configuration, servers and tables
    std::uint64_t known_term; ///< latest term known to the host
    std::uint64_t term;       ///< offered term
    bool taken;
};

const offer_row offer_rows[] = {
    {"a host that has just started and knows nothing", false, 0, 3, false},
    {"the present term", true, 3, 3, true},
    {"a term that is over", true, 4, 3, false},
    {"a term that the host has not heard of", true, 2, 3, true},
};

void complete(cluster_state& cluster, std::uint64_t term)
{
    const auto now = monotonic_time::clock::now();
    const leader_term known{.term = term, .host = {"h2"}, .host_lifetime = 1, .resigned = false};
    (void)cluster.apply(store_part::operators, {configuration_update{{.version = 1}}}, true, now);
    (void)cluster.apply(store_part::servers, {}, true, now);
    (void)cluster.apply(store_part::own, {term_update{known}}, true, now);
}

leadership_transfer offer_of(std::uint64_t term)
{
    return {.term = term,
            .lease = {.id = 1},
            .term_revision = {{}, 1},
            .authority = seconds{5},
            .former_orders = milliseconds{0},
            .tables = {}};
}

} // namespace

TEST_GROUP(leadership_test){};

struct path_row {
    const char* name = "";
    bool lost = false;               ///< whether the host has lost its path to the servers
    std::optional<milliseconds> age; ///< of the latest answer of a server to another host
    bool may_lead = true;
};

const path_row path_rows[] = {
    {"servers are reached", false, milliseconds{0}, true},
    {"no server reached, others reach some", true, milliseconds{0}, false},
    {"no server reached, nor by others since", true, milliseconds{2000}, true},
    {"no server reached, others are not known", true, std::nullopt, true},
};

/// Connections to servers have failed for a second.
void lose_path(host_context& state, monotonic_time now)
{
    state.path = server_path{{}, now - seconds{1}};
    for (const auto* server : {"a", "b", "c"}) {
        state.path.on_failed({server}, 9, now);
    }
}

struct newer_row {
    const char* name = "";
    std::uint64_t announced = 0; ///< term announced by another leader
    bool ends = false;           ///< whether the accepted term is dropped
};

const newer_row newer_rows[] = {
    {"an earlier term", 2, false},
    {"the same term", 3, false},
    {"a later term", 4, true},
};

TEST(leadership_test, gives_a_term_up_when_another_host_leads_in_a_later_one)
{
    for (const auto& row : newer_rows) {
        idle_host host;
        complete(host.state.cluster, 3);
        CHECK_TRUE_TEXT(host.leader.accept_offer(offer_of(3)), row.name);
        host.leader.observe_term(row.announced);
        CHECK_EQUAL_TEXT(row.ends, host.leader.accept_offer(offer_of(row.announced + 1)), row.name);
    }
}

TEST(leadership_test, takes_a_term_over_only_with_what_it_needs_to_go_on)
{
    for (const auto& row : offer_rows) {
        idle_host host;
        if (row.complete) {
            complete(host.state.cluster, row.known_term);
        }
        CHECK_EQUAL_TEXT(row.taken, host.leader.accept_offer(offer_of(row.term)), row.name);
        // Accepting the same term twice would let two hosts send orders.
        CHECK_FALSE_TEXT(host.leader.accept_offer(offer_of(row.term)), row.name);
    }
}

/// Guards against a leader that writes no tables since it takes the era of its term for a later one
/// than that of the store.
TEST(leadership_test, knows_the_era_of_a_term_that_it_takes_over)
{
    idle_host host;
    complete(host.state.cluster, 3);
    host.state.store.observe_era(store_era{1});
    auto offer = offer_of(3);
    offer.term_revision = {store_era{2}, 1};
    offer.lease = {.era = store_era{2}, .id = 1};
    CHECK_TRUE(host.leader.accept_offer(offer));
    CHECK_TRUE(host.state.store.era() == store_era{2});
}

/// Guards against a leader whose grants reach no server, so that all keys lapse while other hosts
/// could lead.
TEST(leadership_test, a_host_that_alone_reaches_no_server_does_not_lead)
{
    for (const auto& row : path_rows) {
        idle_host host;
        complete(host.state.cluster, 3);
        const auto now = monotonic_time::clock::now();
        if (row.lost) {
            lose_path(host.state, now);
        }
        if (row.age) {
            host.state.load_tracker.merge({.server = {"a"}, .report = {}, .age = *row.age}, now);
        }
        CHECK_EQUAL_TEXT(row.may_lead, !host.state.is_cut_off(), row.name);
        CHECK_EQUAL_TEXT(row.may_lead, host.leader.accept_offer(offer_of(3)), row.name);
    }
}
