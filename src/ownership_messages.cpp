// Messages between hosts, and the distribution of documents.

#include <utility>

#include "figreach/document_codec.h"
#include "figreach/ownership.h"

namespace figreach {

namespace {

constexpr milliseconds document_request_interval{100};

} // namespace

void ownership::learn(partition document, bool announce)
{
    const partition_version version{.id = document.id, .version = document.version};
    this->local_validator.learn(version);
    auto& present = this->known_partitions[document.id];
    if (present && present->version >= document.version) {
        return;
    }
    if (announce) {
        this->broadcast(document);
    }
    present = std::make_shared<const partition>(std::move(document));
}

void ownership::broadcast(const partition& document)
{
    const document_offer body{.partition = encode(document), .description = {}};
    for (const auto& host : this->view.hosts) {
        if (host.host != this->self.name) {
            this->actions.emplace_back(send_to_host{.address = host.peer_address, .body = body});
        }
    }
}

void ownership::request_newer(const partition_version& advertised, const host_id& from,
                              monotonic_time now)
{
    const auto found = this->known_partitions.find(advertised.id);
    const auto known_version = found == this->known_partitions.end() ? 0 : found->second->version;
    auto& state = this->state_of(advertised.id);
    const bool from_self = from == this->self.name;
    if (from_self || advertised.version <= known_version || now < state.next_document_request) {
        return;
    }
    state.next_document_request = now + document_request_interval;
    this->send(from,
               document_request{.above = {.id = advertised.id, .version = known_version},
                                .description = false},
               now);
}

void ownership::receive(const peer_message& message, monotonic_time now)
{
    std::visit([&](const auto& body) { this->receive(message, body, now); }, message.body);
}

void ownership::receive(const peer_message& from, const probe& body, monotonic_time now)
{
    for (const auto& version : body.piggyback.partitions) {
        this->request_newer(version, from.sender, now);
    }
}

void ownership::receive(const peer_message& from, const probe_answer& body, monotonic_time now)
{
    for (const auto& version : body.piggyback.partitions) {
        this->request_newer(version, from.sender, now);
    }
}

void ownership::receive(const peer_message& from, const confirm_request& body, monotonic_time now)
{
    const auto answer = this->local_validator.answer(from, body, now);
    this->send(from.sender, answer, now);
    this->request_newer(body.known, from.sender, now);
}

void ownership::receive(const peer_message& from, const confirm_answer& body, monotonic_time now)
{
    this->state_of(body.known.id).confirmations.on_answer(from.sender, body);
    this->request_newer(body.known, from.sender, now);
}

void ownership::receive(const peer_message& from, const document_request& body, monotonic_time now)
{
    const auto found = this->known_partitions.find(body.above.id);
    const bool newer =
        found != this->known_partitions.end() && found->second->version > body.above.version;
    if (!body.description && newer) {
        this->send(from.sender,
                   document_offer{.partition = encode(*found->second), .description = {}}, now);
    }
}

void ownership::receive(const peer_message&, const document_offer& body, monotonic_time)
{
    if (body.partition.empty()) {
        return;
    }
    if (auto document = decode_partition(body.partition)) {
        this->learn(std::move(*document), false);
    }
}

void ownership::receive(const peer_message&, const load_report& body, monotonic_time now)
{
    this->policy.on_report(body, now);
}

void ownership::receive(const peer_message&, const released& body, monotonic_time)
{
    this->state_of(body.known.id).moves.on_released(body);
}

} // namespace figreach
