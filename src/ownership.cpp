#include "figreach/ownership.h"

#include <algorithm>
#include <set>
#include <utility>

#include "figreach/assigner.h"
#include "figreach/document_codec.h"
#include "figreach/validator_choice.h"

namespace figreach {

namespace {

constexpr std::uint64_t first_call = 1ULL << 63U; ///< keeps clear of other modules' calls

bool lists(const partition& document, const backend_server_id& server)
{
    return std::ranges::find(document.backend_servers, server) != document.backend_servers.end();
}

std::string prefix_of(const host_identity& self)
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
    : asked{settings}, writer{id, writer_prefix}
{
}

ownership::ownership(host_identity self_, ownership_settings settings_, placement wanted_)
    : self{std::move(self_)},
      settings{settings_},
      wanted{std::move(wanted_)},
      own_validator{settings_},
      next_call{first_call}
{
}

control_actions ownership::on_tick(const surroundings& around_, monotonic_time now)
{
    this->start(now);
    this->around = around_;
    this->read_all(now);
    this->poll(now);
    return this->drive(around_, now);
}

control_actions ownership::on_message(const peer_message& message, const surroundings& around_,
                                      monotonic_time now)
{
    this->start(now);
    this->around = around_;
    this->receive(message, now);
    return this->drive(around_, now);
}

control_actions ownership::on_store(const store_answered& event, const surroundings& around_,
                                    monotonic_time now)
{
    this->start(now);
    if (this->open_read_all == event.call) {
        this->open_read_all.reset();
        const auto* read = std::get_if<store_read>(&event.result);
        this->silent_reads = read == nullptr ? this->silent_reads + 1 : 0;
        for (const auto& value : read == nullptr ? std::vector<stored_value>{} : read->values) {
            if (auto document = decode_partition(value.value)) {
                this->learn(std::move(*document), false);
            }
        }
        this->store_seen = this->store_seen || read != nullptr;
        if (read != nullptr) {
            this->own_validator.trust_store();
        }
        return this->drive(around_, now);
    }
    const auto found = this->open_calls.find(event.call);
    if (found == this->open_calls.end()) {
        return {};
    }
    auto& state = this->state_of(found->second);
    this->open_calls.erase(found);
    if (auto document = state.writer.on_result(event.result)) {
        this->learn(std::move(*document), true);
    }
    return this->drive(around_, now);
}

control_actions ownership::on_server(const server_answered& event, const surroundings& around_,
                                     monotonic_time now)
{
    this->start(now);
    const auto found = this->servers.find(event.server);
    if (found != this->servers.end() && found->second.role) {
        found->second.role->on_answer(event.sequence, event.answer, now);
    }
    return this->drive(around_, now);
}

void ownership::on_load(const observed_load& event)
{
    this->servers[event.server].load = event;
}

void ownership::on_idle(const slices_idle& event)
{
    const auto document = this->known.find(event.known.id);
    const auto found = this->servers.find(event.server);
    const bool applies = document != this->known.end() && found != this->servers.end() &&
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
    return this->known;
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
        this->own_validator.start(now);
    }
}

control_actions ownership::drive(const surroundings& around_, monotonic_time now)
{
    this->around = around_;
    for (const auto& host : this->around.hosts) {
        this->addresses[host.host] = host.peer_address;
        this->seen_at[host.host] = now;
    }
    this->ask_validators(now);
    this->finish_recovery(now);
    this->coordinate(now);
    if (this->around.system_description) {
        for (const auto& service : this->around.system_description->services) {
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
    return this->states.try_emplace(id, id, this->settings, prefix_of(this->self)).first->second;
}

// Validators.

void ownership::ask_validators(monotonic_time now)
{
    for (const auto& [id, document] : this->known) {
        auto& state = this->state_of(id);
        auto wanted_now = this->wanted_servers(*document, now);
        const bool wants = !wanted_now.empty();
        if (now >= state.asked.heard_at() + this->settings.authority) {
            // A host that does not hear the validators must not hold servers there for nothing.
            wanted_now.clear();
        }
        const bool changing =
            !document->previous_validators.empty() && this->assigning_host(id) == this->self.name;
        const bool recovering = this->own_validator.recovering(id, now);
        const bool needed = wants || !state.asked_servers.empty() || changing || recovering;
        const bool differs =
            wanted_now != state.asked_servers || document->version != state.asked_version;
        if (needed && (differs || now >= state.next_ask)) {
            this->ask_round(*document, state, wanted_now, now);
        }
    }
}

void ownership::ask_round(const partition& document, partition_state& state,
                          const std::vector<backend_server_id>& asked, monotonic_time now)
{
    const bool all_confirmed = std::ranges::all_of(
        asked, [&state, now](const auto& name) { return now < state.asked.authority_until(name); });
    state.next_ask =
        now + (all_confirmed ? this->settings.confirm_interval : this->settings.retry_interval);
    state.asked_version = document.version;
    state.asked_servers = asked;
    const auto request = state.asked.ask(document, asked, now);
    for (const auto& validator : all_validators(document)) {
        this->send(validator, request, now);
    }
}

std::vector<backend_server_id> ownership::wanted_servers(const partition& document,
                                                         monotonic_time now)
{
    const auto& asked = this->state_of(document.id).asked;
    std::vector<backend_server_id> out;
    for (const auto& name : document.backend_servers) {
        if (this->wants(name, asked, now)) {
            out.push_back(name);
        }
    }
    return out;
}

/// A backend server is kept for a short time after another host became the preferred one, since
/// that host and the others may learn of it later.
bool ownership::wants(const backend_server_id& name, const confirmation& asked, monotonic_time now)
{
    const auto* server = this->around.system_description
                             ? find_server(*this->around.system_description, name)
                             : nullptr;
    const auto domain = server == nullptr ? failure_domain_id{} : server->failure_domain;
    auto& since = this->servers[name].other_preferred_since;
    if (preferred_in_domain(name.value, domain, this->around.hosts) == this->self.name) {
        since.reset();
        return true;
    }
    since = since.value_or(now);
    return now < *since + this->settings.hand_off_delay && now < asked.authority_until(name);
}

/// A recovering validator that hears from a majority that none knows more may confirm again.
void ownership::finish_recovery(monotonic_time now)
{
    for (const auto& [id, document] : this->known) {
        const auto version = this->own_validator.version_of(id);
        const bool current = this->state_of(id).asked.known_version() == version;
        if (this->own_validator.recovering(id, now) && current) {
            this->own_validator.trust(id);
        }
    }
}

// Coordinator.

void ownership::coordinate(monotonic_time now)
{
    std::set<backend_server_id> names;
    for (const auto& [id, document] : this->known) {
        names.insert(document->backend_servers.begin(), document->backend_servers.end());
    }
    for (const auto& name : names) {
        this->coordinate_server(name, now);
    }
    for (const auto& [id, document] : this->known) {
        this->release(*document, this->state_of(id), now);
    }
}

void ownership::coordinate_server(const backend_server_id& name, monotonic_time now)
{
    auto& state = this->servers[name];
    const auto until = this->authority_until(name);
    if (now >= until) {
        state.role.reset();
        this->tell_authority(name, state, {}, now);
        return;
    }
    if (!state.role) {
        state.role.emplace(this->self.name, this->settings, now);
    }
    const auto what = this->describe(name, until);
    this->send_grant(name, *state.role, what, now);
    this->tell_authority(name, state, what, now);
    this->report(name, state, now);
}

/// Until when this host coordinates the backend server in every partition that lists it.
monotonic_time ownership::authority_until(const backend_server_id& name) const
{
    auto until = monotonic_time::max();
    bool listed = false;
    for (const auto& [id, document] : this->known) {
        if (lists(*document, name)) {
            listed = true;
            until = std::min(until, this->states.at(id).asked.authority_until(name));
        }
    }
    return listed ? until : monotonic_time{};
}

coordinated_server ownership::describe(const backend_server_id& name, monotonic_time until) const
{
    coordinated_server out;
    out.authority_until = until;
    for (const auto& [id, document] : this->known) {
        const auto& names = document->backend_servers;
        const auto listed = std::ranges::find(names, name);
        if (listed == names.end()) {
            continue;
        }
        const auto owner = static_cast<std::uint32_t>(listed - names.begin());
        if (this->around.system_description) {
            const auto* service = find_service(*this->around.system_description, id.service);
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
                           const coordinated_server& what, monotonic_time now)
{
    auto grant = role.next_grant(what, now);
    const auto* server = this->around.system_description
                             ? find_server(*this->around.system_description, name)
                             : nullptr;
    if (!grant || server == nullptr) {
        return;
    }
    this->actions.emplace_back(call_server{.server = name,
                                           .address = server->address,
                                           .request = std::move(*grant),
                                           .timeout = this->settings.grant_timeout});
}

void ownership::tell_authority(const backend_server_id& name, server_state& state,
                               const coordinated_server& what, monotonic_time now)
{
    const auto until = state.role ? state.role->may_send_until(what) : now;
    const bool ends = !state.role && state.told_until > now;
    const bool extends = state.role && until > state.told_until;
    const auto answer = state.role ? state.role->last_answer() : grant_answer{};
    const bool restarted = state.role && answer.incarnation != state.told_incarnation;
    if (!ends && !extends && !restarted) {
        return;
    }
    state.told_until = until;
    state.told_incarnation = answer.incarnation;
    const auto elsewhere = state.role ? state.role->in_flight_elsewhere(what, now) : 0;
    this->actions.emplace_back(extend_authority{.server = name,
                                                .until = until,
                                                .in_flight_elsewhere = elsewhere,
                                                .incarnation = answer.incarnation,
                                                .cold = answer.cold});
}

void ownership::report(const backend_server_id& name, server_state& state, monotonic_time now)
{
    const auto condition = state.role->condition(now);
    if (now < state.next_report && condition == state.told_condition) {
        return;
    }
    // A loss is told again soon, since the first message may be lost.
    const bool lost = condition == server_condition::lost;
    const auto wait = lost ? this->settings.confirm_interval : this->settings.report_interval;
    state.next_report = now + wait;
    state.told_condition = condition;
    const auto* server = this->around.system_description
                             ? find_server(*this->around.system_description, name)
                             : nullptr;
    const auto slots = server == nullptr ? 1U : std::max(1U, server->slots);
    const auto& answer = state.role->last_answer();
    const auto busy = std::min(1.0, static_cast<double>(answer.in_flight) / slots);
    for (const auto& [id, document] : this->known) {
        if (!lists(*document, name)) {
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

/// Tells the assigning host which moving slices are no longer served, once most validators know
/// the version in which they move: no later coordinator grants them under their present fence.
void ownership::release(const partition& document, partition_state& state, monotonic_time now)
{
    const auto moves = [](const slice& one) { return one.moving_to.has_value(); };
    if (now < state.next_release || std::ranges::none_of(document.slices, moves)) {
        return;
    }
    for (const auto& name : document.backend_servers) {
        const auto found = this->servers.find(name);
        const bool confirmed = state.asked.confirmed_version(name) >= document.version;
        if (found == this->servers.end() || !found->second.role || !confirmed) {
            continue;
        }
        const auto what = this->describe(name, this->authority_until(name));
        released body{.known = {.id = document.id, .version = document.version},
                      .server = name,
                      .slices = {}};
        for (const auto& slice : what.leaving) {
            if (slice.id == document.id && found->second.role->stopped(slice, what, now)) {
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
    return preferred_in_domain(store_key(id), {}, this->around.hosts);
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
