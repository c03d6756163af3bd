#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "figreach/direct/crash_report.h"
#include "figreach/time.h"

namespace figreach::direct {

struct crash_record_settings {
    milliseconds min_interval{1'000}; ///< between two writes
    /// After which an unchanged record is written again, so that its ages advance although hosts
    /// are restarted again and again.
    milliseconds refresh_interval{10'000};
};

/// Decides when a leader writes the record of requests that crash backend servers to the store.
class crash_record_schedule {
public:
    explicit crash_record_schedule(crash_record_settings settings);

    /// A term begins. Unless there is nothing to record, its first write is due at once.
    void start_term();
    /// The store holds this record of another term.
    void on_stored(const std::vector<crash_report>& reports);
    /// Whether `wanted` has to be written now. If so, its write counts as begun.
    [[nodiscard]] bool try_begin(const std::vector<crash_report>& wanted, monotonic_time now);
    void on_written(const std::vector<crash_report>& reports);
    /// The write failed, or its outcome is unknown.
    void on_not_written();

private:
    /// What distinguishes two records, regardless of their ages.
    using content = std::map<request_digest, std::set<server_lifetime>>;

    [[nodiscard]] static content content_of(const std::vector<crash_report>& reports);

    crash_record_settings settings;
    std::optional<content> stored = content{}; ///< nullopt if unknown
    std::optional<monotonic_time> begun_at;    ///< the last write of this term
    bool writing = false;
};

} // namespace figreach::direct
