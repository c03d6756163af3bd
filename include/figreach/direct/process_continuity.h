#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <string>

#include "figreach/time.h"

namespace figreach::direct {

/// Tells whether a connection leads to the process that listened at an address at an earlier time.
/// A connection ends with its process, so one that was established at one time and answers a
/// request sent later proves that the same process was there from the one time to the other. Spans
/// that overlap belong to one process. All times include time spent suspended.
class process_continuity {
public:
    /// A connection established at `connected_at` has answered a request sent at `sent_at`.
    void record_answer(const std::string& address, monotonic_time connected_at,
                       monotonic_time sent_at);
    /// Whether the process behind a connection established at `connected_at` is known to have
    /// started before `time`. A connection established by then needs no other proof.
    [[nodiscard]] bool has_run_since(const std::string& address, monotonic_time time,
                                     monotonic_time connected_at) const;
    /// Number of addresses about which something is known.
    [[nodiscard]] std::size_t size() const { return this->spans.size(); }
    /// Drops what is known about addresses other than those in use.
    void prune(const std::function<bool(const std::string&)>& is_used);

private:
    /// Times between which one process is known to have run.
    struct span {
        monotonic_time from;
        monotonic_time until;
    };

    std::map<std::string, span> spans;
};

} // namespace figreach::direct
