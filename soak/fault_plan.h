#pragma once

#include <cstdint>
#include <vector>

#include "figreach/time.h"

namespace figreach::soak {

enum class fault_kind : std::uint8_t {
    host_killed,           ///< and started again after `duration`
    host_stopped,          ///< by SIGTERM, and started again after `duration`
    host_paused,           ///< by SIGSTOP for `duration`
    host_reloaded,         ///< by SIGHUP
    all_hosts_killed,      ///< at once
    host_cut_from_store,   ///< its bytes are held up for `duration`
    store_silent,          ///< for `duration`
    store_busy,            ///< for `duration`
    store_slow,            ///< for `duration`
    store_answers_lost,    ///< of some writes for `duration`
    store_leases_lapsed,   ///< those of hosts end at once
    store_history_dropped, ///< watches must begin anew
    server_crashed,        ///< and started again after `duration`
    server_silent,         ///< for `duration`
    server_left,           ///< gracefully, and started again
    server_cut_from_store, ///< for `duration`, while it serves on
    server_answers_lost,   ///< of some requests for `duration`
    link_delayed,          ///< to one server for `duration`
    link_reset,            ///< all connections to one server
    link_cut_to,           ///< bytes to one server are held up for `duration`
    link_cut_from,         ///< bytes from one server are held up for `duration`
    link_silent,           ///< both for `duration`
    configuration_changed, ///< a route is added
    kinds,                 ///< number of the kinds above
};

[[nodiscard]] const char* name_of(fault_kind kind);

struct planned_fault {
    milliseconds at{0}; ///< from the start
    fault_kind kind = fault_kind::host_killed;
    std::uint32_t target = 0; ///< counts the hosts or servers; taken modulo their number
    milliseconds duration{0};
};

struct plan_settings {
    std::uint64_t seed = 1;
    milliseconds earliest_start{1500}; ///< no fault before it
    milliseconds latest_start{12000};  ///< no fault begins after it
    milliseconds mean_interval{350};   ///< between two faults, which may overlap
    milliseconds min_duration{300};    ///< of faults that last
    milliseconds max_duration{4000};
};

/// Faults in order of time; the same for the same settings. They come in series: often the next one
/// hits the same target, or is of the same kind.
[[nodiscard]] std::vector<planned_fault> make_plan(const plan_settings& settings);

} // namespace figreach::soak
