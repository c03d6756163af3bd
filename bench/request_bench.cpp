// Compares the request path with naive baselines in virtual time and measures the cost of its
// decisions.

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <tuple>
#include <vector>

#include "figreach/retry_budget.h"
#include "figreach/routing.h"
#include "figreach/server_gate.h"

using namespace figreach;

namespace {

constexpr std::uint32_t servers = 30;
constexpr std::uint32_t slots = 4;
constexpr nanoseconds service_time = milliseconds{10};
constexpr nanoseconds run_time = seconds{20};
constexpr nanoseconds warm_up = seconds{4};
constexpr nanoseconds deadline = seconds{2};
constexpr nanoseconds naive_timeout = milliseconds{500};
constexpr std::uint32_t naive_tries = 4;
constexpr double straggler_factor = 10.0;

enum class policy : std::uint8_t { figreach, no_limits };

struct scenario {
    const char* name;
    double load; ///< fraction of the capacity of all servers
    std::uint32_t stragglers;
    bool restarts = false;                ///< server 0 loses its state and restarts cold
    nanoseconds warmup_step = seconds{1}; ///< until the limit grows by one after a restart
    bool reports_cold = false;            ///< the restarted server reports that it is cold
};

/// Event queue in virtual time.
class timeline {
public:
    void at(nanoseconds when, std::function<void()> what)
    {
        this->events.push({when, this->count++, std::move(what)});
    }

    void run(nanoseconds until)
    {
        while (!this->events.empty() && this->events.top().when < until) {
            auto next = this->events.top();
            this->events.pop();
            this->now = next.when;
            next.what();
        }
    }

    nanoseconds now{0};

private:
    struct event {
        nanoseconds when;
        std::uint64_t order;
        std::function<void()> what;

        bool operator<(const event& other) const
        {
            return std::tie(other.when, other.order) < std::tie(this->when, this->order);
        }
    };

    std::priority_queue<event> events;
    std::uint64_t count = 0;
};

/// Simulated backend server with slots and a queue for requests beyond them.
struct fake_server {
    double factor = 1.0;
    std::uint32_t running = 0;
    std::uint64_t life = 1; ///< grows with each restart
    nanoseconds started{-seconds{1000}};
    std::deque<std::function<void()>> queue;

    /// Maximum concurrent requests; exceeding it counts as a cold violation.
    [[nodiscard]] std::uint32_t concurrency_limit(nanoseconds now, nanoseconds warmup_step) const
    {
        const auto steps = (now - this->started) / warmup_step;
        return static_cast<std::uint32_t>(std::clamp<std::int64_t>(1 + steps, 1, slots));
    }
};

struct request {
    std::uint32_t server = 0;
    nanoseconds arrival{0};
    nanoseconds work{0};
    bool over = false;
    bool answered = false;
    nanoseconds took{0};
};

class simulation {
public:
    simulation(policy how_, scenario what_) : how{how_}, what{what_}
    {
        for (std::uint32_t i = 0; i < servers; ++i) {
            this->backends[i].factor = i < this->what.stragglers ? straggler_factor : 1.0;
            this->gates.emplace_back(gate_settings{.slots = slots, .seed = i + 1});
            this->carry(i, this->gates[i].set_authority(this->authority(i), this->time()));
        }
    }

    void run()
    {
        this->arrive();
        this->tick();
        if (this->what.restarts) {
            this->line.at(warm_up + seconds{2}, [this] { this->restart(); });
        }
        this->line.run(run_time + 4 * deadline);
    }

    std::vector<std::unique_ptr<request>> requests;
    std::uint64_t cold_violations = 0;

private:
    [[nodiscard]] monotonic_time time() const
    {
        return monotonic_time{seconds{1000}} +
               std::chrono::duration_cast<monotonic_time::duration>(this->line.now);
    }

    [[nodiscard]] double uniform()
    {
        return static_cast<double>(next_random(this->random) >> 11U) * 0x1.0p-53;
    }

    [[nodiscard]] gate_authority authority(std::uint32_t index) const
    {
        const auto& server = this->backends[index];
        const bool cold = server.concurrency_limit(this->line.now, this->what.warmup_step) < slots;
        return {.until = monotonic_time::max(),
                .incarnation = server.life,
                .cold = this->what.reports_cold && cold};
    }

    void arrive()
    {
        const double rate =
            this->what.load * servers * slots / std::chrono::duration<double>(service_time).count();
        const auto gap = -std::log(1.0 - this->uniform()) / rate;
        const auto when = this->line.now + std::chrono::duration_cast<nanoseconds>(
                                               std::chrono::duration<double>(gap));
        if (when >= run_time) {
            return;
        }
        this->line.at(when, [this] {
            auto fresh = std::make_unique<request>();
            fresh->server = static_cast<std::uint32_t>(next_random(this->random) % servers);
            fresh->arrival = this->line.now;
            fresh->work = std::chrono::duration_cast<nanoseconds>(
                service_time * (0.5 + this->uniform()) * this->backends[fresh->server].factor);
            this->requests.push_back(std::move(fresh));
            this->begin(this->requests.size() - 1);
            this->arrive();
        });
    }

