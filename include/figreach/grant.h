#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "figreach/ids.h"
#include "figreach/key_hash.h"
#include "figreach/time.h"

namespace figreach {

/// One range that a backend server may serve under a grant.
struct granted_slice {
    key_hash first = 0;
    key_hash last = 0;
    std::uint64_t fence = 0;

    friend bool operator==(const granted_slice&, const granted_slice&) = default;
};

/// All that one backend server may serve. A grant replaces the one before it; slices left out of
/// it are revoked. Its duration starts when the server answered the grant that `after` names, so
/// that a grant which waited in a buffer of the network or of a frozen server ends no later than
/// one that arrived at once. A server that does not remember that answer takes the grant without
/// serving under it.
struct grant {
    host_id coordinator;
    std::uint64_t sequence = 0; ///< grows with each grant of one coordinator term
    std::uint64_t term = 0;     ///< a server refuses a grant under a lower term than it has seen,
                                ///< and one of the same term with a lower sequence
    std::uint64_t after = 0;    ///< latest sequence of this term whose answer arrived; 0: none
    milliseconds duration{0};
    std::vector<granted_slice> slices;

    friend bool operator==(const grant&, const grant&) = default;
};

/// A backend server's answer to a grant; serves as health probe and load report as well.
struct grant_answer {
    bool accepted = false;
    std::uint64_t sequence = 0;
    std::uint64_t term = 0;        ///< the highest term that the server has seen
    std::uint64_t incarnation = 0; ///< changes when the server lost its state
    std::uint32_t in_flight = 0;   ///< requests that run there now
    bool cold = false;
    bool leaving = false;

    friend bool operator==(const grant_answer&, const grant_answer&) = default;
};

} // namespace figreach
