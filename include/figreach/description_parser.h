#pragma once

#include <string>
#include <string_view>

#include "figreach/description.h"
#include "figreach/fault.h"

namespace figreach {

/// A description with the faults found in it; usable only when there are none.
struct parsed_description {
    description value;
    fault_list faults;
};

/// Parses and checks a whole description in TOML. `file` is used in faults only.
[[nodiscard]] parsed_description parse_description(std::string_view toml, const std::string& file);

} // namespace figreach
