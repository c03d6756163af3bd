#include "figreach/direct/service_time_estimator.h"

#include <algorithm>

#include "figreach/direct/decay.h"

namespace figreach::direct {

namespace {

/// Decayed count of answers below which a server is dropped.
constexpr double min_answers = 0.01;
/// Total weight of all servers; smaller values are rounding errors.
constexpr double min_weight = 1e-6;

} // namespace

service_time_estimator::service_time_estimator(service_time_settings settings_)
    : settings{settings_}
{
}

void service_time_estimator::add(const service_time_sample& sample)
{
    auto& one = this->observed[sample.server];
    this->add_to_overall(one, -1.0);
    one.answers += sample.answers;
    one.seconds += std::chrono::duration<double>{sample.total_time}.count();
    this->add_to_overall(one, 1.0);
}

void service_time_estimator::decay(monotonic_time now)
{
    if (this->decayed_at != monotonic_time{} && now > this->decayed_at) {
        const double factor = decay_factor(now - this->decayed_at, this->settings.memory);
        for (auto& [id, one] : this->observed) {
            one.answers *= factor;
            one.seconds *= factor;
        }
        std::erase_if(this->observed,
                      [](const auto& item) { return item.second.answers < min_answers; });
        this->overall = {};
        for (const auto& [id, one] : this->observed) {
            this->add_to_overall(one, 1.0);
        }
    }
    this->decayed_at = now;
}

/// Weight of a server's own mean, from 0 to 1.
double service_time_estimator::confidence(const observed_time& one) const
{
    return one.answers / (one.answers + this->settings.prior_answers);
}

void service_time_estimator::add_to_overall(const observed_time& one, double sign)
{
    if (one.answers > 0.0) {
        const auto weight = this->confidence(one);
        this->overall.seconds += sign * weight * one.seconds / one.answers;
        this->overall.weight += sign * weight;
    }
}

/// Mean of the servers' means, so that fast servers with many answers do not dominate it.
double service_time_estimator::overall_mean() const
{
    const std::chrono::duration<double> initial = this->settings.initial_estimate;
    return this->overall.weight > min_weight ? this->overall.seconds / this->overall.weight
                                             : initial.count();
}

std::chrono::duration<double>
service_time_estimator::service_time_of(const backend_server_id& id) const
{
    const auto mean = this->overall_mean();
    const auto found = this->observed.find(id);
    if (found == this->observed.end()) {
        return std::chrono::duration<double>{mean};
    }
    const auto assumed = this->settings.prior_answers;
    const auto& own = found->second;
    const auto estimate = (own.seconds + assumed * mean) / (own.answers + assumed);
    return std::chrono::duration<double>{
        std::clamp(estimate, this->settings.min_factor * mean, this->settings.max_factor * mean)};
}

} // namespace figreach::direct
