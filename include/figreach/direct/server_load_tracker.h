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
    milliseconds report_max_age{1000};      ///< after which a load report says nothing any more
    milliseconds report_propagation{300};   ///< in which hosts hear of each other's reports
    milliseconds avoid_unreachable{500};    ///< after a connection could not be made
    milliseconds assumed_service_time{100}; ///< assumed before the first answer
    double smoothing_weight = 0.1;          ///< of one answer in the smoothed duration of work
    double failure_cost = 2.0;              ///< of one recent failure, in requests for each slot
    milliseconds failure_decay_time{2000};  ///< after which a failure counts 1/e
    milliseconds full_queue_max_age{5000};  ///< of the length at which a queue was full
    std::uint32_t min_full_queue{2};        ///< for each slot; refusals at less have other causes
};

/// How one send to a backend server ended, as far as its load is concerned.
enum class send_outcome : std::uint8_t {
    answered,    ///< with an answer that the server's work made
    shed,        ///< refused before it ran
    failed,      ///< lost, malformed or an error of the server
    unreachable, ///< no connection
    late,        ///< the deadline passed first
    cancelled,   ///< the caller left
};

/// What this host knows of the load of one backend server.
struct server_load_view {
    std::uint32_t in_flight = 0;         ///< requests of this host
    std::uint32_t sent_since_report = 0; ///< requests of this host that the report lacks
    std::optional<load_report> report;
    monotonic_time reported_at{};
    bool report_unshared = false;     ///< seen by this host and not yet told to others
    std::deque<monotonic_time> sends; ///< recent ones, for reports that others have seen
    std::optional<std::uint32_t>
        full_queue_length; ///< requests that waited when the server turned one away
    monotonic_time full_seen_at{};
    std::optional<milliseconds> work; ///< smoothed duration of work without a queue
    double failures = 0.0;            ///< recent ones, fading
    monotonic_time failed_at{};
    monotonic_time unreachable_until{};
    std::optional<monotonic_time> cold_sent_at; ///< last send while it was cold
};

/// The views of all backend servers at one host.
class server_load_tracker {
public:
    explicit server_load_tracker(load_tracker_settings settings);

    void on_sent(const backend_server_id& id, bool cold, monotonic_time now);
    /// `latency` counts from the send.
    void on_finished(const backend_server_id& id, send_outcome outcome, nanoseconds latency,
                     const std::optional<load_report>& report, monotonic_time now);
    /// Response times without a queue that were seen since the last call, slow moments included.
    [[nodiscard]] std::vector<service_time_sample> take_service_times();

    /// A report that another host has seen; an older one than the known one is ignored.
    void merge(const server_load& load, monotonic_time now);
    /// Reports that are still of use.
    [[nodiscard]] std::vector<server_load> reports(monotonic_time now) const;
    /// Of these, those that this host has seen itself since the last call.
    [[nodiscard]] std::vector<server_load> take_own_reports(monotonic_time now);

    [[nodiscard]] const server_load_view& view(const backend_server_id& id) const;
    /// How long a request that is sent now waits until a slot is free, as far as is known.
    [[nodiscard]] milliseconds expected_wait(const backend_server_id& id, std::uint32_t slots,
                                             monotonic_time now) const;
    /// Whether the queue is as long as it was when the server last turned a request away.
    [[nodiscard]] bool is_full(const backend_server_id& id, std::uint32_t slots,
                               monotonic_time now) const;
    /// Expected duration of work at this moment.
    [[nodiscard]] milliseconds expected_work(const backend_server_id& id, monotonic_time now) const;
    /// For the choice among servers: lower is better.
    [[nodiscard]] double cost(const backend_server_id& id, std::uint32_t slots,
                              monotonic_time now) const;
    [[nodiscard]] bool is_reachable(const backend_server_id& id, monotonic_time now) const;

private:
    void update_service_time(const backend_server_id& id, nanoseconds latency, double slowdown);
    void add_service_time(const backend_server_id& id, nanoseconds latency);
    void update_queue_limit(server_load_view& view, bool turned_away, monotonic_time now) const;
    [[nodiscard]] static server_load load_of(const backend_server_id& id,
                                             const server_load_view& view, monotonic_time now);
    [[nodiscard]] const load_report* fresh_report(const server_load_view& view,
                                                  monotonic_time now) const;
    [[nodiscard]] double requests_ahead(const server_load_view& view, std::uint32_t slots,
                                        milliseconds work, monotonic_time now) const;
    [[nodiscard]] double recent_failures(const server_load_view& view, monotonic_time now) const;

    load_tracker_settings settings;
    std::map<backend_server_id, server_load_view> views;
    std::map<backend_server_id, service_time_sample> service_times;
};

/// When a host may send its next request to a cold backend server, so that all hosts together stay
/// within `rate` requests per second in every second. Nothing: another host may, this one never.
[[nodiscard]] std::optional<monotonic_time> next_cold_send(const backend_server_id& id,
                                                           const server_load_view& view,
                                                           double rate, const host_id& self,
                                                           const std::vector<host_id>& hosts);

/// Index of the cheapest of two random candidates that are not ruled out; empty: none is left.
[[nodiscard]] std::optional<std::size_t> cheaper_of_two(const std::vector<double>& costs,
                                                        std::uint64_t& random_state);

} // namespace figreach::direct
