#pragma once

#include <string>

#include <boost/leaf/result.hpp>

#include "figreach/fault.h"
#include "figreach/host_settings.h"

namespace figreach {

/// Error object of load_host_settings(): all faults that were found, never empty.
struct settings_faults {
    fault_list faults;
};

/// Reads and validates a settings file and checks that the files it names are readable. Fails with
/// settings_faults.
[[nodiscard]] boost::leaf::result<host_settings> load_host_settings(const std::string& path);

} // namespace figreach
