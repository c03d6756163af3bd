#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "figreach/assigner.h"
#include "figreach/document_codec.h"
#include "figreach/ownership.h"
#include "figreach/peer_codec.h"

/// Simulates real `ownership` objects in virtual time against fake stores, networks and backend
/// servers, and checks the invariants after each step.
namespace ownership_fakes {

using namespace figreach;

inline constexpr milliseconds tick_interval{25};
inline constexpr milliseconds gossip_interval{250};
inline constexpr milliseconds suspect_after{900};
inline constexpr milliseconds store_timeout{300};
inline constexpr milliseconds longest_deadline{300};

enum class fault_kind : std::uint8_t {
    store_down,
    store_loses_answers, ///< no write is answered, half of them take effect
    host_without_store,
    host_isolated,      ///< unreachable for hosts and store, not for backend servers
    host_outbound_loss, ///< messages from it to other hosts are lost
    host_inbound_loss,  ///< messages from other hosts to it are lost
    host_paused,
    host_restarted, ///< down for the duration, then back without state
    server_frozen,
    server_restarted,
    server_unreachable, ///< for all hosts
    server_split,       ///< reachable only for isolated hosts
    lossy,              ///< loses half of the messages between hosts and duplicates some
    slow,               ///< long random delays of messages and calls
    move,               ///< some slices of the backend server are moved
};
inline constexpr int fault_kind_count = 15;

struct fault_step {
    fault_kind kind = fault_kind::move;
    unsigned target = 0;
    milliseconds at{0};
    milliseconds lasts{0};
};

struct simulation_settings {
    unsigned hosts = 5;
    unsigned servers = 3;
    bool checks_fences = true;
    std::uint32_t seed = 1;
    ownership_settings rules;
    unsigned drift_percent = 2;       ///< of each clock, in either direction
    bool store_compares = true;       ///< false: deliberately broken
    bool reread_after_silence = true; ///< false: unanswered writes are taken as successful
};

/// A backend server that handles fenced grants as specified in grant.h.
struct fake_server {
    std::uint64_t incarnation = 1;
    grant present;
    monotonic_time until{};
    std::map<std::uint64_t, monotonic_time> answered_at;

    grant_answer on_grant(const grant& asked, monotonic_time now)
    {
        const bool later =
            asked.term == this->present.term && asked.sequence > this->present.sequence;
        const bool accepted = asked.term > this->present.term || later;
        if (accepted) {
            if (asked.term > this->present.term) {
                this->answered_at.clear();
            }
            const auto start = this->answered_at.find(asked.after);
            const bool known = start != this->answered_at.end();
            this->until = known ? start->second + asked.duration : monotonic_time{};
            this->present = asked;
            this->answered_at[asked.sequence] = now;
        }
        return {.accepted = accepted,
                .sequence = asked.sequence,
                .term = this->present.term,
                .incarnation = this->incarnation};
    }

    /// Returns the fence of the slice that contains a hash, or 0 if the hash is not served.
    std::uint64_t fence_of(key_hash hash, monotonic_time now) const
    {
        for (const auto& one : this->present.slices) {
            if (now < this->until && one.first <= hash && hash <= one.last) {
                return one.fence;
            }
        }
        return 0;
    }
};

struct fake_host {
    std::unique_ptr<ownership> process;
    std::uint64_t incarnation = 0;
    std::map<backend_server_id, monotonic_time> may_send_until;
    std::map<host_id, monotonic_time> heard_at;
    std::map<backend_server_id, server_condition> reported;
    std::set<unsigned> requested_moves; ///< backend servers to move slices off
    std::uint64_t highest_version = 0;
    std::vector<std::function<void()>> waiting; ///< events that arrived while paused
};

class simulation {
public:
    explicit simulation(const simulation_settings& settings_);

    void run(const std::vector<fault_step>& steps, milliseconds length);

    std::string violation;           ///< first violated invariant; empty if none
    milliseconds longest_outage{0};  ///< longest outage of any key after `measure_from`
    milliseconds measure_from{3000}; ///< start of the measurement
    std::uint64_t store_calls = 0;
    std::uint64_t message_bytes = 0; ///< between hosts, excluding membership
    [[nodiscard]] std::uint64_t version() const { return this->history.size(); }
    [[nodiscard]] bool all_served();

private:
    using action = std::function<void()>;

