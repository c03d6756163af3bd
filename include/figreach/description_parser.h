#pragma once

#include <string>
#include <string_view>

#include "figreach/description.h"
#include "figreach/fault.h"

namespace figreach {

/// A parsed description and its faults. The description is usable only if there are no faults.
struct parsed_description {
    description value;
    fault_list faults;
};

/// Parses and validates a description in TOML. `file` is used only in faults.
[[nodiscard]] parsed_description parse_description(std::string_view toml, const std::string& file);

} // namespace figreach
