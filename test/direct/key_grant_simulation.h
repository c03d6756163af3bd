#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "figreach/direct/key_grant_manager.h"
#include "figreach/direct/process_continuity.h"
#include "figreach/direct/takeover.h"
#include "figreach/retry_budget.h"

namespace figreach::direct::test {

/// Number of keys that are checked, spread evenly over all keys.
inline constexpr std::uint32_t sampled_keys = 64;
inline constexpr std::uint32_t keys_per_sample = key_count / sampled_keys;
inline constexpr milliseconds simulation_step{10};
inline constexpr milliseconds answer_time{5};
inline constexpr milliseconds max_copy_age{5000}; ///< of copies that the store comes back from

struct simulation_settings {
    std::uint64_t seed = 1;
    std::uint32_t servers = 5;
    double slow_clock = 1.02; ///< real duration of a hold at a server, relative to nominal
    double lost_orders = 0.1; ///< probability during the fault phase
    double lost_answers = 0.1;
    double late_orders = 0.1;        ///< executed seconds later, without an answer
    double slow_orders = 0.1;        ///< leave the leader late, since it is short of CPU time
    milliseconds latest_leave{1000}; ///< of slow orders, after they were decided
    double slow_answers = 0.1;       ///< arrive late, but within the timeout of the order
    double cuts = 0.002;             ///< of kept connections, in one direction, started each step
    milliseconds longest_cut{3000};
    milliseconds longest_news{0};    ///< until a leader learns that a server has restarted
    milliseconds longest_write{300}; ///< until a leader learns that its table is stored
    bool leaders_change = true;
    bool servers_restart = true;
    bool store_restored = false; ///< the store comes back from copies of itself
    /// A leader that was cut off from the store reaches it again when it comes back from a copy.
    bool former_leaders_continue = false;
    /// Faults of the code under test, to show that the simulation finds them.
    bool ignores_era = false;             ///< leaders take a restored store for the present one
    bool takes_fences_from_store = false; ///< leaders count on from the fences in the store
    /// Leaders connect to servers that have started since they lost their lease.
    bool ignores_processes = false;
    bool leaders_resign = false;  ///< leaders resign, also soon after they took over
    milliseconds authority{1500}; ///< how long a leader without the store goes on
    milliseconds faults{20000};
    milliseconds calm{15000}; ///< duration after the fault phase
    bool wait_for_former_orders = true;
};

/// Key ownership of a backend server, which checks fences and lets grants expire.
struct simulated_server {
    std::string name;
    std::uint64_t lifetime = 1;
    bool up = true;
    bool takes_keys = true;
    /// Starts of later lives, so that leaders learn of them at different times.
    std::vector<std::pair<std::uint64_t, monotonic_time>> restarts;
    /// Later leaders do not reach the server until `reached_again`.
    std::size_t last_leader = std::numeric_limits<std::size_t>::max();
    monotonic_time reached_again{};
    std::array<std::uint64_t, sampled_keys> highest_fence{};
    std::array<std::uint64_t, sampled_keys> fence{};
    std::array<monotonic_time, sampled_keys> until{};

    [[nodiscard]] bool holds(std::uint32_t sample, monotonic_time now) const
    {
        return this->up && now < this->until.at(sample);
    }
};

/// Simulates leaders, backend servers and the store in virtual time. Orders are lost, delayed and
/// repeated, servers restart, and replaced leaders continue for a while before they notice.
class key_grant_simulation {
public:
    explicit key_grant_simulation(const simulation_settings& settings_)
        : settings{settings_}, random_state{settings_.seed}
    {
        for (std::uint32_t i = 0; i < this->settings.servers; ++i) {
            this->servers.push_back({.name = "s" + std::to_string(i)});
        }
        this->store.revision = 0;
        this->start_leader();
    }

    void run()
    {
        const auto faults_end = this->now + this->settings.faults;
        const auto end = faults_end + this->settings.calm;
        while (this->now < end) {
            this->faulty = this->now < faults_end;
            this->copies.push_back(this->store);
            if (this->faulty) {
                this->inject_faults();
            }
            else {
                this->repair();
            }
            this->deliver();
            for (std::size_t i = 0; i < this->leaders.size(); ++i) {
                this->tick(i);
            }
            this->check();
            this->now += simulation_step;
        }
    }

