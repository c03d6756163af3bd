#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace figreach::direct {

struct pipeline_settings {
    std::size_t max_waiting = 8; ///< requests of a connection that have been read and not answered
    std::size_t max_running = 4; ///< of these, requests that run at once
};

/// Decides which of the requests that a caller sent behind one another on a connection run, and
/// whose answer is next. Answers leave in the order of the requests.
///
/// Repeatable requests run side by side. Any other request runs only once all before it are
/// answered, and alone: if an earlier answer closes the connection, the caller sends it again.
class request_pipeline {
public:
    using number = std::uint64_t; ///< counts the requests of a connection, from 0

    explicit request_pipeline(pipeline_settings settings);

    /// Adds a request that has been read.
    number add(bool repeatable);
    /// Adds a request that is answered in turn without running.
    number add_answered();
    /// Marks the next request that may run as started. Returns its number, or nullopt if there is
    /// none. While the host is `stopping`, only the first of all may start: those behind it are
    /// dropped with the connection.
    [[nodiscard]] std::optional<number> start_next(bool stopping);
    void on_ended(number one);
    /// Whether the answer of the first request can be sent.
    [[nodiscard]] bool has_answer() const;
    /// Number of the first request. Requires that there is one.
    [[nodiscard]] number first() const;
    /// Removes the first request after its answer was sent.
    void on_answered();
    /// Whether a request behind the first one has started, so that the connection stays open for
    /// its answer.
    [[nodiscard]] bool has_started_behind_first() const;
    [[nodiscard]] bool is_full() const;
    [[nodiscard]] bool is_empty() const;

private:
    struct entry {
        bool repeatable = false;
        bool started = false;
        bool ended = false;
    };

    pipeline_settings settings;
    std::deque<entry> entries;
    number first_number = 0;
};

} // namespace figreach::direct
