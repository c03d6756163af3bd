#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include <boost/json/object.hpp>

#include "figreach/error_kind.h"
#include "figreach/grant.h"
#include "figreach/time.h"

namespace figreach::standin {

/// Settings of a stand-in backend server.
struct backend_settings {
    std::string name;
    std::string address;
    bool checks_fences = true;
    std::uint32_t slots = 4; ///< requests that may run concurrently
    milliseconds service_time{2};
    std::size_t max_executions = 200000; ///< older records are dropped and counted
};

/// One request that this backend server has started.
struct execution {
    std::string request_id;
    std::string idempotency_key;
    std::string key;
    std::string method;
    std::uint64_t fence = 0;
    monotonic_time started_at{};
    monotonic_time ended_at{}; ///< zero while running or if cancelled
};

/// The headers of a request that decide whether it may run.
struct incoming_request {
    std::string request_id;
    std::string idempotency_key;
    std::string key;
    std::string method;
    std::uint64_t fence = 0;
};

/// Faults that can be changed while the backend server runs.
struct backend_faults {
    milliseconds cold_ramp{0}; ///< time until a cold server has full capacity; zero: at once
    double shedding = 0.0;     ///< fraction of requests refused as overloaded
    double slow_factor = 1.0;  ///< multiplies the service time
    milliseconds load_lag{0};  ///< interval between updates of the reported load
    bool leaving = false;
    bool frozen = false; ///< neither starts nor answers requests
};

/// State of one backend server, independent of sockets: grant, faults and records.
class backend_state {
public:
    explicit backend_state(backend_settings settings);

    /// Accepts a grant of a higher term, or of the same term with a higher sequence.
    [[nodiscard]] grant_answer handle_grant(const grant& new_grant, monotonic_time now);

    /// Starts a request. Empty if it runs, in which case finish() must follow; otherwise the reason
    /// for which it is refused without running.
    [[nodiscard]] std::optional<error_kind> start(const incoming_request& request,
                                                  monotonic_time now);
    /// Number of the execution that start() recorded last.
    [[nodiscard]] std::uint64_t last_started() const;
    void finish(std::uint64_t number, monotonic_time now, bool cancelled);

    /// Applies the faults given in `fields`. False if a field is malformed; nothing is changed
    /// then.
    [[nodiscard]] bool set_faults(const boost::json::object& fields, monotonic_time now);

    [[nodiscard]] bool frozen() const;
    [[nodiscard]] std::uint64_t incarnation() const;
    [[nodiscard]] milliseconds service_time() const;
    [[nodiscard]] const std::string& name() const;
    [[nodiscard]] boost::json::object counts() const;
    [[nodiscard]] boost::json::object executions() const;

private:
    [[nodiscard]] bool is_granted(const incoming_request& request, monotonic_time now) const;
    [[nodiscard]] std::uint32_t capacity(monotonic_time now) const;
    [[nodiscard]] bool is_cold(monotonic_time now) const;
    [[nodiscard]] bool should_shed();
    [[nodiscard]] std::uint32_t reported_load(monotonic_time now);
    void accept(const grant& new_grant, monotonic_time now);
    /// Starts a new incarnation without a grant; its cold ramp begins at `now`.
    void lose_state(monotonic_time now);
    void count_arrival(monotonic_time now);

    backend_settings settings;
    backend_faults faults;
    grant current_grant;
    monotonic_time granted_until{};
    std::map<std::uint64_t, monotonic_time> answer_times; ///< by sequence, of the current term
    monotonic_time cold_since{};
    monotonic_time leaving_since{};
    std::uint64_t current_incarnation = 1;
    std::uint32_t in_flight = 0;
    std::uint32_t last_reported_load = 0;
    monotonic_time load_reported_at{};
    double shed_accumulator = 0.0;

    std::deque<execution> records;
    std::uint64_t first_execution = 0; ///< number of records.front()
    std::uint32_t most_concurrent = 0; ///< including refused arrivals
    std::uint64_t over_slots = 0;      ///< arrivals while all slots were in use
    std::uint64_t cold_violations = 0; ///< requests beyond the capacity of a cold server
    std::uint64_t late_arrivals = 0;   ///< arrivals later than the grace period after leaving began
    std::uint64_t refused = 0;
    std::uint64_t cancelled_count = 0;
    std::uint64_t grants_accepted = 0;
};

} // namespace figreach::standin
