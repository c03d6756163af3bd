#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace figreach {

/// The narrow interface to the platform's key-value service: decisions emit calls and take
/// answers, and one thread of the runtime carries them out against the service in use.
struct read_key {
    std::string key;
};

struct read_prefix {
    std::string prefix;
};

/// Writes `value` if the key's revision is still `expected_revision` (0: the key is absent).
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

/// No answer in time, or an error of the service. For a write: whether it took effect is unknown.
struct store_no_answer {
    std::string detail;
};

using store_result = std::variant<store_read, store_written, store_conflict, store_no_answer>;

/// Pushed by the service: a key has a new value.
struct store_changed {
    stored_value present;
};

} // namespace figreach
