#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

#include "figreach/ids.h"

namespace figreach {

/// One field of a log line.
using log_field = std::pair<std::string_view, std::string>;

enum class log_level { debug, info, warn, error };

/// Sets level ("debug" to "error", or "off") and target (empty: standard error) for the process.
void start_log(std::string_view level, const std::string& file);

/// Names the host in all later lines. Called before other threads log.
void set_log_host(const host_id& host);

/// Writes one change of state as a JSON line: time, level, host, event and the fields.
void log_change(log_level level, std::string_view event, std::initializer_list<log_field> fields);

} // namespace figreach
