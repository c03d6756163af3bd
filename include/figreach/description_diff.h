#pragma once

#include <string>
#include <vector>

#include "figreach/description.h"

namespace figreach {

/// The differences between two descriptions. Each line names one changed field, added item or
/// removed item, for example "backend_server 'lessons-1'.slots: 4 -> 8". Empty if they are equal.
[[nodiscard]] std::vector<std::string> description_diff(const description& before,
                                                        const description& after);

} // namespace figreach
