#include "figreach/controller.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "figreach/assigner.h"
#include "figreach/validator_choice.h"

namespace figreach {

namespace {

constexpr milliseconds description_request_interval{200};
constexpr std::size_t description_pollers = 3;
constexpr std::size_t max_announced_hosts = 32; ///< larger fleets rely on gossip
/// A host that is no longer listed may still coordinate until its servers have been handed over.
constexpr milliseconds recent_host_retention{400};

assignment_policy make_assignment_policy(const std::shared_ptr<assigner>& partition_assigner)
{
    return {.plan = [partition_assigner](
                        const partition& present, const description& all,
                        monotonic_time now) { return partition_assigner->plan(present, all, now); },
            .on_report =
                [partition_assigner](const load_report& report, monotonic_time now) {
                    partition_assigner->on_report(report, now);
                }};
}

auto comparable_fields(const server_route& route)
{
    return std::tie(route.server, route.address, route.coordinator, route.forward_address,
                    route.coordinated_here, route.takes_new_work);
}

bool same_routes(const std::map<backend_server_id, server_route>& left,
                 const std::map<backend_server_id, server_route>& right)
{
    return std::ranges::equal(left, right, [](const auto& one, const auto& other) {
        return comparable_fields(one.second) == comparable_fields(other.second);
    });
}

} // namespace

controller::controller(host_identity self_, const control_settings& settings_)
    : self{self_},
      settings{settings_},
      peers{self_, settings_.membership},
      partition_assigner{std::make_shared<assigner>(assigner_settings{})},
      local_ownership{std::move(self_), settings_.ownership,
                      make_assignment_policy(this->partition_assigner)}
{
}

control_actions controller::handle(const control_event& event, monotonic_time now)
{
    std::visit([this, now](const auto& one) { this->on_event(one, now); }, event);
    this->remember_hosts(now);
    this->announce_takeovers(now);
    this->publish_if_changed();
    return std::exchange(this->actions, {});
}

void controller::leave()
{
    this->peers.leave();
}

void controller::on_event(const tick&, monotonic_time now)
{
    for (auto& message : this->peers.on_tick(this->local_gossip(now), now)) {
        this->actions.emplace_back(std::move(message));
    }
    this->hosts = this->peers.live_hosts(now);
    this->poll_description(now);
    this->append(this->local_ownership.on_tick(this->current_view(now), now));
}

void controller::on_event(const peer_received& event, monotonic_time now)
{
    for (auto& message : this->peers.on_message(event.message, this->local_gossip(now), now)) {
        this->actions.emplace_back(std::move(message));
    }
    this->hosts = this->peers.live_hosts(now);
    this->merge_hints(event.message);
    this->exchange_description(event.message, now);
    this->append(this->local_ownership.on_message(event.message, this->current_view(now), now));
}

void controller::on_event(const store_answered& event, monotonic_time now)
{
    if (const auto* read = std::get_if<store_read>(&event.result)) {
        for (const auto& value : read->values) {
            if (value.key == description_key) {
                this->descriptions.learn_history(value.value);
            }
        }
    }
    this->append(this->local_ownership.on_store(event, this->current_view(now), now));
}

void controller::on_event(const store_changed& event, monotonic_time)
{
    if (event.present.key == description_key) {
        this->descriptions.learn_history(event.present.value);
    }
}

void controller::on_event(const server_answered& event, monotonic_time now)
{
    this->append(this->local_ownership.on_server(event, this->current_view(now), now));
}

void controller::on_event(const observed_load& event, monotonic_time)
{
    this->local_ownership.on_load(event);
}

void controller::on_event(const slices_idle& event, monotonic_time)
{
    this->local_ownership.on_idle(event);
}

/// One host polls for a newer description often and two more poll less often; the others learn from
/// them. A host without a description polls on its own.
void controller::poll_description(monotonic_time now)
{
    if (now < this->next_description_poll) {
        return;
    }
    const auto order = by_preference(std::string{description_key}, this->hosts);
    const auto own = std::ranges::find(order, this->self.name);
    const auto rank = static_cast<std::size_t>(own - order.begin());
    const bool first = rank == 0 || this->descriptions.version() == 0;
    this->next_description_poll =
        now + (first ? this->settings.description_poll : this->settings.standby_description_poll);
    if (first || rank < description_pollers) {
        this->actions.emplace_back(call_store{.call = this->next_call++,
                                              .request = read_key{std::string{description_key}}});
    }
}

void controller::exchange_description(const peer_message& message, monotonic_time now)
{
    if (const auto* received = std::get_if<probe>(&message.body)) {
        this->request_description(received->piggyback, message.sender, now);
    }
    if (const auto* received = std::get_if<probe_answer>(&message.body)) {
        this->request_description(received->piggyback, message.sender, now);
    }
    if (const auto* asked = std::get_if<document_request>(&message.body)) {
        if (asked->description && asked->above.version < this->descriptions.version()) {
            this->send(message.sender,
                       document_offer{.partition = {},
                                      .description = this->descriptions.encoded_record()});
        }
    }
    if (const auto* offered = std::get_if<document_offer>(&message.body)) {
        if (!offered->description.empty()) {
            this->descriptions.learn_record(offered->description);
        }
    }
}

void controller::request_description(const gossip& received, const host_id& from,
                                     monotonic_time now)
{
    const auto known_version = this->descriptions.version();
    if (received.description_version <= known_version || now < this->next_description_request) {
        return;
    }
    this->next_description_request = now + description_request_interval;
    this->send(
        from, document_request{.above = {.id = {}, .version = known_version}, .description = true});
}

void controller::merge_hints(const peer_message& message)
{
    if (const auto* body = std::get_if<probe>(&message.body)) {
        this->merge_hints(body->piggyback);
    }
    if (const auto* body = std::get_if<probe_answer>(&message.body)) {
        this->merge_hints(body->piggyback);
    }
}

void controller::merge_hints(const gossip& received)
{
    for (const auto& hint : received.coordinators) {
        auto& present = this->hints[hint.server];
        if (hint.term >= present.term) {
            present = hint;
        }
    }
}

void controller::publish_if_changed()
{
    const auto& shared = this->descriptions.latest();
    if (!shared) {
        return;
    }
    auto routes = this->current_routes();
    const bool same = this->published && this->published->system_description == shared &&
                      this->published->partitions == this->local_ownership.partitions() &&
                      this->published->hosts == this->hosts &&
                      same_routes(this->published->servers, routes);
    if (same) {
        return;
    }
    this->published = std::make_shared<const routing_snapshot>(
        routing_snapshot{.system_description = shared,
                         .partitions = this->local_ownership.partitions(),
                         .servers = std::move(routes),
                         .hosts = this->hosts});
    // Inserted first, since later actions depend on the new routes.
    this->actions.insert(this->actions.begin(), publish_routes{this->published});
}

/// Announces newly coordinated servers immediately so that the other hosts forward to this one.
void controller::announce_takeovers(monotonic_time now)
{
    std::set<backend_server_id> present;
    probe_answer body;
    for (auto& hint : this->local_ownership.coordinated(now)) {
        present.insert(hint.server);
        if (!this->coordinated.contains(hint.server)) {
            body.piggyback.coordinators.push_back(std::move(hint));
        }
    }
    this->coordinated = std::move(present);
    if (body.piggyback.coordinators.empty() || this->hosts.size() > max_announced_hosts) {
        return;
    }
    body.piggyback.description_version = this->descriptions.version();
    for (const auto& host : this->hosts) {
        if (host.host != this->self.name) {
            this->actions.emplace_back(send_to_host{.address = host.peer_address, .body = body});
        }
    }
}

void controller::remember_hosts(monotonic_time now)
{
    for (const auto& host : this->hosts) {
        this->recent_hosts[host.host] = host;
        this->last_live_at[host.host] = now;
    }
    std::erase_if(this->recent_hosts, [this, now](const auto& item) {
        return now >= this->last_live_at[item.first] + recent_host_retention;
    });
}

const host_state* controller::find_host(const host_id& name) const
{
    const auto found = this->recent_hosts.find(name);
    return found == this->recent_hosts.end() ? nullptr : &found->second;
}

std::map<backend_server_id, server_route> controller::current_routes() const
{
    std::map<backend_server_id, server_route> out;
    for (const auto& server : this->descriptions.latest()->backend_servers) {
        out[server.name] = this->route_to(server, this->coordinated.contains(server.name));
    }
    return out;
}

server_route controller::route_to(const backend_server& server, bool coordinated_here) const
{
    const auto hint = this->hints.find(server.name);
    const bool hinted = hint != this->hints.end() && hint->second.host != this->self.name &&
                        this->find_host(hint->second.host) != nullptr;
    auto name = preferred_in_domain(server.name.value, server.failure_domain, this->hosts);
    if (coordinated_here) {
        name = this->self.name;
    }
    else if (hinted) {
        name = hint->second.host;
    }
    const auto* host = this->find_host(name);
    return {.server = server.name,
            .address = server.address,
            .coordinator = name,
            .forward_address = host == nullptr ? std::string{} : host->forward_address,
            .coordinated_here = coordinated_here,
            .takes_new_work = receives_work(*this->descriptions.latest(), server)};
}

gossip controller::local_gossip(monotonic_time now) const
{
    gossip out;
    out.description_version = this->descriptions.version();
    for (const auto& [id, document] : this->local_ownership.partitions()) {
        out.partitions.push_back({.id = id, .version = document->version});
    }
    out.coordinators = this->local_ownership.coordinated(now);
    return out;
}

cluster_view controller::current_view(monotonic_time now)
{
    if (this->hosts.empty()) {
        this->hosts = this->peers.live_hosts(now);
    }
    return {.system_description = this->descriptions.latest(), .hosts = this->hosts};
}

void controller::send(const host_id& to, peer_body body)
{
    const auto host = std::ranges::find(this->hosts, to, &host_state::host);
    if (host != this->hosts.end()) {
        this->actions.emplace_back(
            send_to_host{.address = host->peer_address, .body = std::move(body)});
    }
}

void controller::append(control_actions more)
{
    std::ranges::move(more, std::back_inserter(this->actions));
}

} // namespace figreach
