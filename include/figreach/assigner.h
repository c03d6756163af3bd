#pragma once

#include <string>
#include <vector>

#include "figreach/description.h"
#include "figreach/partition.h"

namespace figreach {

/// The first assignment of a partition: slices of equal width, spread evenly over the backend
/// servers that receive work. Version 1, fence 1. Empty of slices when no server receives work.
[[nodiscard]] partition first_assignment(const description& all, const partition_id& id,
                                         const std::vector<host_id>& validators,
                                         std::string writer);

/// The live host with the highest rendezvous weight for an item; empty when there is none.
[[nodiscard]] host_id preferred_host(const std::string& item, const std::vector<host_id>& hosts);

} // namespace figreach
