#include "figreach/direct/crash_suspects.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace figreach::direct {

namespace {

/// Changes that nobody takes are dropped.
constexpr std::size_t max_changes = 1024;

} // namespace

std::string_view name_of(crash_level level)
{
    switch (level) {
    case crash_level::none:
        return "none";
    case crash_level::suspected:
        return "suspected";
    case crash_level::trial:
        return "trial";
    case crash_level::held:
        return "held";
    }
    return "none";
}

crash_suspects::crash_suspects(crash_suspects_settings settings_) : settings{settings_} {}

void crash_suspects::on_lost(const lost_send& lost, monotonic_time now)
{
    auto& entry = this->known[lost.digest];
    this->lives[lost.server];
    this->add(entry, lost.server,
              {.at = now,
               .sent_at = lost.sent_at,
               .failure_domain = lost.failure_domain,
               .sender = lost.sender});
    if (entry.losses.contains(lost.server)) {
        entry.own.insert(lost.server);
        entry.untold.insert(lost.server);
    }
    this->recount(lost.digest, entry, now);
    this->evict();
}

void crash_suspects::on_answered(const request_digest& digest, monotonic_time now)
{
    const auto found = this->known.find(digest);
    if (found == this->known.end() || found->second.losses.empty()) {
        return;
    }
    this->clear(found->second, now);
    found->second.cleared_here = true;
    found->second.clearance_untold = true;
    this->recount(digest, found->second, now);
}

void crash_suspects::on_alive(const server_lifetime& server, monotonic_time at)
{
    const auto found = this->lives.find(server);
    if (found == this->lives.end()) {
        return;
    }
    this->mark_alive(server, at);
    const auto listed = found->second.suspects;
    for (const auto& [digest, losses] : listed) {
        this->recount(digest, this->known.at(digest), at);
    }
}

void crash_suspects::mark_alive(const server_lifetime& server, monotonic_time at)
{
    const auto found = this->lives.find(server);
    if (found != this->lives.end()) {
        found->second.alive_at = std::max(found->second.alive_at.value_or(at), at);
    }
}

void crash_suspects::on_tick(const discovery& find, monotonic_time now)
{
    std::set<request_digest> changed;
    for (auto& [server, own] : this->lives) {
        const auto seen = find(server.server);
        const auto alive_before = own.alive_at;
        if (!seen || seen->lifetime != server.lifetime) {
            continue;
        }
        if (seen->answered_at) {
            this->mark_alive(server, *seen->answered_at);
        }
        // Several reports that come at once, after the store was away, count as one.
        if (own.report && seen->report > *own.report) {
            ++own.reports;
        }
        own.report = std::max(own.report.value_or(seen->report), seen->report);
        if (own.reports >= this->settings.reports_alive) {
            this->mark_alive(server, now);
        }
        if (own.alive_at != alive_before) {
            for (const auto& [digest, losses] : own.suspects) {
                changed.insert(digest);
            }
        }
    }
    for (const auto& digest : changed) {
        this->recount(digest, this->known.at(digest), now);
    }
    // Requests with one loss need no more than this.
    if (now >= this->next_prune) {
        this->next_prune = now + this->settings.prune_interval;
        this->recount_all(now);
        this->prune(now);
    }
}

/// Keeps the later of two losses of one server, and the newest of all. The time of a stored loss is
/// only an upper bound, so that others go before it.
void crash_suspects::add(suspect& entry, const server_lifetime& server, loss added) const
{
    if (entry.cleared_at && (added.stored || added.at <= *entry.cleared_at)) {
        return;
    }
    const auto rank = [](const loss& one) {
        return std::tuple{!one.stored, one.at, one.sent_at, one.failure_domain, one.sender};
    };
    const auto [place, is_new] = entry.losses.try_emplace(server, added);
    if (!is_new && rank(added) > rank(place->second)) {
        place->second = std::move(added);
    }
    if (entry.losses.size() > this->settings.max_losses) {
        const auto oldest = std::min_element(entry.losses.begin(), entry.losses.end(),
                                             [](const auto& left, const auto& right) {
                                                 return std::tie(left.second.at, left.first) <
                                                        std::tie(right.second.at, right.first);
                                             });
        entry.own.erase(oldest->first);
        entry.untold.erase(oldest->first);
        entry.losses.erase(oldest);
    }
}

