#include "figreach/description_table.h"

#include <utility>

#include "figreach/description_parser.h"

namespace figreach {

bool description_table::learn_history(std::string_view bytes)
{
    const auto history = decode_history(bytes);
    return history && !history->empty() && this->learn(history->back());
}

bool description_table::learn_record(std::string_view bytes)
{
    const auto record = decode_record(bytes);
    return record && this->learn(*record);
}

std::uint64_t description_table::version() const
{
    return this->value ? this->value->version : 0;
}

const std::shared_ptr<const description>& description_table::latest() const
{
    return this->value;
}

const std::string& description_table::encoded_record() const
{
    return this->record_bytes;
}

bool description_table::learn(const description_record& record)
{
    if (record.version <= this->version()) {
        return false;
    }
    auto parsed = parse_description(record.toml, std::string{description_key});
    if (!parsed.faults.empty()) {
        return false;
    }
    parsed.value.version = record.version;
    this->value = std::make_shared<const description>(std::move(parsed.value));
    this->record_bytes = encode(record);
    return true;
}

} // namespace figreach
