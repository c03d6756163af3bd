#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "figreach/direct/crash_suspects.h"
#include "figreach/retry_budget.h"

namespace figreach::direct {

struct crash_simulation_settings {
    std::uint64_t seed = 1;
    std::size_t hosts = 5;
    std::size_t servers = 12;
    std::size_t callers_per_server = 30;
    milliseconds comes_again{500}; ///< interval of the crashing request
    bool keyed = false;            ///< all requests of a range go to its owner
    bool idempotent = true;        ///< a lost send is repeated once
    bool leader_changes = false;   ///< to a host that has just started
    bool shares = true;
    bool forgets = false; ///< hosts don't tell a new leader
    bool alone = true;    ///< suspects run one at a time on a server
    crash_suspects_settings suspects;
};

struct crash_simulation_result {
    std::optional<monotonic_time> third_crash;
    std::size_t late_arrivals = 0;  ///< of the crashing request, later than 3 s after that
    std::size_t held_innocents = 0; ///< other requests that were refused as held
    std::size_t unanswered = 0;     ///< other requests that waited for over 30 s
};

/// Hosts with a leader, servers, callers whose requests are answered and one that crashes servers,
/// in virtual time.
class crash_simulation {
public:
    explicit crash_simulation(crash_simulation_settings settings_)
        : settings{settings_}, random_state{settings_.seed}
    {
        for (std::size_t i = 0; i < this->settings.hosts; ++i) {
            this->hosts.push_back({.suspects = crash_suspects{this->settings.suspects},
                                   .next_poll = this->now + this->random_time(poll_interval)});
        }
        for (std::size_t i = 0; i < this->settings.servers; ++i) {
            this->start_server(i);
            this->owners.push_back(i);
        }
        const auto count = this->settings.servers * this->settings.callers_per_server;
        for (std::size_t i = 0; i < count; ++i) {
            this->callers.push_back({.range = i % this->settings.servers,
                                     .digest = this->new_digest(),
                                     .next_at = this->now + this->random_time(seconds{1}),
                                     .since = this->now});
        }
        // The last caller repeats the request that crashes servers.
        this->callers.push_back({.range = 0,
                                 .digest = this->new_digest(),
                                 .next_at = this->now + seconds{2},
                                 .since = this->now,
                                 .crashes = true});
    }

    crash_simulation_result run()
    {
        const auto end = this->now + duration;
        for (std::size_t step = 0; this->now < end; ++step, this->now += step_time) {
            this->end_runs();
            this->restart_servers();
            this->send_due();
            if (step % steps_per_tick == 0) {
                this->tick();
            }
            if (this->settings.leader_changes && this->hosts.size() > 2 &&
                step % steps_per_leader == steps_per_leader - 1) {
                this->change_leader();
            }
        }
        return this->result;
    }

private:
    static constexpr milliseconds step_time{10};
    static constexpr std::size_t steps_per_tick = 10;
    static constexpr std::size_t steps_per_leader = 5000;
    static constexpr seconds duration{150};
    static constexpr milliseconds poll_interval{820};
    static constexpr milliseconds report_interval{870};
    static constexpr milliseconds move_time{300};
    static constexpr milliseconds balance_time{2000};
    static constexpr milliseconds retry_time{50};
    static constexpr milliseconds crash_time{30};
    static constexpr milliseconds answer_time{300};
    static constexpr milliseconds wait_poll{20};
    static constexpr milliseconds max_wait{1000};
    static constexpr std::size_t domains = 3;

    struct host {
        crash_suspects suspects;
        monotonic_time next_poll{};
        std::size_t told_leader = 0;
    };
    struct process {
        std::uint64_t lifetime = 0;
        std::uint64_t report = 0;
        std::optional<monotonic_time> answered_at;
    };
    struct server {
        server_lifetime id;
        monotonic_time up_at{};
        monotonic_time down_at{};
        bool up = true;
    };
    struct caller {
        std::size_t range = 0;
        request_digest digest;
        monotonic_time next_at{};
        monotonic_time since{}; ///< when it first sent its request
        bool crashes = false;
        bool runs = false;
        std::optional<std::size_t> retry_host; ///< host that sends again
        std::optional<monotonic_time> waits_since;
    };
    struct run_state {
        std::size_t caller = 0;
        std::size_t sender = 0;
        std::size_t server = 0;
        monotonic_time sent_at{};
        monotonic_time ends_at{};
        bool alone = false;
        bool repeated = false;
    };

