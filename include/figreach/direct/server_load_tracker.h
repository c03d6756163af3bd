#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "figreach/direct/server_entry.h"
#include "figreach/direct/service_time_sample.h"
#include "figreach/time.h"

namespace figreach::direct {

struct load_tracker_settings {
    milliseconds report_max_age{1000};      ///< age from which a load report is ignored
    milliseconds idle_report_interval{500}; ///< between news of a server with free slots
    milliseconds answered_lately{2000};     ///< age of a report that shows that a server is up
    milliseconds report_propagation{300};   ///< time until other hosts' reports arrive
    milliseconds avoid_unreachable{500};    ///< after a failed connection attempt
    milliseconds assumed_service_time{100}; ///< until the first answer
    double smoothing_weight = 0.1;          ///< weight of one answer in the moving average
    double failure_cost = 2.0;              ///< cost of one recent failure, in requests per slot
    milliseconds failure_decay_time{2000};  ///< time in which the weight of a failure drops to 1/e
    milliseconds full_queue_max_age{5000};  ///< for which full_queue_length is used
    std::uint32_t min_full_queue{2}; ///< per slot; refusals by shorter queues have other causes
};

/// Outcome of one send to a backend server, as far as the server's load is concerned.
enum class send_outcome : std::uint8_t {
    answered,    ///< the server processed the request
    shed,        ///< refused before the request ran
    failed,      ///< connection lost, malformed answer or server error
    unreachable, ///< the connection could not be made
    late,        ///< the deadline passed first
    cancelled,   ///< the caller left
};

/// Load of one backend server as known to this host.
struct server_load_view {
    std::uint32_t in_flight = 0;         ///< requests of this host in flight
    std::uint32_t sent_since_report = 0; ///< requests of this host not included in the report
    std::optional<load_report> report;
    monotonic_time reported_at{};
    bool report_unshared = false;     ///< received by this host and not yet shared with others
    std::uint64_t news_number = 0;    ///< number of the last report that counted as news; 0: none
    monotonic_time news_at{};         ///< when that report was made
    bool news_of_queue = false;       ///< whether all slots were in use in it
    std::deque<monotonic_time> sends; ///< recent sends, compared with reports from other hosts
    /// Number of waiting requests when the server last turned a request away.
    std::optional<std::uint32_t> full_queue_length;
    monotonic_time full_seen_at{};
    std::optional<milliseconds> service_time; ///< moving average without a queue
    double failures = 0.0;                    ///< recent failures, exponentially decayed
    monotonic_time failed_at{};
    monotonic_time unreachable_until{};
    std::optional<monotonic_time> last_sent_at;
};

/// Tracks the load of all backend servers as seen by one host.
class server_load_tracker {
public:
    explicit server_load_tracker(load_tracker_settings settings);

    void on_sent(const backend_server_id& id, monotonic_time now);
    /// `latency` is the time since the send.
    void on_finished(const backend_server_id& id, send_outcome outcome, nanoseconds latency,
                     const std::optional<load_report>& report, monotonic_time now);
    /// Returns the response times without a queue observed since the last call. They include
    /// periods in which the server was slow.
    [[nodiscard]] std::vector<service_time_sample> take_service_times();

    /// Merges a report received by another host. It is ignored if it is older than the known one.
    void merge(const server_load& load, monotonic_time now);
    /// When a server last answered another host, as far as known; empty if never.
    [[nodiscard]] std::optional<monotonic_time> last_answer_to_others() const;
    /// Returns the reports that have not expired and were news after the cursor. Each report of a
    /// server without a free slot is news, and so is the first one after it.
    [[nodiscard]] std::vector<server_load> reports(monotonic_time now,
                                                   std::uint64_t after = 0) const;
    /// The cursor after all reports known so far.
    [[nodiscard]] std::uint64_t report_cursor() const;
    /// Returns those of them that this host itself has received since the last call.
    [[nodiscard]] std::vector<server_load> take_own_reports(monotonic_time now);

    [[nodiscard]] const server_load_view& view(const backend_server_id& id) const;
    /// Estimates how long a request sent now waits for a free slot.
    [[nodiscard]] milliseconds expected_wait(const backend_server_id& id, std::uint32_t slots,
                                             monotonic_time now) const;
    /// Length of the queue relative to the one with which the server last turned a request away; 0
    /// if it has not done so lately.
    [[nodiscard]] double queue_fill(const backend_server_id& id, std::uint32_t slots,
                                    monotonic_time now) const;
    /// Expected service time at the server's current speed.
    [[nodiscard]] milliseconds expected_service_time(const backend_server_id& id,
                                                     monotonic_time now) const;
    /// Cost for choosing among servers; lower is better.
    [[nodiscard]] double cost(const backend_server_id& id, std::uint32_t slots,
                              monotonic_time now) const;
    [[nodiscard]] bool is_reachable(const backend_server_id& id, monotonic_time now) const;
    /// Whether the server has answered this host or another one within the last moments.
    [[nodiscard]] bool answered_lately(const backend_server_id& id, monotonic_time now) const;

private:
    void update_service_time(const backend_server_id& id, nanoseconds latency, double slowdown);
    void add_service_time(const backend_server_id& id, nanoseconds latency);
    void record_news(server_load_view& view);
    void update_queue_limit(server_load_view& view, bool turned_away, monotonic_time now) const;
    [[nodiscard]] server_load load_of(const backend_server_id& id, const server_load_view& view,
                                      monotonic_time now) const;
    static void merge_full_queue(server_load_view& view, const server_load& load,
                                 monotonic_time now);
    [[nodiscard]] const load_report* fresh_report(const server_load_view& view,
                                                  monotonic_time now) const;
    [[nodiscard]] double requests_ahead(const server_load_view& view, std::uint32_t slots,
                                        milliseconds service_time, monotonic_time now) const;
    [[nodiscard]] double recent_failures(const server_load_view& view, monotonic_time now) const;

    load_tracker_settings settings;
    std::map<backend_server_id, server_load_view> views;
    std::map<backend_server_id, service_time_sample> service_times;
    std::optional<monotonic_time> last_merged; ///< newest report of another host
    std::uint64_t last_news = 0;               ///< numbers reports that are news
};

/// Returns when a host may send its next request to a cold backend server, so that all hosts
/// together stay within `rate` requests per second in every second. Empty if other hosts send to
/// this server instead.
[[nodiscard]] std::optional<monotonic_time> next_cold_send(const backend_server_id& id,
                                                           const server_load_view& view,
                                                           double rate, const host_id& self,
                                                           const std::vector<host_id>& hosts);

/// Returns the index of the cheaper of two random candidates, or an empty optional if there are no
/// candidates.
[[nodiscard]] std::optional<std::size_t> cheaper_of_two(const std::vector<double>& costs,
                                                        std::uint64_t& random_state);

} // namespace figreach::direct