    [[nodiscard]] bool active(fault_kind kind, unsigned target) const;
    [[nodiscard]] bool active(fault_kind kind) const;
    [[nodiscard]] bool reaches(unsigned from, unsigned to) const;
    [[nodiscard]] bool reaches_server(unsigned from, unsigned to) const;
    [[nodiscard]] monotonic_time drifted(unsigned index) const;
    [[nodiscard]] milliseconds delay();
    bool chance(double share) { return std::uniform_real_distribution<>{}(this->random) < share; }
    void at(monotonic_time when, action callback)
    {
        this->events.emplace(when, std::move(callback));
    }
    void start_host(unsigned index);
    void tick_host(unsigned index);
    void gossip_from(unsigned index);
    void deliver(unsigned to, action callback);
    void carry_out(unsigned from, const control_actions& actions);
    void carry_out(unsigned from, const send_to_host& one);
    void carry_out(unsigned from, const call_store& one);
    void carry_out(unsigned from, const call_server& one);
    void carry_out(unsigned, const publish_routes&) {}
    void carry_out(unsigned from, const extend_authority& one);
    store_result execute(const store_call& request);
    store_result write(const compare_and_swap& request);
    [[nodiscard]] cluster_view view_of(unsigned index);
    std::optional<partition> plan(unsigned index, const partition& present);
    void begin_and_end_faults();
    void check();
    void check_owners();
    void check_requests();
    void check_versions();
    void check_coordinators();
    void measure();
    [[nodiscard]] bool served(key_hash hash);
    void fail(const std::string& message);

