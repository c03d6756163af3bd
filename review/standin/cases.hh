#pragma once

#include <filesystem>
#include <map>
#include <string>

namespace figreach::review {

/// Results of a case, as run.sh returns them.
enum class verdict : int { held = 0, broken = 1, could_not_run = 2 };

struct case_settings {
    std::filesystem::path program; ///< figreach-direct
    std::filesystem::path folder;  ///< for settings and logs of the hosts
    std::filesystem::path record;
    int trouble = 1; ///< 0: without the disruption; 2: a part of it, where the case says so
};

using case_function = verdict (*)(const case_settings&);

/// All cases by name.
[[nodiscard]] const std::map<std::string, case_function>& all_cases();

} // namespace figreach::review
