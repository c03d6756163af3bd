#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <numeric>
#include <random>
#include <utility>
#include <vector>

#include "figreach/key_hash.h"

namespace figreach::bench {

/// Zipf-distributed load over many keys, with a hot set that can be moved.
class zipf_load {
public:
    zipf_load(std::size_t keys, double exponent, double requests_per_second, std::uint64_t seed)
        : random{seed}, ranks(keys), rates(keys), hashes(keys)
    {
        for (auto& hash : this->hashes) {
            hash = this->random();
        }
        std::ranges::sort(this->hashes);
        double total = 0.0;
        for (std::size_t i = 0; i < keys; ++i) {
            this->rates[i] = std::pow(static_cast<double>(i + 1), -exponent);
            total += this->rates[i];
        }
        for (auto& rate : this->rates) {
            rate *= requests_per_second / total;
        }
        std::iota(this->ranks.begin(), this->ranks.end(), 0);
        std::ranges::shuffle(this->ranks, this->random);
        this->rebuild_prefix_sums();
    }

    /// Swaps the ranks of the `hottest` most loaded keys with those of random keys.
    void move_hot_set(std::size_t hottest)
    {
        std::vector<std::size_t> place(this->ranks.size());
        for (std::size_t i = 0; i < this->ranks.size(); ++i) {
            place[this->ranks[i]] = i;
        }
        for (std::size_t rank = 0; rank < hottest; ++rank) {
            const auto other = this->random() % this->ranks.size();
            std::swap(this->ranks[place[rank]], this->ranks[other]);
            place[this->ranks[place[rank]]] = place[rank];
            place[rank] = other;
        }
        this->rebuild_prefix_sums();
    }

    /// Requests per second for the keys of a hash range; both ends are inclusive.
    [[nodiscard]] double of_range(key_hash first, key_hash last) const
    {
        const auto from = std::ranges::lower_bound(this->hashes, first) - this->hashes.begin();
        const auto to = std::ranges::upper_bound(this->hashes, last) - this->hashes.begin();
        return this->sums[static_cast<std::size_t>(to)] -
               this->sums[static_cast<std::size_t>(from)];
    }

    [[nodiscard]] double hottest() const { return this->rates.front(); }

private:
    void rebuild_prefix_sums()
    {
        this->sums.assign(this->hashes.size() + 1, 0.0);
        for (std::size_t i = 0; i < this->hashes.size(); ++i) {
            this->sums[i + 1] = this->sums[i] + this->rates[this->ranks[i]];
        }
    }

    std::mt19937_64 random;
    std::vector<std::size_t> ranks; ///< by key, in the order of hashes
    std::vector<double> rates;      ///< by rank
    std::vector<key_hash> hashes;   ///< ascending
    std::vector<double> sums;       ///< prefix sums of the rates in the order of hashes
};

} // namespace figreach::bench
