#include "figreach/rpc/operator_wire.h"

#include "figreach/routing.h"
#include "figreach/status_advice.h"

namespace figreach {

namespace wire = operators::v1;

namespace {

wire::ApplyAnswer::Outcome to_wire(change_outcome outcome)
{
    switch (outcome) {
    case change_outcome::unknown:
        return wire::ApplyAnswer::UNKNOWN;
    case change_outcome::accepted:
        return wire::ApplyAnswer::ACCEPTED;
    case change_outcome::invalid:
        return wire::ApplyAnswer::INVALID;
    case change_outcome::conflict:
        return wire::ApplyAnswer::CONFLICT;
    case change_outcome::dangerous:
        return wire::ApplyAnswer::DANGEROUS;
    case change_outcome::not_accepted:
        return wire::ApplyAnswer::NOT_ACCEPTED;
    case change_outcome::checked:
        return wire::ApplyAnswer::CHECKED;
    case change_outcome::unchanged:
        return wire::ApplyAnswer::UNCHANGED;
    }
    return wire::ApplyAnswer::UNKNOWN;
}

std::string name_of(host_liveness state)
{
    switch (state) {
    case host_liveness::alive:
        return "alive";
    case host_liveness::suspect:
        return "suspect";
    case host_liveness::leaving:
        return "leaving";
    case host_liveness::dead:
        return "dead";
    }
    return "dead";
}

std::string location_of(const fault& one)
{
    const auto line = one.line == 0 ? std::string{} : ":" + std::to_string(one.line);
    return one.file + line + ": " + one.key;
}

std::string state_text(const backend_server& server, const description& all)
{
    if (server.state == service_state::out) {
        return "drained";
    }
    return receives_work(all, server) ? "in" : "domain out";
}

wire::ExplainAnswer explain_not_found(std::string detail)
{
    wire::ExplainAnswer out;
    out.set_detail(std::move(detail));
    return out;
}

std::string owner_detail(const route& where, const description& all, const std::string& key,
                         const service& target)
{
    for (const auto& pin : target.pins) {
        if (pin.key == key) {
            return "The key is pinned to " + pin.server.value + ".";
        }
    }
    const auto& slice = where.document->slices[where.slice];
    if (slice.moving_to) {
        return "The slice moves to " + where.document->backend_servers[*slice.moving_to].value +
               "; until then the key has no owner.";
    }
    const auto* server = find_server(all, owner_of(*where.document, where.slice));
    if (server == nullptr || !receives_work(all, *server)) {
        return "The owner receives no new work; the slice will move.";
    }
    return "The owner serves the slice that holds the key's hash.";
}

} // namespace

void fill(google::protobuf::RepeatedPtrField<std::string>& out,
          const std::vector<std::string>& lines)
{
    for (const auto& line : lines) {
        out.Add(std::string{line});
    }
}

void fill(google::protobuf::RepeatedPtrField<wire::Fault>& out, const fault_list& faults)
{
    for (const auto& one : faults) {
        auto* item = out.Add();
        item->set_place(location_of(one));
        item->set_found(one.found);
        item->set_allowed(one.allowed);
    }
}

wire::ApplyAnswer to_wire(const change_answer& answer)
{
    wire::ApplyAnswer out;
    out.set_outcome(to_wire(answer.outcome));
    out.set_version(answer.version);
    out.set_detail(answer.detail);
    fill(*out.mutable_faults(), answer.faults);
    fill(*out.mutable_changed_meanwhile(), answer.changed_meanwhile);
    fill(*out.mutable_dangers(), answer.dangers);
    fill(*out.mutable_changes(), answer.changes);
    return out;
}

wire::HistoryEntry to_wire(const description_record& record)
{
    const auto since = record.changed_at.time_since_epoch();
    wire::HistoryEntry out;
    out.set_version(record.version);
    out.set_changed_by(record.changed_by);
    out.set_reason(record.reason);
    out.set_changed_at_unix_ms(std::chrono::duration_cast<milliseconds>(since).count());
    return out;
}

wire::HostStatus to_wire(const host_state& host)
{
    wire::HostStatus out;
    out.set_host(host.host.value);
    out.set_failure_domain(host.failure_domain.value);
    out.set_state(name_of(host.state));
    out.set_description_version(host.description_version);
    return out;
}

wire::ServerStatus to_wire(const backend_server& server, const routing_snapshot& routing)
{
    wire::ServerStatus out;
    out.set_backend_server(server.name.value);
    out.set_service(server.service.value);
    out.set_failure_domain(server.failure_domain.value);
    out.set_state(state_text(server, *routing.system_description));
    out.set_slices(owned_slices(routing, server.name));
    const auto route = routing.servers.find(server.name);
    if (route != routing.servers.end()) {
        out.set_coordinator(route->second.coordinator.value);
    }
    return out;
}

wire::ExplainAnswer explain(const routing_snapshot* routing, const wire::ExplainRequest& request)
{
    if (routing == nullptr || !routing->system_description) {
        return explain_not_found("No description is in force at this entry host.");
    }
    const auto* target = find_service(*routing->system_description, {request.service()});
    if (target == nullptr) {
        return explain_not_found("The description in force names no service '" + request.service() +
                                 "'.");
    }
    const auto where = find_route(*routing, *target, request.key());
    if (where.document == nullptr) {
        return explain_not_found("The key's partition has no assignment yet.");
    }
    wire::ExplainAnswer out;
    out.set_found(true);
    out.set_key_hash(where.hash);
    out.set_owner(owner_of(*where.document, where.slice).value);
    out.set_fence(where.fence);
    out.set_partition_version(where.document->version);
    out.set_slice_first(where.document->slices[where.slice].first);
    out.set_slice_last(last_hash(*where.document, where.slice));
    out.set_coordinator(where.server == nullptr ? "" : where.server->coordinator.value);
    out.set_detail(owner_detail(where, *routing->system_description, request.key(), *target));
    return out;
}

} // namespace figreach