    /// Number of observations of a key held by two running servers.
    std::uint32_t double_owners = 0;
    /// Number of grants with a fence that was not above those of the other servers.
    std::uint32_t fences_not_above = 0;

    /// Number of sampled keys without an owner at the current time.
    [[nodiscard]] std::uint32_t unowned() const
    {
        std::uint32_t out = 0;
        for (std::uint32_t sample = 0; sample < sampled_keys; ++sample) {
            out += this->holders(sample) == 0 ? 1U : 0U;
        }
        return out;
    }
    /// Number of sampled keys that nobody has held for the last second.
    [[nodiscard]] std::uint32_t unowned_for_a_second() const
    {
        return static_cast<std::uint32_t>(
            std::count_if(this->last_held.begin(), this->last_held.end(),
                          [this](auto at) { return this->now > at + seconds{1}; }));
    }
    [[nodiscard]] const key_table& table() const { return this->store.table; }

private:
    /// What the store holds.
    struct contents {
        store_era era{};
        key_table table;
        std::int64_t revision = 1;
        leader_term term;
    };
    /// A kept connection of a leader to a server process.
    struct connection {
        std::uint64_t lifetime = 0; ///< of the process
        monotonic_time connected_at{};
    };
    struct leader {
        std::uint64_t term = 0;
        std::int64_t revision = 0;
        store_era era{};
        std::unique_ptr<key_grant_manager> manager;
        std::optional<monotonic_time> continues_at; ///< when it claims a term of a new era
        monotonic_time authority_until = monotonic_time::max();
        monotonic_time former_orders_end{};
        monotonic_time lease_until = monotonic_time::max();
        milliseconds news{0}; ///< until it learns of a restart
        process_continuity processes;
        std::map<std::string, connection> connections; ///< by server
        bool cut_from_store = false;              ///< its writes have no effect and get no answer
        std::optional<monotonic_time> written_at; ///< when it learns of its last write
    };
    struct pending_order {
        monotonic_time at;
        std::size_t leader = 0;
        send_order action;
        std::uint64_t lifetime = 0; ///< of the server that the order was sent to
        monotonic_time arrival;
        monotonic_time deadline;
        monotonic_time answer_from; ///< no answer arrives earlier
        bool answered = true;
    };
    struct slow_order {
        monotonic_time at;
        monotonic_time deadline;
        std::size_t leader = 0;
        send_order action;
    };
    /// Connections of a leader to a server that were open when the cut began. An order that is held
    /// back ends with its connection, and a later one takes a new connection.
    struct connection_cut {
        std::size_t leader = 0;
        std::string server;
        bool to_server = true;
        std::uint32_t connections = 0; ///< that are still kept
        monotonic_time until;
    };
    struct pending_answer {
        monotonic_time at;
        std::size_t leader = 0;
        std::uint64_t call = 0;
        order_answer answer;
    };

    bool chance(double share)
    {
        constexpr std::uint64_t whole = 1'000'000;
        return static_cast<double>(next_random(this->random_state) % whole) <
               share * static_cast<double>(whole);
    }

    milliseconds time_up_to(milliseconds most)
    {
        return milliseconds{static_cast<std::int64_t>(
            next_random(this->random_state) % static_cast<std::uint64_t>(most.count() + 1))};
    }

    /// The era as the code under test sees it.
    [[nodiscard]] store_era seen_era() const
    {
        return this->settings.ignores_era ? store_era{} : this->store.era;
    }

    /// The time until grants of earlier leaders may last.
    [[nodiscard]] monotonic_time former_orders_end() const
    {
        if (!this->settings.wait_for_former_orders) {
            return this->now;
        }
        const auto usual = former_orders_wait({.stored = this->store.term}, this->seen_era(), {});
        const bool waits_for_authority = usual > outage_authority;
        return this->now + usual -
               (waits_for_authority ? outage_authority - this->settings.authority
                                    : milliseconds{0});
    }

