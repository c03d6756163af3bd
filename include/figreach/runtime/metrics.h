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

/// One value that is read when the page is asked for.
struct metric {
    std::string name;   ///< without the prefix figreach_
    std::string help;   ///< one sentence
    std::string labels; ///< "name=\"value\"", or empty
    metric_type type = metric_type::counter;
    std::function<std::uint64_t()> read; ///< called by any thread
};

/// All metrics of one entry host, as a page in the Prometheus text format.
class metrics {
public:
    /// Metrics for one more request thread; they live as long as this object.
    [[nodiscard]] request_metrics& add_request_thread();
    /// Metrics of one name are added one after another.
    void add(metric one);

    [[nodiscard]] std::string to_text() const;

private:
    mutable std::mutex mutex;
    std::vector<std::unique_ptr<request_metrics>> threads;
    std::vector<metric> values;
};

/// A label whose value is quoted as the text format wants it.
[[nodiscard]] std::string to_label(const std::string& name, const std::string& value);

} // namespace figreach
