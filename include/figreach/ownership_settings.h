#pragma once

#include "figreach/time.h"

namespace figreach {

/// Time bounds of the ownership protocol. Safety requires `drift_margin` to exceed the maximum
/// drift between two clocks over `authority`.
struct ownership_settings {
    milliseconds authority{700};        ///< of a coordinator, counted from sending its request
    milliseconds confirm_interval{250}; ///< between requests to the validators
    milliseconds retry_interval{50};    ///< same, while a server is unconfirmed
    milliseconds hand_off_delay{300}; ///< how long a server is kept once another host is preferred
    milliseconds drift_margin{50};    ///< added to each wait for a bound of another process
    milliseconds grant_duration{600}; ///< maximum duration of a grant
    milliseconds grant_interval{150}; ///< between grants to one backend server
    milliseconds grant_timeout{200};  ///< of one call to a backend server
    milliseconds lost_after{500};     ///< time without an answer until a server counts as lost
    milliseconds report_interval{1000};          ///< between load reports of one backend server
    milliseconds release_interval{100};          ///< between retransmissions of a release
    milliseconds store_poll{1000};               ///< by the assigning host of a partition
    milliseconds store_standby_poll{3000};       ///< by the next hosts in preference order
    milliseconds replace_validator_after{10000}; ///< time unseen until a validator is replaced
    milliseconds settle_after{1000}; ///< from the start until the host list is taken as complete
    bool wait_out_grants = true;     ///< false only in tests that verify the invariant checks
    bool wait_after_restart = true;  ///< false only in tests that verify the invariant checks
};

} // namespace figreach
