#include "figreach/membership.h"

#include <algorithm>
#include <bit>
#include <utility>

#include "figreach/key_hash.h"

namespace figreach {

namespace {

constexpr std::uint32_t log_of_dozen = 4;

/// Whether one state of a host replaces another: a higher incarnation, or a worse state of the
/// same incarnation.
bool supersedes(const host_state& next, const host_state& present)
{
    if (next.incarnation != present.incarnation) {
        return next.incarnation > present.incarnation;
    }
    return next.state > present.state;
}

} // namespace

membership::membership(host_identity self_, membership_settings settings_)
    : self{std::move(self_)},
      settings{settings_},
      selector{settings_.selector},
      sync_pause{settings_.heal_interval}
{
    const auto text = std::to_string(this->self.incarnation);
    this->random.seed(rendezvous_weight(this->self.name.value, text));
}

std::vector<send_to_host> membership::on_tick(const gossip& news, monotonic_time now)
{
    messages out;
    this->detect_pause(now);
    this->expire_probes(news, now, out);
    this->expire_suspicions(news, now, out);
    if (now >= this->next_probe) {
        this->next_probe = now + this->settings.probe_interval;
        this->probe_next(news, now, out);
    }
    if (now >= this->next_heal) {
        this->next_heal = now + this->settings.heal_interval;
        this->forget_dead(now);
        this->heal(news, now, out);
    }
    return out;
}

std::vector<send_to_host> membership::on_message(const peer_message& message, const gossip& news,
                                                 monotonic_time now)
{
    messages out;
    if (const auto* asked = std::get_if<probe>(&message.body)) {
        this->on_probe(message.sender, *asked, news, now, out);
    }
    if (const auto* answer = std::get_if<probe_answer>(&message.body)) {
        // Others know what the list of all states says: it is not passed on.
        const bool is_whole_list = answer->sequence == this->sync_sequence;
        for (const auto& state : answer->piggyback.hosts) {
            this->learn(state, now, is_whole_list ? spread::no : spread::yes);
        }
        this->on_answer(*answer, news, out);
    }
    return out;
}

std::vector<host_state> membership::live_hosts(monotonic_time) const
{
    std::vector<host_state> out;
    out.reserve(this->members.size() + 1);
    for (const auto& [name, one] : this->members) {
        if (this->is_live(name)) {
            out.push_back(one.state);
        }
    }
    if (!this->leaving) {
        const auto place = std::ranges::lower_bound(out, this->self.name, {}, &host_state::host);
        gossip own_news;
        own_news.description_version = this->description_version;
        out.insert(place, this->own_state(own_news));
    }
    return out;
}

std::vector<host_state> membership::known_hosts() const
{
    gossip own_news;
    own_news.description_version = this->description_version;
    std::vector<host_state> out{this->own_state(own_news)};
    for (const auto& [name, one] : this->members) {
        out.push_back(one.state);
    }
    return out;
}

void membership::add_known_hosts(const std::vector<host_state>& listed, monotonic_time now)
{
    for (const auto& state : listed) {
        this->learn(state, now, spread::no);
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
    // Answers may wait unread: neither silence nor suspicion of that time counts.
    this->pending.clear();
    for (const auto& name : this->suspects) {
        this->members[name].changed_at = now;
    }
}

void membership::expire_probes(const gossip& news, monotonic_time now, messages& out)
{
    std::erase_if(this->relayed, [this, now](const auto& one) {
        return now - one.second.sent_at >= 2 * this->settings.probe_timeout;
    });
    for (auto one = this->pending.begin(); one != this->pending.end();) {
        auto& [number, waiting] = *one;
        const auto limit = this->settings.probe_timeout * (waiting.indirect ? 3 : 1);
        if (now - waiting.sent_at < limit) {
            ++one;
            continue;
        }
        if (waiting.indirect) {
            this->suspect(waiting.target, now);
            one = this->pending.erase(one);
            continue;
        }
        waiting.indirect = true;
        this->ask_others(number, waiting, news, out);
        ++one;
    }
}

void membership::ask_others(std::uint64_t number, const pending_probe& silent, const gossip& news,
                            messages& out)
{
    for (const auto& name : this->random_live_hosts(silent.target)) {
        probe request{.sequence = number, .target = silent.target};
        request.piggyback = this->compose(news, name);
        out.push_back({.address = this->address_of(name), .body = std::move(request)});
    }
}

std::vector<host_id> membership::random_live_hosts(const host_id& without)
{
    std::vector<host_id> others;
    for (const auto& [name, one] : this->members) {
        if (name != without && one.state.state == host_liveness::alive) {
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
    auto worse = found->second.state;
    if (worse.state == host_liveness::alive) {
        worse.state = host_liveness::suspect;
    }
    else if (worse.state == host_liveness::leaving) {
        worse.state = host_liveness::dead;
    }
    this->learn(worse, now);
    found->second.suspected_here = true;
}

void membership::expire_suspicions(const gossip& news, monotonic_time now, messages& out)
{
    const auto limit =
        this->settings.suspicion * std::max(this->log_of_fleet(), log_of_dozen) / log_of_dozen;
    std::vector<host_state> silent;
    for (const auto& name : this->suspects) {
        const auto& one = this->members[name];
        const auto waited = now - one.changed_at;
        if (waited >= (one.suspected_here ? limit : limit + limit / 2)) {
            silent.push_back(one.state);
        }
        else if (one.suspected_here && now >= one.next_probe) {
            this->ask_for_refutation(name, news, now, out);
        }
    }
    for (auto& state : silent) {
        state.state = host_liveness::dead;
        this->learn(state, now);
    }
    if (!silent.empty()) {
        this->announce(news, out);
    }
}

void membership::announce(const gossip& news, messages& out)
{
    for (const auto& name : this->random_live_hosts({})) {
        probe message{.sequence = ++this->sequence};
        message.piggyback = this->compose(news, name);
        out.push_back({.address = this->address_of(name), .body = std::move(message)});
    }
}

void membership::ask_for_refutation(const host_id& name, const gossip& news, monotonic_time now,
                                    messages& out)
{
    auto& one = this->members[name];
    one.next_probe = now + this->settings.probe_timeout;
    probe message{.sequence = ++this->sequence};
    message.piggyback = this->compose(news, name);
    out.push_back({.address = one.state.peer_address, .body = std::move(message)});
}

void membership::forget_dead(monotonic_time now)
{
    for (auto one = this->dead.begin(); one != this->dead.end();) {
        const auto found = this->members.find(*one);
        if (now - found->second.changed_at < this->settings.forget_after) {
            ++one;
            continue;
        }
        this->changed.erase(*one);
        this->members.erase(found);
        one = this->dead.erase(one);
    }
}

void membership::probe_next(const gossip& news, monotonic_time now, messages& out)
{
    if (this->probe_order.empty()) {
        for (const auto& [name, one] : this->members) {
            if (one.state.state != host_liveness::dead) {
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
            this->send_probe(found->state.peer_address, target, news, now, out);
            return;
        }
    }
}

void membership::heal(const gossip& news, monotonic_time now, messages& out)
{
    const bool sync = this->sync_is_due(now);
    const auto lost = this->lost_addresses();
    if (!lost.empty()) {
        const auto& address = lost[this->random_below(lost.size())];
        this->send_heal_probe(address, sync, news, now, out);
        return;
    }
    if (sync) {
        this->send_heal_probe(this->sync_address(now), sync, news, now, out);
    }
}

std::string membership::sync_address(monotonic_time now)
{
    // Seeds know most while many hosts start; later the load of syncs spreads over all hosts.
    const bool starting = this->sync_pause <= 2 * this->settings.heal_interval;
    if (starting && !this->self.seeds.empty()) {
        return this->self.seeds[this->random_below(this->self.seeds.size())];
    }
    const auto live = this->live_hosts(now);
    return live.empty() ? std::string{} : live[this->random_below(live.size())].peer_address;
}

void membership::send_heal_probe(const std::string& address, bool sync, const gossip& news,
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
        this->sync_pause = std::min(2 * this->sync_pause, this->longest_sync_pause());
    }
    const auto holder = std::ranges::find_if(this->dead, [this, &address](const auto& name) {
        return this->address_of(name) == address;
    });
    message.piggyback = this->compose(news, holder == this->dead.end() ? host_id{} : *holder);
    out.push_back({.address = address, .body = std::move(message)});
}

bool membership::sync_is_due(monotonic_time now) const
{
    if (!this->last_sync || !this->synced_once) {
        return true;
    }
    const auto least = this->sync_wanted ? this->settings.sync_interval : this->sync_pause;
    return now - *this->last_sync >= std::min(least, this->sync_pause);
}

milliseconds membership::longest_sync_pause() const
{
    const auto count = static_cast<std::int64_t>(this->members.size());
    const auto factor = std::max<std::int64_t>(1, count / this->settings.hosts_per_sync_interval);
    return this->settings.sync_interval * factor;
}

std::vector<std::string> membership::lost_addresses() const
{
    std::vector<std::string> out;
    for (const auto& name : this->dead) {
        out.push_back(this->address_of(name));
    }
    for (const auto& seed : this->self.seeds) {
        const bool is_live = std::ranges::any_of(this->members, [this, &seed](const auto& one) {
            return one.second.state.peer_address == seed && this->is_live(one.first);
        });
        if (!is_live && seed != this->self.peer_address) {
            out.push_back(seed);
        }
    }
    return out;
}

void membership::send_probe(const std::string& address, const host_id& target, const gossip& news,
                            monotonic_time now, messages& out)
{
    probe message{.sequence = ++this->sequence};
    message.piggyback = this->compose(news, target);
    this->pending[message.sequence] = {.target = target, .sent_at = now};
    out.push_back({.address = address, .body = std::move(message)});
}

void membership::on_probe(const host_id& sender, const probe& received, const gossip& news,
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
        this->relay(sender, received, news, now, out);
        return;
    }
    probe_answer answer{.sequence = received.sequence};
    const bool wants_all = received.target == sender;
    answer.piggyback = wants_all ? this->compose_all(news) : this->compose(news, sender);
    out.push_back({.address = known->state.peer_address, .body = std::move(answer)});
}

void membership::on_answer(const probe_answer& received, const gossip& news, messages& out)
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
    answer.piggyback = this->compose(news, {});
    out.push_back({.address = found->second.requester_address, .body = std::move(answer)});
    this->relayed.erase(found);
}

void membership::relay(const host_id& sender, const probe& received, const gossip& news,
                       monotonic_time now, messages& out)
{
    const auto address = this->address_of(received.target);
    if (address.empty()) {
        return;
    }
    probe message{.sequence = ++this->sequence, .on_behalf_of = sender};
    message.piggyback = this->compose(news, received.target);
    this->relayed[message.sequence] = {.requester_address = this->address_of(sender),
                                       .sequence = received.sequence,
                                       .sent_at = now};
    out.push_back({.address = address, .body = std::move(message)});
}

void membership::learn(const host_state& state, monotonic_time now, spread onward)
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
        auto& present = found->second.state;
        const bool newer = state.incarnation == present.incarnation &&
                           state.description_version > present.description_version;
        if (newer) {
            present.description_version = state.description_version;
            if (onward == spread::yes &&
                this->members.size() < this->settings.most_hosts_with_versions) {
                this->queue(found->second);
            }
        }
        return;
    }
    auto& one = this->members[state.host];
    const auto told = std::max(one.state.description_version, state.description_version);
    const bool same_process = one.state.incarnation == state.incarnation;
    one.state = state;
    one.state.description_version = same_process ? told : state.description_version;
    one.changed_at = now;
    one.suspected_here = false;
    this->suspects.erase(state.host);
    this->dead.erase(state.host);
    if (state.state == host_liveness::suspect) {
        this->suspects.insert(state.host);
    }
    if (state.state == host_liveness::dead) {
        this->dead.insert(state.host);
    }
    if (is_new) {
        const auto place = this->random_below(this->probe_order.size() + 1);
        this->probe_order.insert(this->probe_order.begin() + static_cast<std::ptrdiff_t>(place),
                                 state.host);
    }
    if (onward == spread::yes) {
        this->queue(one);
    }
}

