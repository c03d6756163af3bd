#pragma once

#include <cstddef>

#include "figreach/time.h"

namespace figreach {

/// Decides until when a message is read. The timer of a boost::beast::tcp_stream does not: it is
/// started anew for each read and never expires while bytes are always available.
class read_deadline {
public:
    explicit read_deadline(monotonic_time at_) : at{at_} {}

    [[nodiscard]] bool has_passed(monotonic_time now) const { return now >= this->at; }

    /// Whether one more read is allowed although the deadline has passed. It is once, for bytes
    /// that are available: a host that was short of processor time still gets an answer that came
    /// in time.
    [[nodiscard]] bool try_last_read(std::size_t available)
    {
        const bool allowed = available > 0 && !this->is_used;
        this->is_used = true;
        return allowed;
    }

private:
    monotonic_time at;
    bool is_used = false; ///< the last read
};

} // namespace figreach
