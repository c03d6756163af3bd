#include "figreach/confirmation.h"

#include <algorithm>
#include <utility>

namespace figreach {

namespace {

/// Answers to older rounds are ignored.
constexpr std::size_t max_open_rounds = 8;

/// An empty set counts as a majority: without a change of the set there are no previous validators.
bool holds_majority(const std::vector<host_id>& members, const std::set<host_id>& hosts)
{
    const auto present = std::ranges::count_if(
        members, [&hosts](const host_id& member) { return hosts.contains(member); });
    return members.empty() || static_cast<std::size_t>(present) * 2 > members.size();
}

} // namespace

confirmation::confirmation(ownership_settings settings_) : settings{settings_} {}

confirm_request confirmation::begin_round(const partition& document,
                                          std::vector<backend_server_id> servers,
                                          monotonic_time now)
{
    const auto is_dropped = [&servers](const auto& item) {
        return std::ranges::find(servers, item.first) == servers.end();
    };
    std::erase_if(this->authorities, is_dropped);
    for (auto& [number, open_round] : this->rounds) {
        // A late answer to this round may confirm a hold that the validator has already released.
        std::erase_if(open_round.confirmed, is_dropped);
    }
    this->rounds[++this->sequence] = {.started_at = now,
                                      .version = document.version,
                                      .validators = document.validators,
                                      .previous_validators = document.previous_validators,
                                      .answered = {},
                                      .agreed = {},
                                      .confirmed = {}};
    for (const auto& server : servers) {
        this->rounds[this->sequence].confirmed[server] = {};
    }
    while (this->rounds.size() > max_open_rounds) {
        this->rounds.erase(this->rounds.begin());
    }
    return {.sequence = this->sequence,
            .known = {.id = document.id, .version = document.version},
            .servers = std::move(servers)};
}

void confirmation::on_answer(const host_id& from, const confirm_answer& answer)
{
    const auto found = this->rounds.find(answer.sequence);
    if (found == this->rounds.end()) {
        return;
    }
    auto& current_round = found->second;
    current_round.answered.insert(from);
    if (has_majority(current_round, current_round.answered)) {
        this->last_contact = std::max(this->last_contact, current_round.started_at);
    }
    if (answer.recovering || answer.known.version != current_round.version) {
        return;
    }
    current_round.agreed.insert(from);
    for (const auto& server : answer.servers) {
        const auto asked = current_round.confirmed.find(server);
        if (asked != current_round.confirmed.end()) {
            asked->second.insert(from);
        }
    }
    this->update_authorities(current_round);
}

monotonic_time confirmation::authority_until(const backend_server_id& server) const
{
    const auto found = this->authorities.find(server);
    return found == this->authorities.end() ? monotonic_time{} : found->second.until;
}

std::uint64_t confirmation::confirmed_version(const backend_server_id& server) const
{
    const auto found = this->authorities.find(server);
    return found == this->authorities.end() ? 0 : found->second.version;
}

monotonic_time confirmation::last_majority_contact() const
{
    return this->last_contact;
}

std::uint64_t confirmation::known_version() const
{
    return this->highest_known_version;
}

bool confirmation::has_majority(const round& current_round, const std::set<host_id>& hosts)
{
    return !current_round.validators.empty() && holds_majority(current_round.validators, hosts) &&
           holds_majority(current_round.previous_validators, hosts);
}

void confirmation::update_authorities(const round& current_round)
{
    if (has_majority(current_round, current_round.agreed)) {
        this->highest_known_version = std::max(this->highest_known_version, current_round.version);
    }
    for (const auto& [server, hosts] : current_round.confirmed) {
        if (!has_majority(current_round, hosts)) {
            continue;
        }
        auto& current = this->authorities[server];
        current.until =
            std::max(current.until, current_round.started_at + this->settings.authority);
        current.version = std::max(current.version, current_round.version);
    }
}

} // namespace figreach
