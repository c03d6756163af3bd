#include "figreach/direct/server_directory.h"

#include <algorithm>
#include <utility>

namespace figreach::direct {

namespace {

bool is_older(const server_entry& entry, const server_entry& known)
{
    if (entry.lifetime != known.lifetime) {
        return entry.lifetime < known.lifetime;
    }
    return entry.report < known.report;
}

} // namespace

bool is_cold(const server_record& record, monotonic_time now)
{
    return now < record.cold_until || now < record.said_cold_until;
}

server_directory::server_directory(directory_settings settings_) : settings{settings_} {}

directory_change server_directory::apply(const server_entry& entry, monotonic_time now)
{
    const auto [place, is_new] = this->known.try_emplace(entry.id);
    auto& record = place->second;
    if (!is_new && is_older(entry, record.entry)) {
        return directory_change::stale;
    }
    const bool restarted = !is_new && entry.lifetime != record.entry.lifetime;
    const bool was_leaving = record.leaving_since.has_value();
    const bool same_lifetime = !is_new && !restarted;
    if (same_lifetime && was_leaving && !entry.leaving && entry.report == record.entry.report) {
        // A store that came back from a copy shows the last entry of a server that has left again.
        return directory_change::stale;
    }
    if (!same_lifetime) {
        record = {};
    }
    record.entry = entry;
    record.missing_since.reset();
    record.cold_until =
        std::max(same_lifetime ? record.cold_until : monotonic_time{}, now + entry.cold_for);
    if (entry.cold_for == milliseconds{0}) {
        record.cold_until = now;
    }
    record.ended_at.reset();
    record.address_claimed = false;
    if (!entry.leaving && !record.said_leaving) {
        record.leaving_since.reset();
    }
    else if (!record.leaving_since) {
        record.leaving_since = now;
    }
    if (!same_lifetime) {
        this->end_previous_at_address(entry, now);
    }
    if (is_new) {
        return directory_change::added;
    }
    if (restarted) {
        return directory_change::restarted;
    }
    const bool leaves = record.leaving_since && !was_leaving;
    return leaves ? directory_change::leaving : directory_change::updated;
}

bool server_directory::record_leaving(const leaving_report& report, monotonic_time now)
{
    if (this->find_lifetime({.server = report.server, .lifetime = report.lifetime}) == nullptr) {
        return false;
    }
    auto& record = this->known.at(report.server);
    const auto said_at = now - report.age;
    const bool is_news = !std::exchange(record.said_leaving, true);
    record.leaving_since = std::min(record.leaving_since.value_or(said_at), said_at);
    return is_news;
}

bool server_directory::record_cold(const server_lifetime& server, milliseconds cold_for,
                                   monotonic_time now)
{
    if (this->find_lifetime(server) == nullptr) {
        return false;
    }
    auto& record = this->known.at(server.server);
    const bool was_cold = is_cold(record, now);
    record.said_cold_until =
        std::max(record.said_cold_until, now + std::min(cold_for, this->settings.longest_cold));
    return !was_cold && is_cold(record, now);
}

std::vector<leaving_report> server_directory::leaving_reports(monotonic_time now) const
{
    std::vector<leaving_report> out;
    for (const auto& [id, record] : this->known) {
        if (record.said_leaving && !record.entry.leaving && !record.ended_at) {
            const auto age = std::chrono::floor<milliseconds>(now - *record.leaving_since);
            out.push_back({.server = id, .lifetime = record.entry.lifetime, .age = age});
        }
    }
    return out;
}

void server_directory::end(server_record& record, monotonic_time now)
{
    record.missing_since.reset();
    record.ended_at = record.ended_at.value_or(now);
    if (!record.leaving_since) {
        record.leaving_since = now;
    }
}

/// Ends servers whose address a later server uses. An address is reused only after the previous
/// server has ended, but the entry of that server may remain until it lapses.
void server_directory::end_previous_at_address(const server_entry& entry, monotonic_time now)
{
    for (auto& [id, other] : this->known) {
        if (other.entry.address == entry.address && other.entry.lifetime < entry.lifetime) {
            other.address_claimed = true;
            this->end(other, now);
        }
    }
}

void server_directory::remove(const std::vector<backend_server_id>& ended, monotonic_time now)
{
    for (const auto& id : ended) {
        const auto found = this->known.find(id);
        if (found == this->known.end()) {
            continue;
        }
        auto& record = found->second;
        if (!record.leaving_since && now < this->grace_until) {
            record.missing_since = record.missing_since.value_or(now);
        }
        else {
            this->end(record, now);
        }
    }
}

void server_directory::on_store_reconnected(milliseconds away, monotonic_time now)
{
    if (away < this->settings.min_outage) {
        return;
    }
    this->expect_return(now);
}

void server_directory::expect_return(monotonic_time now)
{
    this->grace_until = std::max(this->grace_until, now + this->settings.return_grace);
}

void server_directory::expect_return_within(milliseconds left, monotonic_time now)
{
    this->grace_until =
        std::max(this->grace_until, now + std::min(left, this->settings.return_grace));
}

milliseconds server_directory::return_time_left(monotonic_time now) const
{
    return std::max(std::chrono::floor<milliseconds>(this->grace_until - now), milliseconds{0});
}

void server_directory::on_tick(monotonic_time now)
{
    for (auto& [id, record] : this->known) {
        if (record.missing_since && now >= this->grace_until) {
            this->end(record, now);
        }
    }
    std::erase_if(this->known, [this, now](const auto& item) {
        const auto& ended_at = item.second.ended_at;
        return ended_at && now >= *ended_at + this->settings.forget_after;
    });
}

const server_directory::servers& server_directory::all() const
{
    return this->known;
}

const server_record* server_directory::find(const backend_server_id& id) const
{
    const auto found = this->known.find(id);
    return found != this->known.end() ? &found->second : nullptr;
}

const server_record* server_directory::find_lifetime(const server_lifetime& server) const
{
    const auto* record = this->find(server.server);
    return record != nullptr && record->entry.lifetime == server.lifetime ? record : nullptr;
}

} // namespace figreach::direct