void crash_suspects::clear(suspect& entry, monotonic_time at) const
{
    entry.cleared_at = std::max(entry.cleared_at.value_or(at), at);
    entry.trial_at.reset();
    std::erase_if(entry.losses, [&](const auto& item) {
        const bool cleared = item.second.stored || item.second.at <= *entry.cleared_at;
        if (cleared) {
            entry.own.erase(item.first);
            entry.untold.erase(item.first);
        }
        return cleared;
    });
}

bool crash_suspects::is_refuted(const server_lifetime& server, const loss& one) const
{
    const auto found = this->lives.find(server);
    return found != this->lives.end() && found->second.alive_at &&
           *found->second.alive_at > one.at + this->settings.report_delay;
}

/// Losses that are not refuted, one of each moment, in the order of their times.
std::vector<server_lifetime> crash_suspects::counted_losses(const suspect& entry) const
{
    using item = std::pair<const server_lifetime, loss>;
    std::vector<const item*> ordered;
    for (const auto& one : entry.losses) {
        if (!this->is_refuted(one.first, one.second)) {
            ordered.push_back(&one);
        }
    }
    std::sort(ordered.begin(), ordered.end(), [](const item* left, const item* right) {
        return std::tie(left->second.at, left->first) < std::tie(right->second.at, right->first);
    });
    std::vector<const item*> counted;
    std::vector<server_lifetime> out;
    for (const auto* one : ordered) {
        const auto& later = one->second;
        const bool repeated = std::any_of(counted.begin(), counted.end(), [&](const item* other) {
            const auto& earlier = other->second;
            const bool together =
                earlier.failure_domain == later.failure_domain || earlier.sender == later.sender;
            return together && later.at - earlier.at <= this->settings.same_moment &&
                   later.sent_at < earlier.at;
        });
        if (!repeated) {
            counted.push_back(one);
            out.push_back(one->first);
        }
    }
    return out;
}

milliseconds crash_suspects::hold_time(std::size_t losses) const
{
    auto out = this->settings.first_hold;
    for (auto i = this->settings.held_losses; i < losses && out < this->settings.max_hold; ++i) {
        out *= this->settings.hold_growth;
    }
    return std::min(out, this->settings.max_hold);
}

monotonic_time crash_suspects::held_until(const suspect& entry) const
{
    const auto after_loss = entry.last_at + this->hold_time(entry.counted);
    // A trial without a verdict.
    return entry.trial_at ? std::max(after_loss, *entry.trial_at + this->settings.first_hold)
                          : after_loss;
}

/// Whether each server was lost with another request that has as many losses. Then either may be
/// the cause; sent alone, the one crashes a further server and the other is answered.
bool crash_suspects::is_explained(const request_digest& digest, const suspect& entry) const
{
    return std::all_of(entry.counted_servers.begin(), entry.counted_servers.end(),
                       [&](const server_lifetime& server) {
                           const auto& listed = this->lives.at(server).suspects;
                           return std::any_of(listed.begin(), listed.end(), [&](const auto& item) {
                               return item.first != digest && item.second >= entry.counted;
                           });
                       });
}

void crash_suspects::index(const request_digest& digest, suspect& entry)
{
    this->remove_from_index(digest, entry);
    if (entry.counted < this->settings.suspect_losses) {
        return;
    }
    for (const auto& [server, one] : entry.losses) {
        if (!this->is_refuted(server, one)) {
            this->lives[server].suspects[digest] = entry.counted;
            entry.indexed.push_back(server);
        }
    }
}

void crash_suspects::remove_from_index(const request_digest& digest, suspect& entry)
{
    for (const auto& server : std::exchange(entry.indexed, {})) {
        this->lives[server].suspects.erase(digest);
    }
}

crash_level crash_suspects::level_of(const request_digest& digest, const suspect& entry,
                                     monotonic_time now) const
{
    if (entry.counted < this->settings.suspect_losses) {
        return crash_level::none;
    }
    if (entry.counted < this->settings.held_losses || this->is_explained(digest, entry)) {
        return crash_level::suspected;
    }
    return now < this->held_until(entry) ? crash_level::held : crash_level::trial;
}

