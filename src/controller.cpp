#include "figreach/controller.h"

#include <algorithm>
#include <utility>

#include "figreach/assigner.h"
#include "figreach/description_parser.h"
#include "figreach/document_codec.h"

namespace figreach {

controller::controller(host_identity self_, control_settings settings_)
    : self{self_}, settings{settings_}, peers{std::move(self_), settings_.membership}
{
}

control_actions controller::handle(const control_event& event, monotonic_time now)
{
    std::visit([this, now](const auto& one) { this->on_event(one, now); }, event);
    this->publish_if_changed(now);
    return std::exchange(this->actions, {});
}

void controller::on_event(const tick&, monotonic_time now)
{
    for (auto& message : this->peers.on_tick(this->news(), now)) {
        this->actions.emplace_back(std::move(message));
    }
    this->poll_store(now);
    this->create_missing_partitions(now);
    this->renew_grants(now);
}

void controller::on_event(const peer_received& event, monotonic_time now)
{
    for (auto& message : this->peers.on_message(event.message, this->news(), now)) {
        this->actions.emplace_back(std::move(message));
    }
}

void controller::on_event(const store_answered& event, monotonic_time)
{
    const auto* read = std::get_if<store_read>(&event.result);
    if (read == nullptr) {
        return;
    }
    this->partitions_known = true;
    for (const auto& value : read->values) {
        this->learn(value);
    }
}

void controller::on_event(const store_changed& event, monotonic_time)
{
    this->learn(event.present);
}

void controller::on_event(const server_answered& event, monotonic_time)
{
    auto& state = this->granted[event.server];
    const bool current =
        event.answer && event.answer->accepted && event.answer->sequence == state.sequence;
    if (!current) {
        return;
    }
    this->actions.emplace_back(
        extend_authority{.server = event.server,
                         .until = state.sent_at + this->settings.grant_duration,
                         .in_flight_elsewhere = 0,
                         .incarnation = event.answer->incarnation,
                         .cold = event.answer->cold});
}

void controller::on_event(const load_seen&, monotonic_time) {}

void controller::poll_store(monotonic_time now)
{
    if (now < this->next_poll) {
        return;
    }
    this->next_poll = now + this->settings.store_poll;
    this->ask_store(read_key{std::string{description_key}});
    this->ask_store(read_prefix{std::string{partition_prefix}});
}

void controller::learn(const stored_value& value)
{
    if (value.key == description_key) {
        const auto history = decode_history(value.value);
        if (!history || history->empty()) {
            return;
        }
        const auto& latest = history->back();
        auto parsed = parse_description(latest.toml, value.key);
        const bool newer = !this->shared || latest.version > this->shared->version;
        if (newer && parsed.faults.empty()) {
            parsed.value.version = latest.version;
            this->shared = std::make_shared<const description>(std::move(parsed.value));
            this->changed = true;
        }
        return;
    }
    auto document = decode_partition(value.value);
    if (!document) {
        return;
    }
    auto& known = this->partitions[document->id];
    if (!known || document->version > known->version) {
        known = std::make_shared<const partition>(std::move(*document));
        this->changed = true;
    }
}

void controller::create_missing_partitions(monotonic_time now)
{
    if (!this->shared || !this->partitions_known) {
        return;
    }
    for (const auto& one : this->shared->services) {
        for (std::uint32_t number = 0; number < one.partitions; ++number) {
            const partition_id id{.service = one.name, .number = number};
            const bool mine =
                preferred_host(store_key(id), this->live_names(now)) == this->self.name;
            if (this->partitions.contains(id) || !mine) {
                continue;
            }
            auto document =
                first_assignment(*this->shared, id, this->live_names(now), this->self.name.value);
            if (document.slices.empty()) {
                continue;
            }
            this->partitions_known = false;
            this->ask_store(compare_and_swap{
                .key = store_key(id), .expected_revision = 0, .value = encode(document)});
        }
    }
}

void controller::renew_grants(monotonic_time now)
{
    if (!this->shared) {
        return;
    }
    const auto live = this->live_names(now);
    for (const auto& server : this->shared->backend_servers) {
        const auto coordinator = preferred_host(server.name.value, live);
        auto& route = this->routes[server.name];
        if (route.coordinator != coordinator) {
            route.coordinator = coordinator;
            this->changed = true;
        }
        auto& state = this->granted[server.name];
        if (coordinator == this->self.name && now >= state.next_grant) {
            this->send_grant(server, state, now);
        }
    }
}

void controller::send_grant(const backend_server& server, granted_server& state, monotonic_time now)
{
    state.next_grant = now + this->settings.grant_interval;
    state.sent_at = now;
    ++state.sequence;
    grant what{.coordinator = this->self.name,
               .sequence = state.sequence,
               .term = state.term,
               .duration = this->settings.grant_duration,
               .slices = {}};
    for (const auto& [id, document] : this->partitions) {
        for (std::size_t i = 0; i < document->slices.size(); ++i) {
            if (owner_of(*document, i) == server.name) {
                what.slices.push_back({.first = document->slices[i].first,
                                       .last = last_hash(*document, i),
                                       .fence = document->slices[i].fence});
            }
        }
    }
    this->actions.emplace_back(call_server{.server = server.name,
                                           .address = server.address,
                                           .what = std::move(what),
                                           .timeout = this->settings.grant_timeout});
}

void controller::publish_if_changed(monotonic_time now)
{
    if (!this->changed || !this->shared) {
        return;
    }
    this->changed = false;
    auto snapshot = std::make_shared<routing_snapshot>();
    snapshot->shared = this->shared;
    snapshot->partitions = this->partitions;
    const auto hosts = this->peers.live_hosts(now);
    for (const auto& server : this->shared->backend_servers) {
        auto& route = this->routes[server.name];
        route.server = server.name;
        route.address = server.address;
        route.coordinated_here = route.coordinator == this->self.name;
        route.takes_new_work = receives_work(*this->shared, server);
        const auto host = std::ranges::find(hosts, route.coordinator, &host_state::host);
        route.forward_address = host == hosts.end() ? std::string{} : host->forward_address;
    }
    snapshot->servers = this->routes;
    snapshot->hosts = hosts;
    this->actions.emplace_back(publish_routes{std::move(snapshot)});
}

gossip controller::news() const
{
    gossip out;
    out.description_version = this->shared ? this->shared->version : 0;
    for (const auto& [id, document] : this->partitions) {
        out.partitions.push_back({.id = id, .version = document->version});
    }
    return out;
}

std::vector<host_id> controller::live_names(monotonic_time now) const
{
    std::vector<host_id> names;
    for (const auto& host : this->peers.live_hosts(now)) {
        names.push_back(host.host);
    }
    return names;
}

void controller::ask_store(store_call what)
{
    this->actions.emplace_back(call_store{.call = this->next_call++, .what = std::move(what)});
}

} // namespace figreach
