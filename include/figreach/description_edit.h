#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "figreach/description.h"

namespace figreach {

/// Returns the text of a description with the `state` of one table in an array of tables changed.
/// `list` is the key of the array, such as "failure_domain". Comments and order are preserved; a
/// missing `state` key is added after the item's name. Empty if the text does not contain the item
/// or cannot be edited in place.
[[nodiscard]] std::optional<std::string> with_state(std::string_view toml, std::string_view list,
                                                    const std::string& name, service_state state);

} // namespace figreach