crash_level crash_suspects::level(const request_digest& digest, monotonic_time now) const
{
    const auto found = this->known.find(digest);
    return found != this->known.end() ? this->level_of(digest, found->second, now)
                                      : crash_level::none;
}

std::size_t crash_suspects::count(const request_digest& digest) const
{
    const auto found = this->known.find(digest);
    return found != this->known.end() ? found->second.counted : 0;
}

void crash_suspects::recount(const request_digest& digest, suspect& entry, monotonic_time now)
{
    entry.counted_servers = this->counted_losses(entry);
    const auto& counted = entry.counted_servers;
    entry.counted = counted.size();
    this->index(digest, entry);
    entry.shared = entry.shared || entry.losses.size() >= this->settings.suspect_losses;
    if (!counted.empty()) {
        entry.last_at = entry.losses.at(counted.back()).at;
    }
    else {
        entry.last_at = entry.cleared_at.value_or(monotonic_time{});
        for (const auto& [server, one] : entry.losses) {
            entry.last_at = std::max(entry.last_at, one.at);
        }
    }
    const auto level = this->level_of(digest, entry, now);
    if (level == entry.logged) {
        return;
    }
    crash_level_change change{.digest = digest, .from = entry.logged, .to = level, .losses = {}};
    for (const auto& server : counted) {
        change.losses.push_back(this->report_of(server, entry.losses.at(server), now));
    }
    entry.logged = level;
    if (this->changes.size() < max_changes) {
        this->changes.push_back(std::move(change));
    }
}

void crash_suspects::recount_all(monotonic_time now)
{
    for (auto& [digest, entry] : this->known) {
        this->recount(digest, entry, now);
    }
}

/// Drops the oldest of those with the fewest losses if there are too many.
void crash_suspects::evict()
{
    while (this->known.size() > this->settings.max_digests) {
        const auto first = std::min_element(
            this->known.begin(), this->known.end(), [](const auto& left, const auto& right) {
                return std::tie(left.second.counted, left.second.last_at) <
                       std::tie(right.second.counted, right.second.last_at);
            });
        this->remove_from_index(first->first, first->second);
        this->known.erase(first);
    }
}

monotonic_time crash_suspects::forget_at(const suspect& entry) const
{
    if (entry.losses.empty()) {
        return entry.last_at + this->settings.cleared_memory;
    }
    const bool held = entry.counted >= this->settings.held_losses;
    return (held ? this->held_until(entry) : entry.last_at) + this->settings.memory;
}

void crash_suspects::prune(monotonic_time now)
{
    std::set<server_lifetime> used;
    for (auto at = this->known.begin(); at != this->known.end();) {
        if (now >= this->forget_at(at->second) && !this->running.contains(at->first)) {
            this->remove_from_index(at->first, at->second);
            at = this->known.erase(at);
            continue;
        }
        for (const auto& [server, one] : at->second.losses) {
            used.insert(server);
        }
        ++at;
    }
    std::erase_if(this->lives, [&](const auto& item) { return !used.contains(item.first); });
}

bool crash_suspects::try_start(const request_digest& digest, const backend_server_id& server,
                               monotonic_time now)
{
    const bool is_busy = this->running.contains(digest) ||
                         std::any_of(this->running.begin(), this->running.end(),
                                     [&](const auto& item) { return item.second == server; });
    const auto level = this->level(digest, now);
    if (is_busy || level == crash_level::held) {
        return false;
    }
    this->running.emplace(digest, server);
    if (level == crash_level::trial) {
        this->known.at(digest).trial_at = now;
    }
    return true;
}

void crash_suspects::finish(const request_digest& digest, bool sent)
{
    this->running.erase(digest);
    const auto found = this->known.find(digest);
    if (!sent && found != this->known.end()) {
        found->second.trial_at.reset();
    }
}

std::vector<crash_level_change> crash_suspects::take_changes()
{
    return std::exchange(this->changes, {});
}

std::size_t crash_suspects::size() const
{
    return this->known.size();
}

std::size_t crash_suspects::count_at(crash_level level) const
{
    return static_cast<std::size_t>(
        std::count_if(this->known.begin(), this->known.end(),
                      [&](const auto& item) { return item.second.logged == level; }));
}

} // namespace figreach::direct
