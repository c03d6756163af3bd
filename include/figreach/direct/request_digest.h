#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace figreach::direct {

/// What names one request over all hosts, also when it comes again from another address.
struct digested_request {
    std::string_view host;
    std::string_view method;
    std::string_view target;
    std::string_view body;
};

/// 128-bit hash of host, method, target and body of a request.
struct request_digest {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    friend auto operator<=>(const request_digest&, const request_digest&) = default;
};

/// The digest is identical on every host and in every version of figreach.
[[nodiscard]] request_digest digest_of(const digested_request& request);
/// 32 hexadecimal digits.
[[nodiscard]] std::string to_text(const request_digest& digest);
/// Returns an empty optional unless the text is as to_text() writes it.
[[nodiscard]] std::optional<request_digest> parse_request_digest(std::string_view text);

} // namespace figreach::direct
