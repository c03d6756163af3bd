#pragma once

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <string>
#include <vector>

namespace figreach::bench {

struct point {
    double size = 0.0;
    double value = 0.0;
};

/// Line fitted to measured points by least squares of the relative errors.
struct linear_fit {
    double at_zero = 0.0;
    double slope = 0.0;
    double largest_error = 0.0; ///< largest relative error of a point
};

inline linear_fit fit_line(const std::vector<point>& points)
{
    double total_weight = 0.0;
    double mean_size = 0.0;
    double mean_value = 0.0;
    for (const auto& one : points) {
        const auto weight = 1.0 / (one.value * one.value);
        total_weight += weight;
        mean_size += weight * one.size;
        mean_value += weight * one.value;
    }
    mean_size /= total_weight;
    mean_value /= total_weight;
    double covariance = 0.0;
    double variance = 0.0;
    for (const auto& one : points) {
        const auto weight = 1.0 / (one.value * one.value);
        covariance += weight * (one.size - mean_size) * (one.value - mean_value);
        variance += weight * (one.size - mean_size) * (one.size - mean_size);
    }
    linear_fit out;
    out.slope = covariance / variance;
    out.at_zero = mean_value - out.slope * mean_size;
    for (const auto& one : points) {
        const auto error = std::abs(out.at_zero + out.slope * one.size - one.value) / one.value;
        out.largest_error = std::max(out.largest_error, error);
    }
    return out;
}

inline void print_fit(const std::string& what, const std::vector<point>& points)
{
    const auto line = fit_line(points);
    constexpr double percent = 100.0;
    std::printf("fit: %s = %.4g + %.4g x size, largest error %.0f %%\n", what.c_str(), line.at_zero,
                line.slope, percent * line.largest_error);
}

} // namespace figreach::bench
