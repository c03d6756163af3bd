#pragma once

#include <string_view>

namespace figreach {

/// Whether an `authorization` value is "Bearer " and the expected token. The time taken does not
/// depend on how much of the token is right. False when no token is expected.
[[nodiscard]] bool has_bearer_token(std::string_view authorization, std::string_view expected);

} // namespace figreach
