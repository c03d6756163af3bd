#include "figreach/direct/cluster_state.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace figreach::direct {

namespace {

/// Maximum number of malformed items that are remembered in order to report each only once.
constexpr std::size_t max_unreadable_keys = 1000;
/// Log lines for one version of the configuration.
constexpr std::size_t max_reported_entries = 20;

item_update decoded_or_unreadable(const std::string& key, auto decoded, auto make)
{
    if (!decoded) {
        return unreadable_item{.key = key, .field = "(bytes)"};
    }
    return make(std::move(*decoded));
}

void add_unreadable_entries(const route_configuration& all, std::vector<state_change>& out)
{
    const auto count = std::min(all.unreadable.size(), max_reported_entries);
    for (std::size_t i = 0; i < count; ++i) {
        out.push_back({.event = "configuration_entry_unreadable",
                       .fields = {{"version", std::to_string(all.version)},
                                  {"entry", all.unreadable[i].entry},
                                  {"field", all.unreadable[i].field},
                                  {"unreadable", std::to_string(all.unreadable.size())}}});
    }
}

const char* name_of(directory_change change)
{
    switch (change) {
    case directory_change::updated:
        return "server_updated";
    case directory_change::stale:
        return "server_report_stale";
    case directory_change::added:
        return "server_added";
    case directory_change::restarted:
        return "server_restarted";
    case directory_change::leaving:
        return "server_leaving";
    }
    return "server_updated";
}

} // namespace

item_update decode_own_item(const store_change& change)
{
    const auto& key = change.item.key;
    const auto& value = change.item.value;
    const auto revision = change.item.revision;
    const std::string_view text{key};
    if (text == leader_key) {
        return leader_update{.present = !change.removed};
    }
    if (text == term_key && !change.removed) {
        return decoded_or_unreadable(key, decode_leader_term(value), [](leader_term term) {
            return item_update{term_update{std::move(term)}};
        });
    }
    if (text.starts_with(hosts_prefix)) {
        if (change.removed) {
            return host_removal{{key.substr(std::string_view{hosts_prefix}.size())}};
        }
        return decoded_or_unreadable(key, decode_live_host(value), [](live_host host) {
            return item_update{host_update{std::move(host)}};
        });
    }
    if (text.starts_with(key_tables_prefix) && !change.removed) {
        return decoded_or_unreadable(key, decode_key_table(value), [&](key_table table) {
            return item_update{key_table_update{.table = std::move(table), .revision = revision}};
        });
    }
    if (text == crash_record_key && !change.removed) {
        return decoded_or_unreadable(key, decode_crash_record(value), [&](crash_record record) {
            return item_update{
                crash_record_update{.record = std::move(record), .revision = revision}};
        });
    }
    return ignored_item{};
}

cluster_state::cluster_state(directory_settings settings)
    : directory{settings}, return_grace{settings.return_grace}
{
}

std::vector<state_change> cluster_state::apply(store_part part,
                                               const std::vector<item_update>& updates, bool whole,
                                               monotonic_time now)
{
    std::vector<state_change> out;
    this->ended.clear();
    for (const auto& one : updates) {
        std::visit([&](const auto& update) { this->apply_update(update, out, now); }, one);
    }
    if (whole) {
        this->remove_unlisted(part, updates, out, now);
        this->parts_read.insert(part);
        if (part == store_part::own) {
            this->own_read_at = this->own_read_at.value_or(now);
        }
    }
    this->directory.remove(this->ended, now);
    return out;
}

bool cluster_state::record_leaving(const leaving_report& report, monotonic_time now)
{
    return this->directory.record_leaving(report, now);
}

bool cluster_state::record_cold(const server_lifetime& server, milliseconds cold_for,
                                monotonic_time now)
{
    return this->directory.record_cold(server, cold_for, now);
}

void cluster_state::on_store_reconnected(milliseconds away, monotonic_time now)
{
    this->directory.on_store_reconnected(away, now);
}