void membership::refute(const host_state& state)
{
    const bool wrong =
        state.incarnation > this->self.incarnation ||
        (state.incarnation == this->self.incarnation &&
         (state.state == host_liveness::suspect || state.state == host_liveness::dead));
    if (wrong) {
        this->self.incarnation = state.incarnation + 1;
    }
}

void membership::queue(member& one)
{
    one.sends_left = this->settings.retransmit_factor * this->log_of_fleet();
    this->changed.insert(one.state.host);
}

gossip membership::compose(const gossip& news, const host_id& receiver)
{
    auto out = this->selector.select(news);
    const auto* told = this->find(receiver);
    const bool knows_sender = told != nullptr && told->state.state == host_liveness::alive;
    if (this->own_state_is_due(news) || !knows_sender) {
        out.hosts.push_back(this->own_state(news));
    }
    this->add_changes(out, receiver);
    return out;
}

bool membership::own_state_is_due(const gossip& news)
{
    const auto present = this->own_state(news);
    this->description_version = news.description_version;
    if (present != this->told_state) {
        this->told_state = present;
        this->own_sends_left = this->settings.retransmit_factor * this->log_of_fleet();
    }
    ++this->composed;
    if (this->own_sends_left > 0) {
        --this->own_sends_left;
        return true;
    }
    return this->composed % this->settings.messages_per_own_state == 0;
}

