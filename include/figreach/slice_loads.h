#pragma once

#include <map>
#include <vector>

#include "figreach/partition.h"
#include "figreach/peer_message.h"
#include "figreach/time.h"

namespace figreach {

/// What is known of the load of one slice.
struct slice_estimate {
    key_hash first = 0;
    key_hash last = 0;
    std::uint32_t owner = 0;
    double requests_per_second = 0.0;
    bool measured = false; ///< false: carried over from the slices that held its keys before
    /// Splits in a row after which this slice still had nearly the whole load: a single hot key.
    std::uint32_t concentrated_splits = 0;
    double load_before_split = 0.0; ///< of the slice that this one was split from
    monotonic_time since{};         ///< when the slice was first seen with this range and owner
    monotonic_time measured_at{};   ///< arrival of the last report that counted
};

/// Load of the slices of one partition, from the reports of coordinators. A slice that was split,
/// merged or moved keeps the load of its range until its owner's reports cover it again.
class slice_loads {
public:
    /// A report counts for a slice when it arrives this long after the slice was first seen.
    explicit slice_loads(milliseconds settling_time, milliseconds report_lifetime);

    void on_report(const load_report& report, monotonic_time now);

    /// One estimate for each slice of the document, in its order.
    [[nodiscard]] const std::vector<slice_estimate>& update(const partition& present,
                                                            monotonic_time now);

    /// The newest condition of a server; `serving` without a report that still counts.
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
