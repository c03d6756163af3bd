#pragma once

#include <map>
#include <string>
#include <vector>

#include "figreach/description.h"

namespace figreach {

/// Slots of backend servers that are busy now, by service. A service that is absent is not known.
using service_load = std::map<service_id, double>;

/// Why a change of the description can take a service away; empty when it cannot. One sentence a
/// reason, for the operator who has to decide whether to force the change.
[[nodiscard]] std::vector<std::string>
description_dangers(const description& before, const description& after, const service_load& load);

} // namespace figreach
