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

/// Simulates hosts that exchange membership messages in virtual time over a network with delay,
/// loss and partitions.
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
        : config{settings_}, random{seed}
    {
        for (std::size_t i = 0; i < count; ++i) {
            this->add();
        }
    }

    /// Adds a host and starts it. The first two hosts are the seeds.
    void add()
    {
        const auto number = this->hosts.size();
        this->hosts.emplace_back();
        this->hosts.back().number = number;
        this->restart(number);
    }

    /// Starts a host without any state, at the same address and with a higher incarnation.
    void restart(std::size_t number)
    {
        auto& entry = this->hosts[number];
        ++entry.starts;
        entry.runs = true;
        constexpr std::uint64_t incarnation_step = 1000;
        host_identity identity{.name = name(number),
                               .incarnation = entry.starts * incarnation_step,
                               .failure_domain = {"d" + std::to_string(number % 3)},
                               .peer_address = address(number),
                               .forward_address = "10.0.0.1:8000",
                               .seeds = {address(0), address(1)}};
        entry.peers = std::make_unique<membership>(identity, this->config.membership);
    }

    void stop(std::size_t number) { this->hosts[number].runs = false; }
    [[nodiscard]] bool runs(std::size_t number) const { return this->hosts[number].runs; }
    void pause(std::size_t number) { this->hosts[number].paused = true; }
    void resume(std::size_t number) { this->hosts[number].paused = false; }
    void set_reachability(reachability rule) { this->reaches = std::move(rule); }
    void set_gossip(std::size_t number, gossip local)
    {
        this->hosts[number].local = std::move(local);
    }
    [[nodiscard]] membership& at(std::size_t number) { return *this->hosts[number].peers; }
    [[nodiscard]] monotonic_time now() const { return this->time; }
    [[nodiscard]] std::uint64_t bytes() const { return this->sent_bytes; }
    [[nodiscard]] std::uint64_t messages() const { return this->sent_messages; }
    [[nodiscard]] const gossip& last_gossip(std::size_t number) const
    {
        return this->hosts[number].last_received;
    }

    static host_id name(std::size_t number) { return {"host-" + std::to_string(number)}; }

    void run(milliseconds duration)
    {
        const auto end = this->time + duration;
        while (this->time < end) {
            this->time += this->config.step;
            this->deliver_due();
            for (auto& entry : this->hosts) {
                if (entry.runs && !entry.paused) {
                    this->send(entry.number, entry.peers->on_tick(entry.local, this->time));
                }
            }
        }
    }

    /// Whether every running host sees exactly the running hosts as live.
    [[nodiscard]] bool is_converged() const
    {
        for (const auto& entry : this->hosts) {
            if (entry.runs && !this->sees_running_hosts(entry)) {
                return false;
            }
        }
        return true;
    }

    /// Whether a host sees another host as live.
    [[nodiscard]] bool sees(std::size_t observer, std::size_t target) const
    {
        for (const auto& state : this->hosts[observer].peers->live_hosts(this->time)) {
            if (state.host == name(target)) {
                return true;
            }
        }
        return false;
    }

    /// Runs until the condition holds or the limit is reached, and returns the elapsed time.
    template <class Condition>
    milliseconds run_until(const Condition& condition, milliseconds limit)
    {
        const auto start = this->time;
        while (!condition() && this->time - start < limit) {
            this->run(this->config.step);
        }
        return std::chrono::duration_cast<milliseconds>(this->time - start);
    }

private:
    struct host {
        std::size_t number = 0;
        std::unique_ptr<membership> peers;
        gossip local;
        gossip last_received;
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

    [[nodiscard]] bool sees_running_hosts(const host& entry) const
    {
        std::size_t running = 0;
        for (const auto& other : this->hosts) {
            running += other.runs ? 1 : 0;
        }
        const auto live = entry.peers->live_hosts(this->time);
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
        for (auto& entry : out) {
            const auto to = number_at(entry.address);
            peer_message message{.sender = name(from), .body = std::move(entry.body)};
            ++this->sent_messages;
            if (this->config.count_bytes) {
                this->sent_bytes += encode(message).size();
            }
            constexpr unsigned percent_scale = 100;
            const bool lost = this->random() % percent_scale < this->config.loss_percent;
            if (!lost && (!this->reaches || this->reaches(from, to))) {
                this->queue.emplace(this->time + this->config.delay,
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
        for (auto& entry : this->hosts) {
            if (entry.paused) {
                continue;
            }
            for (const auto& message : std::exchange(entry.unread, {})) {
                if (entry.runs) {
                    this->receive(entry, message);
                }
            }
        }
    }

    void receive(host& entry, const peer_message& message)
    {
        if (const auto* asked = std::get_if<probe>(&message.body)) {
            entry.last_received = asked->piggyback;
        }
        this->send(entry.number, entry.peers->on_message(message, entry.local, this->time));
    }

    settings config;
    std::mt19937_64 random;
    std::vector<host> hosts;
    std::multimap<monotonic_time, in_flight> queue;
    reachability reaches;
    monotonic_time time{std::chrono::hours{1}};
    std::uint64_t sent_bytes = 0;
    std::uint64_t sent_messages = 0;
};

} // namespace figreach
