#pragma once

#include <cstdint>

#include "figreach/document_codec.h"

namespace figreach {

/// Maximum size of the encoded history in bytes. The store accepts values of up to 1 MB.
inline constexpr std::size_t max_history_bytes = 900'000;

/// Maximum number of versions in the history.
inline constexpr std::size_t max_history_records = 128;

/// The version in force; 0 if the history is empty.
[[nodiscard]] std::uint64_t version_in_force(const description_history& history);

/// The record of a version; null if it is not in the history or no longer there.
[[nodiscard]] const description_record* find_version(const description_history& history,
                                                     std::uint64_t version);

/// Appends a record and drops the oldest records beyond the limits. The newest record is kept even
/// if it alone exceeds the size limit.
[[nodiscard]] description_history with_record(description_history history,
                                              description_record record);

} // namespace figreach
