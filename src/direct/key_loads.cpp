#include "figreach/direct/key_loads.h"

#include <numeric>

#include "figreach/direct/decay.h"

namespace figreach::direct {

namespace {

/// Below this scale the counts are rescaled, which keeps them far from overflow.
constexpr double min_scale = 1e-9;

} // namespace

key_loads::key_loads(key_load_settings settings_) : settings{settings_}, counts(key_count, 0.0) {}

void key_loads::add(std::uint32_t key, double requests)
{
    this->counts[key] += requests / this->scale;
    this->total += requests / this->scale;
}

void key_loads::decay(monotonic_time now)
{
    if (this->decayed_at != monotonic_time{} && now > this->decayed_at) {
        this->scale *= decay_factor(now - this->decayed_at, this->settings.memory);
    }
    this->decayed_at = now;
    if (this->scale >= min_scale) {
        return;
    }
    for (auto& one : this->counts) {
        one *= this->scale;
    }
    this->total = std::accumulate(this->counts.begin(), this->counts.end(), 0.0);
    this->scale = 1.0;
}

double key_loads::share(const key_span& keys) const
{
    const auto first = this->counts.begin() + keys.first;
    const auto end = this->counts.begin() + keys.last + 1;
    const auto observed = std::accumulate(first, end, 0.0) * this->scale;
    const auto width = static_cast<double>(keys.last - keys.first + 1) / key_count;
    const auto assumed = this->settings.assumed_requests;
    return (observed + assumed * width) / (this->requests() + assumed);
}

double key_loads::rate() const
{
    return this->requests() / this->memory().count();
}

std::chrono::duration<double> key_loads::memory() const
{
    return this->settings.memory;
}

double key_loads::requests() const
{
    return this->total * this->scale;
}

} // namespace figreach::direct
