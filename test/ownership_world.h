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

/// Small fakes around real `ownership` objects in virtual time, and the checks after each step.
namespace ownership_fakes {

using namespace figreach;

inline constexpr milliseconds tick_interval{25};
inline constexpr milliseconds gossip_interval{250};
inline constexpr milliseconds suspect_after{900};
inline constexpr milliseconds store_timeout{300};
inline constexpr milliseconds longest_deadline{300};

enum class fault_kind : std::uint8_t {
    store_down,
    store_loses_answers, ///< half of the writes without an answer took effect
    host_without_store,
    host_alone,   ///< cut off from hosts and store, not from the backend servers
    host_unheard, ///< its messages to other hosts are lost
    host_deaf,    ///< messages of other hosts to it are lost
    host_paused,
    host_restarted, ///< gone for the time, then back without memory
    server_frozen,
    server_restarted,
    server_unreachable, ///< from all hosts
    server_split,       ///< reached only by hosts that are alone
    lossy,              ///< half of the messages between hosts
    slow,               ///< long and varying delays between hosts and to backend servers
    move,               ///< the assigner moves some slices of the backend server
};
inline constexpr int fault_kinds = 15;

struct fault_step {
    fault_kind kind = fault_kind::move;
    unsigned who = 0;
    milliseconds at{0};
    milliseconds lasts{0};
};

struct world_settings {
    unsigned hosts = 5;
    unsigned servers = 3;
    bool checks_fences = true;
    std::uint32_t seed = 1;
    ownership_settings rules;
    unsigned drift_percent = 2;       ///< of each clock, either way
    bool store_compares = true;       ///< false: broken on purpose
    bool reread_after_silence = true; ///< false: a write without an answer passes for done
};

/// A backend server that takes fenced grants as grant.h says.
struct fake_server {
    std::uint64_t incarnation = 1;
    grant present;
    monotonic_time until{};
    std::map<std::uint64_t, monotonic_time> answered_at;

    grant_answer take(const grant& asked, monotonic_time now)
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

    /// Fence of the slice that holds a hash; 0: not served.
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
    std::set<unsigned> moves_wanted; ///< backend servers that are to lose slices
    std::uint64_t highest_version = 0;
    std::vector<std::function<void()>> waiting; ///< arrived while paused
};

class world {
public:
    explicit world(const world_settings& settings_);

    void run(const std::vector<fault_step>& steps, milliseconds length);

    std::string violation;           ///< empty: none seen
    milliseconds longest_away{0};    ///< of any key, after `measure_from`
    milliseconds measure_from{3000}; ///< start of the measurement
    std::uint64_t store_calls = 0;
    std::uint64_t message_bytes = 0; ///< between hosts, without membership
    [[nodiscard]] std::uint64_t version() const { return this->history.size(); }
    [[nodiscard]] bool all_served();

private:
    using action = std::function<void()>;

    [[nodiscard]] bool active(fault_kind kind, unsigned who) const;
    [[nodiscard]] bool active(fault_kind kind) const;
    [[nodiscard]] bool reaches(unsigned from, unsigned to) const;
    [[nodiscard]] bool reaches_server(unsigned from, unsigned to) const;
    [[nodiscard]] monotonic_time drifted(unsigned index) const;
    [[nodiscard]] milliseconds delay();
    bool chance(double share) { return std::uniform_real_distribution<>{}(this->random) < share; }
    void at(monotonic_time when, action what) { this->events.emplace(when, std::move(what)); }
    void start_host(unsigned index);
    void tick_host(unsigned index);
    void gossip_from(unsigned index);
    void deliver(unsigned to, action what);
    void carry_out(unsigned from, const control_actions& actions);
    void carry_out(unsigned from, const send_to_host& one);
    void carry_out(unsigned from, const call_store& one);
    void carry_out(unsigned from, const call_server& one);
    void carry_out(unsigned, const publish_routes&) {}
    void carry_out(unsigned from, const extend_authority& one);
    store_result execute(const store_call& what);
    store_result write(const compare_and_swap& what);
    [[nodiscard]] surroundings around(unsigned index);
    std::optional<partition> plan(unsigned index, const partition& present);
    void begin_and_end_faults();
    void check();
    void check_owners();
    void check_requests();
    void check_versions();
    void check_coordinators();
    void measure();
    [[nodiscard]] bool served(key_hash hash);
    void fail(const std::string& what);

