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

/// Identifies a request across its repeats.
struct repeat_id {
    service_id service;
    std::string key;
    std::string idempotency_key;

    friend auto operator<=>(const repeat_id&, const repeat_id&) = default;
};

/// The slice that contains the key of a request, according to the sender's route.
struct repeat_slice {
    key_hash first = 0;
    key_hash last = 0;
    std::uint64_t fence = 0;
};

/// A request as presented to the window.
struct window_request {
    repeat_id id;
    repeat_slice slice;
    std::string fingerprint;    ///< method and target; must be equal in all repeats
    bool first_attempt = false; ///< the caller states that it has not sent this request before
};

/// An answer that is kept for repeats.
struct kept_answer {
    unsigned status = 0;
    std::string content_type;
    std::string body;

    friend bool operator==(const kept_answer&, const kept_answer&) = default;
};

/// The request is new and may run. finish(), forget() or mark_unknown() must follow.
struct window_run {};

/// The request ran before; repeat the stored answer.
struct window_replay {
    kept_answer answer;
};

/// The request must not run.
struct window_refuse {
    error_kind kind = error_kind::repeat_outcome_unknown;
    milliseconds retry_after{0};
};

using window_decision = std::variant<window_run, window_replay, window_refuse>;

struct idempotency_window_settings {
    milliseconds length{600000}; ///< time for which an outcome is remembered
    std::size_t max_entries = 20000;
    std::size_t max_bytes = 8UL * 1024 * 1024; ///< total size of identifiers and answers
    std::size_t max_answer_bytes = 4096;       ///< longer answers are not kept
    milliseconds retry_after{200};
};

/// Remembers the outcomes of non-idempotent requests to one backend server, so that a repeat does
/// not run again. Runs at the server's coordinator. A repeat of a request that the window may have
/// missed or evicted gets an unknown outcome. Not thread-safe.
class idempotency_window {
public:
    explicit idempotency_window(idempotency_window_settings settings);

    /// Restarts coverage: this host becomes the only sender to the server, while other hosts may
    /// have sent requests before.
    void take_over(monotonic_time now);
    /// Begins the coverage of a slice that the server owns, before the first request for it.
    void note_slice(const repeat_slice& slice, monotonic_time now);

    [[nodiscard]] window_decision begin(const window_request& request, monotonic_time now);
    /// Discards a request that did not run and will not.
    void forget(const repeat_id& id);
    /// Records that the request ran. `answer` is empty if it is not to be kept.
    void finish(const repeat_id& id, std::optional<kept_answer> answer, monotonic_time now);
    /// Records that it cannot be determined whether the request ran.
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
    std::deque<ended_entry> ended;       ///< ordered by end time
    std::map<key_hash, coverage> slices; ///< by first hash of the slice
    monotonic_time evicted_until{};      ///< repeats before this time may refer to an evicted entry
    std::size_t used_bytes = 0;
};

} // namespace figreach
