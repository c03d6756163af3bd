#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "figreach/time.h"

namespace figreach::soak {

/// Guarantees that the documentation gives to callers or operators. Each comment states the
/// violation that is reported.
enum class promise : std::uint8_t {
    ran_once,       ///< a non-idempotent request ran more than once
    refusal_true,   ///< a refusal said "not run", and the request ran
    answer_own,     ///< an answer belongs to another request or was altered
    request_known,  ///< a backend server ran a request that was not sent, or a body of another size
    one_owner,      ///< two backend servers held a key and both started requests on it
    one_holder,     ///< two backend servers held a key for longer than the allowed overlap
    newest_version, ///< a host reverted to an older configuration
    recovered,      ///< no request was answered after all faults ended
    stayed_up,      ///< an entry host exited unexpectedly
};

[[nodiscard]] const char* name_of(promise which);

struct broken_promise {
    promise which = promise::ran_once;
    std::string detail;
};

/// A request as its caller sent it.
struct sent_request {
    std::string id;
    bool idempotent = true;
    std::uint64_t body_bytes = 0;
};

/// Result of one request at its caller; status 0 if the connection closed without an answer.
struct request_result {
    std::string id;
    unsigned status = 0;
    std::string body;
};

/// A backend server's ownership of one key.
struct key_holding {
    std::string server;
    std::uint32_t key = 0;
    monotonic_time since{};
};

/// Checks the events observed by callers and backend servers against the promises. Accepts events
/// in any order of arrival and reads no clock.
class promise_checks {
public:
    void sent(const sent_request& request);
    void executed(const std::string& id, std::uint64_t body_bytes);
    void finished(const request_result& result);
    /// The server of `own` starts a request on its key while `others` hold the key, too.
    void started_on_key(const key_holding& own, const std::vector<key_holding>& others,
                        monotonic_time now);
    /// Checks all servers that hold one key at the time `now`.
    void check_holders(std::uint32_t key, const std::vector<key_holding>& holders,
                       monotonic_time now);
    /// A host answered a request to a route that was added in configuration `version`.
    /// `start_number` identifies the host's process.
    void served_version(const std::string& host, std::uint64_t start_number, std::uint64_t version,
                        bool found);
    /// Number of requests that were answered after the last fault ended.
    void answers_after_faults(std::uint64_t count);
    /// Exit status of a host's process that no signal explains; empty if there was none.
    void unexpected_exit(const std::string& host, const std::string& how);

    [[nodiscard]] const std::vector<broken_promise>& broken() const;
    [[nodiscard]] std::uint64_t requests() const;
    /// Number of results by status; 0 stands for no answer.
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
    /// Start of the last request by server and key.
    std::map<std::pair<std::string, std::uint32_t>, monotonic_time> last_started;
    /// Highest configuration version seen, by host and start number.
    std::map<std::pair<std::string, std::uint64_t>, std::uint64_t> versions;
    std::set<std::string> reported_overlaps; ///< reported once each
    std::vector<broken_promise> found;
};

} // namespace figreach::soak