    std::uint64_t random(std::uint64_t below) { return next_random(this->random_state) % below; }
    milliseconds random_time(milliseconds below)
    {
        return milliseconds{
            static_cast<std::int64_t>(this->random(static_cast<std::uint64_t>(below.count())))};
    }
    request_digest new_digest() { return {.high = 0, .low = ++this->digests}; }
    static failure_domain_id domain_of(std::size_t server)
    {
        return {"d" + std::to_string(server % domains)};
    }
    static host_id host_name(std::size_t index) { return {"h" + std::to_string(index)}; }
    [[nodiscard]] std::size_t suspect_host() const { return this->hosts.size() / 2; }

    void start_server(std::size_t index)
    {
        const auto lifetime = ++this->lifetimes;
        const server_lifetime id{.server = {"s" + std::to_string(lifetime)}, .lifetime = lifetime};
        if (this->servers.size() <= index) {
            this->servers.resize(index + 1);
        }
        this->servers[index] = {.id = id, .up_at = this->now, .up = true};
        this->processes[id.server] = {.lifetime = lifetime};
    }

    void restart_servers()
    {
        for (std::size_t i = 0; i < this->servers.size(); ++i) {
            if (!this->servers[i].up && this->now >= this->servers[i].up_at) {
                this->start_server(i);
            }
        }
        for (std::size_t i = 0; i < this->owners.size(); ++i) {
            auto& owner = this->owners[i];
            const auto& home = this->servers[i];
            if (home.up && this->now >= home.up_at + balance_time) {
                owner = i;
            }
            else if (!this->servers[owner].up &&
                     this->now >= this->servers[owner].down_at + move_time) {
                owner = this->any_server().value_or(owner);
            }
        }
    }

    std::optional<std::size_t> any_server()
    {
        std::vector<std::size_t> up;
        for (std::size_t i = 0; i < this->servers.size(); ++i) {
            if (this->servers[i].up) {
                up.push_back(i);
            }
        }
        return up.empty() ? std::nullopt : std::optional{up[this->random(up.size())]};
    }

    std::optional<std::size_t> choose_server(const caller& one)
    {
        if (!this->settings.keyed) {
            return this->any_server();
        }
        const auto owner = this->owners[one.range];
        return this->servers[owner].up ? std::optional{owner} : std::nullopt;
    }

    void send_due()
    {
        for (std::size_t i = 0; i < this->callers.size(); ++i) {
            if (!this->callers[i].runs && this->now >= this->callers[i].next_at) {
                this->arrive(i);
            }
        }
    }

    void come_again(caller& one, milliseconds after)
    {
        one.next_at = this->now + (one.crashes ? this->settings.comes_again : after);
        one.retry_host.reset();
        one.waits_since.reset();
        const bool late = !one.crashes && this->now - one.since > seconds{30};
        this->result.unanswered += late ? 1U : 0U;
    }

    /// A request reaches a host, or is sent again by one.
    void arrive(std::size_t index)
    {
        auto& one = this->callers[index];
        const bool repeated = one.retry_host.has_value();
        auto sender = one.retry_host ? *one.retry_host : this->random(this->hosts.size());
        auto level = this->hosts[sender].suspects.level(one.digest, this->now);
        if (level == crash_level::suspected || level == crash_level::trial) {
            sender = this->suspect_host();
            level = this->hosts[sender].suspects.level(one.digest, this->now);
        }
        if (level == crash_level::held) {
            if (!one.crashes) {
                this->refused.insert(one.digest);
                this->result.held_innocents = this->refused.size();
            }
            this->come_again(one, seconds{1});
            return;
        }
        const auto to = this->choose_server(one);
        if (!to) {
            this->come_again(one, milliseconds{400});
            return;
        }
        const bool alone = level != crash_level::none && this->settings.alone;
        if (alone && !this->hosts[sender].suspects.try_start(
                         one.digest, this->servers[*to].id.server, this->now)) {
            one.waits_since = one.waits_since.value_or(this->now);
            if (this->now - *one.waits_since >= max_wait) {
                this->come_again(one, milliseconds{250});
                return;
            }
            one.next_at = this->now + wait_poll;
            return;
        }
        one.runs = true;
        one.retry_host.reset();
        one.waits_since.reset();
        const auto time = one.crashes ? crash_time : answer_time;
        this->runs.push_back({.caller = index,
                              .sender = sender,
                              .server = *to,
                              .sent_at = this->now,
                              .ends_at = this->now + time / 2 + this->random_time(time),
                              .alone = alone,
                              .repeated = repeated});
        if (one.crashes && this->result.third_crash &&
            this->now > *this->result.third_crash + seconds{3}) {
            ++this->result.late_arrivals;
        }
    }

