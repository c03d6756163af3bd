#pragma once

#include <cstdint>
#include <deque>
#include <map>

#include "figreach/key_hash.h"
#include "figreach/time.h"

namespace figreach {

/// Which parts of the hash space requests to one backend server run in, or may still run in.
/// Not thread-safe.
class slices_in_use {
public:
    /// A request for a key with this hash is about to be sent.
    void begin(key_hash hash, monotonic_time now);

    /// A request that began is over, as far as this host sees. Where its end at the server is not
    /// known (`end_known` is false), it may run until `deadline`.
    void end(key_hash hash, bool end_known, monotonic_time deadline);

    /// Whether a request for a hash from `first` to `last` runs or may run.
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
    std::deque<unknown_end> unknown_ends; ///< in the order in which they were told
};

} // namespace figreach
