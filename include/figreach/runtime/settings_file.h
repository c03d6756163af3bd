#pragma once

#include <string>

#include <boost/leaf/result.hpp>

#include "figreach/fault.h"
#include "figreach/host_settings.h"

namespace figreach {

/// Error object of load_host_settings(): all that is wrong, never empty.
struct settings_faults {
    fault_list faults;
};

/// Reads and checks a settings file and looks whether the files that it names can be read. Fails
/// with settings_faults.
[[nodiscard]] boost::leaf::result<host_settings> load_host_settings(const std::string& path);

} // namespace figreach
