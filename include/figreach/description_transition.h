#pragma once

#include <string>

#include "figreach/description.h"
#include "figreach/fault.h"

namespace figreach {

/// Faults that lie in the change from one valid description to another: changes that could give a
/// key two owners. They are refused also with force. `file` is used in the faults only.
[[nodiscard]] fault_list transition_faults(const description& before, const description& after,
                                           const std::string& file);

} // namespace figreach
