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

struct backend_settings {
    std::string name;
    std::string address;
    bool checks_fences = true;
    std::uint32_t slots = 4;
    milliseconds service_time{2};
    std::size_t max_executions = 200000; ///< older ones are dropped and counted
};

/// One request that this backend server ran.
struct execution {
    std::string request_id;
    std::string idempotency_key;
    std::string key;
    std::string method;
    std::uint64_t fence = 0;
    monotonic_time started_at{};
    monotonic_time ended_at{}; ///< zero while it runs or when it was cancelled
};

/// What a request carries that decides whether it may run.
struct incoming_request {
    std::string request_id;
    std::string idempotency_key;
    std::string key;
    std::string method;
    std::uint64_t fence = 0;
};

/// Faults that are switched on and off while the backend server runs.
struct backend_faults {
    milliseconds cold_ramp{0}; ///< zero: full capacity at once
    double shedding = 0.0;     ///< share of requests refused
    double slow_factor = 1.0;
    milliseconds load_lag{0}; ///< age that the reported load may have
    bool leaving = false;
    bool frozen = false;
};

/// The state of one backend server without its sockets: grant, faults and records.
class backend_state {
public:
    explicit backend_state(backend_settings settings);

    [[nodiscard]] grant_answer handle_grant(const grant& new_grant, monotonic_time now);

    /// Empty: the request runs, and finish() must follow. Else why it is refused before it runs.
    [[nodiscard]] std::optional<error_kind> start(const incoming_request& request,
                                                  monotonic_time now);
    /// The number of the execution that start() began last.
    [[nodiscard]] std::uint64_t last_started() const;
    void finish(std::uint64_t number, monotonic_time now, bool cancelled);

    /// Applies a fault order; false when it is malformed, and then nothing changed.
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
    void lose_state(monotonic_time now);
    void count_arrival(monotonic_time now);

    backend_settings settings;
    backend_faults faults;
    grant current_grant;
    monotonic_time granted_until{};
    std::map<std::uint64_t, monotonic_time> answer_times; ///< by sequence, of the present term
    monotonic_time cold_since{};
    monotonic_time leaving_since{};
    std::uint64_t current_incarnation = 1;
    std::uint32_t in_flight = 0;
    std::uint32_t last_reported_load = 0;
    monotonic_time load_reported_at{};
    double shed_accumulator = 0.0;

    std::deque<execution> records;
    std::uint64_t first_execution = 0; ///< number of records.front()
    std::uint32_t most_concurrent = 0;
    std::uint64_t over_slots = 0;
    std::uint64_t cold_violations = 0;
    std::uint64_t late_arrivals = 0; ///< came long after this server began to leave
    std::uint64_t refused = 0;
    std::uint64_t cancelled_count = 0;
    std::uint64_t grants_accepted = 0;
};

} // namespace figreach::standin
