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

/// Sets the level ("debug" to "error", or "off") and the log file (empty: standard output) of the
/// process. A separate thread writes the lines; if its queue is full, lines are dropped.
void start_log(std::string_view level, const std::string& file);
/// Changes the level of all later lines.
void set_log_level(std::string_view level);
/// Writes the queued lines and stops the writer thread. Later calls log nothing.
void stop_log();

/// Adds the host name to all later lines. Must be called before other threads log.
void set_log_host(const host_id& host);

/// Writes an event as one JSON line with time, level, host, event and the given fields.
void log_event(log_level level, std::string_view event, std::initializer_list<log_field> fields);

/// As log_event(), at level info, with fields that are collected at run time.
void log_info_event(std::string_view event,
                    const std::vector<std::pair<std::string, std::string>>& fields);

} // namespace figreach
