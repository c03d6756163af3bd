#pragma once

#include <cmath>
#include <deque>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "figreach/direct/quota/host_quota.h"
#include "figreach/direct/quota/quota_allocator.h"
#include "figreach/direct/tenants/tenant_rule.h"
#include "figreach/direct/tenants/tenant_table.h"

namespace figreach::direct {

struct quota_load {
    std::size_t hosts = 81;
    std::size_t senders = 81; ///< hosts that get requests of the tenant
    double rate = 300.0;      ///< of the tenant, requests per second
    double burst = 300.0;
    double demand = 1.0;         ///< relative to the rate
    double wave = 0.0;           ///< relative swing of the demand of each third of the hosts
    seconds length{20};          ///< of the run
    bool kills_hosts = false;    ///< a third of the hosts, again and again
    bool cuts_hosts = false;     ///< a third of the hosts loses the leader, again and again
    bool changes_leader = false; ///< a cut leader goes on for a third of the hosts
    bool lowers_limit = false;   ///< to a quarter, in the middle of the run
    bool ignores_former =
        false; ///< broken on purpose: a new leader assumes that nobody holds shares
};

struct quota_result {
    double most_over_bound = 0.0; ///< of any window, in requests; negative if all are within it
    double requests = 0.0;        ///< after the first three seconds
    double run = 0.0;             ///< of these
    std::size_t reports = 0;      ///< of all hosts, in the whole run
};

/// Plays the requests of one tenant on many hosts in virtual time, with the messages between hosts
/// and the leader. Counts requests that run in each sliding window.
class quota_simulation {
public:
    quota_simulation(const quota_load& load_, std::uint64_t seed) : load{load_}, random{seed}
    {
        this->rules = {{.name = {"t"}, .rate = this->load.rate, .burst = this->load.burst}};
        for (std::size_t i = 0; i < this->load.hosts; ++i) {
            this->names.push_back({"h" + std::to_string(i)});
            this->hosts.push_back({.quota = host_quota{this->bounds}});
        }
        this->leaders.push_back(this->make_leader(1));
        this->leaders.front().lead(1, this->names, this->now);
    }

    quota_result play()
    {
        const auto end = this->now + this->load.length;
        while (this->now < end) {
            this->inject_faults();
            for (std::size_t i = 0; i < this->hosts.size(); ++i) {
                this->step(i);
            }
            this->check_window();
            this->now += tick;
        }
        return this->result;
    }

private:
    static constexpr milliseconds tick{10};
    static constexpr milliseconds call_timeout{400};

    struct host_state {
        host_quota quota;
        std::uint64_t lifetime = 1;
        std::size_t leader = 0; ///< index of the one that it follows
        monotonic_time next_report{};
        monotonic_time down_until{};
        monotonic_time cut_until{};
        double due = 0.0; ///< fraction of the next request
        int waiting = 0;  ///< requests that wait for a share
    };

    [[nodiscard]] quota_allocator make_leader(std::uint64_t) const
    {
        return quota_allocator{{.bounds = this->bounds}};
    }

    [[nodiscard]] milliseconds elapsed() const
    {
        return std::chrono::floor<milliseconds>(this->now - this->began);
    }

    std::uint64_t draw(std::uint64_t below) { return this->random() % below; }

    void inject_faults()
    {
        const auto time = this->elapsed();
        if (this->load.lowers_limit && time == this->load.length / 2) {
            this->rules.front().rate /= 4;
            this->rules.front().burst /= 4;
            this->windows_from = this->now + this->bounds.window;
        }
        if (time.count() == 0 || time % milliseconds{2500} != milliseconds{0}) {
            return;
        }
        for (auto& one : this->hosts) {
            if (this->load.kills_hosts && this->draw(3) == 0) {
                one = {.quota = host_quota{this->bounds}, .lifetime = one.lifetime + 1};
                one.leader = this->leaders.size() - 1;
                one.down_until = this->now + milliseconds{500 + this->draw(1500)};
            }
            if (this->load.cuts_hosts && this->draw(3) == 0) {
                one.cut_until = this->now + milliseconds{1000 + this->draw(6000)};
            }
        }
        if (this->load.changes_leader && time == seconds{5}) {
            this->leaders.push_back(this->make_leader(2));
            this->leaders.back().lead(
                2, this->load.ignores_former ? std::vector<host_id>{} : this->names, this->now);
            for (auto& one : this->hosts) {
                one.leader = this->draw(3) == 0 ? 0 : 1;
            }
        }
        if (this->load.changes_leader && time == seconds{12} + milliseconds{500}) {
            for (auto& one : this->hosts) {
                one.leader = 1;
            }
        }
    }