    simulation_settings settings;
    std::mt19937 random;
    monotonic_time now{};
    monotonic_time begin;
    std::shared_ptr<description> system_description = std::make_shared<description>();
    std::vector<fake_host> hosts;
    std::vector<fake_server> servers;
    std::map<unsigned, std::vector<action>> frozen_calls;
    std::vector<fault_step> steps;
    std::multimap<monotonic_time, action> events;
    std::vector<partition> history; ///< all versions the store has held
    std::int64_t revision = 0;
    std::vector<key_hash> keys;
    std::vector<monotonic_time> served_at;
    std::map<key_hash, std::map<backend_server_id, monotonic_time>> sent_at;
    std::set<const fault_step*> done;
};

inline std::string host_name(unsigned index)
{
    return "host-" + std::to_string(index);
}
inline std::string server_name(unsigned index)
{
    return "server-" + std::to_string(index);
}
inline unsigned index_of(const std::string& name)
{
    return static_cast<unsigned>(std::stoul(name.substr(name.find('-') + 1)));
}

inline simulation::simulation(const simulation_settings& settings_)
    : settings{settings_}, random{settings_.seed}, now{std::chrono::hours{1}}, begin{this->now}
{
    constexpr unsigned domains = 3;
    for (unsigned i = 0; i < domains; ++i) {
        this->system_description->failure_domains.push_back({.name = {"fd-" + std::to_string(i)}});
    }
    this->system_description->version = 1;
    this->system_description->services.push_back({.name = {"lessons"},
                                                  .checks_fences = this->settings.checks_fences,
                                                  .slices_per_server = 3,
                                                  .longest_deadline = longest_deadline});
    for (unsigned i = 0; i < this->settings.servers; ++i) {
        this->system_description->backend_servers.push_back(
            {.name = {server_name(i)},
             .service = {"lessons"},
             .failure_domain = {"fd-" + std::to_string(i % domains)},
             .address = server_name(i)});
    }
    this->servers.resize(this->settings.servers);
    this->hosts.resize(this->settings.hosts);
    const auto count = this->settings.servers * 3;
    for (unsigned i = 0; i < count; ++i) {
        this->keys.push_back(std::numeric_limits<key_hash>::max() / count * i + 1);
    }
    this->served_at.resize(count);
    for (unsigned i = 0; i < this->settings.hosts; ++i) {
        this->start_host(i);
        this->at(this->now + milliseconds{i}, [this, i] { this->tick_host(i); });
        this->at(this->now + milliseconds{10 * i}, [this, i] { this->gossip_from(i); });
    }
}

inline void simulation::run(const std::vector<fault_step>& steps_, milliseconds length)
{
    this->steps = steps_;
    const auto end = this->now + length;
    while (this->violation.empty() && this->events.begin()->first < end) {
        auto next = this->events.extract(this->events.begin());
        this->now = next.key();
        this->begin_and_end_faults();
        next.mapped()();
        this->check();
    }
}

inline bool simulation::active(fault_kind kind, unsigned target) const
{
    const bool of_server =
        kind == fault_kind::server_frozen || kind == fault_kind::server_restarted ||
        kind == fault_kind::server_unreachable || kind == fault_kind::server_split;
    const auto count = of_server ? this->settings.servers : this->settings.hosts;
    for (const auto& one : this->steps) {
        const auto from = this->begin + one.at;
        if (one.kind == kind && one.target % count == target && from <= this->now &&
            this->now < from + one.lasts) {
            return true;
        }
    }
    return false;
}

inline bool simulation::active(fault_kind kind) const
{
    for (const auto& one : this->steps) {
        const auto from = this->begin + one.at;
        if (one.kind == kind && from <= this->now && this->now < from + one.lasts) {
            return true;
        }
    }
    return false;
}

inline bool simulation::reaches(unsigned from, unsigned to) const
{
    return !this->active(fault_kind::host_isolated, from) &&
           !this->active(fault_kind::host_isolated, to) &&
           !this->active(fault_kind::host_outbound_loss, from) &&
           !this->active(fault_kind::host_inbound_loss, to);
}

inline bool simulation::reaches_server(unsigned from, unsigned to) const
{
    const bool split = this->active(fault_kind::server_split, to);
    return !this->active(fault_kind::server_unreachable, to) &&
           !this->active(fault_kind::server_restarted, to) &&
           (!split || this->active(fault_kind::host_isolated, from));
}

/// Returns the clock of a host or backend server. Clocks with even index are fast, the others slow.
inline monotonic_time simulation::drifted(unsigned index) const
{
    const auto passed = this->now - this->begin;
    const auto off = passed * static_cast<int>(this->settings.drift_percent) / 100;
    return index % 2 == 0 ? this->now + off : this->now - off;
}

inline milliseconds simulation::delay()
{
    const int most = this->active(fault_kind::slow) ? 300 : 3;
    return milliseconds{std::uniform_int_distribution<>{1, most}(this->random)};
}

inline void simulation::start_host(unsigned index)
{
    auto& host = this->hosts[index];
    const auto incarnation = host.incarnation + 1;
    host = {};
    host.incarnation = incarnation;
    const host_identity self{.name = {host_name(index)},
                             .incarnation = incarnation,
                             .failure_domain = {"fd-" + std::to_string(index % 3)},
                             .peer_address = host_name(index)};
    const assignment_policy policy{
        .plan = [this, index](const partition& present, const description&,
                              monotonic_time) { return this->plan(index, present); },
        .on_report =
            [this, index](const load_report& report, monotonic_time) {
                this->hosts[index].reported[report.server] = report.condition;
            }};
    host.process = std::make_unique<ownership>(self, this->settings.rules, policy);
}

inline void simulation::tick_host(unsigned index)
{
    auto& host = this->hosts[index];
    if (host.process && !this->active(fault_kind::host_paused, index)) {
        for (auto& one : std::exchange(host.waiting, {})) {
            one();
        }
        this->carry_out(index, host.process->on_tick(this->view_of(index), this->drifted(index)));
    }
    this->at(this->now + tick_interval, [this, index] { this->tick_host(index); });
}

inline void simulation::gossip_from(unsigned index)
{
    const auto& host = this->hosts[index];
    const auto to =
        std::uniform_int_distribution<unsigned>{0, this->settings.hosts - 1}(this->random);
    if (host.process && to != index && !this->active(fault_kind::host_paused, index)) {
        probe body;
        for (const auto& [id, document] : host.process->partitions()) {
            body.piggyback.partitions.push_back({.id = id, .version = document->version});
        }
        this->carry_out(index, send_to_host{.address = host_name(to), .body = body});
    }
    this->at(this->now + gossip_interval, [this, index] { this->gossip_from(index); });
}

/// Runs an action now, or at the end of the host's pause.
inline void simulation::deliver(unsigned to, action callback)
{
    auto& host = this->hosts[to];
    if (!host.process) {
        return;
    }
    if (this->active(fault_kind::host_paused, to)) {
        host.waiting.push_back(std::move(callback));
        return;
    }
    callback();
}

inline void simulation::carry_out(unsigned from, const control_actions& actions)
{
    for (const auto& one : actions) {
        std::visit([this, from](const auto& each) { this->carry_out(from, each); }, one);
    }
}

inline void simulation::carry_out(unsigned from, const send_to_host& one)
{
    const auto to = index_of(one.address);
    this->message_bytes +=
        encode(peer_message{.sender = {host_name(from)}, .body = one.body}).size();
    const bool lossy = this->active(fault_kind::lossy);
    const int copies = lossy && this->chance(0.2) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        if (!this->reaches(from, to) || (lossy && this->chance(0.5))) {
            continue;
        }
        const peer_message message{.sender = {host_name(from)},
                                   .incarnation = this->hosts[from].incarnation,
                                   .body = one.body};
        this->at(this->now + this->delay(), [this, to, message] {
            this->deliver(to, [this, to, message] {
                this->carry_out(to, this->hosts[to].process->on_message(message, this->view_of(to),
                                                                        this->drifted(to)));
            });
        });
    }
}

