#pragma once

#include <string>

#include "figreach/description.h"
#include "figreach/fault.h"

namespace figreach {

/// Faults of a change between two valid descriptions that could give a key two owners. Such a
/// change is refused even with force. `file` is used only in faults.
[[nodiscard]] fault_list transition_faults(const description& before, const description& after,
                                           const std::string& file);

} // namespace figreach
