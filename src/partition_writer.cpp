#include "figreach/partition_writer.h"

#include <algorithm>
#include <utility>

#include "figreach/document_codec.h"

namespace figreach {

namespace {

constexpr unsigned max_backoff_doublings = 3;

} // namespace

partition_writer::partition_writer(partition_id id_, std::string writer_prefix_)
    : id{std::move(id_)}, writer_prefix{std::move(writer_prefix_)}
{
}

bool partition_writer::ready(std::uint64_t version) const
{
    return !this->call_pending && this->base_version == version;
}

std::optional<store_call> partition_writer::read(milliseconds interval, monotonic_time now)
{
    const auto wait = interval * (1U << std::min(this->unanswered_calls, max_backoff_doublings));
    const bool due = this->last_read == monotonic_time{} || now >= this->last_read + wait;
    if (this->call_pending || !due) {
        return std::nullopt;
    }
    this->call_pending = true;
    this->last_read = now;
    return read_key{store_key(this->id)};
}

store_call partition_writer::write(partition changed)
{
    changed.version = *this->base_version + 1;
    changed.writer = this->writer_prefix + "/" + std::to_string(++this->writes);
    this->call_pending = true;
    this->pending_write = std::move(changed);
    return compare_and_swap{.key = store_key(this->id),
                            .expected_revision = this->base_revision,
                            .value = encode(this->pending_write)};
}

std::optional<partition> partition_writer::on_result(const store_result& result)
{
    this->call_pending = false;
    if (std::holds_alternative<store_no_answer>(result)) {
        this->base_version.reset();
        ++this->unanswered_calls;
        return std::nullopt;
    }
    this->unanswered_calls = 0;
    if (const auto* done = std::get_if<store_written>(&result)) {
        this->base_version = this->pending_write.version;
        this->base_revision = done->revision;
        return this->pending_write;
    }
    if (const auto* conflict = std::get_if<store_conflict>(&result)) {
        return this->adopt(&conflict->present);
    }
    const auto& values = std::get<store_read>(result).values;
    return this->adopt(values.empty() ? nullptr : &values.front());
}

bool partition_writer::absent() const
{
    return this->base_version == 0;
}

std::optional<partition> partition_writer::adopt(const stored_value* present)
{
    if (present == nullptr || present->revision == 0) {
        this->base_version = 0;
        this->base_revision = 0;
        return std::nullopt;
    }
    auto document = decode_partition(present->value);
    if (!document) {
        this->base_version.reset();
        return std::nullopt;
    }
    this->base_version = document->version;
    this->base_revision = present->revision;
    return document;
}

} // namespace figreach
