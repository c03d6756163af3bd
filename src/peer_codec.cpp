#include "figreach/peer_codec.h"

#include <type_traits>

#include "parse_message.h"
#include "peer.pb.h"

namespace figreach {

namespace {

namespace wire = peer::v1;

constexpr double milli_per_unit = 1000.0;

void fill(wire::HostState& out, const host_state& in)
{
    out.set_host(in.host.value);
    out.set_incarnation(in.incarnation);
    out.set_state(static_cast<std::uint32_t>(in.state));
    out.set_failure_domain(in.failure_domain.value);
    out.set_peer_address(in.peer_address);
    out.set_forward_address(in.forward_address);
    out.set_description_version(in.description_version);
}

/// Maps values that this version does not know to `worst`, the last enumerator.
template <class Enum>
Enum clamp_enum(std::uint32_t value, Enum worst)
{
    const auto max_value = static_cast<std::uint32_t>(worst);
    return value > max_value ? worst : static_cast<Enum>(value);
}

host_state to_host_state(const wire::HostState& in)
{
    return {.host = {in.host()},
            .incarnation = in.incarnation(),
            .state = clamp_enum(in.state(), host_liveness::dead),
            .failure_domain = {in.failure_domain()},
            .peer_address = in.peer_address(),
            .forward_address = in.forward_address(),
            .description_version = in.description_version()};
}

void fill(wire::PartitionVersion& out, const partition_version& in)
{
    out.set_service(in.id.service.value);
    out.set_number(in.id.number);
    out.set_version(in.version);
}

partition_version to_partition_version(const wire::PartitionVersion& in)
{
    return {.id = {.service = {in.service()}, .number = in.number()}, .version = in.version()};
}

/// Probe and ProbeAnswer have the same gossip fields.
template <class Message>
void fill_gossip(Message& out, const gossip& in)
{
    out.set_description_version(in.description_version);
    for (const auto& entry : in.hosts) {
        fill(*out.add_hosts(), entry);
    }
    for (const auto& entry : in.partitions) {
        fill(*out.add_partitions(), entry);
    }
    for (const auto& entry : in.coordinators) {
        auto* item = out.add_coordinators();
        item->set_backend_server(entry.server.value);
        item->set_host(entry.host.value);
        item->set_term(entry.term);
    }
}

template <class Message>
gossip to_gossip(const Message& in)
{
    gossip out;
    out.description_version = in.description_version();
    for (const auto& entry : in.hosts()) {
        out.hosts.push_back(to_host_state(entry));
    }
    for (const auto& entry : in.partitions()) {
        out.partitions.push_back(to_partition_version(entry));
    }
    for (const auto& entry : in.coordinators()) {
        out.coordinators.push_back(
            {.server = {entry.backend_server()}, .host = {entry.host()}, .term = entry.term()});
    }
    return out;
}

void fill_body(wire::Envelope& out, const probe& in)
{
    auto& body = *out.mutable_probe();
    body.set_sequence(in.sequence);
    body.set_on_behalf_of(in.on_behalf_of.value);
    body.set_target(in.target.value);
    fill_gossip(body, in.piggyback);
}

void fill_body(wire::Envelope& out, const probe_answer& in)
{
    auto& body = *out.mutable_probe_answer();
    body.set_sequence(in.sequence);
    fill_gossip(body, in.piggyback);
}

/// ConfirmRequest and ConfirmAnswer share the sequence, partition and server fields.
template <class Message, class Body>
void fill_confirm(Message& out, const Body& in)
{
    out.set_sequence(in.sequence);
    out.set_service(in.known.id.service.value);
    out.set_number(in.known.id.number);
    for (const auto& server : in.servers) {
        out.add_backend_servers(server.value);
    }
}

void fill_body(wire::Envelope& out, const confirm_request& in)
{
    auto& body = *out.mutable_confirm_request();
    fill_confirm(body, in);
    body.set_version(in.known.version);
}

void fill_body(wire::Envelope& out, const confirm_answer& in)
{
    auto& body = *out.mutable_confirm_answer();
    fill_confirm(body, in);
    body.set_known_version(in.known.version);
    body.set_recovering(in.recovering);
}

void fill_body(wire::Envelope& out, const document_request& in)
{
    auto& body = *out.mutable_document_request();
    body.set_service(in.above.id.service.value);
    body.set_number(in.above.id.number);
    body.set_above_version(in.above.version);
    body.set_description(in.description);
}

void fill_body(wire::Envelope& out, const document_offer& in)
{
    auto& body = *out.mutable_document_offer();
    body.set_partition(in.partition);
    body.set_description(in.description);
}

void fill_body(wire::Envelope& out, const load_report& in)
{
    auto& body = *out.mutable_load_report();
    body.set_service(in.id.service.value);
    body.set_number(in.id.number);
    body.set_backend_server(in.server.value);
    body.set_state(static_cast<std::uint32_t>(in.condition));
    body.set_incarnation(in.incarnation);
    body.set_latency_micros(static_cast<std::uint64_t>(in.latency.count()));
    body.set_busy_per_mille(static_cast<std::uint32_t>(in.busy * milli_per_unit));
    for (const auto& entry : in.slices) {
        auto* item = body.add_slices();
        item->set_first(entry.first);
        item->set_requests_per_second_milli(
            static_cast<std::uint64_t>(entry.requests_per_second * milli_per_unit));
    }
}

void fill_body(wire::Envelope& out, const released& in)
{
    auto& body = *out.mutable_released();
    body.set_service(in.known.id.service.value);
    body.set_number(in.known.id.number);
    body.set_version(in.known.version);
    body.set_backend_server(in.server.value);
    for (const auto& entry : in.slices) {
        auto* item = body.add_slices();
        item->set_first(entry.first);
        item->set_fence(entry.fence);
    }
}

partition_id partition_id_of(const auto& in)
{
    return {.service = {in.service()}, .number = in.number()};
}

std::vector<backend_server_id> servers_of(const auto& in)
{
    std::vector<backend_server_id> out;
    for (const auto& name : in.backend_servers()) {
        out.push_back({name});
    }
    return out;
}

load_report to_load_report(const wire::LoadReport& in)
{
    load_report out{.id = partition_id_of(in),
                    .server = {in.backend_server()},
                    .condition = clamp_enum(in.state(), server_condition::lost),
                    .incarnation = in.incarnation(),
                    .slices = {},
                    .latency = std::chrono::microseconds{in.latency_micros()},
                    .busy = static_cast<double>(in.busy_per_mille()) / milli_per_unit};
    for (const auto& entry : in.slices()) {
        const auto rate = static_cast<double>(entry.requests_per_second_milli()) / milli_per_unit;
        out.slices.push_back({.first = entry.first(), .requests_per_second = rate});
    }
    return out;
}

released to_released(const wire::Released& in)
{
    released out{.known = {.id = partition_id_of(in), .version = in.version()},
                 .server = {in.backend_server()},
                 .slices = {}};
    for (const auto& entry : in.slices()) {
        out.slices.push_back({.first = entry.first(), .fence = entry.fence()});
    }
    return out;
}

std::optional<peer_body> to_body(const wire::Envelope& in)
{
    switch (in.body_case()) {
    case wire::Envelope::kProbe:
        return probe{.sequence = in.probe().sequence(),
                     .on_behalf_of = {in.probe().on_behalf_of()},
                     .target = {in.probe().target()},
                     .piggyback = to_gossip(in.probe())};
    case wire::Envelope::kProbeAnswer:
        return probe_answer{.sequence = in.probe_answer().sequence(),
                            .piggyback = to_gossip(in.probe_answer())};
    case wire::Envelope::kConfirmRequest: {
        const auto& body = in.confirm_request();
        return confirm_request{.sequence = body.sequence(),
                               .known = {.id = partition_id_of(body), .version = body.version()},
                               .servers = servers_of(body)};
    }
    case wire::Envelope::kConfirmAnswer: {
        const auto& body = in.confirm_answer();
        return confirm_answer{
            .sequence = body.sequence(),
            .known = {.id = partition_id_of(body), .version = body.known_version()},
            .servers = servers_of(body),
            .recovering = body.recovering()};
    }
    case wire::Envelope::kDocumentRequest: {
        const auto& body = in.document_request();
        return document_request{
            .above = {.id = partition_id_of(body), .version = body.above_version()},
            .description = body.description()};
    }
    case wire::Envelope::kDocumentOffer:
        return document_offer{.partition = in.document_offer().partition(),
                              .description = in.document_offer().description()};
    case wire::Envelope::kLoadReport:
        return to_load_report(in.load_report());
    case wire::Envelope::kReleased:
        return to_released(in.released());
    case wire::Envelope::BODY_NOT_SET:
        return std::nullopt;
    }
    return std::nullopt;
}

} // namespace

std::string encode(const peer_message& message)
{
    wire::Envelope out;
    out.set_sender(message.sender.value);
    out.set_incarnation(message.incarnation);
    std::visit([&out](const auto& body) { fill_body(out, body); }, message.body);
    return out.SerializeAsString();
}

std::optional<peer_message> decode_peer_message(std::string_view bytes)
{
    const auto in = parse_message<wire::Envelope>(bytes);
    auto body = in ? to_body(*in) : std::nullopt;
    if (!body || in->sender().empty()) {
        return std::nullopt;
    }
    return peer_message{
        .sender = {in->sender()}, .incarnation = in->incarnation(), .body = std::move(*body)};
}

} // namespace figreach
