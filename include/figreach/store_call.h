#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace figreach {

// Interface to the platform's key-value store. State machines return these calls and take the
// results; one thread of the runtime executes them against the configured store.
struct read_key {
    std::string key;
};

struct read_prefix {
    std::string prefix;
};

/// Writes `value` if the key has the revision `expected_revision` (0: the key is absent).
struct compare_and_swap {
    std::string key;
    std::int64_t expected_revision = 0;
    std::string value;
};

using store_call = std::variant<read_key, read_prefix, compare_and_swap>;

struct stored_value {
    std::string key;
    std::string value;
    std::int64_t revision = 0; ///< 0: absent
};

struct store_read {
    std::vector<stored_value> values; ///< empty: absent
};

/// The write took effect.
struct store_written {
    std::int64_t revision = 0;
};

/// The write did not take effect: the key has another revision.
struct store_conflict {
    stored_value present;
};

/// No answer in time, or an error of the store. It is unknown whether a write took effect.
struct store_no_answer {
    std::string detail;
};

using store_result = std::variant<store_read, store_written, store_conflict, store_no_answer>;

/// Notification from the store: a key has a new value.
struct store_changed {
    stored_value present;
};

} // namespace figreach