    world_settings settings;
    std::mt19937 random;
    monotonic_time now{};
    monotonic_time begin;
    std::shared_ptr<description> shared = std::make_shared<description>();
    std::vector<fake_host> hosts;
    std::vector<fake_server> servers;
    std::map<unsigned, std::vector<action>> frozen_calls;
    std::vector<fault_step> steps;
    std::multimap<monotonic_time, action> events;
    std::vector<partition> history; ///< what the store held, version by version
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

inline world::world(const world_settings& settings_)
    : settings{settings_}, random{settings_.seed}, now{std::chrono::hours{1}}, begin{this->now}
{
    constexpr unsigned domains = 3;
    for (unsigned i = 0; i < domains; ++i) {
        this->shared->failure_domains.push_back({.name = {"fd-" + std::to_string(i)}});
    }
    this->shared->version = 1;
    this->shared->services.push_back({.name = {"lessons"},
                                      .checks_fences = this->settings.checks_fences,
                                      .slices_per_server = 3,
                                      .longest_deadline = longest_deadline});
    for (unsigned i = 0; i < this->settings.servers; ++i) {
        this->shared->backend_servers.push_back(
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

inline void world::run(const std::vector<fault_step>& steps_, milliseconds length)
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

inline bool world::active(fault_kind kind, unsigned who) const
{
    const bool of_server =
        kind == fault_kind::server_frozen || kind == fault_kind::server_restarted ||
        kind == fault_kind::server_unreachable || kind == fault_kind::server_split;
    const auto count = of_server ? this->settings.servers : this->settings.hosts;
    for (const auto& one : this->steps) {
        const auto from = this->begin + one.at;
        if (one.kind == kind && one.who % count == who && from <= this->now &&
            this->now < from + one.lasts) {
            return true;
        }
    }
    return false;
}

inline bool world::active(fault_kind kind) const
{
    for (const auto& one : this->steps) {
        const auto from = this->begin + one.at;
        if (one.kind == kind && from <= this->now && this->now < from + one.lasts) {
            return true;
        }
    }
    return false;
}

inline bool world::reaches(unsigned from, unsigned to) const
{
    return !this->active(fault_kind::host_alone, from) &&
           !this->active(fault_kind::host_alone, to) &&
           !this->active(fault_kind::host_unheard, from) &&
           !this->active(fault_kind::host_deaf, to);
}

inline bool world::reaches_server(unsigned from, unsigned to) const
{
    const bool split = this->active(fault_kind::server_split, to);
    return !this->active(fault_kind::server_unreachable, to) &&
           !this->active(fault_kind::server_restarted, to) &&
           (!split || this->active(fault_kind::host_alone, from));
}

/// The clock of a host or backend server: every second one is fast, the others are slow.
inline monotonic_time world::drifted(unsigned index) const
{
    const auto passed = this->now - this->begin;
    const auto off = passed * static_cast<int>(this->settings.drift_percent) / 100;
    return index % 2 == 0 ? this->now + off : this->now - off;
}

inline milliseconds world::delay()
{
    const int most = this->active(fault_kind::slow) ? 300 : 3;
    return milliseconds{std::uniform_int_distribution<>{1, most}(this->random)};
}

inline void world::start_host(unsigned index)
{
    auto& host = this->hosts[index];
    const auto incarnation = host.incarnation + 1;
    host = {};
    host.incarnation = incarnation;
    const host_identity self{.name = {host_name(index)},
                             .incarnation = incarnation,
                             .failure_domain = {"fd-" + std::to_string(index % 3)},
                             .peer_address = host_name(index)};
    const placement wanted{
        .plan = [this, index](const partition& present, const description&,
                              monotonic_time) { return this->plan(index, present); },
        .on_report =
            [this, index](const load_report& report, monotonic_time) {
                this->hosts[index].reported[report.server] = report.condition;
            }};
    host.process = std::make_unique<ownership>(self, this->settings.rules, wanted);
}

inline void world::tick_host(unsigned index)
{
    auto& host = this->hosts[index];
    if (host.process && !this->active(fault_kind::host_paused, index)) {
        for (auto& one : std::exchange(host.waiting, {})) {
            one();
        }
        this->carry_out(index, host.process->on_tick(this->around(index), this->drifted(index)));
    }
    this->at(this->now + tick_interval, [this, index] { this->tick_host(index); });
}

inline void world::gossip_from(unsigned index)
{
    const auto& host = this->hosts[index];
    const auto to =
        std::uniform_int_distribution<unsigned>{0, this->settings.hosts - 1}(this->random);
    if (host.process && to != index && !this->active(fault_kind::host_paused, index)) {
        probe body;
        for (const auto& [id, document] : host.process->partitions()) {
            body.news.partitions.push_back({.id = id, .version = document->version});
        }
        this->carry_out(index, send_to_host{.address = host_name(to), .body = body});
    }
    this->at(this->now + gossip_interval, [this, index] { this->gossip_from(index); });
}

/// Runs now, or when the host's pause ends.
inline void world::deliver(unsigned to, action what)
{
    auto& host = this->hosts[to];
    if (!host.process) {
        return;
    }
    if (this->active(fault_kind::host_paused, to)) {
        host.waiting.push_back(std::move(what));
        return;
    }
    what();
}

inline void world::carry_out(unsigned from, const control_actions& actions)
{
    for (const auto& one : actions) {
        std::visit([this, from](const auto& what) { this->carry_out(from, what); }, one);
    }
}

inline void world::carry_out(unsigned from, const send_to_host& one)
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
                this->carry_out(to, this->hosts[to].process->on_message(message, this->around(to),
                                                                        this->drifted(to)));
            });
        });
    }
}

