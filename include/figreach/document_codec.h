#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "figreach/partition.h"
#include "figreach/time.h"

namespace figreach {

/// One accepted version of the description.
struct description_record {
    std::uint64_t version = 0;
    std::string writer; ///< unique id of the change that wrote this version
    std::string changed_by;
    std::string reason;
    calendar_time changed_at{};
    std::string toml;

    friend bool operator==(const description_record&, const description_record&) = default;
};

using description_history = std::vector<description_record>;

/// Store key of the description's history.
inline constexpr std::string_view description_key = "/figreach/description";

/// Store key prefix of all partition documents.
inline constexpr std::string_view partition_prefix = "/figreach/partition/";

[[nodiscard]] std::string encode(const partition& document);
[[nodiscard]] std::string encode(const description_record& record);
[[nodiscard]] std::string encode(const description_history& history);

/// The decoders return an empty value if the bytes are not a well-formed document.
[[nodiscard]] std::optional<partition> decode_partition(std::string_view bytes);
[[nodiscard]] std::optional<description_record> decode_record(std::string_view bytes);
[[nodiscard]] std::optional<description_history> decode_history(std::string_view bytes);

} // namespace figreach
