#include "figreach/direct/request_digest.h"

#include <array>
#include <charconv>
#include <memory>

#include <xxhash.h>

namespace figreach::direct {

namespace {

constexpr int hexadecimal = 16;
constexpr std::size_t half_digits = 16;

std::string half_to_text(std::uint64_t half)
{
    std::array<char, half_digits> digits{};
    const auto [end, failed] =
        std::to_chars(digits.data(), digits.data() + digits.size(), half, hexadecimal);
    const std::string text{digits.data(), end};
    return std::string(half_digits - text.size(), '0') + text;
}

std::optional<std::uint64_t> parse_half(std::string_view text)
{
    std::uint64_t out = 0;
    const auto* end = text.data() + text.size();
    const auto [parsed, failed] = std::from_chars(text.data(), end, out, hexadecimal);
    return failed == std::errc{} && parsed == end ? std::optional{out} : std::nullopt;
}

} // namespace

request_digest digest_of(const digested_request& request)
{
    const std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> hash{XXH3_createState(),
                                                                        &XXH3_freeState};
    XXH3_128bits_reset(hash.get());
    for (const auto part : {request.host, request.method, request.target, request.body}) {
        // The length keeps parts apart; its bytes have the same order on every machine.
        std::array<unsigned char, sizeof(std::uint64_t)> length{};
        for (std::size_t i = 0; i < length.size(); ++i) {
            length.at(i) = static_cast<unsigned char>(part.size() >> (8 * i));
        }
        XXH3_128bits_update(hash.get(), length.data(), length.size());
        XXH3_128bits_update(hash.get(), part.data(), part.size());
    }
    const auto value = XXH3_128bits_digest(hash.get());
    return {.high = value.high64, .low = value.low64};
}

std::string to_text(const request_digest& digest)
{
    return half_to_text(digest.high) + half_to_text(digest.low);
}

std::optional<request_digest> parse_request_digest(std::string_view text)
{
    if (text.size() != 2 * half_digits) {
        return std::nullopt;
    }
    const auto high = parse_half(text.substr(0, half_digits));
    const auto low = parse_half(text.substr(half_digits));
    if (!high || !low) {
        return std::nullopt;
    }
    return request_digest{.high = *high, .low = *low};
}

} // namespace figreach::direct