inline void world::carry_out(unsigned from, const call_store& one)
{
    ++this->store_calls;
    const bool unreachable = this->active(fault_kind::store_down) ||
                             this->active(fault_kind::host_without_store, from) ||
                             this->active(fault_kind::host_alone, from);
    const bool write = std::holds_alternative<compare_and_swap>(one.what);
    const bool loses = write && this->active(fault_kind::store_loses_answers);
    const bool takes_effect = !unreachable && !(loses && this->chance(0.5));
    const auto incarnation = this->hosts[from].incarnation;
    const auto answer = [this, from, incarnation](std::uint64_t call, const store_result& result) {
        this->deliver(from, [this, from, incarnation, call, result] {
            if (this->hosts[from].incarnation == incarnation) {
                this->carry_out(from, this->hosts[from].process->on_store(
                                          {.call = call, .result = result}, this->around(from),
                                          this->drifted(from)));
            }
        });
    };
    const bool silent = unreachable || loses;
    this->at(this->now + this->delay(), [=, this, call = one] {
        const auto result =
            takes_effect ? this->execute(call.what) : store_result{store_no_answer{}};
        if (!silent) {
            this->at(this->now + this->delay(), [=] { answer(call.call, result); });
        }
    });
    if (silent) {
        const bool lied_to = write && !this->settings.reread_after_silence;
        const auto result = lied_to ? store_result{store_written{this->revision + 1}}
                                    : store_result{store_no_answer{}};
        this->at(this->now + store_timeout, [=, call = one.call] { answer(call, result); });
    }
}

