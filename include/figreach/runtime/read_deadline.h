#pragma once

#include <algorithm>
#include <cstddef>
#include <optional>

#include "figreach/time.h"

namespace figreach {

/// Decides until when a message is read. The timer of a boost::beast::tcp_stream does not: it is
/// started anew for each read and never expires while bytes are always available.
class read_deadline {
public:
    explicit read_deadline(monotonic_time at_) : at{at_} {}

    [[nodiscard]] bool has_passed(monotonic_time now) const { return now >= this->at; }

    /// How many of `wanted` bytes may be read although the deadline has passed. These are the bytes
    /// that were available when this was first called: a host that was short of processor time
    /// still gets a message that came in time.
    [[nodiscard]] std::size_t take_arrived(std::size_t wanted, std::size_t available)
    {
        const auto left = this->arrived.value_or(available);
        const auto out = std::min({wanted, left, available});
        this->arrived = left - out;
        return out;
    }

private:
    monotonic_time at;
    std::optional<std::size_t> arrived; ///< bytes that may still be read once it has passed
};

} // namespace figreach
