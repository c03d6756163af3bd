#pragma once

#include <map>
#include <vector>

#include "figreach/partition.h"
#include "figreach/peer_message.h"
#include "figreach/time.h"

namespace figreach {

/// Load estimate of one slice.
struct slice_estimate {
    key_hash first = 0;
    key_hash last = 0;
    std::uint32_t owner = 0;
    double requests_per_second = 0.0;
    bool measured = false; ///< false if carried over from the slices that covered its range before
    /// Consecutive splits after which this slice still had nearly the whole load, which indicates a
    /// single hot key.
    std::uint32_t concentrated_splits = 0;
    double load_before_split = 0.0; ///< of the slice this one was split from
    monotonic_time since{};         ///< when first seen; zero for the first document
    monotonic_time measured_at{};   ///< arrival of the last report applied
};

/// Estimates the load of the slices of one partition from coordinators' reports. A slice that was
/// split, merged or moved keeps the load of its range until its owner's reports cover it.
class slice_loads {
public:
    /// A report is applied to a slice if it arrives at least `settling_time` after the slice was
    /// first seen. Conditions expire after `report_lifetime`.
    explicit slice_loads(milliseconds settling_time, milliseconds report_lifetime);

    void on_report(const load_report& report, monotonic_time now);

    /// Returns one estimate per slice of the document, in document order.
    [[nodiscard]] const std::vector<slice_estimate>& update(const partition& present,
                                                            monotonic_time now);

    /// Returns the last reported condition of a server, or `serving` if no report is recent enough.
    [[nodiscard]] server_condition condition(const backend_server_id& server,
                                             monotonic_time now) const;

private:
    struct received_report {
        std::map<key_hash, double> rates;
        server_condition condition = server_condition::serving;
        monotonic_time received_at{};
    };

    [[nodiscard]] slice_estimate carry_over(const partition& present, std::size_t index,
                                            monotonic_time now) const;
    void inherit_split_history(slice_estimate& part) const;
    [[nodiscard]] double previous_load(key_hash first, key_hash last) const;
    void measure(slice_estimate& estimate, const received_report& report) const;

    milliseconds settling_time;
    milliseconds report_lifetime;
    std::map<backend_server_id, received_report> reports;
    std::vector<slice_estimate> estimates;
};

} // namespace figreach
