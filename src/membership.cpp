#include "figreach/membership.h"

#include <algorithm>
#include <bit>
#include <utility>

#include "figreach/key_hash.h"

namespace figreach {

namespace {

/// fleet_size_log2 of a dozen hosts, the fleet size for which `suspicion_timeout` is given.
constexpr std::uint32_t reference_size_log2 = 4;

/// Whether `next` replaces `current`: a higher incarnation wins; within one incarnation the worse
/// state wins.
bool supersedes(const host_state& next, const host_state& current)
{
    if (next.incarnation != current.incarnation) {
        return next.incarnation > current.incarnation;
    }
    return next.state > current.state;
}

} // namespace

membership::membership(host_identity self_, membership_settings settings_)
    : self{std::move(self_)},
      settings{settings_},
      selector{settings_.selector},
      sync_backoff{settings_.heal_interval}
{
    const auto text = std::to_string(this->self.incarnation);
    this->random.seed(rendezvous_weight(this->self.name.value, text));
}

std::vector<send_to_host> membership::on_tick(const gossip& local, monotonic_time now)
{
    messages out;
    this->detect_pause(now);
    this->expire_probes(local, now, out);
    this->expire_suspicions(local, now, out);
    if (now >= this->next_probe) {
        this->next_probe = now + this->settings.probe_interval;
        this->probe_next(local, now, out);
    }
    if (now >= this->next_heal) {
        this->next_heal = now + this->settings.heal_interval;
        this->forget_dead(now);
        this->heal(local, now, out);
    }
    return out;
}

std::vector<send_to_host> membership::on_message(const peer_message& message, const gossip& local,
                                                 monotonic_time now)
{
    messages out;
    if (const auto* asked = std::get_if<probe>(&message.body)) {
        this->on_probe(message.sender, *asked, local, now, out);
    }
    if (const auto* answer = std::get_if<probe_answer>(&message.body)) {
        // The answer to a sync repeats states that other hosts already know, so they are not
        // propagated again.
        const bool is_sync_answer = answer->sequence == this->sync_sequence;
        for (const auto& state : answer->piggyback.hosts) {
            this->learn(state, now, is_sync_answer ? propagation::no : propagation::yes);
        }
        this->on_probe_answer(*answer, local, out);
    }
    return out;
}

std::vector<host_state> membership::live_hosts(monotonic_time) const
{
    std::vector<host_state> out;
    out.reserve(this->members.size() + 1);
    for (const auto& [name, entry] : this->members) {
        if (this->is_live(name)) {
            out.push_back(entry.state);
        }
    }
    if (!this->leaving) {
        const auto position = std::ranges::lower_bound(out, this->self.name, {}, &host_state::host);
        gossip own_gossip;
        own_gossip.description_version = this->description_version;
        out.insert(position, this->own_state(own_gossip));
    }
    return out;
}

std::vector<host_state> membership::known_hosts() const
{
    gossip own_gossip;
    own_gossip.description_version = this->description_version;
    std::vector<host_state> out{this->own_state(own_gossip)};
    for (const auto& [name, entry] : this->members) {
        out.push_back(entry.state);
    }
    return out;
}

void membership::add_known_hosts(const std::vector<host_state>& listed, monotonic_time now)
{
    for (const auto& state : listed) {
        this->learn(state, now, propagation::no);
    }
}

void membership::leave()
{
    this->leaving = true;
}

void membership::detect_pause(monotonic_time now)
{
    const bool paused = this->last_tick && now - *this->last_tick > this->settings.pause_tolerance;
    this->last_tick = now;
    if (!paused) {
        return;
    }
    // Answers may still be unread in the receive queue, so neither timeouts nor suspicions that
    // cover the pause are valid.
    this->pending.clear();
    for (const auto& name : this->suspects) {
        this->members[name].changed_at = now;
    }
}

void membership::expire_probes(const gossip& local, monotonic_time now, messages& out)
{
    std::erase_if(this->relayed, [this, now](const auto& item) {
        return now - item.second.sent_at >= 2 * this->settings.probe_timeout;
    });
    for (auto it = this->pending.begin(); it != this->pending.end();) {
        auto& [probe_sequence, waiting] = *it;
        const auto limit = this->settings.probe_timeout * (waiting.indirect ? 3 : 1);
        if (now - waiting.sent_at < limit) {
            ++it;
            continue;
        }
        if (waiting.indirect) {
            this->suspect(waiting.target, now);
            it = this->pending.erase(it);
            continue;
        }
        waiting.indirect = true;
        this->request_indirect_probes(probe_sequence, waiting, local, out);
        ++it;
    }
}

void membership::request_indirect_probes(std::uint64_t probe_sequence, const pending_probe& silent,
                                         const gossip& local, messages& out)
{
    for (const auto& name : this->random_live_hosts(silent.target)) {
        probe request{.sequence = probe_sequence, .target = silent.target};
        request.piggyback = this->compose_gossip(local, name);
        out.push_back({.address = this->address_of(name), .body = std::move(request)});
    }
}

std::vector<host_id> membership::random_live_hosts(const host_id& excluded)
{
    std::vector<host_id> others;
    for (const auto& [name, entry] : this->members) {
        if (name != excluded && entry.state.state == host_liveness::alive) {
            others.push_back(name);
        }
    }
    std::ranges::shuffle(others, this->random);
    others.resize(std::min<std::size_t>(others.size(), this->settings.indirect_probes));
    return others;
}

void membership::suspect(const host_id& name, monotonic_time now)
{
    const auto found = this->members.find(name);
    if (found == this->members.end() || found->second.state.state == host_liveness::dead) {
        return;
    }
    auto next_state = found->second.state;
    if (next_state.state == host_liveness::alive) {
        next_state.state = host_liveness::suspect;
    }
    else if (next_state.state == host_liveness::leaving) {
        next_state.state = host_liveness::dead;
    }
    this->learn(next_state, now);
    found->second.suspected_locally = true;
}

void membership::expire_suspicions(const gossip& local, monotonic_time now, messages& out)
{
    const auto limit = this->settings.suspicion_timeout *
                       std::max(this->fleet_size_log2(), reference_size_log2) / reference_size_log2;
    std::vector<host_state> expired;
    for (const auto& name : this->suspects) {
        const auto& entry = this->members[name];
        const auto waited = now - entry.changed_at;
        if (waited >= (entry.suspected_locally ? limit : limit + limit / 2)) {
            expired.push_back(entry.state);
        }
        else if (entry.suspected_locally && now >= entry.next_probe) {
            this->ask_for_refutation(name, local, now, out);
        }
    }
    for (auto& state : expired) {
        state.state = host_liveness::dead;
        this->learn(state, now);
    }
    if (!expired.empty()) {
        this->announce_deaths(local, out);
    }
}

void membership::announce_deaths(const gossip& local, messages& out)
{
    for (const auto& name : this->random_live_hosts({})) {
        probe message{.sequence = ++this->sequence};
        message.piggyback = this->compose_gossip(local, name);
        out.push_back({.address = this->address_of(name), .body = std::move(message)});
    }
}

void membership::ask_for_refutation(const host_id& name, const gossip& local, monotonic_time now,
                                    messages& out)
{
    auto& entry = this->members[name];
    entry.next_probe = now + this->settings.probe_timeout;
    probe message{.sequence = ++this->sequence};
    message.piggyback = this->compose_gossip(local, name);
    out.push_back({.address = entry.state.peer_address, .body = std::move(message)});
}

void membership::forget_dead(monotonic_time now)
{
    for (auto it = this->dead.begin(); it != this->dead.end();) {
        const auto found = this->members.find(*it);
        if (now - found->second.changed_at < this->settings.forget_after) {
            ++it;
            continue;
        }
        this->changed.erase(*it);
        this->members.erase(found);
        it = this->dead.erase(it);
    }
}

void membership::probe_next(const gossip& local, monotonic_time now, messages& out)
{
    if (this->probe_order.empty()) {
        for (const auto& [name, entry] : this->members) {
            if (entry.state.state != host_liveness::dead) {
                this->probe_order.push_back(name);
            }
        }
        std::ranges::shuffle(this->probe_order, this->random);
    }
    while (!this->probe_order.empty()) {
        const auto target = this->probe_order.back();
        this->probe_order.pop_back();
        const auto* found = this->find(target);
        if (found != nullptr && found->state.state != host_liveness::dead) {
            this->send_probe(found->state.peer_address, target, local, now, out);
            return;
        }
    }
}

void membership::heal(const gossip& local, monotonic_time now, messages& out)
{
    const bool sync = this->sync_is_due(now);
    const auto unreachable = this->unreachable_addresses();
    if (!unreachable.empty()) {
        const auto& address = unreachable[this->random_below(unreachable.size())];
        this->send_heal_probe(address, sync, local, now, out);
        return;
    }
    if (sync) {
        this->send_heal_probe(this->sync_address(now), sync, local, now, out);
    }
}

std::string membership::sync_address(monotonic_time now)
{
    // Seeds know the most hosts while many hosts start. Later, random targets distribute the load
    // of syncs over all hosts.
    const bool starting = this->sync_backoff <= 2 * this->settings.heal_interval;
    if (starting && !this->self.seeds.empty()) {
        return this->self.seeds[this->random_below(this->self.seeds.size())];
    }
    const auto live = this->live_hosts(now);
    return live.empty() ? std::string{} : live[this->random_below(live.size())].peer_address;
}

void membership::send_heal_probe(const std::string& address, bool sync, const gossip& local,
                                 monotonic_time now, messages& out)
{
    if (address.empty() || address == this->self.peer_address) {
        return;
    }
    probe message{.sequence = ++this->sequence};
    if (sync) {
        message.target = this->self.name;
        this->sync_sequence = message.sequence;
        this->last_sync = now;
        this->sync_backoff = std::min(2 * this->sync_backoff, this->max_sync_backoff());
    }
    const auto dead_host = std::ranges::find_if(this->dead, [this, &address](const auto& name) {
        return this->address_of(name) == address;
    });
    message.piggyback =
        this->compose_gossip(local, dead_host == this->dead.end() ? host_id{} : *dead_host);
    out.push_back({.address = address, .body = std::move(message)});
}

bool membership::sync_is_due(monotonic_time now) const
{
    if (!this->last_sync || !this->synced_once) {
        return true;
    }
    const auto delay = this->sync_wanted ? this->settings.sync_interval : this->sync_backoff;
    return now - *this->last_sync >= std::min(delay, this->sync_backoff);
}

milliseconds membership::max_sync_backoff() const
{
    const auto count = static_cast<std::int64_t>(this->members.size());
    const auto factor = std::max<std::int64_t>(1, count / this->settings.hosts_per_sync_interval);
    return this->settings.sync_interval * factor;
}

std::vector<std::string> membership::unreachable_addresses() const
{
    std::vector<std::string> out;
    for (const auto& name : this->dead) {
        out.push_back(this->address_of(name));
    }
    for (const auto& seed : this->self.seeds) {
        const bool is_live = std::ranges::any_of(this->members, [this, &seed](const auto& entry) {
            return entry.second.state.peer_address == seed && this->is_live(entry.first);
        });
        if (!is_live && seed != this->self.peer_address) {
            out.push_back(seed);
        }
    }
    return out;
}

void membership::send_probe(const std::string& address, const host_id& target, const gossip& local,
                            monotonic_time now, messages& out)
{
    probe message{.sequence = ++this->sequence};
    message.piggyback = this->compose_gossip(local, target);
    this->pending[message.sequence] = {.target = target, .sent_at = now};
    out.push_back({.address = address, .body = std::move(message)});
}

void membership::on_probe(const host_id& sender, const probe& received, const gossip& local,
                          monotonic_time now, messages& out)
{
    const auto* known = this->find(sender);
    const bool was_dead = known != nullptr && known->state.state == host_liveness::dead;
    for (const auto& state : received.piggyback.hosts) {
        this->learn(state, now);
    }
    known = this->find(sender);
    if (known == nullptr) {
        return;
    }
    if (was_dead) {
        this->sync_wanted = true;
    }
    if (!received.target.empty() && received.target != sender) {
        this->relay(sender, received, local, now, out);
        return;
    }
    probe_answer answer{.sequence = received.sequence};
    const bool is_sync_request = received.target == sender;
    answer.piggyback =
        is_sync_request ? this->compose_full_gossip(local) : this->compose_gossip(local, sender);
    out.push_back({.address = known->state.peer_address, .body = std::move(answer)});
}

void membership::on_probe_answer(const probe_answer& received, const gossip& local, messages& out)
{
    this->pending.erase(received.sequence);
    if (received.sequence == this->sync_sequence) {
        this->sync_wanted = false;
        this->synced_once = true;
    }
    const auto found = this->relayed.find(received.sequence);
    if (found == this->relayed.end()) {
        return;
    }
    probe_answer answer{.sequence = found->second.sequence};
    answer.piggyback = this->compose_gossip(local, {});
    out.push_back({.address = found->second.requester_address, .body = std::move(answer)});
    this->relayed.erase(found);
}

void membership::relay(const host_id& sender, const probe& received, const gossip& local,
                       monotonic_time now, messages& out)
{
    const auto address = this->address_of(received.target);
    if (address.empty()) {
        return;
    }
    probe message{.sequence = ++this->sequence, .on_behalf_of = sender};
    message.piggyback = this->compose_gossip(local, received.target);
    this->relayed[message.sequence] = {.requester_address = this->address_of(sender),
                                       .sequence = received.sequence,
                                       .sent_at = now};
    out.push_back({.address = address, .body = std::move(message)});
}

void membership::learn(const host_state& state, monotonic_time now, propagation propagate)
{
    if (state.host == this->self.name) {
        this->refute(state);
        return;
    }
    const auto found = this->members.find(state.host);
    const bool is_new = found == this->members.end();
    if (is_new && state.state == host_liveness::dead) {
        return;
    }
    if (!is_new && !supersedes(state, found->second.state)) {
        auto& current = found->second.state;
        const bool newer = state.incarnation == current.incarnation &&
                           state.description_version > current.description_version;
        if (newer) {
            current.description_version = state.description_version;
            if (propagate == propagation::yes &&
                this->members.size() < this->settings.max_hosts_with_versions) {
                this->queue_broadcast(found->second);
            }
        }
        return;
    }
    auto& entry = this->members[state.host];
    const auto newest_version =
        std::max(entry.state.description_version, state.description_version);
    const bool same_process = entry.state.incarnation == state.incarnation;
    entry.state = state;
    entry.state.description_version = same_process ? newest_version : state.description_version;
    entry.changed_at = now;
    entry.suspected_locally = false;
    this->suspects.erase(state.host);
    this->dead.erase(state.host);
    if (state.state == host_liveness::suspect) {
        this->suspects.insert(state.host);
    }
    if (state.state == host_liveness::dead) {
        this->dead.insert(state.host);
    }
    if (is_new) {
        const auto position = this->random_below(this->probe_order.size() + 1);
        this->probe_order.insert(this->probe_order.begin() + static_cast<std::ptrdiff_t>(position),
                                 state.host);
    }
    if (propagate == propagation::yes) {
        this->queue_broadcast(entry);
    }
}

void membership::refute(const host_state& state)
{
    const bool needs_refutation =
        state.incarnation > this->self.incarnation ||
        (state.incarnation == this->self.incarnation &&
         (state.state == host_liveness::suspect || state.state == host_liveness::dead));
    if (needs_refutation) {
        this->self.incarnation = state.incarnation + 1;
    }
}

void membership::queue_broadcast(member& updated)
{
    updated.sends_left = this->settings.retransmit_factor * this->fleet_size_log2();
    this->changed.insert(updated.state.host);
}

gossip membership::compose_gossip(const gossip& local, const host_id& receiver)
{
    auto out = this->selector.select(local);
    const auto* known = this->find(receiver);
    const bool knows_sender = known != nullptr && known->state.state == host_liveness::alive;
    if (this->own_state_is_due(local) || !knows_sender) {
        out.hosts.push_back(this->own_state(local));
    }
    this->add_changes(out, receiver);
    return out;
}

bool membership::own_state_is_due(const gossip& local)
{
    const auto current = this->own_state(local);
    this->description_version = local.description_version;
    if (current != this->last_sent_state) {
        this->last_sent_state = current;
        this->own_state_sends_left = this->settings.retransmit_factor * this->fleet_size_log2();
    }
    ++this->messages_composed;
    if (this->own_state_sends_left > 0) {
        --this->own_state_sends_left;
        return true;
    }
    return this->messages_composed % this->settings.messages_per_own_state == 0;
}

gossip membership::compose_full_gossip(const gossip& local)
{
    auto out = this->selector.select(local);
    out.hosts.push_back(this->own_state(local));
    for (const auto& [name, entry] : this->members) {
        out.hosts.push_back(entry.state);
    }
    return out;
}

void membership::add_changes(gossip& out, const host_id& receiver)
{
    const auto* known = this->find(receiver);
    if (known != nullptr && known->state.state != host_liveness::alive) {
        out.hosts.push_back(known->state);
    }
    std::vector<member*> candidates;
    for (const auto& name : this->changed) {
        if (name != receiver) {
            candidates.push_back(&this->members[name]);
        }
    }
    const auto count = std::min(this->settings.max_hosts, candidates.size());
    const auto chosen_end = candidates.begin() + static_cast<std::ptrdiff_t>(count);
    std::ranges::partial_sort(candidates, chosen_end, std::greater{}, &member::sends_left);
    for (auto it = candidates.begin(); it != chosen_end; ++it) {
        out.hosts.push_back((*it)->state);
        --(*it)->sends_left;
        if ((*it)->sends_left == 0) {
            this->changed.erase((*it)->state.host);
        }
    }
}

host_state membership::own_state(const gossip& local) const
{
    return {.host = this->self.name,
            .incarnation = this->self.incarnation,
            .state = this->leaving ? host_liveness::leaving : host_liveness::alive,
            .failure_domain = this->self.failure_domain,
            .peer_address = this->self.peer_address,
            .forward_address = this->self.forward_address,
            .description_version = local.description_version};
}

const membership::member* membership::find(const host_id& name) const
{
    const auto found = this->members.find(name);
    return found == this->members.end() ? nullptr : &found->second;
}

bool membership::is_live(const host_id& name) const
{
    const auto* entry = this->find(name);
    return entry != nullptr && (entry->state.state == host_liveness::alive ||
                                entry->state.state == host_liveness::suspect);
}

std::string membership::address_of(const host_id& name) const
{
    const auto* entry = this->find(name);
    return entry == nullptr ? std::string{} : entry->state.peer_address;
}

std::uint32_t membership::fleet_size_log2() const
{
    return static_cast<std::uint32_t>(std::bit_width(this->members.size() + 1));
}

std::size_t membership::random_below(std::size_t bound)
{
    return static_cast<std::size_t>(this->random() % bound);
}

} // namespace figreach
