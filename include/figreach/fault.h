#pragma once

#include <string>
#include <vector>

namespace figreach {

/// One fault found in a settings file or a description, worded for the person who wrote it.
struct fault {
    std::string file;
    unsigned line = 0; ///< 0 where the fault has no line
    std::string key;
    std::string found;
    std::string allowed;
};

using fault_list = std::vector<fault>;

/// "file:line: key: found X; allowed: Y", one line a fault.
[[nodiscard]] std::string to_text(const fault_list& faults);

} // namespace figreach
