#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "request_record.h"

namespace figreach::load {

/// One execution recorded by a backend server.
struct server_execution {
    std::string server;
    std::string request_id;
    std::string idempotency_key;
    std::string key;
    std::uint64_t fence = 0;
    std::int64_t start_ns = 0;
    std::int64_t end_ns = 0; ///< 0: still running or cancelled
};

/// Counts of broken promises and of what could be checked.
struct promise_counts {
    std::uint64_t wrong_owner = 0;
    std::uint64_t foreign_answers = 0;
    std::uint64_t shortened_answers = 0;
    std::uint64_t not_run_that_ran = 0;
    std::uint64_t ran_twice = 0;

    std::uint64_t answered = 0;
    std::uint64_t answered_without_execution = 0; ///< no execution found: records are incomplete
    std::uint64_t overlapping_runs = 0; ///< executions still running when the next owner of the
                                        ///< key started one

    [[nodiscard]] std::uint64_t broken() const;
};

/// Compares the results seen by clients with the executions of all backend servers. A wrong owner
/// is counted when the fence of a key decreases or two servers use the same fence for it.
[[nodiscard]] promise_counts check_promises(const std::vector<request_record>& requests,
                                            std::vector<server_execution> executions);

} // namespace figreach::load
