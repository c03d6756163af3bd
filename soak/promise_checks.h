#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "figreach/time.h"

namespace figreach::soak {

/// The promises that are checked. Each is one that the pages make to callers or operators.
enum class promise : std::uint8_t {
    ran_once,       ///< a request that is not idempotent ran more than once
    refusal_true,   ///< a refusal said "not run", and the request ran
    answer_own,     ///< an answer belongs to another request, or is not the one that was made
    request_known,  ///< a backend server ran a request that no caller sent, or another body
    one_owner,      ///< two backend servers held a key and both began requests on it
    one_holder,     ///< two backend servers held a key for longer than is allowed
    newest_version, ///< a host went back to an older configuration
    recovered,      ///< no request was answered after the faults had ended
    stayed_up,      ///< an entry host ended by itself
};

[[nodiscard]] const char* name_of(promise which);

struct broken_promise {
    promise which = promise::ran_once;
    std::string detail;
};

/// What a caller sent.
struct sent_request {
    std::string id;
    bool idempotent = true;
    std::uint64_t body_bytes = 0;
};

/// How one request ended for its caller; 0: the connection ended without an answer.
struct request_result {
    std::string id;
    unsigned status = 0;
    std::string body;
};

/// A backend server as far as it holds one key.
struct key_holding {
    std::string server;
    std::uint32_t key = 0;
    monotonic_time since{};
};

/// Checks what callers and backend servers see against the promises. Takes events in any order of
/// their arrival; reads no clock.
class promise_checks {
public:
    void sent(const sent_request& request);
    void executed(const std::string& id, std::uint64_t body_bytes);
    void finished(const request_result& result);
    /// `own` begins a request on its key while `others` hold it, too.
    void started_on_key(const key_holding& own, const std::vector<key_holding>& others,
                        monotonic_time now);
    /// All holders of one key at a moment.
    void check_holders(std::uint32_t key, const std::vector<key_holding>& holders,
                       monotonic_time now);
    /// A host answered a route that exists from a version of the configuration on. `start_number`:
    /// of the host's process.
    void served_version(const std::string& host, std::uint64_t start_number, std::uint64_t version,
                        bool found);
    /// Requests that were answered after the last fault.
    void answers_after_faults(std::uint64_t count);
    /// How a host's process ended without a signal that explains it; empty: it did not.
    void unexpected_exit(const std::string& host, const std::string& how);

    [[nodiscard]] const std::vector<broken_promise>& broken() const;
    [[nodiscard]] std::uint64_t requests() const;
    /// Endings by status; 0: no answer.
    [[nodiscard]] const std::map<unsigned, std::uint64_t>& results_by_status() const;

private:
    struct known_request {
        sent_request sent;
        std::uint32_t runs = 0;
        bool refused = false;
    };

    void record(promise which, std::string detail);

    std::map<std::string, known_request> known;
    std::map<unsigned, std::uint64_t> counts;
    std::map<std::pair<std::string, std::uint32_t>, monotonic_time>
        last_started; ///< by server, key
    std::map<std::pair<std::string, std::uint64_t>, std::uint64_t>
        versions;                            ///< by host and start_number
    std::set<std::string> reported_overlaps; ///< that were noted
    std::vector<broken_promise> found;
};

} // namespace figreach::soak
