#include "figreach/version_line.h"

#include <charconv>

namespace figreach {

namespace {

constexpr std::string_view prefix = "# version: ";

std::string_view first_line(std::string_view text)
{
    return text.substr(0, text.find_first_of("\r\n"));
}

} // namespace

std::string version_line(std::uint64_t version)
{
    return std::string{prefix} + std::to_string(version) + '\n';
}

std::optional<std::uint64_t> read_version_line(const std::string& text)
{
    const auto line = first_line(text);
    if (!line.starts_with(prefix)) {
        return std::nullopt;
    }
    const auto digits = line.substr(prefix.size());
    std::uint64_t version = 0;
    const auto [end, error] =
        std::from_chars(digits.data(), digits.data() + digits.size(), version);
    const bool whole = error == std::errc{} && end == digits.data() + digits.size();
    return whole ? std::optional{version} : std::nullopt;
}

std::string without_version_line(const std::string& text)
{
    if (!read_version_line(text)) {
        return text;
    }
    const auto end = text.find('\n');
    return end == std::string::npos ? std::string{} : text.substr(end + 1);
}

} // namespace figreach
