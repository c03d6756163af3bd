#include "figreach/retry_budget.h"

#include <algorithm>

namespace figreach {

namespace {

constexpr std::uint64_t hundredths_per_retry = 100;

} // namespace

retry_budget::retry_budget(retry_budget_settings settings_)
    : settings{settings_}, hundredths{settings_.max_retries * hundredths_per_retry}
{
}

void retry_budget::earn()
{
    const auto capacity = this->settings.max_retries * hundredths_per_retry;
    this->hundredths = std::min(capacity, this->hundredths + this->settings.percent);
}

bool retry_budget::spend()
{
    if (this->hundredths < hundredths_per_retry) {
        return false;
    }
    this->hundredths -= hundredths_per_retry;
    return true;
}

std::uint32_t retry_budget::left() const
{
    return static_cast<std::uint32_t>(this->hundredths / hundredths_per_retry);
}

milliseconds jittered_backoff(const backoff_settings& settings, std::uint32_t retry,
                              std::uint64_t random)
{
    constexpr std::uint32_t max_doublings = 16;
    const auto doublings = std::min(retry == 0 ? 0 : retry - 1, max_doublings);
    const auto bound = std::min(settings.longest, settings.first * (1U << doublings));
    const auto half = bound / 2;
    const auto spread = static_cast<std::uint64_t>((bound - half).count()) + 1;
    return half + milliseconds{random % spread};
}

std::uint64_t next_random(std::uint64_t& state)
{
    state += 0x9e3779b97f4a7c15ULL;
    auto mixed = state;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31U);
}

} // namespace figreach