    /// Requests per second at a host.
    [[nodiscard]] double demand_of(std::size_t host) const
    {
        if (host >= this->load.senders) {
            return 0.0;
        }
        constexpr double period_s = 11.0;
        constexpr double turn = 6.283185307;
        const std::chrono::duration<double> time = this->now - this->began;
        const double phase = turn * (time.count() / period_s + static_cast<double>(host % 3) / 3.0);
        const double mean =
            this->load.demand * this->load.rate / static_cast<double>(this->load.senders);
        return mean * (1.0 + this->load.wave * std::sin(phase));
    }

    void step(std::size_t index)
    {
        auto& own = this->hosts[index];
        if (this->now < own.down_until) {
            return;
        }
        const std::chrono::duration<double> passed = tick;
        // Intervals between requests are random, so that they come in clusters.
        own.due += this->demand_of(index) * passed.count();
        while (own.due > 0.0) {
            own.due += std::log(static_cast<double>(this->draw(1'000'000) + 1) / 1'000'001.0);
            this->request(own, true);
        }
        const bool at_once =
            own.waiting > 0 && this->now + quota_report_interval(this->hosts.size()) >=
                                   own.next_report + milliseconds{50};
        if (this->now >= own.next_report || at_once) {
            own.next_report = this->now + quota_report_interval(this->hosts.size());
            this->report(index);
        }
    }

    void request(host_state& own, bool may_wait)
    {
        const bool counts = this->elapsed() >= seconds{3};
        if (may_wait && counts) {
            ++this->result.requests;
        }
        const auto decision = may_wait ? own.quota.admit(this->rules.front(), this->now)
                                       : own.quota.admit_waiting(this->rules.front(), this->now);
        if (std::holds_alternative<quota_admitted>(decision)) {
            this->runs.push_back(this->now);
            this->result.run += counts ? 1.0 : 0.0;
        }
        else if (may_wait && std::holds_alternative<quota_unknown>(decision)) {
            own.quota.want({"t"});
            ++own.waiting;
        }
    }

    void report(std::size_t index)
    {
        auto& own = this->hosts[index];
        const auto asked_at = this->now;
        auto report = own.quota.make_report(asked_at);
        ++this->result.reports;
        report.host = this->names[index];
        report.lifetime = own.lifetime;
        const int waited = std::exchange(own.waiting, 0);
        if (this->now < own.cut_until) {
            return;
        }
        const tenant_table table{this->rules};
        // Another leader is elected only once the lease of the former one has ended.
        const bool has_lease = own.leader + 1 == this->leaders.size();
        const auto shares =
            this->leaders[own.leader].on_report(report, table, has_lease, this->now);
        // The answer may be lost on its way.
        if ((this->load.cuts_hosts || this->load.changes_leader) && this->draw(10) == 0) {
            return;
        }
        own.quota.apply(shares, asked_at, this->now);
        for (int i = 0; i < waited; ++i) {
            this->request(own, false);
        }
    }

    void check_window()
    {
        while (!this->runs.empty() && this->runs.front() + this->bounds.window <= this->now) {
            this->runs.pop_front();
        }
        if (this->now < this->windows_from) {
            return;
        }
        const std::chrono::duration<double> window = this->bounds.window;
        const auto& rule = this->rules.front();
        const double bound =
            (rule.rate * window.count() + rule.burst) * (1.0 + this->bounds.excess) +
            this->bounds.slack;
        this->result.most_over_bound =
            std::max(this->result.most_over_bound, static_cast<double>(this->runs.size()) - bound);
    }

    quota_load load;
    std::mt19937_64 random;
    quota_bounds bounds;
    monotonic_time began{std::chrono::hours{1}};
    monotonic_time now{this->began};
    monotonic_time windows_from{};
    std::vector<tenant_rule> rules;
    std::vector<host_id> names;
    std::vector<host_state> hosts;
    std::vector<quota_allocator> leaders;
    std::deque<monotonic_time> runs;
    quota_result result{.most_over_bound = -1e9};
};

} // namespace figreach::direct