    void begin(std::size_t id)
    {
        if (this->how == policy::no_limits) {
            this->try_blindly(id, naive_tries);
            return;
        }
        const auto& one = *this->requests[id];
        const auto until = this->time() + std::chrono::duration_cast<milliseconds>(deadline);
        this->carry(one.server, this->gates[one.server].arrive(
                                    {.id = id, .tenant = {"t"}, .deadline = until}, this->time()));
    }

    /// Sends immediately and again after each timeout; earlier attempts keep running.
    void try_blindly(std::size_t id, std::uint32_t tries)
    {
        if (this->requests[id]->over) {
            return;
        }
        if (tries == 0) {
            this->end(id, false);
            return;
        }
        this->execute(id, [this, id](bool whole) {
            if (whole) {
                this->end(id, true);
            }
        });
        this->line.at(this->line.now + naive_timeout,
                      [this, id, tries] { this->try_blindly(id, tries - 1); });
    }

    void execute(std::size_t id, const std::function<void(bool)>& done)
    {
        const auto index = this->requests[id]->server;
        auto& server = this->backends[index];
        if (server.running >= slots) {
            server.queue.emplace_back([this, id, done] { this->execute(id, done); });
            return;
        }
        ++server.running;
        this->cold_violations +=
            server.running > server.concurrency_limit(this->line.now, this->what.warmup_step) ? 1
                                                                                              : 0;
        this->line.at(this->line.now + this->requests[id]->work,
                      [this, index, done, life = server.life] {
                          auto& at = this->backends[index];
                          if (at.life != life) {
                              return;
                          }
                          --at.running;
                          done(true);
                          this->next_of(index);
                      });
    }

    void next_of(std::uint32_t index)
    {
        auto& server = this->backends[index];
        if (!server.queue.empty()) {
            const auto next = std::move(server.queue.front());
            server.queue.pop_front();
            next();
        }
    }

    void carry(std::uint32_t index, const gate_decisions& decisions)
    {
        for (const auto& decision : decisions) {
            if (const auto* refused = std::get_if<gate_refuse>(&decision)) {
                this->end(refused->id, false);
            }
            if (const auto* started = std::get_if<gate_start>(&decision)) {
                this->send(index, started->id);
            }
        }
    }

    void send(std::uint32_t index, std::size_t id)
    {
        const auto begun = this->line.now;
        this->in_flight[index].push_back(id);
        this->execute(id, [this, index, id, begun](bool) {
            std::erase(this->in_flight[index], id);
            const auto took = this->line.now - begun;
            this->end(id, true);
            this->gates[index].note_incarnation(this->backends[index].life, this->time());
            this->carry(index,
                        this->gates[index].finish(id, gate_ending::answered, took, this->time()));
        });
    }

    /// Server 0 loses all its requests and its connections break.
    void restart()
    {
        auto& server = this->backends[0];
        ++server.life;
        server.started = this->line.now;
        server.running = 0;
        const auto lost = std::move(this->in_flight[0]);
        this->in_flight[0].clear();
        auto waiting = std::move(server.queue);
        server.queue.clear();
        for (const auto id : lost) {
            this->end(id, false);
        }
        for (const auto id : lost) {
            this->carry(
                0, this->gates[0].finish(id, gate_ending::failed, nanoseconds{0}, this->time()));
        }
    }

    void tick()
    {
        constexpr milliseconds interval{250};
        for (std::uint32_t i = 0; i < servers; ++i) {
            this->carry(i, this->gates[i].set_authority(this->authority(i), this->time()));
        }
        if (this->line.now < run_time) {
            this->line.at(this->line.now + interval, [this] { this->tick(); });
        }
    }

    void end(std::size_t id, bool answered)
    {
        auto& one = *this->requests[id];
        if (!one.over) {
            one.over = true;
            one.answered = answered;
            one.took = this->line.now - one.arrival;
        }
    }

    policy how;
    scenario what;
    timeline line;
    std::uint64_t random = 20261203;
    std::array<fake_server, servers> backends{};
    std::vector<server_gate> gates;
    std::array<std::vector<std::size_t>, servers> in_flight{};
};

double percentile_ms(std::vector<nanoseconds> values, double share)
{
    if (values.empty()) {
        return 0.0;
    }
    const auto rank = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(rank),
                     values.end());
    return std::chrono::duration<double, std::milli>(values[rank]).count();
}

