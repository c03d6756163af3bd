#include <cmath>

#include "../property.h"
#include "figreach/direct/quota/counted_proof.h"
#include "quota_simulation.h"

using namespace figreach;
using namespace figreach::direct;

namespace {

struct load_row {
    const char* name = "";
    quota_load load;
    double least_run = 0.0; ///< of the requests within the limit; 0: not checked
};

/// The bound and the 95 % are those that the users state.
constexpr double whole_limit = 0.95;

const load_row load_rows[] = {
    {"usual demand at all hosts", {.demand = 0.62}, whole_limit},
    {"usual demand in waves of three phases", {.demand = 0.62, .wave = 0.55}, whole_limit},
    {"a flood at all hosts", {.demand = 4.7}, whole_limit},
    {"a flood at one host", {.senders = 1, .demand = 4.7}, whole_limit},
    {"a flood at six hosts", {.senders = 6, .demand = 4.7}, whole_limit},
    {"one client of a small tenant",
     {.senders = 1, .rate = 3.0, .burst = 3.0, .demand = 0.62},
     whole_limit},
    {"a tenant in the middle",
     {.senders = 20, .rate = 30.0, .burst = 30.0, .demand = 0.62},
     whole_limit},
    {"a small tenant with usual demand at all hosts",
     {.rate = 10.0, .burst = 10.0, .demand = 0.62},
     whole_limit},
    {"a larger one", {.rate = 57.0, .burst = 57.0, .demand = 0.62}, whole_limit},
    // The use of this limit is checked in quota_spread_flood_test, which is known red.
    {"a flood of a small tenant at many hosts",
     {.senders = 40, .rate = 10.0, .burst = 10.0, .demand = 4.7},
     0},
    {"no burst", {.burst = 0.0, .demand = 4.7}, whole_limit},
    {"a lower limit", {.demand = 4.7, .lowers_limit = true}, 0},
    {"hosts that are killed", {.demand = 4.7, .kills_hosts = true}, 0},
    {"hosts that lose the leader", {.demand = 4.7, .cuts_hosts = true}, 0},
    {"two leaders", {.demand = 4.7, .changes_leader = true}, 0},
    {"all of it",
     {.demand = 4.7, .wave = 0.55, .kills_hosts = true, .cuts_hosts = true, .changes_leader = true},
     0},
    {"all of it, for a small tenant",
     {.senders = 9,
      .rate = 10.0,
      .burst = 10.0,
      .demand = 4.7,
      .kills_hosts = true,
      .cuts_hosts = true,
      .changes_leader = true},
     0},
    {"all of it, with few hosts",
     {.hosts = 12,
      .senders = 12,
      .demand = 4.7,
      .kills_hosts = true,
      .cuts_hosts = true,
      .changes_leader = true},
     0},
};

constexpr std::uint64_t seeds = 5;

} // namespace

TEST_GROUP(quota_test){};

/// Guards against a tenant that runs more than its limit permits because its requests come through
/// many hosts, and against requests within the limit that are refused.
TEST(quota_test, the_bound_holds_in_each_window_and_the_limit_can_be_used)
{
    for (const auto& row : load_rows) {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            const auto result = quota_simulation{row.load, seed}.play();
            const auto text = std::string{row.name} + ", seed " + std::to_string(seed);
            CHECK_TRUE_TEXT(result.most_over_bound <= 0.0,
                            (text + ": over by " + std::to_string(result.most_over_bound)).c_str());
            const double within = std::min(1.0, 1.0 / row.load.demand);
            const double share = result.run / std::max(result.requests * within, 1.0);
            CHECK_TRUE_TEXT(share >= row.least_run,
                            (text + ": " + std::to_string(share) + " of the limit").c_str());
        }
    }
}

/// Shows that the check finds a leader that gives out what its predecessor has given out.
TEST(quota_test, a_leader_that_ignores_former_shares_breaks_the_bound)
{
    const quota_load load{
        .burst = 0.0, .demand = 4.7, .changes_leader = true, .ignores_former = true};
    CHECK_TRUE((quota_simulation{load, 1}.play().most_over_bound > 0.0));
}

namespace {

struct proof_row {
    const char* name;
    const char* secret;
    const char* sender;
    const char* request;
    bool valid;
};

const proof_row proof_rows[] = {
    {"same inputs", "secret", "h1", "9c41", true},
    {"another secret", "other", "h1", "9c41", false},
    {"another host", "secret", "h2", "9c41", false},
    {"another request", "secret", "h1", "9c42", false},
    {"a host without a secret", "", "h1", "9c41", false},
};

} // namespace

/// Guards against a caller that reaches the port between hosts and evades its tenant's limit.
TEST(quota_test, only_the_sender_can_prove_that_a_request_was_counted)
{
    const auto proof = counted_proof("secret", {"h1"}, "9c41");
    for (const auto& row : proof_rows) {
        CHECK_EQUAL_TEXT(row.valid, is_counted_proof(proof, row.secret, {row.sender}, row.request),
                         row.name);
    }
    CHECK_FALSE(is_counted_proof("", "", {"h1"}, "9c41"));
}

TEST(quota_test, messages_are_read_as_written)
{
    const quota_report report{.host = {"h1"},
                              .lifetime = 7,
                              .number = 8,
                              .tenants = {{.tenant = {"t"},
                                           .requests = 9,
                                           .over = milliseconds{500},
                                           .held_share = 0.25,
                                           .wanted = 2}}};
    const auto read = decode_quota_report(encode(report));
    CHECK_TRUE(read && read->host == report.host && read->lifetime == 7 && read->number == 8);
    CHECK_TRUE(read->tenants == report.tenants);
    const quota_shares shares{
        .number = 8,
        .lifetime = milliseconds{4000},
        .hosts = 81,
        .tenants = {{.tenant = {"t"}, .fraction = 0.5, .depth = 12.5, .immediate = 1}}};
    const auto answer = decode_quota_shares(encode(shares));
    CHECK_TRUE(answer && answer->tenants == shares.tenants && answer->hosts == 81);
    CHECK_FALSE(decode_quota_shares("\xff").has_value());
    CHECK_FALSE(decode_quota_report("").has_value());
}
