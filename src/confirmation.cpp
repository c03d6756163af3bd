#include "figreach/confirmation.h"

#include <algorithm>
#include <utility>

namespace figreach {

namespace {

constexpr std::size_t most_open_rounds = 8;

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
    const auto given_up = [&servers](const auto& item) {
        return std::ranges::find(servers, item.first) == servers.end();
    };
    std::erase_if(this->authorities, given_up);
    for (auto& [number, earlier] : this->rounds) {
        // A validator may have released the hold that a late answer to this round confirms.
        std::erase_if(earlier.confirmed, given_up);
    }
    this->rounds[++this->sequence] = {.asked_at = now,
                                      .version = document.version,
                                      .validators = document.validators,
                                      .previous_validators = document.previous_validators,
                                      .answered = {},
                                      .agreed = {},
                                      .confirmed = {}};
    for (const auto& server : servers) {
        this->rounds[this->sequence].confirmed[server] = {};
    }
    while (this->rounds.size() > most_open_rounds) {
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
    auto& one = found->second;
    one.answered.insert(from);
    if (is_majority(one, one.answered)) {
        this->heard = std::max(this->heard, one.asked_at);
    }
    if (answer.recovering || answer.known.version != one.version) {
        return;
    }
    one.agreed.insert(from);
    for (const auto& server : answer.servers) {
        const auto asked = one.confirmed.find(server);
        if (asked != one.confirmed.end()) {
            asked->second.insert(from);
        }
    }
    this->count(one);
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
    return this->heard;
}

std::uint64_t confirmation::known_version() const
{
    return this->known;
}

bool confirmation::is_majority(const round& one, const std::set<host_id>& hosts)
{
    return !one.validators.empty() && holds_majority(one.validators, hosts) &&
           holds_majority(one.previous_validators, hosts);
}

void confirmation::count(const round& one)
{
    if (is_majority(one, one.agreed)) {
        this->known = std::max(this->known, one.version);
    }
    for (const auto& [server, hosts] : one.confirmed) {
        if (!is_majority(one, hosts)) {
            continue;
        }
        auto& present = this->authorities[server];
        present.until = std::max(present.until, one.asked_at + this->settings.authority);
        present.version = std::max(present.version, one.version);
    }
}

} // namespace figreach