void report(policy how, const scenario& what)
{
    simulation one{how, what};
    one.run();
    std::vector<nanoseconds> final_all;
    std::vector<nanoseconds> answered_all;
    std::vector<nanoseconds> answered_healthy;
    std::uint64_t good = 0;
    std::uint64_t counted = 0;
    for (const auto& request : one.requests) {
        if (request->arrival < warm_up) {
            continue;
        }
        ++counted;
        const auto took = request->over ? request->took : naive_tries * naive_timeout;
        final_all.push_back(took);
        if (request->answered && took <= deadline) {
            ++good;
            answered_all.push_back(took);
            if (request->server >= what.stragglers) {
                answered_healthy.push_back(took);
            }
        }
    }
    const auto span = std::chrono::duration<double>(run_time - warm_up).count();
    std::printf(
        "%-22s %-10s %10.0f %9.2f%% %10.1f %10.1f %10.1f %10llu\n", what.name,
        how == policy::figreach ? "figreach" : "no limits", static_cast<double>(good) / span,
        100.0 * static_cast<double>(counted - good) / static_cast<double>(counted),
        percentile_ms(answered_healthy, 0.99), percentile_ms(answered_all, 0.99),
        percentile_ms(final_all, 0.99), static_cast<unsigned long long>(one.cold_violations));
}

template <class Action>
double nanoseconds_each(std::uint32_t rounds, Action action)
{
    const auto begin = std::chrono::steady_clock::now();
    for (std::uint32_t i = 0; i < rounds; ++i) {
        action(i);
    }
    const std::chrono::duration<double, std::nano> took = std::chrono::steady_clock::now() - begin;
    return took.count() / rounds;
}

void report_lookup()
{
    constexpr std::uint32_t slices = 100000;
    constexpr std::uint32_t rounds = 1000000;
    const service served{.name = {"s"}};
    partition whole{.id = {.service = {"s"}, .number = 0}};
    routing_snapshot snapshot;
    for (std::uint32_t i = 0; i < servers; ++i) {
        const backend_server_id name{"b" + std::to_string(i)};
        whole.backend_servers.push_back(name);
        snapshot.servers[name] = {.server = name};
    }
    const auto width = ~key_hash{0} / slices;
    for (std::uint32_t i = 0; i < slices; ++i) {
        whole.slices.push_back({.first = width * i, .owner = i % servers, .fence = 1});
    }
    snapshot.partitions[whole.id] = std::make_shared<partition>(whole);
    std::vector<std::string> keys;
    for (std::uint32_t i = 0; i < 4096; ++i) {
        keys.push_back("lesson-" + std::to_string(i));
    }
    std::uint64_t sum = 0;
    const auto each = nanoseconds_each(rounds, [&](std::uint32_t i) {
        sum += find_route(snapshot, served, keys[i % keys.size()]).hash;
    });
    std::printf("find_route, %u slices: %.0f ns (check %llu)\n", slices, each,
                static_cast<unsigned long long>(sum % 10));
}

void report_gate(std::uint32_t waiting)
{
    constexpr std::uint32_t rounds = 300000;
    server_gate gate{{.slots = slots}};
    const auto now = monotonic_time{seconds{1000}};
    static_cast<void>(gate.set_authority({.until = monotonic_time::max()}, now));
    const auto ask = [&gate, now](ticket id) {
        return gate.arrive({.id = id, .tenant = {"t"}, .deadline = now + seconds{2}}, now);
    };
    std::deque<ticket> running;
    ticket last = 0;
    while (gate.waiting() < waiting || gate.running() < slots - 1) {
        if (std::holds_alternative<gate_start>(ask(++last).back())) {
            running.push_back(last);
        }
    }
    std::uint64_t decisions = 0;
    const auto each = nanoseconds_each(rounds, [&](std::uint32_t) {
        for (const auto& decision : ask(++last)) {
            if (const auto* started = std::get_if<gate_start>(&decision)) {
                running.push_back(started->id);
            }
        }
        const auto oldest = running.front();
        running.pop_front();
        for (const auto& decision :
             gate.finish(oldest, gate_ending::answered, milliseconds{5}, now)) {
            ++decisions;
            if (const auto* started = std::get_if<gate_start>(&decision)) {
                running.push_back(started->id);
            }
        }
    });
    std::printf("gate arrive + finish, %u waiting: %.0f ns (check %llu)\n", waiting, each,
                static_cast<unsigned long long>(decisions % 10));
}

} // namespace

int main()
{
    const scenario scenarios[] = {
        {"60 % load", 0.6, 0},
        {"60 %, 2 stragglers", 0.6, 2},
        {"full load", 1.0, 0},
        {"2 x overload", 2.0, 0},
        {"60 %, cold restart", 0.6, 0, true},
        {"full, cold restart", 1.0, 0, true},
        {"full, slow, claimed", 1.0, 0, true, seconds{3}, true},
        {"full, slow, unclaimed", 1.0, 0, true, seconds{3}},
    };
    std::printf("%-22s %-10s %10s %10s %10s %10s %10s %10s\n", "scenario", "policy", "good/s",
                "not good", "p99 healthy", "p99 good", "p99 final", "cold viol.");
    for (const auto& one : scenarios) {
        report(policy::figreach, one);
        report(policy::no_limits, one);
    }
    report_lookup();
    report_gate(0);
    report_gate(32);
    return 0;
}