    void end_runs()
    {
        std::set<std::size_t> crashed;
        for (const auto& run : this->runs) {
            const bool ends = this->now >= run.ends_at && this->callers[run.caller].crashes;
            if (ends && this->servers[run.server].up) {
                crashed.insert(run.server);
                if (++this->crashes == 3) {
                    this->result.third_crash = this->now;
                }
            }
        }
        for (const auto index : crashed) {
            this->servers[index].up = false;
            this->servers[index].down_at = this->now;
            this->servers[index].up_at = this->now + seconds{1} + this->random_time(seconds{2});
        }
        std::vector<run_state> left;
        for (const auto& run : this->runs) {
            if (crashed.contains(run.server)) {
                this->lose(run);
            }
            else if (this->now >= run.ends_at) {
                this->complete(run);
            }
            else {
                left.push_back(run);
            }
        }
        this->runs = std::move(left);
    }

    void lose(const run_state& run)
    {
        auto& one = this->callers[run.caller];
        auto& suspects = this->hosts[run.sender].suspects;
        one.runs = false;
        suspects.on_lost({.digest = one.digest,
                          .server = this->servers[run.server].id,
                          .failure_domain = domain_of(run.server),
                          .sender = host_name(run.sender),
                          .sent_at = run.sent_at},
                         this->now);
        if (run.alone) {
            suspects.finish(one.digest, true);
        }
        this->come_again(one, seconds{1});
        const bool again = this->settings.idempotent && !run.repeated &&
                           suspects.level(one.digest, this->now) == crash_level::none;
        if (again) {
            one.retry_host = run.sender;
            one.next_at = this->now + retry_time;
        }
    }

    void complete(const run_state& run)
    {
        auto& one = this->callers[run.caller];
        auto& suspects = this->hosts[run.sender].suspects;
        suspects.on_answered(one.digest, this->now);
        if (run.alone) {
            suspects.finish(one.digest, true);
        }
        this->processes[this->servers[run.server].id.server].answered_at = this->now;
        one.runs = false;
        one.digest = this->new_digest();
        one.since = this->now;
        one.next_at = this->now + this->random_time(milliseconds{100}) + step_time;
    }

    void tick()
    {
        const auto reports =
            static_cast<std::uint64_t>(this->now.time_since_epoch() / report_interval);
        for (const auto& one : this->servers) {
            if (one.up) {
                this->processes[one.id.server].report = reports;
            }
        }
        const auto find = [this](const backend_server_id& id) -> std::optional<discovered_server> {
            const auto& seen = this->processes.at(id);
            return discovered_server{
                .lifetime = seen.lifetime, .report = seen.report, .answered_at = seen.answered_at};
        };
        for (std::size_t i = 0; i < this->hosts.size(); ++i) {
            this->hosts[i].suspects.on_tick(find, this->now);
            (void)this->hosts[i].suspects.take_changes();
            if (i != this->leader && this->settings.shares &&
                this->now >= this->hosts[i].next_poll) {
                this->poll(this->hosts[i]);
            }
        }
    }

    /// The answer to the call before, and the next call.
    void poll(host& one)
    {
        auto& leads = this->hosts[this->leader].suspects;
        one.next_poll += poll_interval;
        if (one.told_leader != this->leader && !this->settings.forgets) {
            one.suspects.tell_again();
        }
        one.told_leader = this->leader;
        for (const auto& report : leads.reports(this->now)) {
            one.suspects.merge(report, this->now);
        }
        for (const auto& report : one.suspects.take_own_reports(this->now)) {
            leads.merge(report, this->now);
        }
    }

    void change_leader()
    {
        this->leader =
            (this->leader + 1 + this->random(this->hosts.size() - 1)) % this->hosts.size();
        this->hosts[this->leader].suspects = crash_suspects{this->settings.suspects};
        std::erase_if(this->runs, [this](const auto& run) {
            const bool lost = run.sender == this->leader;
            if (lost) {
                this->callers[run.caller].runs = false;
                this->come_again(this->callers[run.caller], seconds{1});
            }
            return lost;
        });
    }

    crash_simulation_settings settings;
    std::uint64_t random_state;
    monotonic_time now{std::chrono::hours{10}};
    std::vector<host> hosts;
    std::vector<server> servers;
    std::map<backend_server_id, process> processes; ///< also those that ended
    std::vector<std::size_t> owners;                ///< of each range
    std::vector<caller> callers;
    std::vector<run_state> runs;
    std::set<request_digest> refused;
    std::uint64_t digests = 0;
    std::uint64_t lifetimes = 0;
    std::size_t crashes = 0;
    std::size_t leader = 0;
    crash_simulation_result result;
};

} // namespace figreach::direct
