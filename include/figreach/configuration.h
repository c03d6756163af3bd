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

/// Replaces the whole description if the version that the operator read is still in force.
struct replace_description {
    std::string toml;
    std::uint64_t based_on = 0; ///< version that the operator read; 0: none existed
};

/// Takes a failure domain out of service or back in, independent of the version in force.
struct set_domain_state {
    failure_domain_id name;
    service_state state = service_state::out;
};

/// Takes a backend server out of service or back in, independent of the version in force.
struct set_server_state {
    backend_server_id name;
    service_state state = service_state::out;
};

using configuration_edit = std::variant<replace_description, set_domain_state, set_server_state>;

/// One change of the description as requested by an operator.
struct change_request {
    configuration_edit edit;
    std::string writer; ///< unique id of the change
    std::string changed_by;
    std::string reason;
    calendar_time requested_at{};
    monotonic_time deadline{}; ///< time by which the operator must be answered
    bool force = false;        ///< accept a dangerous change
    bool dry_run = false;      ///< check the change without writing it
    service_load load;
};

enum class change_outcome : std::uint8_t {
    unknown,      ///< may be in the history now or later
    accepted,     ///< is in the history
    invalid,      ///< the description has faults, or a name is unknown
    conflict,     ///< the version in force differs from the version read
    dangerous,    ///< requires force
    not_accepted, ///< not in the history and will never be
    checked,      ///< dry run: would be accepted
    unchanged,    ///< the requested state is already in force
};

struct change_answer {
    change_outcome outcome = change_outcome::unknown;
    std::uint64_t version = 0; ///< the accepted version, or else the last known one in force
    fault_list faults;
    std::vector<std::string> changed_meanwhile;
    std::vector<std::string> dangers;
    std::vector<std::string> changes; ///< differences from the version in force
    std::string detail;
    std::optional<stored_value> accepted; ///< the stored history, including the accepted version
};

/// A store call to execute at `not_before` or later and to await until `deadline`.
struct change_call {
    store_call call;
    monotonic_time not_before{};
    monotonic_time deadline{};
};

/// The next step of a change: a store call, or the answer, which ends the change.
using change_step = std::variant<change_call, change_answer>;

} // namespace figreach
