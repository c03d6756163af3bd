#include "figreach/history.h"

#include <algorithm>

namespace figreach {

namespace {

/// Upper bound of the tags, lengths and numbers in one encoded record.
constexpr std::size_t max_record_overhead = 64;

/// Upper bound of the size that one record adds to the encoded history.
std::size_t max_encoded_size(const description_record& record)
{
    return record.toml.size() + record.reason.size() + record.changed_by.size() +
           record.writer.size() + max_record_overhead;
}

} // namespace

std::uint64_t version_in_force(const description_history& history)
{
    return history.empty() ? 0 : history.back().version;
}

const description_record* find_version(const description_history& history, std::uint64_t version)
{
    const auto found = std::ranges::find(history, version, &description_record::version);
    return found == history.end() ? nullptr : &*found;
}

description_history with_record(description_history history, description_record record)
{
    history.push_back(std::move(record));
    std::size_t bytes = 0;
    std::size_t kept = 0;
    while (kept < history.size() && kept < max_history_records) {
        bytes += max_encoded_size(history[history.size() - 1 - kept]);
        if (bytes > max_history_bytes && kept > 0) {
            break;
        }
        ++kept;
    }
    history.erase(history.begin(), history.end() - static_cast<std::ptrdiff_t>(kept));
    return history;
}

} // namespace figreach