    /// A host that knows nothing but the store takes over.
    void start_leader()
    {
        const auto wait_until = this->former_orders_end();
        const auto era = this->seen_era();
        const auto fence_in_store = this->store.table.next_fence;
        auto table = this->store.revision == 0 ? adopt_table({"lessons"}, std::nullopt, era)
                                               : adopt_table({"lessons"}, this->store.table, era);
        if (this->settings.takes_fences_from_store) {
            table.next_fence = fence_in_store;
        }
        this->store.term = {.term = next_term(this->store.term.term, era),
                            .host = {"h" + std::to_string(this->leaders.size())},
                            .hold = grant_manager_settings{}.hold};
        leader next{.term = this->store.term.term,
                    .revision = this->store.revision,
                    .era = this->store.era,
                    .former_orders_end = wait_until,
                    .news = this->time_up_to(this->settings.longest_news)};
        next.manager = std::make_unique<key_grant_manager>(grant_manager_settings{},
                                                           std::move(table), wait_until, this->now);
        this->leaders.push_back(std::move(next));
    }

    /// Claims a term in a new era of the store unless another leader has, or the store is lost.
    void continue_leading(leader& own)
    {
        own.continues_at.reset();
        if (own.cut_from_store || !is_latest_of_era(own.lease_until, this->restored_at) ||
            this->store.term.term >= first_number_of(this->store.era)) {
            own.authority_until = std::min(own.authority_until, this->now);
            return;
        }
        own.manager->continue_in_new_era(first_number_of(this->store.era));
        own.era = this->store.era;
        own.term = next_term(own.term, own.era);
        own.revision = ++this->store.revision;
        own.written_at.reset();
        this->store.term.term = own.term;
        this->store.term.resigned = false;
        this->store.table = own.manager->table();
    }

    /// Partitions the current leader from the store. It continues for a while, and some servers may
    /// be reached by it alone.
    void change_leader()
    {
        this->leaders.back().authority_until = this->now + this->settings.authority;
        this->leaders.back().lease_until = this->now;
        if (this->settings.leaders_resign) {
            this->leaders.back().cut_from_store = true;
            auto& server = this->servers.at(next_random(this->random_state) % this->servers.size());
            server.last_leader = this->leaders.size() - 1;
            server.reached_again = this->now + 2 * this->settings.authority;
        }
        this->start_leader();
    }

    /// The current leader stops sending orders and says so.
    void resign()
    {
        auto& last = this->leaders.back();
        if (last.term == this->store.term.term) {
            last.authority_until = this->now;
            this->store.term.resigned = true;
            this->store.term.former_orders =
                std::max(std::chrono::ceil<milliseconds>(last.former_orders_end - this->now),
                         milliseconds{0});
            this->start_leader();
        }
    }

    /// Goes back by up to 5 s. The leader notices after a while; it may end or be cut off before.
    void restore_store()
    {
        const auto steps =
            static_cast<std::size_t>(this->time_up_to(max_copy_age) / simulation_step);
        if (steps >= this->copies.size()) {
            return;
        }
        const auto era = store_era{static_cast<std::uint64_t>(this->store.era) + 1};
        this->store = this->copies[this->copies.size() - 1 - steps];
        this->store.era = era;
        this->restored_at = this->now;
        this->copies.clear();
        if (!this->settings.ignores_era) {
            this->leaders.back().continues_at = this->now + this->time_up_to(milliseconds{700});
        }
        if (this->settings.former_leaders_continue) {
            for (auto& own : this->leaders) {
                own.cut_from_store = false;
                own.continues_at = this->now + this->time_up_to(milliseconds{700});
            }
        }
        if (this->chance(0.3)) {
            this->change_leader();
        }
    }

    void inject_faults()
    {
        if (this->settings.store_restored && this->chance(0.001)) {
            this->restore_store();
        }
        if (this->settings.leaders_change && this->chance(0.002)) {
            this->change_leader();
        }
        if (this->settings.leaders_resign && this->chance(0.003)) {
            this->resign();
        }
        if (this->settings.servers_restart && this->chance(0.003)) {
            auto& server = this->servers.at(next_random(this->random_state) % this->servers.size());
            auto restarts = std::move(server.restarts);
            restarts.emplace_back(server.lifetime + 1, this->now);
            server = {.name = server.name,
                      .lifetime = server.lifetime + 1,
                      .up = this->chance(0.5),
                      .takes_keys = true,
                      .restarts = std::move(restarts)};
        }
        if (this->chance(this->settings.cuts)) {
            this->cut_connections();
        }
        if (this->chance(0.003)) {
            auto& server = this->servers.at(next_random(this->random_state) % this->servers.size());
            server.takes_keys = !server.takes_keys;
        }
    }