void cluster_state::on_store_restored(monotonic_time now)
{
    this->directory.expect_return(now);
    this->restore_grace_until = now + this->return_grace;
}

void cluster_state::expect_return_within(milliseconds left, monotonic_time now)
{
    this->directory.expect_return_within(left, now);
}

std::vector<state_change> cluster_state::on_tick(monotonic_time now)
{
    std::vector<state_change> out;
    this->directory.on_tick(now);
    if (now >= this->restore_grace_until) {
        for (const auto& domain : std::exchange(this->domains_unlisted, {})) {
            this->apply_update(domain_update{.domain = domain, .out = false}, out, now);
        }
    }
    std::erase_if(this->host_records, [now](const auto& item) {
        const auto& ended_at = item.second.ended_at;
        return ended_at && now >= *ended_at + host_retention;
    });
    return out;
}

void cluster_state::apply_update(const configuration_update& update, std::vector<state_change>& out,
                                 monotonic_time now)
{
    const auto present = this->current_routes ? this->current_routes->configuration().version : 0;
    const bool newer = !this->current_routes || update.value.version > present;
    out.push_back({.event = newer ? "configuration_in_force" : "configuration_not_newer",
                   .fields = {{"version", std::to_string(update.value.version)},
                              {"before", std::to_string(present)},
                              {"routes", std::to_string(update.value.routes.size())}}});
    if (newer || update.value.version == 0) {
        add_unreadable_entries(update.value, out);
    }
    if (newer) {
        this->current_routes = std::make_shared<route_table>(
            std::make_shared<const route_configuration>(update.value));
        this->apply_set_aside(out, now);
    }
}

bool cluster_state::names_server(const server_entry& entry) const
{
    const auto* known = this->directory.find(entry.id);
    const bool is_known = known != nullptr && known->entry.service == entry.service;
    return is_known || (this->current_routes &&
                        this->current_routes->configuration().services.contains(entry.service));
}

void cluster_state::apply_set_aside(std::vector<state_change>& out, monotonic_time now)
{
    for (const auto& [id, update] : std::exchange(this->set_aside, {})) {
        this->apply_update(update, out, now);
    }
}

void cluster_state::apply_update(const server_update& update, std::vector<state_change>& out,
                                 monotonic_time now)
{
    std::erase(this->ended, update.entry.id);
    if (!this->names_server(update.entry)) {
        const bool is_new = this->set_aside.insert_or_assign(update.entry.id, update).second;
        if (is_new && this->current_routes) {
            out.push_back({.event = "server_of_unknown_service",
                           .fields = {{"server", update.entry.id.value},
                                      {"service", update.entry.service.value},
                                      {"address", update.entry.address}}});
        }
        return;
    }
    this->set_aside.erase(update.entry.id);
    const auto change = this->directory.apply(update.entry, now);
    if (change == directory_change::updated) {
        return;
    }
    out.push_back({.event = name_of(change),
                   .fields = {{"server", update.entry.id.value},
                              {"lifetime", std::to_string(update.entry.lifetime)},
                              {"report", std::to_string(update.entry.report)},
                              {"service", update.entry.service.value},
                              {"address", update.entry.address},
                              {"cold_ms", std::to_string(update.entry.cold_for.count())}}});
}

void cluster_state::apply_update(const server_removal& update, std::vector<state_change>& out,
                                 monotonic_time)
{
    this->set_aside.erase(update.id);
    if (this->directory.find(update.id) != nullptr) {
        this->ended.push_back(update.id);
        out.push_back({.event = "server_entry_ended", .fields = {{"server", update.id.value}}});
    }
}

void cluster_state::apply_update(const domain_update& update, std::vector<state_change>& out,
                                 monotonic_time)
{
    this->domains_unlisted.erase(update.domain);
    const bool changed = update.out ? this->domains_out.insert(update.domain).second
                                    : this->domains_out.erase(update.domain) > 0;
    if (changed) {
        out.push_back({.event = update.out ? "domain_out" : "domain_back",
                       .fields = {{"failure_domain", update.domain.value}}});
    }
}

