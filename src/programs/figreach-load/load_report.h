#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "latency_histogram.h"
#include "load_settings.h"
#include "promise_check.h"
#include "request_record.h"

namespace figreach::load {

/// Results of the requests of one stream, as seen by the clients.
struct stream_summary {
    std::string name;
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    std::uint64_t no_answer = 0;
    std::map<std::string, std::uint64_t> errors; ///< by error name
    latency_histogram answered_latency;
};

/// Summary of one run.
struct load_report {
    std::vector<stream_summary> streams;
    promise_counts promises;
    std::vector<std::string> server_counts; ///< one JSON object per backend server
    std::uint64_t servers_not_checked = 0;  ///< record missing or incomplete
    milliseconds duration{0};
};

/// One summary per stream, in the order of the settings.
[[nodiscard]] std::vector<stream_summary> summarize(const load_settings& settings,
                                                    const std::vector<request_record>& records);

/// Text tables for a terminal.
[[nodiscard]] std::string to_table(const load_report& report);
[[nodiscard]] std::string to_json(const load_report& report);

} // namespace figreach::load
