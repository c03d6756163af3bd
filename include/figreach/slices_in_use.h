#pragma once

#include <cstdint>
#include <deque>
#include <map>

#include "figreach/key_hash.h"
#include "figreach/time.h"

namespace figreach {

/// Tracks the hashes for which requests to one backend server are running or may still be running.
/// Not thread-safe.
class slices_in_use {
public:
    /// Records that a request for a key with this hash is about to be sent.
    void begin(key_hash hash, monotonic_time now);

    /// Records that a request is finished on this host. If its end at the server is unknown
    /// (`end_known` is false), it may run there until `deadline`.
    void end(key_hash hash, bool end_known, monotonic_time deadline);

    /// Returns whether a request for a hash in [`first`, `last`] is running or may be running.
    [[nodiscard]] bool in_use(key_hash first, key_hash last, monotonic_time now) const;

private:
    struct usage {
        std::uint32_t running = 0;
        monotonic_time may_run_until{};
    };

    struct unknown_end {
        key_hash hash = 0;
        monotonic_time until{};
    };

    void erase_expired(monotonic_time now);

    std::map<key_hash, usage> uses;
    std::deque<unknown_end> unknown_ends; ///< in order of arrival
};

} // namespace figreach