void cluster_state::apply_update(const key_table_update& update, std::vector<state_change>& out,
                                 monotonic_time)
{
    auto& present = this->tables[update.table.service];
    // In a store that was restored from a copy, an old table has a later revision.
    if (update.revision <= present.revision || update.table.next_fence < present.table.next_fence) {
        return;
    }
    out.push_back({.event = "key_table",
                   .fields = {{"service", update.table.service.value},
                              {"revision", std::to_string(update.revision.number().value)},
                              {"next_fence", std::to_string(update.table.next_fence)},
                              {"ranges", std::to_string(update.table.ranges.size())}}});
    present = update;
}

void cluster_state::apply_update(const host_update& update, std::vector<state_change>& out,
                                 monotonic_time)
{
    auto& record = this->host_records[update.host.name];
    if (record.ended_at || record.host != update.host) {
        out.push_back({.event = "host_added",
                       .fields = {{"name", update.host.name.value},
                                  {"lifetime", std::to_string(update.host.lifetime)}}});
    }
    record = {.host = update.host, .ended_at = std::nullopt};
}

void cluster_state::apply_update(const host_removal& update, std::vector<state_change>& out,
                                 monotonic_time now)
{
    const auto known = this->host_records.find(update.name);
    if (known != this->host_records.end() && !known->second.ended_at) {
        known->second.ended_at = now;
        out.push_back({.event = "host_ended", .fields = {{"name", update.name.value}}});
    }
}

void cluster_state::apply_update(const leader_update& update, std::vector<state_change>& out,
                                 monotonic_time)
{
    if (this->leader_present != update.present) {
        out.push_back({.event = update.present ? "leader_present" : "leader_gone", .fields = {}});
    }
    this->leader_present = update.present;
}

void cluster_state::apply_update(const term_update& update, std::vector<state_change>& out,
                                 monotonic_time)
{
    if (update.term.term >= this->current_term.term && update.term != this->current_term) {
        this->current_term = update.term;
        out.push_back({.event = "leader_term",
                       .fields = {{"term", std::to_string(update.term.term)},
                                  {"leader", update.term.host.value},
                                  {"resigned", update.term.resigned ? "true" : "false"}}});
    }
}

void cluster_state::apply_update(const unreadable_item& update, std::vector<state_change>& out,
                                 monotonic_time)
{
    if (this->reported_unreadable.size() < max_unreadable_keys &&
        this->reported_unreadable.insert(update.key).second) {
        out.push_back(
            {.event = "item_unreadable", .fields = {{"key", update.key}, {"field", update.field}}});
    }
}

void cluster_state::apply_update(const crash_record_update& update, std::vector<state_change>&,
                                 monotonic_time)
{
    if (update.revision > this->stored_crashes.revision) {
        this->stored_crashes = update;
    }
}

void cluster_state::apply_update(const ignored_item&, std::vector<state_change>&, monotonic_time) {}

