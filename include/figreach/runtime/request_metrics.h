#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/make_histogram.hpp>

#include "figreach/error_kind.h"
#include "figreach/ids.h"
#include "figreach/time.h"

namespace figreach {

/// How a request was answered: the HTTP status of a backend server, or an error of this host.
using request_result = std::variant<unsigned, error_kind>;

using latency_axis = boost::histogram::axis::variable<double>;
using latency_counts = decltype(boost::histogram::make_histogram(latency_axis{0.0, 1.0}));
using latency_summary = boost::accumulators::accumulator_set<
    double,
    boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum,
                               boost::accumulators::tag::max>>;

/// Latencies of one request class of one tenant, in seconds.
struct class_latency {
    class_latency();

    void add(double latency_seconds);
    void add(const class_latency& other);
    [[nodiscard]] std::uint64_t count() const;
    [[nodiscard]] double sum() const;
    [[nodiscard]] double max() const;

    latency_counts buckets;
    latency_summary summary;
    /// Totals of the objects that were added; accumulator sets cannot be merged.
    std::uint64_t other_count = 0;
    double other_sum = 0.0;
    double other_max = 0.0;
};

/// Counts and latencies of the requests of one request thread. Only that thread records; any thread
/// may read the totals, which blocks the recording thread only briefly.
class request_metrics {
public:
    using class_key = std::pair<tenant_id, class_id>;

    struct totals {
        std::map<unsigned, std::uint64_t> answers;    ///< by HTTP status
        std::map<error_kind, std::uint64_t> refusals; ///< by kind
        std::map<class_key, class_latency> latencies; ///< of answered requests
    };

    /// `tenant` and `request_class` are empty if the request was refused before they were known.
    void record(const tenant_id& tenant, const class_id& request_class,
                const request_result& result, nanoseconds latency);

    /// Adds the totals of this thread to `out`.
    void add_to(totals& out) const;

private:
    mutable std::mutex mutex;
    totals counts;
};

/// Upper bounds of the latency histogram buckets, in seconds.
[[nodiscard]] const std::vector<double>& latency_bounds();

} // namespace figreach
