#include "figreach/runtime/request_metrics.h"

#include <algorithm>

namespace figreach {

namespace accumulate = boost::accumulators;

const std::vector<double>& latency_bounds()
{
    static const std::vector<double> bounds{0.0005, 0.001, 0.0015, 0.002, 0.003, 0.005, 0.0075,
                                            0.01,   0.015, 0.02,   0.03,  0.05,  0.075, 0.1,
                                            0.2,    0.5,   1.0,    2.0,   5.0,   10.0,  30.0};
    return bounds;
}

namespace {

latency_axis make_axis()
{
    std::vector<double> edges{0.0};
    edges.insert(edges.end(), latency_bounds().begin(), latency_bounds().end());
    return latency_axis(edges.begin(), edges.end());
}

} // namespace

class_latency::class_latency() : buckets{boost::histogram::make_histogram(make_axis())} {}

void class_latency::add(double latency_seconds)
{
    this->buckets(latency_seconds);
    this->summary(latency_seconds);
}

void class_latency::add(const class_latency& other)
{
    this->buckets += other.buckets;
    this->other_count += other.count();
    this->other_sum += other.sum();
    this->other_max = std::max(this->other_max, other.max());
}

std::uint64_t class_latency::count() const
{
    return accumulate::count(this->summary) + this->other_count;
}

double class_latency::sum() const
{
    return accumulate::sum(this->summary) + this->other_sum;
}

double class_latency::max() const
{
    const bool any = accumulate::count(this->summary) > 0;
    return any ? std::max(accumulate::max(this->summary), this->other_max) : this->other_max;
}

void request_metrics::record(const tenant_id& tenant, const class_id& request_class,
                             const request_result& result, nanoseconds latency)
{
    const std::lock_guard lock{this->mutex};
    if (const auto* kind = std::get_if<error_kind>(&result)) {
        ++this->counts.refusals[*kind];
        return;
    }
    ++this->counts.answers[std::get<unsigned>(result)];
    const std::chrono::duration<double> seconds_taken = latency;
    this->counts.latencies[{tenant, request_class}].add(seconds_taken.count());
}

void request_metrics::add_to(totals& out) const
{
    const std::lock_guard lock{this->mutex};
    for (const auto& [status, count] : this->counts.answers) {
        out.answers[status] += count;
    }
    for (const auto& [kind, count] : this->counts.refusals) {
        out.refusals[kind] += count;
    }
    for (const auto& [key, latency] : this->counts.latencies) {
        out.latencies[key].add(latency);
    }
}

} // namespace figreach
