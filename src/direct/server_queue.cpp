#include "figreach/direct/server_queue.h"

#include <algorithm>
#include <cmath>

namespace figreach::direct {

namespace {

/// Above this utilization the cost grows linearly, so that overloaded servers remain comparable.
constexpr double linear_above_utilization = 0.9;
/// Requests per second. Keeps the cost of a server that accepts no requests finite.
constexpr double min_capacity = 0.1;

/// Mean waiting time in a queue with several slots, relative to the service time, and its
/// derivative by Sakasegawa's approximation.
struct queueing_delay {
    double time = 0.0;
    double growth = 0.0;
};

queueing_delay queueing_delay_at(double utilization, double slots)
{
    const double power = std::sqrt(2.0 * (slots + 1.0)) - 1.0;
    const double left = 1.0 - utilization;
    const double raised = std::pow(utilization, power);
    const double below = slots * left;
    const double raised_growth = power * std::pow(utilization, power - 1.0);
    return {.time = raised / below,
            .growth = raised_growth / below + raised / (slots * left * left)};
}

} // namespace

double server_queue::capacity() const
{
    const double by_slots = this->slots / this->service_time.count();
    return this->max_rate ? std::min(by_slots, std::max(*this->max_rate, min_capacity)) : by_slots;
}

double server_queue::utilization(double rate) const
{
    return rate / this->capacity();
}

double server_queue::marginal_cost(double rate) const
{
    const double busy = this->utilization(rate);
    const double bounded = std::min(busy, linear_above_utilization);
    const auto queue = queueing_delay_at(bounded, this->slots);
    const double steady = 1.0 + queue.time + bounded * queue.growth;
    const double beyond = std::max(0.0, busy - linear_above_utilization) * queue.growth * 2.0;
    return this->service_time.count() * (steady + beyond);
}

} // namespace figreach::direct
