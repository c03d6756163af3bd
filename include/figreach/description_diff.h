#pragma once

#include <string>
#include <vector>

#include "figreach/description.h"

namespace figreach {

/// What differs between two descriptions, one line for each field, item added or item removed, as
/// in "backend_server 'lessons-1'.slots: 4 -> 8". Empty when they say the same.
[[nodiscard]] std::vector<std::string> description_diff(const description& before,
                                                        const description& after);

} // namespace figreach