inline void simulation::carry_out(unsigned from, const call_store& one)
{
    ++this->store_calls;
    const bool unreachable = this->active(fault_kind::store_down) ||
                             this->active(fault_kind::host_without_store, from) ||
                             this->active(fault_kind::host_isolated, from);
    const bool write = std::holds_alternative<compare_and_swap>(one.request);
    const bool loses = write && this->active(fault_kind::store_loses_answers);
    const bool takes_effect = !unreachable && !(loses && this->chance(0.5));
    const auto incarnation = this->hosts[from].incarnation;
    const auto answer = [this, from, incarnation](std::uint64_t call, const store_result& result) {
        this->deliver(from, [this, from, incarnation, call, result] {
            if (this->hosts[from].incarnation == incarnation) {
                this->carry_out(from, this->hosts[from].process->on_store(
                                          {.call = call, .result = result}, this->view_of(from),
                                          this->drifted(from)));
            }
        });
    };
    const bool silent = unreachable || loses;
    this->at(this->now + this->delay(), [=, this, call = one] {
        const auto result =
            takes_effect ? this->execute(call.request) : store_result{store_no_answer{}};
        if (!silent) {
            this->at(this->now + this->delay(), [=] { answer(call.call, result); });
        }
    });
    if (silent) {
        const bool assumes_success = write && !this->settings.reread_after_silence;
        const auto result = assumes_success ? store_result{store_written{this->revision + 1}}
                                            : store_result{store_no_answer{}};
        this->at(this->now + store_timeout, [=, call = one.call] { answer(call, result); });
    }
}

inline store_result simulation::execute(const store_call& request)
{
    if (const auto* cas = std::get_if<compare_and_swap>(&request)) {
        return this->write(*cas);
    }
    store_read out;
    if (!this->history.empty()) {
        const auto& last = this->history.back();
        out.values.push_back(
            {.key = store_key(last.id), .value = encode(last), .revision = this->revision});
    }
    return out;
}

inline store_result simulation::write(const compare_and_swap& request)
{
    if (this->settings.store_compares && request.expected_revision != this->revision) {
        const auto& last = this->history.back();
        return store_conflict{
            {.key = request.key, .value = encode(last), .revision = this->revision}};
    }
    const auto document = decode_partition(request.value);
    const auto next = this->history.size() + 1;
    if (!document || document->version != next || !defect_of(*document).empty()) {
        this->fail("the store received a malformed document or an unexpected version");
        return store_no_answer{};
    }
    this->history.push_back(*document);
    return store_written{++this->revision};
}

inline void simulation::carry_out(unsigned from, const call_server& one)
{
    const auto to = index_of(one.address);
    const auto incarnation = this->hosts[from].incarnation;
    const auto answered = std::make_shared<bool>(false);
    const auto answer = [this, from, incarnation, answered,
                         call = one](const std::optional<grant_answer>& result) {
        if (std::exchange(*answered, true)) {
            return;
        }
        this->deliver(from, [this, from, incarnation, call, result] {
            if (this->hosts[from].incarnation == incarnation) {
                this->carry_out(from, this->hosts[from].process->on_server(
                                          {.server = call.server,
                                           .sequence = call.request.sequence,
                                           .answer = result},
                                          this->view_of(from), this->drifted(from)));
            }
        });
    };
    this->at(this->now + one.timeout, [answer] { answer(std::nullopt); });
    if (!this->reaches_server(from, to)) {
        return;
    }
    const auto deliver_grant = [this, to, answer, request = one.request] {
        const auto result = this->servers[to].on_grant(request, this->drifted(to));
        this->at(this->now + this->delay(), [answer, result] { answer(result); });
    };
    this->at(this->now + this->delay(), [this, to, deliver_grant] {
        if (this->active(fault_kind::server_frozen, to)) {
            this->frozen_calls[to].push_back(deliver_grant);
            return;
        }
        deliver_grant();
    });
}

