#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace figreach {

/// The line that `get` writes above a description. It tells `apply` which version the text is based
/// on.
[[nodiscard]] std::string version_line(std::uint64_t version);
/// The version in the first line of a text, if that is a version line.
[[nodiscard]] std::optional<std::uint64_t> read_version_line(const std::string& text);
[[nodiscard]] std::string without_version_line(const std::string& text);

} // namespace figreach