/// Removes what a full listing does not contain.
void cluster_state::remove_unlisted(store_part part, const std::vector<item_update>& updates,
                                    std::vector<state_change>& out, monotonic_time now)
{
    std::set<backend_server_id> servers;
    std::set<failure_domain_id> domains;
    std::set<host_id> names;
    bool leader = false;
    for (const auto& one : updates) {
        if (const auto* server = std::get_if<server_update>(&one)) {
            servers.insert(server->entry.id);
        }
        else if (const auto* unreadable = std::get_if<unreadable_item>(&one)) {
            // Says nothing about the server, neither that it has left.
            if (unreadable->server) {
                servers.insert(*unreadable->server);
            }
        }
        else if (const auto* domain = std::get_if<domain_update>(&one)) {
            domains.insert(domain->domain);
        }
        else if (const auto* host = std::get_if<host_update>(&one)) {
            names.insert(host->host.name);
        }
        else if (std::holds_alternative<leader_update>(one)) {
            leader = true;
        }
    }
    if (part == store_part::servers) {
        std::erase_if(this->set_aside,
                      [&servers](const auto& item) { return !servers.contains(item.first); });
        for (const auto& [id, record] : this->directory.all()) {
            if (!servers.contains(id)) {
                this->apply_update(server_removal{id}, out, now);
            }
        }
    }
    if (part == store_part::operators) {
        const auto before = this->domains_out;
        for (const auto& domain : before) {
            if (domains.contains(domain)) {
                continue;
            }
            if (now < this->restore_grace_until) {
                this->domains_unlisted.insert(domain);
                continue;
            }
            this->apply_update(domain_update{.domain = domain, .out = false}, out, now);
        }
    }
    if (part == store_part::own) {
        for (const auto& [name, record] : this->host_records) {
            if (!names.contains(name)) {
                this->apply_update(host_removal{name}, out, now);
            }
        }
        this->apply_update(leader_update{.present = leader}, out, now);
    }
}

std::shared_ptr<route_table> cluster_state::routes() const
{
    return this->current_routes;
}

const server_directory& cluster_state::servers() const
{
    return this->directory;
}

const key_table* cluster_state::keys(const service_id& service) const
{
    const auto found = this->tables.find(service);
    return found != this->tables.end() ? &found->second.table : nullptr;
}

store_revision cluster_state::keys_revision(const service_id& service) const
{
    const auto found = this->tables.find(service);
    return found != this->tables.end() ? found->second.revision : store_revision{};
}

const crash_record_update& cluster_state::crashes() const
{
    return this->stored_crashes;
}

bool cluster_state::is_out(const failure_domain_id& domain) const
{
    return this->domains_out.contains(domain);
}

std::vector<host_id> cluster_state::hosts() const
{
    std::vector<host_id> out;
    for (const auto& [name, record] : this->host_records) {
        out.push_back(name);
    }
    return out;
}

std::size_t cluster_state::host_count() const
{
    return this->host_records.size();
}

std::optional<std::vector<host_id>> cluster_state::hosts_seen_within(milliseconds time,
                                                                     monotonic_time now) const
{
    if (!this->own_read_at || now < *this->own_read_at + time) {
        return std::nullopt;
    }
    return this->hosts();
}

const live_host* cluster_state::find_host(const host_id& name) const
{
    const auto found = this->host_records.find(name);
    return found != this->host_records.end() ? &found->second.host : nullptr;
}

bool cluster_state::is_registered(const host_id& name) const
{
    const auto found = this->host_records.find(name);
    return found != this->host_records.end() && !found->second.ended_at;
}

bool cluster_state::has_leader() const
{
    return this->leader_present;
}

const leader_term& cluster_state::term() const
{
    return this->current_term;
}

bool cluster_state::is_complete() const
{
    constexpr std::size_t parts = 3;
    return this->parts_read.size() == parts && this->current_routes != nullptr;
}

bool cluster_state::takes_new_work(const server_record& record) const
{
    return !record.leaving_since && !this->is_out(record.entry.failure_domain);
}

std::vector<const server_record*> cluster_state::servers_for_new_work() const
{
    std::vector<const server_record*> out;
    for (const auto& [id, record] : this->directory.all()) {
        if (this->takes_new_work(record)) {
            out.push_back(&record);
        }
    }
    return out;
}

std::vector<const server_record*>
cluster_state::servers_for_new_work(const service_id& service) const
{
    std::vector<const server_record*> present;
    std::vector<const server_record*> missing;
    for (const auto& [id, record] : this->directory.all()) {
        if (record.entry.service == service && this->takes_new_work(record)) {
            (record.missing_since ? missing : present).push_back(&record);
        }
    }
    if (missing.size() >= present.size()) {
        present.insert(present.end(), missing.begin(), missing.end());
    }
    return present;
}

} // namespace figreach::direct
