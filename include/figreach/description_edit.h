#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "figreach/description.h"

namespace figreach {

/// The text of a description with the `state` of one item of a list of tables changed. `list` is
/// the key of the list, such as "failure_domain". Comments and order stay as they are; a `state`
/// key that is absent is added after the item's name. Empty when the text does not describe the
/// item or cannot be edited in place.
[[nodiscard]] std::optional<std::string> with_state(std::string_view toml, std::string_view list,
                                                    const std::string& name, service_state state);

} // namespace figreach
