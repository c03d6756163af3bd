#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "figreach/runtime/request_metrics.h"

namespace figreach {

enum class metric_type : std::uint8_t { counter, gauge };

/// A value that is read each time the metrics page is rendered.
struct metric {
    std::string name;   ///< without the prefix figreach_
    std::string help;   ///< one sentence
    std::string labels; ///< "name=\"value\"", or empty
    metric_type type = metric_type::counter;
    std::function<std::uint64_t()> read; ///< may be called by any thread
};

/// All metrics of one entry host, rendered in the Prometheus text format. Thread-safe.
class metrics {
public:
    /// Creates the metrics of another request thread. They live as long as this object.
    [[nodiscard]] request_metrics& add_request_thread();
    /// Metrics with the same name must be added consecutively.
    void add(metric one);

    [[nodiscard]] std::string to_text() const;

private:
    mutable std::mutex mutex;
    std::vector<std::unique_ptr<request_metrics>> threads;
    std::vector<metric> values;
};

/// Returns name="value" with the value escaped for the Prometheus text format.
[[nodiscard]] std::string to_label(const std::string& name, const std::string& value);

} // namespace figreach
