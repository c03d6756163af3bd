#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>

#include "figreach/error_kind.h"
#include "figreach/ids.h"
#include "figreach/key_hash.h"
#include "figreach/time.h"

namespace figreach {

/// What a caller names when it repeats a request.
struct repeat_id {
    service_id service;
    std::string key;
    std::string idempotency_key;

    friend auto operator<=>(const repeat_id&, const repeat_id&) = default;
};

/// The slice that holds the key of a request, as the sender's route has it.
struct repeat_slice {
    key_hash first = 0;
    key_hash last = 0;
    std::uint64_t fence = 0;
};

struct window_request {
    repeat_id id;
    repeat_slice slice;
    std::string fingerprint;    ///< method and target: a repeat must have the same
    bool first_attempt = false; ///< the caller says that it never sent this before
};

/// An answer that is short enough to be kept.
struct kept_answer {
    unsigned status = 0;
    std::string content_type;
    std::string body;

    friend bool operator==(const kept_answer&, const kept_answer&) = default;
};

/// The request is new: it may run. finish() or forget() must follow.
struct window_run {};

/// The request ran before: answer as then.
struct window_replay {
    kept_answer answer;
};

/// The request must not run now.
struct window_refuse {
    error_kind kind = error_kind::repeat_outcome_unknown;
    milliseconds retry_after{0};
};

using window_decision = std::variant<window_run, window_replay, window_refuse>;

struct idempotency_window_settings {
    milliseconds length{600000}; ///< how long an outcome is remembered
    std::size_t max_entries = 20000;
    std::size_t max_bytes = 8UL * 1024 * 1024; ///< of kept names and answers
    std::size_t max_answer_bytes = 4096;       ///< a longer answer is not kept
    milliseconds retry_after{200};
};

/// Remembers the outcome of non-idempotent requests to one backend server, at its coordinator, so
/// that a repeat does not run again. What it may have missed or forgotten it answers as unknown.
/// Not thread-safe.
class idempotency_window {
public:
    explicit idempotency_window(idempotency_window_settings settings);

    /// From now on this host alone sends to the server; before, another host may have.
    void take_over(monotonic_time now);
    /// Notes that the server owns a slice, so that its coverage begins before its first request.
    void note_slice(const repeat_slice& slice, monotonic_time now);

    [[nodiscard]] window_decision begin(const window_request& request, monotonic_time now);
    /// The request did not run and will not.
    void forget(const repeat_id& id);
    /// The request ran; `answer` is empty when it is not kept.
    void finish(const repeat_id& id, std::optional<kept_answer> answer, monotonic_time now);
    /// Whether the request ran cannot be known.
    void mark_unknown(const repeat_id& id, monotonic_time now);

    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] std::size_t bytes() const;

private:
    enum class entry_state : std::uint8_t { in_progress, ran, unknown };

    struct entry {
        entry_state state = entry_state::in_progress;
        std::string fingerprint;
        std::optional<kept_answer> answer;
        monotonic_time ended{};
        std::size_t bytes = 0;
    };

    struct coverage {
        key_hash last = 0;
        std::uint64_t fence = 0;
        monotonic_time since{};
    };

    struct ended_entry {
        repeat_id id;
        monotonic_time at{};
    };

    [[nodiscard]] window_decision decide_repeat(const entry& known,
                                                const window_request& request) const;
    [[nodiscard]] bool may_have_missed(const window_request& request, monotonic_time now);
    [[nodiscard]] monotonic_time covered_since(const repeat_slice& slice, monotonic_time now);
    void end(const repeat_id& id, entry_state state, std::optional<kept_answer> answer,
             monotonic_time now);
    void expire(monotonic_time now);
    void evict();
    void erase_oldest();

    idempotency_window_settings settings;
    std::map<repeat_id, entry> entries;
    std::deque<ended_entry> ended;       ///< in the order of their end
    std::map<key_hash, coverage> slices; ///< by first hash
    monotonic_time evicted_until{};      ///< a repeat before this time may be of an evicted entry
    std::size_t used_bytes = 0;
};

} // namespace figreach