    void repair()
    {
        for (auto& server : this->servers) {
            if (!server.up) {
                server.restarts.emplace_back(++server.lifetime, this->now);
            }
            server.up = true;
            server.takes_keys = true;
            server.reached_again = this->now;
        }
    }

    void cut_connections()
    {
        constexpr std::uint32_t most_kept = 4;
        const auto& server =
            this->servers.at(next_random(this->random_state) % this->servers.size());
        this->cuts.push_back({.leader = this->leaders.size() - 1,
                              .server = server.name,
                              .to_server = this->chance(0.5),
                              .connections = 1 + static_cast<std::uint32_t>(
                                                     next_random(this->random_state) % most_kept),
                              .until = this->now + this->time_up_to(this->settings.longest_cut)});
    }

    /// The lifetime of a server as a leader knows it.
    [[nodiscard]] std::uint64_t known_lifetime(const simulated_server& server,
                                               const leader& own) const
    {
        std::uint64_t out = 1;
        for (const auto& [lifetime, at] : server.restarts) {
            out = this->now >= at + own.news ? lifetime : out;
        }
        return out;
    }

    void tick(std::size_t index)
    {
        auto& own = this->leaders[index];
        if (this->now >= own.authority_until) {
            return;
        }
        if (own.continues_at && this->now >= *own.continues_at) {
            this->continue_leading(own);
        }
        if (own.written_at && this->now >= *own.written_at) {
            own.written_at.reset();
            own.manager->on_written(this->now);
        }
        std::vector<key_server> known;
        for (const auto& server : this->servers) {
            known.push_back({.id = {server.name},
                             .lifetime = this->known_lifetime(server, own),
                             .address = server.name,
                             .takes_keys = server.takes_keys});
        }
        for (const auto& action : own.manager->on_tick(known, this->loads, this->now)) {
            if (const auto* order = std::get_if<send_order>(&action)) {
                this->send(index, *order);
            }
            else {
                this->write(own, std::get<write_table>(action).table);
            }
        }
    }

    /// A write takes effect if there is no newer leader and the known revision is current.
    void write(leader& own, const key_table& table)
    {
        if (own.cut_from_store || own.continues_at) {
            return;
        }
        if (own.term != this->store.term.term || own.revision != this->store.revision) {
            own.authority_until = std::min(own.authority_until, this->now);
            return;
        }
        this->store.table = table;
        own.revision = ++this->store.revision;
        own.written_at = this->now + this->time_up_to(this->settings.longest_write);
    }

    void send(std::size_t index, const send_order& action)
    {
        if (this->faulty && this->chance(this->settings.slow_orders)) {
            this->leaving.push_back(
                {.at = this->now + this->time_up_to(this->settings.latest_leave),
                 .deadline = this->now + action.timeout,
                 .leader = index,
                 .action = action});
            return;
        }
        this->transmit(index, action, this->now + action.timeout);
    }

    /// A leader may be stopped after it last looked at the deadline. One that has lost its
    /// authority is assumed to have looked just before.
    void send_slow_orders()
    {
        const auto due = [this](const auto& one) { return one.at <= this->now; };
        auto left = std::vector<slow_order>{};
        std::copy_if(this->leaving.begin(), this->leaving.end(), std::back_inserter(left), due);
        std::erase_if(this->leaving, due);
        for (const auto& one : left) {
            const bool leads = this->now < this->leaders[one.leader].authority_until;
            if (this->now >= one.deadline && !leads) {
                this->answer_later(one.leader, one.action.call,
                                   {.outcome = order_outcome::not_sent}, milliseconds{0});
                continue;
            }
            this->transmit(one.leader, one.action, std::max(one.deadline, this->now));
        }
    }

