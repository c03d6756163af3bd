#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "figreach/time.h"

namespace figreach::soak {

/// Guarantees that the documentation gives to callers or operators. Each comment states the
/// violation that is reported.
enum class promise : std::uint8_t {
    ran_once,        ///< a non-idempotent request ran more than once
    servers_limited, ///< a request ran on more backend servers than its route allows
    refusal_true,    ///< a refusal said "not run", and the request ran
    answer_own,      ///< an answer belongs to another request or was altered
    request_known,  ///< a backend server ran a request that was not sent, or a body of another size
    one_owner,      ///< two backend servers held a key and both started requests on it
    one_holder,     ///< two backend servers held a key for longer than the allowed overlap
    newest_version, ///< a host reverted to an older configuration
    leaving_kept,   ///< a server got a request after its host had passed on that it leaves
    rest_kept,      ///< a server got requests from a host of which it wanted none
    crashes_bounded, ///< a request that crashed three servers still arrived at servers
    recovered,       ///< no request was answered after all faults ended
    stayed_up,       ///< an entry host exited unexpectedly
};

[[nodiscard]] const char* name_of(promise which);

/// Within this time after the third crash, hosts in touch know about it.
inline constexpr milliseconds stable_window{3000};

/// Between an answer that says that a server leaves and the last request that may be sent to it.
inline constexpr milliseconds leaving_limit{2000};
/// Between an answer that asks for a rest and the first request that counts.
inline constexpr milliseconds rest_slack{500};

struct broken_promise {
    promise which = promise::ran_once;
    std::string detail;
};

/// A request as its caller sent it.
struct sent_request {
    std::string id;
    bool idempotent = true;
    std::uint64_t body_bytes = 0;
    /// Path, caller and body of a request that crashes servers; empty for the others.
    std::string identity;
    std::string host; ///< process that it was sent to
    monotonic_time sent_at{};
    std::uint32_t max_servers = 2; ///< that its route allows
};

/// What requests with the same identity did to backend servers.
struct crash_counts {
    std::uint32_t crashes = 0;
    monotonic_time third_crash{};
    std::uint32_t late_arrivals = 0; ///< later than `stable_window` after the third crash
    std::uint32_t late_in_touch = 0; ///< those of them that came from hosts in touch
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
    /// A backend server has begun to run the request.
    void started_at(const std::string& id, const std::string& server);
    void finished(const request_result& result);
    /// A backend server has read a request, which it may still refuse. `in_touch` tells whether
    /// the sending host has been without a fault of its own, of the store and of the link to the
    /// server for `stable_window`.
    void arrived(const std::string& id, bool in_touch, monotonic_time now);
    /// A host has passed on an answer by which the server says that it leaves.
    void passed_on_leaving(const std::string& host, const std::string& server, monotonic_time now);
    /// A request has reached a server, which may want none from that host for the time `rest` now.
    void reached(const std::string& id, const std::string& server, milliseconds rest,
                 monotonic_time now);
    /// What a host has heard from servers no longer binds it.
    void host_paused(const std::string& name);
    /// A backend server crashed while it ran the request.
    void crashed(const std::string& id, monotonic_time now);
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
    /// By identity.
    [[nodiscard]] const std::map<std::string, crash_counts>& crashing_requests() const;
    /// Number of results by status; 0 stands for no answer.
    [[nodiscard]] const std::map<unsigned, std::uint64_t>& results_by_status() const;

private:
    struct known_request {
        sent_request sent;
        std::uint32_t runs = 0;
        std::set<std::string> servers; ///< that ran it
        bool refused = false;
    };

    struct server_word {
        std::optional<monotonic_time> left_at; ///< the host passed on that the server leaves
        monotonic_time rest_from{};            ///< requests between these times count
        monotonic_time rest_until{};
        std::uint32_t during_rest = 0;
    };

    void record(promise which, std::string detail);
    /// Null for requests without an identity.
    crash_counts* counts_for(const std::string& id);

    std::map<std::string, known_request> known;
    std::map<unsigned, std::uint64_t> counts;
    std::map<std::string, crash_counts> crashing;
    /// What servers have said, by process of a host and server.
    std::map<std::pair<std::string, std::string>, server_word> words;
    /// Start of the last request by server and key.
    std::map<std::pair<std::string, std::uint32_t>, monotonic_time> last_started;
    /// Highest configuration version seen, by host and start number.
    std::map<std::pair<std::string, std::uint64_t>, std::uint64_t> versions;
    std::set<std::string> reported_overlaps; ///< reported once each
    std::vector<broken_promise> found;
};

} // namespace figreach::soak
