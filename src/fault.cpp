#include "figreach/fault.h"

#include <sstream>

namespace figreach {

std::string to_text(const fault_list& faults)
{
    std::ostringstream out;
    for (const auto& one : faults) {
        out << one.file;
        if (one.line != 0) {
            out << ':' << one.line;
        }
        out << ": " << one.key << ": found " << one.found << "; allowed: " << one.allowed << '\n';
    }
    return out.str();
}

} // namespace figreach
