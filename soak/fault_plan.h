#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "figreach/time.h"

namespace figreach::soak {

enum class fault_kind : std::uint8_t {
    host_killed,           ///< by SIGKILL, restarted after `duration`
    host_stopped,          ///< by SIGTERM, restarted after `duration`
    host_paused,           ///< by SIGSTOP for `duration`
    host_reloaded,         ///< by SIGHUP
    all_hosts_killed,      ///< by SIGKILL at the same time, restarted after `duration`
    host_cut_from_store,   ///< traffic in both directions is held back for `duration`
    store_silent,          ///< for `duration`
    store_busy,            ///< for `duration`
    store_slow,            ///< for `duration`
    store_answers_lost,    ///< some writes take effect without an answer, for `duration`
    store_leases_lapsed,   ///< all leases on keys of the hosts expire immediately
    store_history_dropped, ///< watches must restart from a new listing
    store_restored,        ///< from a copy that is `duration` old
    server_crashed,        ///< restarted after `duration`
    server_silent,         ///< for `duration`
    server_left,           ///< shut down gracefully, then restarted
    server_cut_from_store, ///< for `duration`, while it keeps serving
    server_answers_lost,   ///< of some requests for `duration`
    link_delayed,          ///< to one server for `duration`
    link_reset,            ///< resets all connections to one server
    link_cut_to,           ///< traffic to one server is held back for `duration`
    link_cut_from,         ///< traffic from one server is held back for `duration`
    link_silent,           ///< traffic in both directions is held back for `duration`
    configuration_changed, ///< a route is added
    crashing_request,      ///< crashes servers that run it, and is repeated until the run ends
    server_resting,        ///< turns requests away for `duration` and wants none for that time
    /// For `duration`, runs some requests and answers them with a status that reads as "not run".
    server_refusals_unconfirmed,
    kinds, ///< number of enumerators above
};

[[nodiscard]] const char* name_of(fault_kind kind);

struct planned_fault {
    milliseconds at{0}; ///< since the start of the run
    fault_kind kind = fault_kind::host_killed;
    std::uint32_t target = 0; ///< index of a host or server, modulo their number
    milliseconds duration{0};
};

struct plan_settings {
    std::uint64_t seed = 1;
    milliseconds earliest_start{1500};            ///< no fault starts earlier
    milliseconds latest_start{12000};             ///< no fault starts at this time or later
    bool store_restores = true;                   ///< whether the store comes back from copies
    milliseconds mean_restore_interval{4000};     ///< between two restores of the store
    milliseconds mean_rest_interval{2500};        ///< between the rests of two servers
    milliseconds mean_unconfirmed_interval{2500}; ///< between servers that refuse like this
    milliseconds mean_interval{350}; ///< between the starts of two faults, which may overlap
    milliseconds min_duration{300};  ///< of faults that have a duration
    milliseconds max_duration{4000};
    /// Number of crashing requests; one in about half of the seeds if not given.
    std::optional<std::uint32_t> crashing_requests;
};

/// Generates faults ordered by start time, deterministically from the settings. Faults are
/// correlated: the next one often has the same target or the same kind as the one before.
[[nodiscard]] std::vector<planned_fault> make_plan(const plan_settings& settings);

} // namespace figreach::soak
