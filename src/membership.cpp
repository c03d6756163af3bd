#include "figreach/membership.h"

#include <utility>

namespace figreach {

membership::membership(host_identity self_, membership_settings settings_)
    : self{std::move(self_)}, settings{settings_}
{
}

host_state membership::own_state(const gossip& news) const
{
    return {.host = this->self.name,
            .incarnation = this->self.incarnation,
            .state = host_liveness::alive,
            .failure_domain = this->self.failure_domain,
            .peer_address = this->self.peer_address,
            .forward_address = this->self.forward_address,
            .description_version = news.description_version};
}

std::vector<send_to_host> membership::on_tick(const gossip& news, monotonic_time now)
{
    std::vector<send_to_host> out;
    if (now < this->next_probe) {
        return out;
    }
    this->next_probe = now + this->settings.probe_interval;
    probe message{.sequence = ++this->sequence, .on_behalf_of = {}, .target = {}, .news = news};
    message.news.hosts = {this->own_state(news)};
    for (const auto& seed : this->self.seeds) {
        out.push_back({.address = seed, .body = message});
    }
    return out;
}

std::vector<send_to_host> membership::on_message(const peer_message& message, const gossip& news,
                                                 monotonic_time now)
{
    const auto* received = std::get_if<probe>(&message.body);
    if (received == nullptr) {
        return {};
    }
    for (const auto& state : received->news.hosts) {
        this->learn(state, now);
    }
    const auto sender = this->hosts.find(message.sender);
    if (sender == this->hosts.end()) {
        return {};
    }
    probe_answer answer{.sequence = received->sequence, .news = news};
    answer.news.hosts = {this->own_state(news)};
    return {{.address = sender->second.state.peer_address, .body = answer}};
}

void membership::learn(const host_state& state, monotonic_time heard_at)
{
    if (state.host == this->self.name) {
        return;
    }
    auto& known = this->hosts[state.host];
    if (state.incarnation < known.state.incarnation) {
        return;
    }
    known = {.state = state, .heard_at = heard_at};
}

std::vector<host_state> membership::live_hosts(monotonic_time now) const
{
    std::map<host_id, host_state> live;
    live[this->self.name] = this->own_state({});
    for (const auto& [name, known] : this->hosts) {
        if (now - known.heard_at < this->settings.suspect_after) {
            live[name] = known.state;
        }
    }
    std::vector<host_state> out;
    out.reserve(live.size());
    for (auto& [name, state] : live) {
        out.push_back(std::move(state));
    }
    return out;
}

} // namespace figreach