inline void simulation::carry_out(unsigned from, const extend_authority& one)
{
    this->hosts[from].may_send_until[one.server] = one.until;
}

inline cluster_view simulation::view_of(unsigned index)
{
    cluster_view out{.system_description = this->system_description, .hosts = {}};
    auto& host = this->hosts[index];
    for (unsigned i = 0; i < this->settings.hosts; ++i) {
        const bool speaks = this->hosts[i].process && !this->active(fault_kind::host_paused, i);
        auto& heard = host.heard_at[{host_name(i)}];
        const bool answers = speaks && this->reaches(i, index) && this->reaches(index, i);
        if (i == index || answers) {
            heard = this->now;
        }
        if (this->now - heard < suspect_after) {
            out.hosts.push_back({.host = {host_name(i)},
                                 .incarnation = this->hosts[i].incarnation,
                                 .failure_domain = {"fd-" + std::to_string(i % 3)},
                                 .peer_address = host_name(i)});
        }
    }
    return out;
}

/// A simple assigner: moves slices of lost servers, and requested ones, to the next server that is
/// not lost.
inline std::optional<partition> simulation::plan(unsigned index, const partition& present)
{
    const auto& reported = this->hosts[index].reported;
    const auto is_lost = [&](std::uint32_t server) {
        const auto found = reported.find(present.backend_servers[server]);
        return found != reported.end() && found->second == server_condition::lost;
    };
    auto out = present;
    const auto count = static_cast<std::uint32_t>(present.backend_servers.size());
    for (std::size_t i = 0; i < out.slices.size(); ++i) {
        auto& slice = out.slices[i];
        const bool move_requested =
            this->hosts[index].requested_moves.contains(slice.owner) && i % 2 == 0;
        if (slice.moving_to || (!is_lost(slice.owner) && !move_requested)) {
            continue;
        }
        for (std::uint32_t step = 1; step < count && !slice.moving_to; ++step) {
            const auto next = (slice.owner + step) % count;
            if (!is_lost(next)) {
                slice.moving_to = next;
            }
        }
    }
    this->hosts[index].requested_moves.clear();
    return out;
}

inline void simulation::begin_and_end_faults()
{
    for (const auto& one : this->steps) {
        const bool begins = this->now >= this->begin + one.at && this->done.insert(&one).second;
        if (begins && one.kind == fault_kind::move) {
            for (auto& host : this->hosts) {
                host.requested_moves.insert(one.target % this->settings.servers);
            }
        }
        if (begins && one.kind == fault_kind::server_restarted) {
            auto& server = this->servers[one.target % this->settings.servers];
            server = {.incarnation = server.incarnation + 1};
        }
    }
    for (unsigned i = 0; i < this->settings.hosts; ++i) {
        const bool down = this->active(fault_kind::host_restarted, i);
        if (down) {
            this->hosts[i].process.reset();
            this->hosts[i].waiting.clear();
        }
        else if (!this->hosts[i].process) {
            this->start_host(i);
        }
    }
    for (unsigned i = 0; i < this->settings.servers; ++i) {
        if (this->active(fault_kind::server_restarted, i)) {
            this->frozen_calls[i].clear();
        }
        if (!this->active(fault_kind::server_frozen, i)) {
            for (auto& call : std::exchange(this->frozen_calls[i], {})) {
                call();
            }
        }
    }
}

inline void simulation::check()
{
    this->check_versions();
    this->check_coordinators();
    if (this->settings.checks_fences) {
        this->check_owners();
    }
    else {
        this->check_requests();
    }
    this->measure();
}

