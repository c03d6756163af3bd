#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "figreach/ids.h"
#include "figreach/time.h"

namespace figreach::direct {

/// A closed range of keys.
struct key_span {
    std::uint32_t first = 0;
    std::uint32_t last = 0;

    friend bool operator==(const key_span&, const key_span&) = default;
};

inline constexpr std::uint32_t key_count = 65536;

/// Allows a backend server to serve keys for `hold`, counted from the arrival of the order. Sending
/// the same grant again renews it.
struct grant_keys {
    key_span keys;
    std::uint64_t fence = 0;
    milliseconds hold{0};
    std::string handover; ///< token of the previous owner; may be empty
};

/// Ends the work on keys. The server answers after the running work on them has ended.
struct release_keys {
    key_span keys;
    std::uint64_t fence = 0;
};

using key_order = std::variant<grant_keys, release_keys>;

enum class order_outcome : std::uint8_t {
    done,
    higher_fence_seen, ///< the server has seen a higher fence for one of the keys
    other_server,      ///< another backend server has the address
    rejected,          ///< the server considers the order malformed
    not_sent,          ///< the order did not reach the server
    no_answer,         ///< the order may have been executed or may be later
    process_unknown,   ///< not sent: the server may have restarted since the leader lost its lease
};

struct order_answer {
    order_outcome outcome = order_outcome::no_answer;
    std::string handover; ///< returned by a release; may be empty
};

[[nodiscard]] constexpr const char* name_of(order_outcome outcome)
{
    switch (outcome) {
    case order_outcome::done:
        return "done";
    case order_outcome::higher_fence_seen:
        return "higher_fence_seen";
    case order_outcome::other_server:
        return "other_server";
    case order_outcome::rejected:
        return "rejected";
    case order_outcome::not_sent:
        return "not_sent";
    case order_outcome::no_answer:
        return "no_answer";
    case order_outcome::process_unknown:
        return "process_unknown";
    }
    return "unknown";
}

} // namespace figreach::direct
