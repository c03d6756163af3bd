#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "figreach/description.h"
#include "figreach/description_danger.h"
#include "figreach/fault.h"
#include "figreach/store_call.h"
#include "figreach/time.h"

namespace figreach {

/// Replace the whole description, if the version that the operator read is still in force.
struct replace_description {
    std::string toml;
    std::uint64_t based_on = 0; ///< 0: there was none
};

/// Take a failure domain out or in, whatever version is in force.
struct set_domain_state {
    failure_domain_id name;
    service_state state = service_state::out;
};

/// Take a backend server out or in, whatever version is in force.
struct set_server_state {
    backend_server_id name;
    service_state state = service_state::out;
};

using configuration_edit = std::variant<replace_description, set_domain_state, set_server_state>;

/// One change of the description as an operator asks for it.
struct change_request {
    configuration_edit edit;
    std::string writer; ///< id of the change, never used for another one
    std::string changed_by;
    std::string reason;
    calendar_time requested_at{};
    monotonic_time deadline{}; ///< the operator is answered by then
    bool force = false;        ///< accept a dangerous change
    bool dry_run = false;      ///< check only, write nothing
    service_load load;
};

enum class change_outcome : std::uint8_t {
    unknown,      ///< may be in the history now or later
    accepted,     ///< is in the history
    invalid,      ///< faults in the description or in a name
    conflict,     ///< another version is in force than the one read
    dangerous,    ///< needs force
    not_accepted, ///< not in the history and never will be
    checked,      ///< dry run: would be accepted
    unchanged,    ///< in force already
};

struct change_answer {
    change_outcome outcome = change_outcome::unknown;
    std::uint64_t version = 0; ///< accepted, else in force as far as is known
    fault_list faults;
    std::vector<std::string> changed_meanwhile;
    std::vector<std::string> dangers;
    std::vector<std::string> changes; ///< in the version that was in force
    std::string detail;
    std::optional<stored_value> accepted; ///< the history with the accepted version
};

/// A store call to be carried out at `not_before`; its answer is awaited until `deadline`.
struct change_call {
    store_call call;
    monotonic_time not_before{};
    monotonic_time deadline{};
};

/// What a change wants next: a store call, or to be answered, which ends it.
using change_step = std::variant<change_call, change_answer>;

} // namespace figreach