/// With backend servers that check fences, at most one may hold a valid grant for a key.
inline void simulation::check_owners()
{
    for (const auto key : this->keys) {
        unsigned owners = 0;
        for (unsigned i = 0; i < this->settings.servers; ++i) {
            owners += this->servers[i].fence_of(key, this->drifted(i)) != 0 ? 1 : 0;
        }
        if (owners > 1) {
            this->fail("two backend servers hold a live grant for a key");
        }
    }
}

/// With servers that do not check fences, no request may be sent to a server while a request for
/// the same key may run at another.
inline void simulation::check_requests()
{
    for (unsigned i = 0; i < this->settings.hosts; ++i) {
        const auto& host = this->hosts[i];
        if (!host.process || this->active(fault_kind::host_paused, i)) {
            continue;
        }
        for (const auto& [id, document] : host.process->partitions()) {
            for (const auto key : this->keys) {
                const auto slice = slice_index(*document, key);
                const auto& owner = owner_of(*document, slice);
                const auto until = host.may_send_until.find(owner);
                const bool sends = !document->slices[slice].moving_to &&
                                   until != host.may_send_until.end() &&
                                   this->drifted(i) < until->second;
                if (!sends) {
                    continue;
                }
                for (const auto& [server, sent] : this->sent_at[key]) {
                    if (server != owner && this->now < sent + longest_deadline) {
                        this->fail("requests for a key run at two backend servers");
                    }
                }
                this->sent_at[key][owner] = this->now;
            }
        }
    }
}

/// Versions never decrease at a host, and each known version matches what the store held.
inline void simulation::check_versions()
{
    for (auto& host : this->hosts) {
        if (!host.process) {
            continue;
        }
        for (const auto& [id, document] : host.process->partitions()) {
            const auto version = document->version;
            if (version < host.highest_version) {
                this->fail("a host went back to an older version");
            }
            host.highest_version = version;
            if (version > this->history.size() ||
                this->history[version - 1].writer != document->writer) {
                this->fail("a host knows an assignment that the store does not hold");
            }
        }
    }
}

inline void simulation::check_coordinators()
{
    std::set<backend_server_id> coordinated;
    for (unsigned index = 0; index < this->settings.hosts; ++index) {
        const auto& host = this->hosts[index];
        if (!host.process) {
            continue;
        }
        for (const auto& hint : host.process->coordinated(this->drifted(index))) {
            if (!coordinated.insert(hint.server).second) {
                this->fail("two hosts have authority over a backend server");
            }
        }
    }
}

inline void simulation::measure()
{
    for (std::size_t i = 0; i < this->keys.size(); ++i) {
        if (this->now < this->begin + this->measure_from || this->served(this->keys[i])) {
            this->served_at[i] = this->now;
        }
        const auto outage =
            std::chrono::duration_cast<milliseconds>(this->now - this->served_at[i]);
        this->longest_outage = std::max(this->longest_outage, outage);
    }
}

inline bool simulation::all_served()
{
    return std::ranges::all_of(this->keys, [this](key_hash key) { return this->served(key); });
}

/// Returns whether some host may send to the key's owner and the owner would serve the key.
inline bool simulation::served(key_hash hash)
{
    for (unsigned i = 0; i < this->settings.hosts; ++i) {
        const auto& host = this->hosts[i];
        if (!host.process || this->active(fault_kind::host_paused, i)) {
            continue;
        }
        for (const auto& [id, document] : host.process->partitions()) {
            const auto slice = slice_index(*document, hash);
            const auto owner = owner_of(*document, slice);
            const auto server = index_of(owner.value);
            const auto until = host.may_send_until.find(owner);
            const bool may_send = !document->slices[slice].moving_to &&
                                  until != host.may_send_until.end() &&
                                  this->drifted(i) < until->second;
            const bool reachable =
                !this->active(fault_kind::server_frozen, server) && this->reaches_server(i, server);
            const bool serves = !this->settings.checks_fences ||
                                this->servers[server].fence_of(hash, this->drifted(server)) ==
                                    document->slices[slice].fence;
            if (may_send && reachable && serves) {
                return true;
            }
        }
    }
    return false;
}

inline void simulation::fail(const std::string& message)
{
    if (this->violation.empty()) {
        const auto at = std::chrono::duration_cast<milliseconds>(this->now - this->begin);
        this->violation = message + " at " + std::to_string(at.count()) + " ms";
    }
}

} // namespace ownership_fakes