    /// Returns the cut that holds back the next order or answer, if there is one.
    const connection_cut* cut_for(std::size_t index, const std::string& server)
    {
        for (auto& one : this->cuts) {
            const bool holds = one.leader == index && one.server == server && one.connections > 0 &&
                               this->now < one.until;
            if (holds) {
                --one.connections;
                return &one;
            }
        }
        return nullptr;
    }

    /// Connects to the server if the kept connection has ended with its process. Returns whether a
    /// grant may be sent on the connection.
    bool reaches_known_process(std::size_t index, const send_order& action,
                               const simulated_server& server)
    {
        auto& own = this->leaders[index];
        auto& kept = own.connections[server.name];
        if (server.up && kept.lifetime != server.lifetime) {
            kept = {.lifetime = server.lifetime, .connected_at = this->now};
        }
        return this->settings.ignores_processes ||
               !std::holds_alternative<grant_keys>(action.order) ||
               own.processes.has_run_since(server.name, own.lease_until, kept.connected_at);
    }

    void transmit(std::size_t index, const send_order& action, monotonic_time deadline)
    {
        const auto server =
            std::find_if(this->servers.begin(), this->servers.end(),
                         [&](const auto& one) { return one.name == action.address; });
        const auto left = std::chrono::ceil<milliseconds>(deadline - this->now);
        if (!this->reaches_known_process(index, action, *server)) {
            this->answer_later(index, action.call, {.outcome = order_outcome::process_unknown},
                               milliseconds{0});
            return;
        }
        const bool unreached = index > server->last_leader && this->now < server->reached_again;
        const auto* held = this->cut_for(index, server->name);
        const bool held_to = held != nullptr && held->to_server;
        const bool held_from = held != nullptr && !held->to_server;
        const bool lost = !server->up || unreached || (held_to && held->until >= deadline) ||
                          (this->faulty && this->chance(this->settings.lost_orders));
        if (lost) {
            this->answer_later(index, action.call, {.outcome = order_outcome::no_answer}, left);
            return;
        }
        const auto arrival =
            (held_to ? held->until : this->now) + this->time_up_to(milliseconds{20});
        const bool late = this->faulty && this->chance(this->settings.late_orders);
        const auto at =
            late ? arrival + milliseconds{2000} + this->time_up_to(milliseconds{10000}) : arrival;
        const bool answer_held = held_from && held->until >= deadline;
        const bool answered = !late && !answer_held && at + answer_time < deadline &&
                              !(this->faulty && this->chance(this->settings.lost_answers));
        this->pending_orders.push_back({.at = at,
                                        .leader = index,
                                        .action = action,
                                        .lifetime = server->lifetime,
                                        .arrival = arrival,
                                        .deadline = deadline,
                                        .answer_from = held_from ? held->until : this->now,
                                        .answered = answered});
        if (!answered) {
            // The connection is reset at the deadline, but on a stopped host not before `arrival`.
            this->answer_later(
                index, action.call, {.outcome = order_outcome::no_answer},
                std::max(left, std::chrono::ceil<milliseconds>(arrival - this->now)));
        }
    }

    /// When the answer to an order that is executed now arrives.
    milliseconds time_to_answer(const pending_order& one)
    {
        const auto latest = std::chrono::floor<milliseconds>(one.deadline - this->now);
        auto out =
            std::max(answer_time, std::chrono::ceil<milliseconds>(one.answer_from - this->now));
        if (this->faulty && out < latest && this->chance(this->settings.slow_answers)) {
            out += this->time_up_to(latest - out);
        }
        return out;
    }

    void answer_later(std::size_t index, std::uint64_t call, order_answer answer, milliseconds in)
    {
        this->answers.push_back(
            {.at = this->now + in, .leader = index, .call = call, .answer = std::move(answer)});
    }

    void deliver()
    {
        this->send_slow_orders();
        const auto due = [this](const auto& one) { return one.at <= this->now; };
        auto arrived = std::vector<pending_order>{};
        std::copy_if(this->pending_orders.begin(), this->pending_orders.end(),
                     std::back_inserter(arrived), due);
        std::erase_if(this->pending_orders, due);
        for (const auto& one : arrived) {
            this->execute(one);
        }
        auto received = std::vector<pending_answer>{};
        std::copy_if(this->answers.begin(), this->answers.end(), std::back_inserter(received), due);
        std::erase_if(this->answers, due);
        for (const auto& one : received) {
            this->leaders[one.leader].manager->on_answer(one.call, one.answer, this->now);
        }
    }

