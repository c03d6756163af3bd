#include "key_picker.h"

#include <algorithm>
#include <cmath>

namespace figreach::load {

namespace {

/// Distance between the key numbers of adjacent ranks and of successive hot sets. Both are prime.
constexpr std::uint64_t rank_stride = 7919;
constexpr std::uint64_t hot_set_stride = 104729;

} // namespace

key_picker::key_picker(std::uint64_t keys, double exponent, milliseconds hot_set_lifetime_)
    : hot_set_lifetime{hot_set_lifetime_}
{
    double sum = 0.0;
    this->cumulative.reserve(keys);
    for (std::uint64_t rank = 1; rank <= keys; ++rank) {
        sum += 1.0 / std::pow(static_cast<double>(rank), exponent);
        this->cumulative.push_back(sum);
    }
    for (auto& one : this->cumulative) {
        one /= sum;
    }
}

std::uint64_t key_picker::pick(std::mt19937_64& random, nanoseconds elapsed) const
{
    const double point = std::uniform_real_distribution<double>{0.0, 1.0}(random);
    const auto found = std::ranges::lower_bound(this->cumulative, point);
    const auto count = this->cumulative.size();
    const auto index = static_cast<std::uint64_t>(found - this->cumulative.begin());
    const auto rank = std::min<std::uint64_t>(index, count - 1);
    const auto hot_set = static_cast<std::uint64_t>(elapsed / this->hot_set_lifetime);
    return (rank * rank_stride + hot_set * hot_set_stride) % count;
}

} // namespace figreach::load
