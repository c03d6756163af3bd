#pragma once

#include <string>
#include <vector>

namespace figreach {

/// A fault in a settings file or a description, reported to its author.
struct fault {
    std::string file;
    unsigned line = 0; ///< 0 if the line is unknown
    std::string key;
    std::string found;
    std::string allowed;
};

using fault_list = std::vector<fault>;

/// Formats each fault as one line, "file:line: key: found X; allowed: Y".
[[nodiscard]] std::string to_text(const fault_list& faults);

} // namespace figreach