    void execute(const pending_order& one)
    {
        const auto server =
            std::find_if(this->servers.begin(), this->servers.end(), [&](const auto& candidate) {
                return candidate.name == one.action.address;
            });
        if (!server->up || server->lifetime != one.lifetime) {
            // The process that would have answered has ended.
            if (one.answered) {
                this->answer_later(one.leader, one.action.call,
                                   {.outcome = order_outcome::no_answer}, one.action.timeout);
            }
            return;
        }
        order_answer answer{.outcome = order_outcome::done};
        if (const auto* grant = std::get_if<grant_keys>(&one.action.order)) {
            answer.outcome = this->grant(*server, *grant, one.arrival);
        }
        else {
            this->release(*server, std::get<release_keys>(one.action.order));
            answer.handover = server->name;
        }
        if (one.answered) {
            this->answer_later(one.leader, one.action.call, answer, this->time_to_answer(one));
        }
    }

    static std::vector<std::uint32_t> samples_in(const key_span& keys)
    {
        std::vector<std::uint32_t> out;
        for (std::uint32_t sample = 0; sample < sampled_keys; ++sample) {
            const auto key = sample * keys_per_sample;
            if (key >= keys.first && key <= keys.last) {
                out.push_back(sample);
            }
        }
        return out;
    }

    order_outcome grant(simulated_server& server, const grant_keys& order, monotonic_time arrival)
    {
        const auto samples = samples_in(order.keys);
        const bool refused = std::any_of(samples.begin(), samples.end(), [&](auto sample) {
            return server.highest_fence.at(sample) > order.fence;
        });
        if (refused) {
            return order_outcome::higher_fence_seen;
        }
        const std::chrono::duration<double, std::milli> slow{
            static_cast<double>(order.hold.count()) * this->settings.slow_clock};
        const auto until = arrival + std::chrono::duration_cast<milliseconds>(slow);
        for (const auto sample : samples) {
            // A grant that is executed after its expiry grants no keys.
            if (until > this->now) {
                this->check_fence(server, sample, order.fence);
            }
            server.highest_fence.at(sample) = order.fence;
            server.fence.at(sample) = order.fence;
            server.until.at(sample) = until;
        }
        return order_outcome::done;
    }

    void check_fence(const simulated_server& server, std::uint32_t sample, std::uint64_t fence)
    {
        for (const auto& other : this->servers) {
            if (other.name != server.name && other.highest_fence.at(sample) >= fence &&
                server.fence.at(sample) != fence) {
                ++this->fences_not_above;
            }
        }
    }

    static void release(simulated_server& server, const release_keys& order)
    {
        for (const auto sample : samples_in(order.keys)) {
            if (server.fence.at(sample) <= order.fence) {
                server.until.at(sample) = {};
            }
        }
    }

    [[nodiscard]] std::uint32_t holders(std::uint32_t sample) const
    {
        return static_cast<std::uint32_t>(
            std::count_if(this->servers.begin(), this->servers.end(),
                          [&](const auto& server) { return server.holds(sample, this->now); }));
    }

    void check()
    {
        for (std::uint32_t sample = 0; sample < sampled_keys; ++sample) {
            const auto count = this->holders(sample);
            this->double_owners += count > 1 ? 1U : 0U;
            this->last_held.at(sample) = count > 0 ? this->now : this->last_held.at(sample);
        }
    }

    simulation_settings settings;
    std::uint64_t random_state;
    monotonic_time now{std::chrono::hours{1}};
    bool faulty = true;
    std::vector<simulated_server> servers;
    std::vector<leader> leaders;
    std::vector<pending_order> pending_orders;
    std::vector<pending_answer> answers;
    std::vector<slow_order> leaving; ///< decided, but not sent yet
    std::vector<connection_cut> cuts;
    observed_loads loads{.recent = key_loads{{}}, .usual = key_loads{{}}};
    contents store;
    monotonic_time restored_at{};
    std::array<monotonic_time, sampled_keys> last_held{};
    std::vector<contents> copies; ///< one of each step since the last restore
};

} // namespace figreach::direct::test
