#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "figreach/ids.h"
#include "figreach/key_hash.h"
#include "figreach/time.h"

namespace figreach {

/// A range of the hash space that a backend server may serve under a grant.
struct granted_slice {
    key_hash first = 0;
    key_hash last = 0;
    std::uint64_t fence = 0;

    friend bool operator==(const granted_slice&, const granted_slice&) = default;
};

/// The complete set of slices that one backend server may serve. Each grant replaces the previous
/// one; slices that it omits are revoked. The duration is counted from the time the server answered
/// the grant that `after` names, so a grant delayed in a network buffer or by a frozen server
/// expires no later than one delivered at once. A server that does not remember that answer accepts
/// the grant but serves nothing under it.
struct grant {
    host_id coordinator;
    std::uint64_t sequence = 0; ///< increases with each grant of a coordinator term
    std::uint64_t term = 0;  ///< a server rejects a term lower than the highest it has seen, and a
                             ///< lower sequence within that term
    std::uint64_t after = 0; ///< last sequence of this term that was answered; 0 if none
    milliseconds duration{0};
    std::vector<granted_slice> slices;

    friend bool operator==(const grant&, const grant&) = default;
};

/// A backend server's answer to a grant. It doubles as health check and load report.
struct grant_answer {
    bool accepted = false;
    std::uint64_t sequence = 0;
    std::uint64_t term = 0;        ///< highest term that the server has seen
    std::uint64_t incarnation = 0; ///< changes when the server loses its state
    std::uint32_t in_flight = 0;   ///< requests currently running on the server
    bool cold = false;
    bool leaving = false;

    friend bool operator==(const grant_answer&, const grant_answer&) = default;
};

} // namespace figreach
