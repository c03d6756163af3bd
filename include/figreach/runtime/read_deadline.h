#pragma once

#include <cstddef>

#include "figreach/time.h"

namespace figreach {

/// Decides until when a message is read. The timer of a boost::beast::tcp_stream does not: it is
/// started anew for each read and never expires while bytes are always available.
class read_deadline {
public:
    explicit read_deadline(monotonic_time at_) : at{at_} {}

    /// Whether one more read is allowed at `now`, with this number of bytes available. Once the
    /// deadline has passed, one read of available bytes is: a host that was short of processor
    /// time still gets an answer that came in time.
    [[nodiscard]] bool allows_read(monotonic_time now, std::size_t available)
    {
        if (now < this->at) {
            return true;
        }
        const bool allowed = available > 0 && !this->passed;
        this->passed = true;
        return allowed;
    }

private:
    monotonic_time at;
    bool passed = false;
};

} // namespace figreach
