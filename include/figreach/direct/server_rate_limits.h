#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "figreach/direct/server_entry.h"
#include "figreach/ids.h"
#include "figreach/time.h"

namespace figreach::direct {

struct rate_limit_settings {
    /// Requests of this time may follow each other without a pause.
    std::chrono::duration<double> burst{1.0};
    /// As `burst`, for a limit that has just become known: another host may have sent until now.
    std::chrono::duration<double> first_burst{0.25};
    /// Lower bound of the rate, so that a server can report that its limit has ended.
    double min_rate = 0.25;
    milliseconds max_return_delay{1000}; ///< latest time that a refused request is told
    /// For this long the end of a limit is still reported to other hosts.
    milliseconds ended_retention{5000};
};

/// Request rates that backend servers accept from all hosts together, as learned from their answers
/// by this host or by others. A limit holds until a later answer names another one or none.
///
/// All requests to a limited server are sent by one host, which counts them in a token bucket here.
class server_rate_limits {
public:
    explicit server_rate_limits(rate_limit_settings settings);

    /// Records what an answer received now says; an empty rate means no limit. Returns whether the
    /// limit changed.
    bool on_answer(const backend_server_id& id, std::optional<double> rate, monotonic_time now);
    /// Merges what another host learned. It is ignored if it is older than what is known. Returns
    /// whether the limit changed.
    bool merge(const rate_limit_report& report, monotonic_time now);
    /// Forgets servers for which `is_known` returns false and limits that ended long ago.
    template <class Predicate>
    void prune(Predicate is_known, monotonic_time now)
    {
        std::erase_if(this->limits, [&](const auto& item) {
            const bool ended =
                !item.second.rate && now - item.second.stated_at >= this->settings.ended_retention;
            return ended || !is_known(item.first);
        });
    }

    /// Requests per second that all hosts together may send; empty if unlimited.
    [[nodiscard]] std::optional<double> rate_of(const backend_server_id& id) const;
    /// Time until this host may send the next request to the server; 0 if it may send now.
    [[nodiscard]] milliseconds delay(const backend_server_id& id, monotonic_time now) const;
    /// Counts a request that this host sends.
    void on_sent(const backend_server_id& id, monotonic_time now);
    /// Returns when to come back with a request that is refused because of delay(). Successive
    /// calls return successive times at the rate of the server.
    [[nodiscard]] milliseconds next_return(const backend_server_id& id, monotonic_time now);
    /// The host that sends to the server has refused a request for this time. Requests are held
    /// off until the server accepts the next one.
    void hold_off(const backend_server_id& id, milliseconds time, monotonic_time now);
    /// Time for which that host refuses requests, as far as known.
    [[nodiscard]] milliseconds held_off_for(const backend_server_id& id, monotonic_time now) const;
    /// Number of servers that name a limit.
    [[nodiscard]] std::size_t count() const;
    /// All known limits, and those that ended recently.
    [[nodiscard]] std::vector<rate_limit_report> reports(monotonic_time now) const;
    /// Those of them that this host itself has received since the last call.
    [[nodiscard]] std::vector<rate_limit_report> take_own_reports(monotonic_time now);

private:
    struct limit {
        std::optional<double> rate;
        monotonic_time stated_at{}; ///< when the server sent its latest answer about it
        bool unshared = false;      ///< received by this host and not yet shared with others
        double tokens = 1.0;        ///< requests that may be sent, as of `counted_at`
        monotonic_time counted_at{};
        monotonic_time next_return{}; ///< time told to the next refused request
        monotonic_time held_off_until{};
    };

    bool update(const backend_server_id& id, std::optional<double> rate, monotonic_time stated_at,
                bool own);
    [[nodiscard]] double effective_rate(const limit& known) const;
    [[nodiscard]] double tokens_of(const limit& known, monotonic_time now) const;
    [[nodiscard]] static rate_limit_report report_of(const backend_server_id& id,
                                                     const limit& known, monotonic_time now);

    rate_limit_settings settings;
    std::map<backend_server_id, limit> limits;
};

} // namespace figreach::direct
