#pragma once

#include <map>
#include <optional>
#include <vector>

#include "figreach/direct/server_entry.h"
#include "figreach/direct/server_lifetime.h"
#include "figreach/time.h"

namespace figreach::direct {

struct directory_settings {
    /// Entries that lapsed during a store outage, or that a restored store lacks, are back within
    /// about 2 s.
    milliseconds return_grace{2500};
    /// An entry lapses after three report intervals without a report, and the last report came up
    /// to one interval before the outage. No entry lapses during a shorter outage.
    milliseconds min_outage{2000};
    /// How long a record is kept after its entry ended, so that its keys can still be handed over.
    /// Longer than the platform lets a leaving server run.
    milliseconds forget_after{15000};
    /// A longer cold time in an answer is believed for this long. The server can say so again.
    milliseconds longest_cold{60000};
};

/// State of one backend server according to service discovery.
struct server_record {
    server_entry entry;
    monotonic_time cold_until{};                 ///< according to its entry
    monotonic_time said_cold_until{};            ///< according to its answers
    std::optional<monotonic_time> leaving_since; ///< it announced leaving or its entry ended
    bool said_leaving = false; ///< in an answer; no entry of the same lifetime takes that back
    std::optional<monotonic_time> ended_at;      ///< its entry ended
    std::optional<monotonic_time> missing_since; ///< its entry may have lapsed and come back
    /// A later server has registered its address, and it has not reported since.
    bool address_claimed = false;
};

[[nodiscard]] bool is_cold(const server_record& record, monotonic_time now);

/// Effect of one entry on the directory.
enum class directory_change { stale, added, restarted, leaving, updated };

/// The backend servers of all services. Accepts entries in any order: an older report of the same
/// lifetime or a report of an earlier lifetime has no effect.
class server_directory {
public:
    using servers = std::map<backend_server_id, server_record>;

    explicit server_directory(directory_settings settings);

    directory_change apply(const server_entry& entry, monotonic_time now);
    /// Records what a server has said in an answer. Returns whether it was not known; it is ignored
    /// unless it concerns the known lifetime.
    bool record_leaving(const leaving_report& report, monotonic_time now);
    /// Records for how long a server stays cold, as it has said in an answer. Returns whether it
    /// did not count as cold; it is ignored unless it concerns the known lifetime.
    bool record_cold(const server_lifetime& server, milliseconds cold_for, monotonic_time now);
    /// Servers that have said so in an answer and whose entries do not show it yet.
    [[nodiscard]] std::vector<leaving_report> leaving_reports(monotonic_time now) const;
    /// Removes the entries that ended in one batch of changes.
    void remove(const std::vector<backend_server_id>& ended, monotonic_time now);
    /// Handles the return of the store after an outage of length `away`, after which missing
    /// entries may come back.
    void on_store_reconnected(milliseconds away, monotonic_time now);
    /// Begins a grace period in which missing entries may come back.
    void expect_return(monotonic_time now);
    /// As expect_return(), for a period of which another host says that it lasts that much longer.
    void expect_return_within(milliseconds left, monotonic_time now);
    /// What is left of the grace period; zero if there is none.
    [[nodiscard]] milliseconds return_time_left(monotonic_time now) const;
    /// Ends entries whose grace period has passed and drops old records.
    void on_tick(monotonic_time now);

    [[nodiscard]] const servers& all() const;
    /// Returns null if the server is not known.
    [[nodiscard]] const server_record* find(const backend_server_id& id) const;
    /// Returns null unless this process of the server is the known one.
    [[nodiscard]] const server_record* find_lifetime(const server_lifetime& server) const;

private:
    void end(server_record& record, monotonic_time now);
    void end_previous_at_address(const server_entry& entry, monotonic_time now);

    directory_settings settings;
    servers known;
    monotonic_time grace_until{};
};

} // namespace figreach::direct
