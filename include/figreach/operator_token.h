#pragma once

#include <string_view>

namespace figreach {

/// Whether an `authorization` value is "Bearer " followed by the expected token. The comparison
/// time does not depend on the length of the matching prefix. False if `expected` is empty.
[[nodiscard]] bool has_bearer_token(std::string_view authorization, std::string_view expected);

} // namespace figreach
