#include "figreach/concurrency_limit.h"

#include <algorithm>

namespace figreach {

namespace {

void smooth(double& average, double sample, double weight)
{
    average = average == 0.0 ? sample : average + weight * (sample - average);
}

} // namespace

concurrency_limit::concurrency_limit(concurrency_limit_settings settings_)
    : settings{settings_}, adaptive{static_cast<double>(settings_.most)}, cold_cap{settings_.most}
{
}

void concurrency_limit::set_max(std::uint32_t most)
{
    const bool warm = !this->is_cold();
    this->settings.most = most;
    this->cold_cap = warm ? most : std::min(this->cold_cap, most);
    this->adaptive = std::min(this->adaptive, static_cast<double>(most));
}

void concurrency_limit::restart_cold(monotonic_time now, std::uint32_t from)
{
    this->cold_cap = std::clamp(from, 1U, this->settings.most);
    this->good_answers = 0;
    this->stepped = now;
}

void concurrency_limit::set_cold_claim(bool cold, monotonic_time now)
{
    if (cold && !this->claimed_cold) {
        this->claimed_since = now;
        this->restart_cold(now);
    }
    if (!cold && this->claimed_cold) {
        this->stepped = now;
        this->good_answers = 0;
    }
    this->claimed_cold = cold;
}

void concurrency_limit::on_answer(nanoseconds latency, monotonic_time now)
{
    const auto sample = static_cast<double>(std::max(latency, nanoseconds{1}).count());
    smooth(this->recent, sample, this->settings.recent_weight);
    smooth(this->usual, sample, this->settings.usual_weight);
    this->adapt(now);
    this->grow_cold(now);
}

std::uint32_t concurrency_limit::limit() const
{
    const auto whole = static_cast<std::uint32_t>(this->adaptive);
    const auto bounded = std::clamp(whole, this->settings.least, this->settings.most);
    return std::min(bounded, this->cold_cap);
}

bool concurrency_limit::is_cold() const
{
    return this->cold_cap < this->settings.most;
}

nanoseconds concurrency_limit::recent_latency() const
{
    return nanoseconds{static_cast<std::int64_t>(this->recent)};
}

bool concurrency_limit::is_slow() const
{
    return this->recent > this->settings.tolerance * this->usual;
}

void concurrency_limit::adapt(monotonic_time now)
{
    ++this->since_decrease;
    if (!this->is_slow()) {
        const auto most = static_cast<double>(this->settings.most);
        this->adaptive = std::min(most, this->adaptive + 1.0 / this->adaptive);
        return;
    }
    if (this->is_cold()) {
        this->restart_cold(now);
    }
    // One decrease for each round of answers: those in flight were sent under the old limit.
    if (this->since_decrease >= this->limit()) {
        const auto least = static_cast<double>(this->settings.least);
        this->adaptive = std::max(least, this->adaptive * this->settings.decrease);
        this->since_decrease = 0;
    }
}

void concurrency_limit::grow_cold(monotonic_time now)
{
    if (!this->is_cold()) {
        return;
    }
    const bool believed =
        this->claimed_cold && now - this->claimed_since < this->settings.longest_cold_claim;
    if (believed) {
        this->good_answers = 0;
        return;
    }
    ++this->good_answers;
    const bool waited = now - this->stepped >= this->settings.cold_step;
    if (waited && this->good_answers >= this->settings.cold_answers) {
        ++this->cold_cap;
        this->good_answers = 0;
        this->stepped = now;
    }
}

} // namespace figreach
