#pragma once

#include <map>
#include <string>
#include <vector>

#include "figreach/description.h"

namespace figreach {

/// Number of busy slots by service. The load of an absent service is unknown.
using service_load = std::map<service_id, double>;

/// The reasons why a change of the description can make a service unavailable. Each reason is one
/// sentence for the operator, who decides whether to force the change. Empty if the change is safe.
[[nodiscard]] std::vector<std::string>
description_dangers(const description& before, const description& after, const service_load& load);

} // namespace figreach
