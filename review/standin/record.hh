#pragma once

#include <filesystem>
#include <fstream>
#include <string>

#include "figreach/time.h"

namespace figreach::review {

/// The lines of record.txt: what was sent, answered and run, with the time since the start.
class record {
public:
    explicit record(const std::filesystem::path& file);

    void line(const std::string& text);
    [[nodiscard]] milliseconds elapsed() const;

private:
    std::ofstream out;
    monotonic_time begun;
};

} // namespace figreach::review
