#include "latency_histogram.h"

#include <algorithm>

#include <boost/histogram/algorithm/sum.hpp>

namespace figreach::load {

namespace {

using float_ms = std::chrono::duration<double, std::milli>;

} // namespace

void latency_histogram::add(nanoseconds latency)
{
    this->data(std::clamp(float_ms{latency}.count(), min_latency_ms, max_latency_ms));
}

void latency_histogram::merge(const latency_histogram& other)
{
    this->data += other.data;
}

nanoseconds latency_histogram::quantile(double fraction) const
{
    const double wanted = boost::histogram::algorithm::sum(this->data) * fraction;
    double seen = 0.0;
    const auto& axis = this->data.axis();
    for (int i = 0; i < axis.size(); ++i) {
        seen += this->data.at(i);
        if (seen > 0.0 && seen >= wanted) {
            return std::chrono::duration_cast<nanoseconds>(float_ms{axis.bin(i).upper()});
        }
    }
    return nanoseconds{0};
}

} // namespace figreach::load