gossip membership::compose_all(const gossip& news)
{
    auto out = this->selector.select(news);
    out.hosts.push_back(this->own_state(news));
    for (const auto& [name, one] : this->members) {
        out.hosts.push_back(one.state);
    }
    return out;
}

void membership::add_changes(gossip& out, const host_id& receiver)
{
    const auto* told = this->find(receiver);
    if (told != nullptr && told->state.state != host_liveness::alive) {
        out.hosts.push_back(told->state);
    }
    std::vector<member*> candidates;
    for (const auto& name : this->changed) {
        if (name != receiver) {
            candidates.push_back(&this->members[name]);
        }
    }
    const auto count = std::min(this->settings.most_hosts, candidates.size());
    const auto middle = candidates.begin() + static_cast<std::ptrdiff_t>(count);
    std::ranges::partial_sort(candidates, middle, std::greater{}, &member::sends_left);
    for (auto one = candidates.begin(); one != middle; ++one) {
        out.hosts.push_back((*one)->state);
        --(*one)->sends_left;
        if ((*one)->sends_left == 0) {
            this->changed.erase((*one)->state.host);
        }
    }
}

host_state membership::own_state(const gossip& news) const
{
    return {.host = this->self.name,
            .incarnation = this->self.incarnation,
            .state = this->leaving ? host_liveness::leaving : host_liveness::alive,
            .failure_domain = this->self.failure_domain,
            .peer_address = this->self.peer_address,
            .forward_address = this->self.forward_address,
            .description_version = news.description_version};
}

const membership::member* membership::find(const host_id& name) const
{
    const auto found = this->members.find(name);
    return found == this->members.end() ? nullptr : &found->second;
}

bool membership::is_live(const host_id& name) const
{
    const auto* one = this->find(name);
    return one != nullptr &&
           (one->state.state == host_liveness::alive || one->state.state == host_liveness::suspect);
}

std::string membership::address_of(const host_id& name) const
{
    const auto* one = this->find(name);
    return one == nullptr ? std::string{} : one->state.peer_address;
}

std::uint32_t membership::log_of_fleet() const
{
    return static_cast<std::uint32_t>(std::bit_width(this->members.size() + 1));
}

std::size_t membership::random_below(std::size_t bound)
{
    return static_cast<std::size_t>(this->random() % bound);
}

} // namespace figreach
