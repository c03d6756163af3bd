#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "request_record.h"

namespace figreach::load {

/// One execution that a backend server recorded.
struct server_execution {
    std::string server;
    std::string request_id;
    std::string idempotency_key;
    std::string key;
    std::uint64_t fence = 0;
    std::int64_t start_ns = 0;
    std::int64_t end_ns = 0; ///< 0: it did not end normally
};

/// Counts of broken promises, and how much could be checked.
struct promise_counts {
    std::uint64_t wrong_owner = 0;
    std::uint64_t foreign_answers = 0;
    std::uint64_t shortened_answers = 0;
    std::uint64_t not_run_that_ran = 0;
    std::uint64_t ran_twice = 0;

    std::uint64_t answered = 0;
    std::uint64_t answered_without_execution = 0; ///< the servers' records are incomplete
    std::uint64_t overlapping_runs = 0; ///< runs of a key that were not over at its next owner

    [[nodiscard]] std::uint64_t broken() const;
};

/// Compares what callers saw with what backend servers ran. The executions are of all servers.
/// A key is run by a wrong owner when its fence goes back, or one fence is used by two servers.
[[nodiscard]] promise_counts check_promises(const std::vector<request_record>& requests,
                                            std::vector<server_execution> executions);

} // namespace figreach::load
