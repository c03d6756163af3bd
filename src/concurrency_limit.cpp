#include "figreach/concurrency_limit.h"

#include <algorithm>

namespace figreach {

namespace {

/// Updates an exponential moving average; the first sample initializes it.
void smooth(double& average, double sample, double weight)
{
    average = average == 0.0 ? sample : average + weight * (sample - average);
}

} // namespace

concurrency_limit::concurrency_limit(concurrency_limit_settings settings_)
    : settings{settings_},
      adaptive_limit{static_cast<double>(settings_.max)},
      cold_cap{settings_.max}
{
}

void concurrency_limit::set_max(std::uint32_t max)
{
    const bool warm = !this->is_cold();
    this->settings.max = max;
    this->cold_cap = warm ? max : std::min(this->cold_cap, max);
    this->adaptive_limit = std::min(this->adaptive_limit, static_cast<double>(max));
}

void concurrency_limit::restart_cold(monotonic_time now, std::uint32_t from)
{
    this->cold_cap = std::clamp(from, 1U, this->settings.max);
    this->good_answers = 0;
    this->last_step = now;
}

void concurrency_limit::set_cold_claim(bool cold, monotonic_time now)
{
    if (cold && !this->cold_claim) {
        this->cold_claim_since = now;
        this->restart_cold(now);
    }
    if (!cold && this->cold_claim) {
        this->last_step = now;
        this->good_answers = 0;
    }
    this->cold_claim = cold;
}

void concurrency_limit::on_answer(nanoseconds latency, monotonic_time now)
{
    const auto sample = static_cast<double>(std::max(latency, nanoseconds{1}).count());
    smooth(this->recent_average, sample, this->settings.recent_weight);
    smooth(this->baseline, sample, this->settings.baseline_weight);
    this->adapt(now);
    this->grow_cold(now);
}

std::uint32_t concurrency_limit::limit() const
{
    const auto whole = static_cast<std::uint32_t>(this->adaptive_limit);
    const auto bounded = std::clamp(whole, this->settings.min, this->settings.max);
    return std::min(bounded, this->cold_cap);
}

bool concurrency_limit::is_cold() const
{
    return this->cold_cap < this->settings.max;
}

nanoseconds concurrency_limit::recent_latency() const
{
    return nanoseconds{static_cast<std::int64_t>(this->recent_average)};
}

bool concurrency_limit::is_slow() const
{
    return this->recent_average > this->settings.tolerance * this->baseline;
}

void concurrency_limit::adapt(monotonic_time now)
{
    ++this->since_decrease;
    if (!this->is_slow()) {
        const auto max = static_cast<double>(this->settings.max);
        this->adaptive_limit = std::min(max, this->adaptive_limit + 1.0 / this->adaptive_limit);
        return;
    }
    if (this->is_cold()) {
        this->restart_cold(now);
    }
    // Decrease at most once per round of answers: requests in flight were sent under the old limit.
    if (this->since_decrease >= this->limit()) {
        const auto min = static_cast<double>(this->settings.min);
        this->adaptive_limit = std::max(min, this->adaptive_limit * this->settings.decrease);
        this->since_decrease = 0;
    }
}

void concurrency_limit::grow_cold(monotonic_time now)
{
    if (!this->is_cold()) {
        return;
    }
    const bool believed =
        this->cold_claim && now - this->cold_claim_since < this->settings.max_cold_claim;
    if (believed) {
        this->good_answers = 0;
        return;
    }
    ++this->good_answers;
    const bool waited = now - this->last_step >= this->settings.cold_step;
    if (waited && this->good_answers >= this->settings.cold_answers) {
        ++this->cold_cap;
        this->good_answers = 0;
        this->last_step = now;
    }
}

} // namespace figreach
