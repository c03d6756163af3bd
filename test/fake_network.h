#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "figreach/membership.h"
#include "figreach/peer_codec.h"

namespace figreach {

/// Hosts that exchange membership messages in virtual time over a network with delay and faults.
class fake_network {
public:
    struct settings {
        milliseconds step{10};
        milliseconds delay{1};
        unsigned loss_percent = 0;
        bool count_bytes = false;
        membership_settings membership;
    };

    /// Decides whether a message from one host reaches another.
    using reachability = std::function<bool(std::size_t from, std::size_t to)>;

    fake_network(std::size_t count, settings settings_, std::uint64_t seed)
        : rules{settings_}, random{seed}
    {
        for (std::size_t i = 0; i < count; ++i) {
            this->add();
        }
    }

    /// A new host; the first two are seeds. Hosts added during a run join later.
    void add()
    {
        const auto number = this->hosts.size();
        this->hosts.emplace_back();
        this->hosts.back().number = number;
        this->restart(number);
    }

    /// Starts a host with no memory, at the same address, under a higher incarnation.
    void restart(std::size_t number)
    {
        auto& one = this->hosts[number];
        ++one.starts;
        one.runs = true;
        constexpr std::uint64_t starts_scale = 1000;
        host_identity identity{.name = name(number),
                               .incarnation = one.starts * starts_scale,
                               .failure_domain = {"d" + std::to_string(number % 3)},
                               .peer_address = address(number),
                               .forward_address = "10.0.0.1:8000",
                               .seeds = {address(0), address(1)}};
        one.peers = std::make_unique<membership>(identity, this->rules.membership);
    }

    void stop(std::size_t number) { this->hosts[number].runs = false; }
    [[nodiscard]] bool runs(std::size_t number) const { return this->hosts[number].runs; }
    void pause(std::size_t number) { this->hosts[number].paused = true; }
    void resume(std::size_t number) { this->hosts[number].paused = false; }
    void set_reachability(reachability rule) { this->reaches = std::move(rule); }
    void set_gossip(std::size_t number, gossip news) { this->hosts[number].news = std::move(news); }
    [[nodiscard]] membership& at(std::size_t number) { return *this->hosts[number].peers; }
    [[nodiscard]] monotonic_time now() const { return this->time; }
    [[nodiscard]] std::uint64_t bytes() const { return this->sent_bytes; }
    [[nodiscard]] std::uint64_t messages() const { return this->sent_messages; }
    [[nodiscard]] const gossip& heard(std::size_t number) const
    {
        return this->hosts[number].heard;
    }

    static host_id name(std::size_t number) { return {"host-" + std::to_string(number)}; }

    void run(milliseconds duration)
    {
        const auto end = this->time + duration;
        while (this->time < end) {
            this->time += this->rules.step;
            this->deliver_due();
            for (auto& one : this->hosts) {
                if (one.runs && !one.paused) {
                    this->send(one.number, one.peers->on_tick(one.news, this->time));
                }
            }
        }
    }

    /// Whether every running host sees just the running hosts as live.
    [[nodiscard]] bool is_converged() const
    {
        for (const auto& one : this->hosts) {
            if (one.runs && !this->sees_running_hosts(one)) {
                return false;
            }
        }
        return true;
    }

    /// Whether a running host sees another as live.
    [[nodiscard]] bool sees(std::size_t who, std::size_t whom) const
    {
        for (const auto& state : this->hosts[who].peers->live_hosts(this->time)) {
            if (state.host == name(whom)) {
                return true;
            }
        }
        return false;
    }

    /// Time until a condition holds, or the limit.
    template <class Condition>
    milliseconds run_until(const Condition& condition, milliseconds limit)
    {
        const auto start = this->time;
        while (!condition() && this->time - start < limit) {
            this->run(this->rules.step);
        }
        return std::chrono::duration_cast<milliseconds>(this->time - start);
    }

private:
    struct host {
        std::size_t number = 0;
        std::unique_ptr<membership> peers;
        gossip news;
        gossip heard;
        std::uint64_t starts = 0;
        bool runs = false;
        bool paused = false;
        std::vector<peer_message> unread;
    };

    struct in_flight {
        std::size_t to = 0;
        peer_message message;
    };

    static std::string address(std::size_t number) { return "10.1.0.1:" + std::to_string(number); }

    static std::size_t number_at(const std::string& address)
    {
        return std::stoul(address.substr(address.find(':') + 1));
    }

    [[nodiscard]] bool sees_running_hosts(const host& one) const
    {
        std::size_t running = 0;
        for (const auto& other : this->hosts) {
            running += other.runs ? 1 : 0;
        }
        const auto live = one.peers->live_hosts(this->time);
        if (live.size() != running) {
            return false;
        }
        for (const auto& state : live) {
            const auto number = number_at(state.peer_address);
            if (!this->hosts[number].runs) {
                return false;
            }
        }
        return true;
    }

    void send(std::size_t from, std::vector<send_to_host> out)
    {
        for (auto& one : out) {
            const auto to = number_at(one.address);
            peer_message message{.sender = name(from), .body = std::move(one.body)};
            ++this->sent_messages;
            if (this->rules.count_bytes) {
                this->sent_bytes += encode(message).size();
            }
            constexpr unsigned whole = 100;
            const bool lost = this->random() % whole < this->rules.loss_percent;
            if (!lost && (!this->reaches || this->reaches(from, to))) {
                this->queue.emplace(this->time + this->rules.delay,
                                    in_flight{.to = to, .message = std::move(message)});
            }
        }
    }

    void deliver_due()
    {
        while (!this->queue.empty() && this->queue.begin()->first <= this->time) {
            auto next = std::move(this->queue.begin()->second);
            this->queue.erase(this->queue.begin());
            this->hosts[next.to].unread.push_back(std::move(next.message));
        }
        for (auto& one : this->hosts) {
            if (one.paused) {
                continue;
            }
            for (const auto& message : std::exchange(one.unread, {})) {
                if (one.runs) {
                    this->receive(one, message);
                }
            }
        }
    }

    void receive(host& one, const peer_message& message)
    {
        if (const auto* asked = std::get_if<probe>(&message.body)) {
            one.heard = asked->piggyback;
        }
        this->send(one.number, one.peers->on_message(message, one.news, this->time));
    }

    settings rules;
    std::mt19937_64 random;
    std::vector<host> hosts;
    std::multimap<monotonic_time, in_flight> queue;
    reachability reaches;
    monotonic_time time{std::chrono::hours{1}};
    std::uint64_t sent_bytes = 0;
    std::uint64_t sent_messages = 0;
};

} // namespace figreach
