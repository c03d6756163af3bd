#include "figreach/ownership.h"

#include <algorithm>
#include <set>
#include <utility>

#include "figreach/assigner.h"
#include "figreach/document_codec.h"
#include "figreach/validator_choice.h"

namespace figreach {

namespace {

constexpr std::uint64_t first_call_id = 1ULL << 63U; ///< disjoint from the ids of other modules

bool lists_server(const partition& document, const backend_server_id& server)
{
    return std::ranges::find(document.backend_servers, server) != document.backend_servers.end();
}

std::string writer_prefix_of(const host_identity& self)
{
    return self.name.value + "/" + std::to_string(self.incarnation);
}

std::set<host_id> all_validators(const partition& document)
{
    std::set<host_id> out(document.validators.begin(), document.validators.end());
    out.insert(document.previous_validators.begin(), document.previous_validators.end());
    return out;
}

} // namespace

ownership::partition_state::partition_state(const partition_id& id,
                                            const ownership_settings& settings,
                                            const std::string& writer_prefix)
    : confirmations{settings}, writer{id, writer_prefix}
{
}

ownership::ownership(host_identity self_, ownership_settings settings_, assignment_policy policy_)
    : self{std::move(self_)},
      settings{settings_},
      policy{std::move(policy_)},
      local_validator{settings_},
      next_call{first_call_id}
{
}

control_actions ownership::on_tick(const cluster_view& view_, monotonic_time now)
{
    this->start(now);
    this->view = view_;
    this->read_all(now);
    this->poll_store(now);
    return this->advance(view_, now);
}

control_actions ownership::on_message(const peer_message& message, const cluster_view& view_,
                                      monotonic_time now)
{
    this->start(now);
    this->view = view_;
    this->receive(message, now);
    return this->advance(view_, now);
}

control_actions ownership::on_store(const store_answered& event, const cluster_view& view_,
                                    monotonic_time now)
{
    this->start(now);
    if (this->pending_read_all == event.call) {
        this->pending_read_all.reset();
        const auto* read = std::get_if<store_read>(&event.result);
        this->failed_reads = read == nullptr ? this->failed_reads + 1 : 0;
        for (const auto& value : read == nullptr ? std::vector<stored_value>{} : read->values) {
            if (auto document = decode_partition(value.value)) {
                this->learn(std::move(*document), false);
            }
        }
        this->store_loaded = this->store_loaded || read != nullptr;
        if (read != nullptr) {
            this->local_validator.mark_all_versions_current();
        }
        return this->advance(view_, now);
    }
    const auto found = this->pending_calls.find(event.call);
    if (found == this->pending_calls.end()) {
        return {};
    }
    auto& state = this->state_of(found->second);
    this->pending_calls.erase(found);
    if (auto document = state.writer.on_result(event.result)) {
        this->learn(std::move(*document), true);
    }
    return this->advance(view_, now);
}

control_actions ownership::on_server(const server_answered& event, const cluster_view& view_,
                                     monotonic_time now)
{
    this->start(now);
    const auto found = this->servers.find(event.server);
    if (found != this->servers.end() && found->second.role) {
        found->second.role->on_answer(event.sequence, event.answer, now);
    }
    return this->advance(view_, now);
}

void ownership::on_load(const observed_load& event)
{
    this->servers[event.server].load = event;
}

void ownership::on_idle(const slices_idle& event)
{
    const auto document = this->known_partitions.find(event.known.id);
    const auto found = this->servers.find(event.server);
    const bool applies = document != this->known_partitions.end() && found != this->servers.end() &&
                         document->second->version <= event.known.version && found->second.role;
    if (!applies) {
        return;
    }
    std::vector<leaving_slice> idle;
    for (const auto& slice : document->second->slices) {
        if (std::ranges::find(event.firsts, slice.first) != event.firsts.end()) {
            idle.push_back({.id = event.known.id, .first = slice.first, .fence = slice.fence});
        }
    }
    found->second.role->on_idle(idle);
}

const ownership::documents& ownership::partitions() const
{
    return this->known_partitions;
}

std::vector<coordinator_hint> ownership::coordinated(monotonic_time now) const
{
    std::vector<coordinator_hint> out;
    for (const auto& [name, state] : this->servers) {
        if (state.role && this->authority_until(name) > now) {
            out.push_back({.server = name, .host = this->self.name, .term = state.role->term()});
        }
    }
    return out;
}

void ownership::start(monotonic_time now)
{
    if (!this->started_at) {
        this->started_at = now;
        this->local_validator.start(now);
    }
}

control_actions ownership::advance(const cluster_view& view_, monotonic_time now)
{
    this->view = view_;
    for (const auto& host : this->view.hosts) {
        this->addresses[host.host] = host.peer_address;
        this->last_live_at[host.host] = now;
    }
    this->request_confirmations(now);
    this->finish_recovery(now);
    this->coordinate(now);
    if (this->view.system_description) {
        for (const auto& service : this->view.system_description->services) {
            for (std::uint32_t number = 0; number < service.partitions; ++number) {
                const partition_id id{.service = service.name, .number = number};
                this->assign(id, this->state_of(id), now);
            }
        }
    }
    return std::exchange(this->actions, {});
}

ownership::partition_state& ownership::state_of(const partition_id& id)
{
    return this->states.try_emplace(id, id, this->settings, writer_prefix_of(this->self))
        .first->second;
}

// Validators.

void ownership::request_confirmations(monotonic_time now)
{
    for (const auto& [id, document] : this->known_partitions) {
        auto& state = this->state_of(id);
        auto requested = this->servers_to_request(*document, now);
        const bool wants_servers = !requested.empty();
        if (now >= state.confirmations.last_majority_contact() + this->settings.authority) {
            // Releases holds at the validators that this host cannot use because it does not
            // receive their answers.
            requested.clear();
        }
        const bool changing =
            !document->previous_validators.empty() && this->assigning_host(id) == this->self.name;
        const bool recovering = this->local_validator.recovering(id, now);
        const bool needed =
            wants_servers || !state.requested_servers.empty() || changing || recovering;
        const bool differs =
            requested != state.requested_servers || document->version != state.requested_version;
        if (needed && (differs || now >= state.next_confirmation)) {
            this->send_confirm_requests(*document, state, requested, now);
        }
    }
}

void ownership::send_confirm_requests(const partition& document, partition_state& state,
                                      const std::vector<backend_server_id>& requested,
                                      monotonic_time now)
{
    const bool all_confirmed = std::ranges::all_of(requested, [&state, now](const auto& name) {
        return now < state.confirmations.authority_until(name);
    });
    state.next_confirmation =
        now + (all_confirmed ? this->settings.confirm_interval : this->settings.retry_interval);
    state.requested_version = document.version;
    state.requested_servers = requested;
    const auto request = state.confirmations.begin_round(document, requested, now);
    for (const auto& validator : all_validators(document)) {
        this->send(validator, request, now);
    }
}

std::vector<backend_server_id> ownership::servers_to_request(const partition& document,
                                                             monotonic_time now)
{
    const auto& confirmations = this->state_of(document.id).confirmations;
    std::vector<backend_server_id> out;
    for (const auto& name : document.backend_servers) {
        if (this->should_coordinate(name, confirmations, now)) {
            out.push_back(name);
        }
    }
    return out;
}

/// Keeps a backend server for a short time after another host became preferred, since that host and
/// the others may learn of the change later.
bool ownership::should_coordinate(const backend_server_id& name, const confirmation& confirmations,
                                  monotonic_time now)
{
    const auto* server =
        this->view.system_description ? find_server(*this->view.system_description, name) : nullptr;
    const auto domain = server == nullptr ? failure_domain_id{} : server->failure_domain;
    auto& since = this->servers[name].other_preferred_since;
    if (preferred_in_domain(name.value, domain, this->view.hosts) == this->self.name) {
        since.reset();
        return true;
    }
    since = since.value_or(now);
    return now < *since + this->settings.hand_off_delay &&
           now < confirmations.authority_until(name);
}

/// Lets a recovering validator confirm again once a majority has reported no newer version.
void ownership::finish_recovery(monotonic_time now)
{
    for (const auto& [id, document] : this->known_partitions) {
        const auto version = this->local_validator.version_of(id);
        const bool current = this->state_of(id).confirmations.known_version() == version;
        if (this->local_validator.recovering(id, now) && current) {
            this->local_validator.mark_version_current(id);
        }
    }
}

// Coordinator.

void ownership::coordinate(monotonic_time now)
{
    std::set<backend_server_id> names;
    for (const auto& [id, document] : this->known_partitions) {
        names.insert(document->backend_servers.begin(), document->backend_servers.end());
    }
    for (const auto& name : names) {
        this->coordinate_server(name, now);
    }
    for (const auto& [id, document] : this->known_partitions) {
        this->report_released(*document, this->state_of(id), now);
    }
}

void ownership::coordinate_server(const backend_server_id& name, monotonic_time now)
{
    auto& state = this->servers[name];
    const auto until = this->authority_until(name);
    if (now >= until) {
        state.role.reset();
        this->publish_authority(name, state, {}, now);
        return;
    }
    if (!state.role) {
        state.role.emplace(this->self.name, this->settings, now);
    }
    const auto target = this->make_coordinated_server(name, until);
    this->send_grant(name, *state.role, target, now);
    this->publish_authority(name, state, target, now);
    this->report_load(name, state, now);
}

/// Returns the end of this host's authority over a backend server: the earliest among all
/// partitions that list it.
monotonic_time ownership::authority_until(const backend_server_id& name) const
{
    auto until = monotonic_time::max();
    bool listed = false;
    for (const auto& [id, document] : this->known_partitions) {
        if (lists_server(*document, name)) {
            listed = true;
            until = std::min(until, this->states.at(id).confirmations.authority_until(name));
        }
    }
    return listed ? until : monotonic_time{};
}

coordinated_server ownership::make_coordinated_server(const backend_server_id& name,
                                                      monotonic_time until) const
{
    coordinated_server out;
    out.authority_until = until;
    for (const auto& [id, document] : this->known_partitions) {
        const auto& names = document->backend_servers;
        const auto listed = std::ranges::find(names, name);
        if (listed == names.end()) {
            continue;
        }
        const auto owner = static_cast<std::uint32_t>(listed - names.begin());
        if (this->view.system_description) {
            const auto* service = find_service(*this->view.system_description, id.service);
            out.checks_fences = service == nullptr || service->checks_fences;
            out.longest_deadline = service == nullptr ? milliseconds{0} : service->longest_deadline;
        }
        for (std::size_t i = 0; i < document->slices.size(); ++i) {
            const auto& slice = document->slices[i];
            if (slice.owner != owner) {
                continue;
            }
            if (slice.moving_to) {
                out.leaving.push_back({.id = id, .first = slice.first, .fence = slice.fence});
            }
            else {
                out.slices.push_back(
                    {.first = slice.first, .last = last_hash(*document, i), .fence = slice.fence});
            }
        }
    }
    return out;
}

void ownership::send_grant(const backend_server_id& name, coordinator& role,
                           const coordinated_server& target, monotonic_time now)
{
    auto grant = role.next_grant(target, now);
    const auto* server =
        this->view.system_description ? find_server(*this->view.system_description, name) : nullptr;
    if (!grant || server == nullptr) {
        return;
    }
    this->actions.emplace_back(call_server{.server = name,
                                           .address = server->address,
                                           .request = std::move(*grant),
                                           .timeout = this->settings.grant_timeout});
}

void ownership::publish_authority(const backend_server_id& name, server_state& state,
                                  const coordinated_server& target, monotonic_time now)
{
    const auto until = state.role ? state.role->may_send_until(target) : now;
    const bool ends = !state.role && state.published_until > now;
    const bool extends = state.role && until > state.published_until;
    const auto answer = state.role ? state.role->last_answer() : grant_answer{};
    const bool restarted = state.role && answer.incarnation != state.published_incarnation;
    if (!ends && !extends && !restarted) {
        return;
    }
    state.published_until = until;
    state.published_incarnation = answer.incarnation;
    const auto elsewhere = state.role ? state.role->in_flight_elsewhere(target, now) : 0;
    this->actions.emplace_back(extend_authority{.server = name,
                                                .until = until,
                                                .in_flight_elsewhere = elsewhere,
                                                .incarnation = answer.incarnation,
                                                .cold = answer.cold});
}

void ownership::report_load(const backend_server_id& name, server_state& state, monotonic_time now)
{
    const auto condition = state.role->condition(now);
    if (now < state.next_report && condition == state.reported_condition) {
        return;
    }
    // Repeats the report of a lost server soon, since the first message may itself be lost.
    const bool lost = condition == server_condition::lost;
    const auto wait = lost ? this->settings.confirm_interval : this->settings.report_interval;
    state.next_report = now + wait;
    state.reported_condition = condition;
    const auto* server =
        this->view.system_description ? find_server(*this->view.system_description, name) : nullptr;
    const auto slots = server == nullptr ? 1U : std::max(1U, server->slots);
    const auto& answer = state.role->last_answer();
    const auto busy = std::min(1.0, static_cast<double>(answer.in_flight) / slots);
    for (const auto& [id, document] : this->known_partitions) {
        if (!lists_server(*document, name)) {
            continue;
        }
        load_report body{.id = id,
                         .server = name,
                         .condition = condition,
                         .incarnation = answer.incarnation,
                         .slices = {},
                         .latency = {},
                         .busy = busy};
        const auto& slices = document->slices;
        std::ranges::copy_if(
            state.load.slices, std::back_inserter(body.slices), [&slices](const slice_load& load) {
                return std::ranges::binary_search(slices, load.first, {}, &slice::first);
            });
        this->send(this->assigning_host(id), std::move(body), now);
    }
}

/// Reports to the assigning host which moving slices are no longer served. Waits until a majority
/// of validators knows the version in which they move, so that no later coordinator can grant them
/// under their current fence.
void ownership::report_released(const partition& document, partition_state& state,
                                monotonic_time now)
{
    const auto moves = [](const slice& one) { return one.moving_to.has_value(); };
    if (now < state.next_release || std::ranges::none_of(document.slices, moves)) {
        return;
    }
    for (const auto& name : document.backend_servers) {
        const auto found = this->servers.find(name);
        const bool confirmed = state.confirmations.confirmed_version(name) >= document.version;
        if (found == this->servers.end() || !found->second.role || !confirmed) {
            continue;
        }
        const auto target = this->make_coordinated_server(name, this->authority_until(name));
        released body{.known = {.id = document.id, .version = document.version},
                      .server = name,
                      .slices = {}};
        for (const auto& slice : target.leaving) {
            if (slice.id == document.id &&
                found->second.role->no_longer_served(slice, target, now)) {
                body.slices.push_back({.first = slice.first, .fence = slice.fence});
            }
        }
        if (!body.slices.empty()) {
            state.next_release = now + this->settings.release_interval;
            this->send(this->assigning_host(document.id), std::move(body), now);
        }
    }
}

host_id ownership::assigning_host(const partition_id& id) const
{
    return preferred_in_domain(store_key(id), {}, this->view.hosts);
}

void ownership::send(const host_id& to, peer_body body, monotonic_time now)
{
    if (to == this->self.name) {
        this->receive({.sender = this->self.name,
                       .incarnation = this->self.incarnation,
                       .body = std::move(body)},
                      now);
        return;
    }
    const auto address = this->addresses.find(to);
    if (address != this->addresses.end()) {
        this->actions.emplace_back(
            send_to_host{.address = address->second, .body = std::move(body)});
    }
}

} // namespace figreach