inline store_result world::execute(const store_call& what)
{
    if (const auto* cas = std::get_if<compare_and_swap>(&what)) {
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

inline store_result world::write(const compare_and_swap& what)
{
    if (this->settings.store_compares && what.expected_revision != this->revision) {
        const auto& last = this->history.back();
        return store_conflict{{.key = what.key, .value = encode(last), .revision = this->revision}};
    }
    const auto document = decode_partition(what.value);
    const auto next = this->history.size() + 1;
    if (!document || document->version != next || !defect_of(*document).empty()) {
        this->fail("store was given an unsound document or the wrong version");
        return store_no_answer{};
    }
    this->history.push_back(*document);
    return store_written{++this->revision};
}

inline void world::carry_out(unsigned from, const call_server& one)
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
                this->carry_out(
                    from,
                    this->hosts[from].process->on_server(
                        {.server = call.server, .sequence = call.what.sequence, .answer = result},
                        this->around(from), this->drifted(from)));
            }
        });
    };
    this->at(this->now + one.timeout, [answer] { answer(std::nullopt); });
    if (!this->reaches_server(from, to)) {
        return;
    }
    const auto take = [this, to, answer, what = one.what] {
        const auto result = this->servers[to].take(what, this->drifted(to));
        this->at(this->now + this->delay(), [answer, result] { answer(result); });
    };
    this->at(this->now + this->delay(), [this, to, take] {
        if (this->active(fault_kind::server_frozen, to)) {
            this->frozen_calls[to].push_back(take);
            return;
        }
        take();
    });
}

inline void world::carry_out(unsigned from, const extend_authority& one)
{
    this->hosts[from].may_send_until[one.server] = one.until;
}

inline surroundings world::around(unsigned index)
{
    surroundings out{.shared = this->shared, .hosts = {}};
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

/// A naive assigner: slices of lost servers go to the next server that lives; wanted moves too.
inline std::optional<partition> world::plan(unsigned index, const partition& present)
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
        const bool wanted = this->hosts[index].moves_wanted.contains(slice.owner) && i % 2 == 0;
        if (slice.moving_to || (!is_lost(slice.owner) && !wanted)) {
            continue;
        }
        for (std::uint32_t step = 1; step < count && !slice.moving_to; ++step) {
            const auto next = (slice.owner + step) % count;
            if (!is_lost(next)) {
                slice.moving_to = next;
            }
        }
    }
    this->hosts[index].moves_wanted.clear();
    return out;
}

inline void world::begin_and_end_faults()
{
    for (const auto& one : this->steps) {
        const bool begins = this->now >= this->begin + one.at && this->done.insert(&one).second;
        if (begins && one.kind == fault_kind::move) {
            for (auto& host : this->hosts) {
                host.moves_wanted.insert(one.who % this->settings.servers);
            }
        }
        if (begins && one.kind == fault_kind::server_restarted) {
            auto& server = this->servers[one.who % this->settings.servers];
            server = {.incarnation = server.incarnation + 1};
        }
    }
    for (unsigned i = 0; i < this->settings.hosts; ++i) {
        const bool gone = this->active(fault_kind::host_restarted, i);
        if (gone) {
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

inline void world::check()
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

/// Backend servers that check fences: at most one holds a live grant for a key.
inline void world::check_owners()
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

/// Others: no request goes to one server while another server's request for the key may run.
inline void world::check_requests()
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

/// Versions never go back, and each host knows only what the store held under that version.
inline void world::check_versions()
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

inline void world::check_coordinators()
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

inline void world::measure()
{
    for (std::size_t i = 0; i < this->keys.size(); ++i) {
        if (this->now < this->begin + this->measure_from || this->served(this->keys[i])) {
            this->served_at[i] = this->now;
        }
        const auto away = std::chrono::duration_cast<milliseconds>(this->now - this->served_at[i]);
        this->longest_away = std::max(this->longest_away, away);
    }
}

inline bool world::all_served()
{
    return std::ranges::all_of(this->keys, [this](key_hash key) { return this->served(key); });
}

/// Whether some host that may send to the key's owner finds it willing.
inline bool world::served(key_hash hash)
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
            const bool willing = !this->settings.checks_fences ||
                                 this->servers[server].fence_of(hash, this->drifted(server)) ==
                                     document->slices[slice].fence;
            if (may_send && reachable && willing) {
                return true;
            }
        }
    }
    return false;
}

inline void world::fail(const std::string& what)
{
    if (this->violation.empty()) {
        const auto at = std::chrono::duration_cast<milliseconds>(this->now - this->begin);
        this->violation = what + " at " + std::to_string(at.count()) + " ms";
    }
}

} // namespace ownership_fakes
