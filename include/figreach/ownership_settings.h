#pragma once

#include "figreach/time.h"

namespace figreach {

/// Time bounds of the ownership protocol. Safety needs `drift_margin` above the most that two
/// clocks drift apart over `authority`.
struct ownership_settings {
    milliseconds authority{700};           ///< of a coordinator, from the sending of its request
    milliseconds confirm_interval{250};    ///< between a coordinator's requests to the validators
    milliseconds retry_interval{50};       ///< between requests while a server is not confirmed
    milliseconds hand_off_delay{300};      ///< a server is kept after another host is preferred
    milliseconds drift_margin{50};         ///< added wherever another process's bound is waited out
    milliseconds grant_duration{600};      ///< the most that one grant lasts
    milliseconds grant_interval{150};      ///< between grants of one backend server
    milliseconds grant_timeout{200};       ///< of one call to a backend server
    milliseconds lost_after{500};          ///< without an answer a backend server counts as lost
    milliseconds report_interval{1000};    ///< between load reports of one backend server
    milliseconds release_interval{100};    ///< between repetitions of a release
    milliseconds store_poll{1000};         ///< of the host that assigns a partition
    milliseconds store_standby_poll{3000}; ///< of the next hosts in order
    milliseconds replace_validator_after{10000}; ///< a validator not seen for so long is replaced
    milliseconds settle_after{1000}; ///< from the start until the known hosts count as all
    bool wait_out_grants = true;     ///< false only in tests that show that the checks can fail
    bool wait_after_restart = true;  ///< false only in tests that show that the checks can fail
};

} // namespace figreach
