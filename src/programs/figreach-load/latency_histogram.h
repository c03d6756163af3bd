#pragma once

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/make_histogram.hpp>

#include "figreach/time.h"

namespace figreach::load {

/// Histogram of latencies from 10 microseconds to 100 seconds in logarithmic bins 1.6 % wide.
/// Latencies outside that range are clamped to it.
class latency_histogram {
public:
    void add(nanoseconds latency);
    void merge(const latency_histogram& other);
    /// Upper edge of the bin that contains the quantile `fraction`; zero if the histogram is empty.
    [[nodiscard]] nanoseconds quantile(double fraction) const;

private:
    static constexpr unsigned bins = 1000;
    static constexpr double min_latency_ms = 0.01;
    static constexpr double max_latency_ms = 100000.0;

    using log_axis =
        boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using counts = decltype(boost::histogram::make_histogram(log_axis{}));

    counts data = boost::histogram::make_histogram(log_axis{bins, min_latency_ms, max_latency_ms});
};

} // namespace figreach::load
