#pragma once

#include <cstdint>

#include "figreach/document_codec.h"

namespace figreach {

/// Bytes that the encoded history may take in the store, which holds values up to a megabyte.
inline constexpr std::size_t max_history_bytes = 900'000;

/// Versions that the history keeps at most.
inline constexpr std::size_t max_history_records = 128;

/// Version in force; 0 when there is none.
[[nodiscard]] std::uint64_t version_in_force(const description_history& history);

/// The record of a version; null when it is not, or no longer, in the history.
[[nodiscard]] const description_record* find_version(const description_history& history,
                                                     std::uint64_t version);

/// The history with one more record, without the oldest records that no longer fit. The newest
/// record stays, also when it alone is too large.
[[nodiscard]] description_history with_record(description_history history,
                                              description_record record);

} // namespace figreach
