// Measures imbalance, churn and unavailability of keys under a Zipf load with a moving hot set
// while a server is lost and a failure domain is out. Compares the assigner with naive baselines.

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "figreach/assigner.h"
#include "zipf_load.h"

namespace {

using namespace figreach;
using namespace std::chrono_literals;

constexpr std::uint64_t seed = 20261203;
constexpr std::size_t keys = 1'000'000;
constexpr double request_rate = 10'000.0;
constexpr std::size_t hot_keys = 73;
constexpr milliseconds step{100};
constexpr milliseconds report_interval{1000};
constexpr milliseconds plan_interval{500};
constexpr milliseconds hot_set_interval{60'000};
constexpr milliseconds report_lost_after{600}; ///< until the loss of a server is reported
constexpr milliseconds release_time{400};      ///< to release a slice whose owner answers
constexpr milliseconds expiry_time{700};       ///< until the grant of a silent owner expires
constexpr milliseconds cold_time{20'000};

constexpr milliseconds lost_at{300'000};
constexpr milliseconds back_at{400'000};
constexpr milliseconds out_at{500'000};
constexpr milliseconds in_at{600'000};
constexpr milliseconds end_at{700'000};
constexpr milliseconds long_end{7'200'000};

const service_id lessons{"lessons"};
const partition_id lessons_0{.service = lessons, .number = 0};
const backend_server_id lost_server{"s0"};
const failure_domain_id out_domain{"d1"};

enum class policy { static_hash, move_at_once, assigner };

struct policy_row {
    policy kind;
    const char* name;
};

constexpr policy_row policies[] = {
    {policy::static_hash, "static hash, no moves"},
    {policy::move_at_once, "rendezvous, moved at once"},
    {policy::assigner, "assigner"},
};

struct phase {
    const char* name;
    milliseconds begin;
    milliseconds end;
};

constexpr phase phases[] = {
    {"load only, from 60 s", 60'000ms, lost_at},
    {"server lost", lost_at, back_at},
    {"server back", back_at, out_at},
    {"domain out", out_at, in_at},
    {"domain back", in_at, end_at},
};

struct figures {
    std::vector<double> imbalance;
    double moved_width = 0.0;
    double away = 0.0;    ///< seconds without an owner of the key, weighted by requests
    double doubled = 0.0; ///< seconds with two owners of the key, weighted by requests
    milliseconds longest_away{0};
    std::size_t slices = 0;
    std::size_t writes = 0; ///< of the document
};

description describe(std::size_t servers)
{
    description all;
    all.version = 1;
    for (const auto* name : {"d0", "d1", "d2"}) {
        all.failure_domains.push_back({.name = {name}, .region = {"r"}});
    }
    all.services.push_back({.name = lessons});
    for (std::size_t i = 0; i < servers; ++i) {
        all.backend_servers.push_back({.name = {"s" + std::to_string(i)},
                                       .service = lessons,
                                       .failure_domain = all.failure_domains[i % 3].name});
    }
    return all;
}

double width_of(const partition& document, std::size_t index)
{
    const auto count =
        static_cast<double>(last_hash(document, index) - document.slices[index].first) + 1.0;
    return std::ldexp(count, -64);
}

/// Simulates one policy in virtual time.
class run {
public:
    run(policy kind_, std::size_t servers, double exponent)
        : kind{kind_},
          load{keys, exponent, request_rate, seed},
          random{seed},
          all{describe(servers)},
          document{first_assignment(all, lessons_0, {{"h0"}}, "w")},
          planner{{}}
    {
    }

    /// Runs a long time under load without faults and returns the figures of its last tenth.
    figures long_result()
    {
        this->eventful = false;
        for (this->now = 0ms; this->now < long_end; this->now += step) {
            if (this->now == long_end - long_end / 10) {
                this->by_phase.clear();
            }
            this->advance();
        }
        return this->by_phase[""];
    }

    std::map<std::string, figures> result()
    {
        for (this->now = 0ms; this->now < end_at; this->now += step) {
            this->advance();
        }
        return this->by_phase;
    }

private:
    void advance()
    {
        this->change_world();
        this->complete_moves();
        if (this->now % report_interval == 0ms) {
            this->report();
        }
        if (this->now % plan_interval == 0ms) {
            this->plan();
        }
        this->measure();
    }

    [[nodiscard]] monotonic_time time() const
    {
        return monotonic_time{std::chrono::hours{1} + this->now};
    }

    [[nodiscard]] bool is_lost(const backend_server_id& name) const
    {
        return this->eventful && name == lost_server && this->now >= lost_at && this->now < back_at;
    }

    [[nodiscard]] bool is_cold(const backend_server_id& name) const
    {
        if (!this->eventful) {
            return false;
        }
        const bool server_cold =
            name == lost_server && this->now >= back_at && this->now < back_at + cold_time;
        const bool domain_cold = find_server(this->all, name)->failure_domain == out_domain &&
                                 this->now >= in_at && this->now < in_at + cold_time;
        return server_cold || domain_cold;
    }

    void change_world()
    {
        if (this->now > 0ms && this->now % hot_set_interval == 0ms) {
            this->load.move_hot_set(hot_keys);
        }
        if (this->eventful && (this->now == out_at || this->now == in_at)) {
            const auto state = this->now == out_at ? service_state::out : service_state::in;
            this->all.failure_domains[1].state = state;
        }
    }

    void complete_moves()
    {
        bool any_complete = false;
        for (auto& one : this->document.slices) {
            const auto due = this->moving_until.find(one.first);
            if (one.moving_to && due != this->moving_until.end() && this->now >= due->second) {
                one.owner = *one.moving_to;
                one.moving_to.reset();
                ++one.fence;
                this->moving_until.erase(due);
                any_complete = true;
            }
        }
        this->present().writes += any_complete ? 1 : 0;
    }

    void report()
    {
        this->refresh_rates();
        std::map<backend_server_id, load_report> reports;
        for (const auto& name : this->document.backend_servers) {
            auto& one = reports[name];
            one = {.id = lessons_0, .server = name};
            const bool known_lost = this->is_lost(name) && this->now >= lost_at + report_lost_after;
            if (known_lost) {
                one.condition = server_condition::lost;
            }
            else if (this->is_cold(name)) {
                one.condition = server_condition::cold;
            }
        }
        for (std::size_t i = 0; i < this->document.slices.size(); ++i) {
            const auto first = this->document.slices[i].first;
            const auto rate = this->rates[i];
            const auto noise = std::sqrt(rate) * this->normal(this->random);
            reports[owner_of(this->document, i)].slices.push_back(
                {.first = first, .requests_per_second = std::max(0.0, rate + noise)});
        }
        for (const auto& [name, one] : reports) {
            const bool silent = this->is_lost(name) && one.condition != server_condition::lost;
            if (!silent) {
                this->planner.on_report(one, this->time());
            }
        }
    }

    void plan()
    {
        if (this->kind == policy::static_hash) {
            return;
        }
        if (this->kind == policy::move_at_once) {
            this->move_at_once();
            return;
        }
        auto next = this->planner.plan(this->document, this->all, this->time());
        if (!next) {
            return;
        }
        this->document = std::move(*next);
        this->rates.clear();
        ++this->present().writes;
        for (std::size_t i = 0; i < this->document.slices.size(); ++i) {
            const auto& one = this->document.slices[i];
            if (one.moving_to && !this->moving_until.contains(one.first)) {
                const bool silent = this->is_lost(owner_of(this->document, i));
                this->moving_until[one.first] = this->now + (silent ? expiry_time : release_time);
                this->present().moved_width += width_of(this->document, i);
            }
        }
    }

    void move_at_once()
    {
        std::vector<host_id> fit;
        for (const auto& server : this->all.backend_servers) {
            const bool known_lost =
                this->is_lost(server.name) && this->now >= lost_at + report_lost_after;
            if (receives_work(this->all, server) && !known_lost) {
                fit.push_back({server.name.value});
            }
        }
        for (std::size_t i = 0; i < this->document.slices.size(); ++i) {
            auto& one = this->document.slices[i];
            const auto chosen = preferred_host(std::to_string(one.first), fit);
            const auto place =
                std::ranges::find(this->document.backend_servers, backend_server_id{chosen.value});
            const auto owner =
                static_cast<std::uint32_t>(place - this->document.backend_servers.begin());
            if (owner != one.owner) {
                const auto rate = this->load.of_range(one.first, last_hash(this->document, i));
                const auto share = rate / request_rate;
                this->present().doubled +=
                    share * std::chrono::duration<double>{expiry_time}.count();
                this->present().moved_width += width_of(this->document, i);
                one.owner = owner;
            }
        }
    }

    /// Loads of the slices, recomputed only when slices or load have changed.
    void refresh_rates()
    {
        const bool hot_set_moved = this->now % hot_set_interval == 0ms;
        if (!hot_set_moved && this->rates.size() == this->document.slices.size()) {
            return;
        }
        this->rates.clear();
        for (std::size_t i = 0; i < this->document.slices.size(); ++i) {
            const auto first = this->document.slices[i].first;
            this->rates.push_back(this->load.of_range(first, last_hash(this->document, i)));
        }
    }

    void measure()
    {
        this->refresh_rates();
        std::map<backend_server_id, double> loads;
        for (const auto& server : this->all.backend_servers) {
            if (receives_work(this->all, server) && !this->is_lost(server.name)) {
                loads[server.name] = 0.0;
            }
        }
        auto& out = this->present();
        const auto seconds_of_step = std::chrono::duration<double>{step}.count();
        double total = 0.0;
        bool any_away = false;
        for (std::size_t i = 0; i < this->document.slices.size(); ++i) {
            const auto& one = this->document.slices[i];
            const auto rate = this->rates[i];
            const auto& owner = owner_of(this->document, i);
            if (one.moving_to || this->is_lost(owner)) {
                out.away += rate / request_rate * seconds_of_step;
                any_away = true;
            }
            const auto& holder = this->document.backend_servers[one.moving_to.value_or(one.owner)];
            if (loads.contains(holder)) {
                loads[holder] += rate;
                total += rate;
            }
        }
        this->away_for = any_away ? this->away_for + step : 0ms;
        out.longest_away = std::max(out.longest_away, this->away_for);
        double busiest = 0.0;
        for (const auto& [name, rate] : loads) {
            busiest = std::max(busiest, rate);
        }
        out.imbalance.push_back(busiest / (total / static_cast<double>(loads.size())));
        out.slices = std::max(out.slices, this->document.slices.size());
    }

    figures& present()
    {
        for (const auto& one : phases) {
            if (this->eventful && this->now >= one.begin && this->now < one.end) {
                return this->by_phase[one.name];
            }
        }
        return this->by_phase[""];
    }

    policy kind;
    bool eventful = true;
    bench::zipf_load load;
    std::mt19937_64 random;
    std::normal_distribution<double> normal{0.0, 1.0};
    description all;
    partition document;
    assigner planner;
    milliseconds now{0};
    milliseconds away_for{0};
    std::vector<double> rates;
    std::map<key_hash, milliseconds> moving_until;
    std::map<std::string, figures> by_phase;
};

double mean(const std::vector<double>& values)
{
    double sum = 0.0;
    for (const auto one : values) {
        sum += one;
    }
    return sum / static_cast<double>(values.size());
}

double quantile(std::vector<double> values, double share)
{
    std::ranges::sort(values);
    return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

double share_above(const std::vector<double>& values, double limit)
{
    const auto count = std::ranges::count_if(values, [limit](double one) { return one > limit; });
    return static_cast<double>(count) / static_cast<double>(values.size());
}

void print(const policy_row& row, std::map<std::string, figures>& result)
{
    for (const auto& one : phases) {
        auto& seen = result[one.name];
        std::printf(
            "| %s | %s | %.2f | %.2f | %.2f | %.2f | %.3f | %.3f | %.3f | %lld | %zu | %zu |\n",
            row.name, one.name, mean(seen.imbalance), quantile(seen.imbalance, 0.95),
            quantile(seen.imbalance, 1.0), share_above(seen.imbalance, 1.25), seen.moved_width,
            seen.away, seen.doubled, static_cast<long long>(seen.longest_away.count()), seen.slices,
            seen.writes);
    }
}

/// Shows whether slice count and imbalance stay bounded over many changes of the hot set.
void print_long_run()
{
    std::printf("\n12 servers, Zipf exponent 1.0, load only, last tenth of %lld s\n\n",
                static_cast<long long>(std::chrono::duration_cast<seconds>(long_end).count()));
    std::printf(
        "| policy | imbalance mean | p95 | share of time above 1.25 | share of keys moved | "
        "slices |\n|---|---|---|---|---|---|\n");
    const auto seen = run{policy::assigner, 12, 1.0}.long_result();
    std::printf("| assigner | %.2f | %.2f | %.2f | %.3f | %zu |\n", mean(seen.imbalance),
                quantile(seen.imbalance, 0.95), share_above(seen.imbalance, 1.25), seen.moved_width,
                seen.slices);
}

} // namespace

int main()
{
    struct load_row {
        std::size_t servers;
        double exponent;
    };
    constexpr load_row loads[] = {{12, 1.0}, {24, 0.8}, {24, 1.0}};
    for (const auto& one : loads) {
        const bench::zipf_load probe{keys, one.exponent, request_rate, seed};
        const auto bound = probe.hottest() / request_rate * static_cast<double>(one.servers);
        std::printf(
            "\n%zu servers, Zipf exponent %.1f, %zu keys, hottest key %.2f of a mean server, "
            "%zu hottest keys change each 60 s\n\n",
            one.servers, one.exponent, keys, bound, hot_keys);
        std::printf("| policy | phase | imbalance mean | p95 | most | share of time above 1.25 | "
                    "share of keys moved | "
                    "s away (mean request) | s with two owners | longest away ms | slices | "
                    "document writes |\n");
        std::printf("|---|---|---|---|---|---|---|---|---|---|---|---|\n");
        for (const auto& row : policies) {
            auto result = run{row.kind, one.servers, one.exponent}.result();
            print(row, result);
        }
    }
    print_long_run();
    return 0;
}
