#include "figreach/document_codec.h"

#include "document.pb.h"
#include "parse_message.h"

namespace figreach {

namespace {

namespace wire = document::v1;

template <class Names>
void fill(Names* out, const auto& ids)
{
    for (const auto& id : ids) {
        out->Add(std::string{id.value});
    }
}

template <class Id>
std::vector<Id> ids_of(const google::protobuf::RepeatedPtrField<std::string>& names)
{
    std::vector<Id> out;
    out.reserve(static_cast<std::size_t>(names.size()));
    for (const auto& name : names) {
        out.push_back({name});
    }
    return out;
}

void fill(wire::DescriptionRecord& out, const description_record& record)
{
    out.set_version(record.version);
    out.set_writer(record.writer);
    out.set_changed_by(record.changed_by);
    out.set_reason(record.reason);
    const auto since = record.changed_at.time_since_epoch();
    out.set_changed_at_unix_ms(std::chrono::duration_cast<milliseconds>(since).count());
    out.set_description_toml(record.toml);
}

description_record to_record(const wire::DescriptionRecord& in)
{
    return {.version = in.version(),
            .writer = in.writer(),
            .changed_by = in.changed_by(),
            .reason = in.reason(),
            .changed_at = calendar_time{milliseconds{in.changed_at_unix_ms()}},
            .toml = in.description_toml()};
}

} // namespace

std::string encode(const partition& document)
{
    wire::Partition out;
    out.set_service(document.id.service.value);
    out.set_number(document.id.number);
    out.set_version(document.version);
    out.set_writer(document.writer);
    fill(out.mutable_backend_servers(), document.backend_servers);
    fill(out.mutable_validators(), document.validators);
    fill(out.mutable_previous_validators(), document.previous_validators);
    for (const auto& one : document.slices) {
        auto* item = out.add_slices();
        item->set_first(one.first);
        item->set_owner(one.owner);
        item->set_fence(one.fence);
        item->set_pinned(one.pinned);
        item->set_moving_to(one.moving_to ? *one.moving_to + 1 : 0);
    }
    return out.SerializeAsString();
}

std::string encode(const description_record& record)
{
    wire::DescriptionRecord out;
    fill(out, record);
    return out.SerializeAsString();
}

std::string encode(const description_history& history)
{
    wire::DescriptionHistory out;
    for (const auto& record : history) {
        fill(*out.add_records(), record);
    }
    return out.SerializeAsString();
}

std::optional<partition> decode_partition(std::string_view bytes)
{
    const auto in = parse_message<wire::Partition>(bytes);
    if (!in) {
        return std::nullopt;
    }
    partition out;
    out.id = {.service = {in->service()}, .number = in->number()};
    out.version = in->version();
    out.writer = in->writer();
    out.backend_servers = ids_of<backend_server_id>(in->backend_servers());
    out.validators = ids_of<host_id>(in->validators());
    out.previous_validators = ids_of<host_id>(in->previous_validators());
    for (const auto& one : in->slices()) {
        const auto moving_to =
            one.moving_to() == 0 ? std::nullopt : std::optional{one.moving_to() - 1};
        out.slices.push_back({.first = one.first(),
                              .owner = one.owner(),
                              .fence = one.fence(),
                              .pinned = one.pinned(),
                              .moving_to = moving_to});
    }
    if (out.version == 0 || !defect_of(out).empty()) {
        return std::nullopt;
    }
    return out;
}

std::optional<description_record> decode_record(std::string_view bytes)
{
    const auto in = parse_message<wire::DescriptionRecord>(bytes);
    if (!in || in->version() == 0) {
        return std::nullopt;
    }
    return to_record(*in);
}

std::optional<description_history> decode_history(std::string_view bytes)
{
    const auto in = parse_message<wire::DescriptionHistory>(bytes);
    if (!in) {
        return std::nullopt;
    }
    description_history out;
    for (const auto& record : in->records()) {
        const bool ascending = record.version() > (out.empty() ? 0 : out.back().version);
        if (!ascending) {
            return std::nullopt;
        }
        out.push_back(to_record(record));
    }
    return out;
}

} // namespace figreach
