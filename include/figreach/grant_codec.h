#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "figreach/grant.h"

namespace figreach {

/// Serialize to the JSON of the backend contract; see docs/backend-contract.md.
[[nodiscard]] std::string to_json(const grant& value);
[[nodiscard]] std::string to_json(const grant_answer& value);

/// Return nothing if the text is not a well-formed grant or answer.
[[nodiscard]] std::optional<grant> parse_grant(std::string_view json);
[[nodiscard]] std::optional<grant_answer> parse_grant_answer(std::string_view json);

} // namespace figreach
