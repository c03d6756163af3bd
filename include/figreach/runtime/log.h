#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "figreach/ids.h"

namespace figreach {

/// One field of a log line.
using log_field = std::pair<std::string_view, std::string>;

enum class log_level { debug, info, warn, error };

/// Sets level ("debug" to "error", or "off") and target (empty: standard output) for the process.
/// Lines are written by a thread of their own; when it falls behind, lines are dropped.
void start_log(std::string_view level, const std::string& file);
/// Takes effect for all later lines.
void set_log_level(std::string_view level);
/// Writes the lines that are still waiting and ends the thread. Nothing is logged afterwards.
void stop_log();

/// Names the host in all later lines. Called before other threads log.
void set_log_host(const host_id& host);

/// Writes one change of state as a JSON line: time, level, host, event and the fields.
void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields);

/// Writes one change of a belief at level info.
void log_info_event(std::string_view event,
                    const std::vector<std::pair<std::string, std::string>>& fields);

} // namespace figreach
