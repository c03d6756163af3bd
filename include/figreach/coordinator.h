#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "figreach/grant.h"
#include "figreach/ownership_settings.h"
#include "figreach/partition.h"
#include "figreach/peer_message.h"
#include "figreach/time.h"

namespace figreach {

/// A slice that leaves a backend server.
struct leaving_slice {
    partition_id id;
    key_hash first = 0;
    std::uint64_t fence = 0;

    friend auto operator<=>(const leaving_slice&, const leaving_slice&) = default;
};

/// What a coordinator may do for its backend server at a moment.
struct coordinated_server {
    monotonic_time authority_until{};
    bool checks_fences = true;
    milliseconds longest_deadline{0};
    std::vector<granted_slice> slices;  ///< to be served by the backend server
    std::vector<leaving_slice> leaving; ///< to be no longer served by it
};

/// Coordinates one backend server at one host for one unbroken time of authority: gives its
/// grants, judges whether it lives, and tells when slices are no longer served.
class coordinator {
public:
    coordinator(host_id self, ownership_settings settings, monotonic_time took_over_at);

    /// The next grant when one is due. A grant with an empty `slices` and no duration asks the
    /// backend server for the highest term that it has seen.
    [[nodiscard]] std::optional<grant> next_grant(const coordinated_server& target,
                                                  monotonic_time now);

    /// Takes the answer to a grant; empty: none came.
    void on_answer(std::uint64_t sequence, const std::optional<grant_answer>& answer,
                   monotonic_time now);

    /// No request for these slices of the backend server is in flight at this host.
    void on_idle(const std::vector<leaving_slice>& slices);

    /// Whether a leaving slice is no longer served by the backend server and will not be again
    /// under grants of this or earlier coordinators.
    [[nodiscard]] bool no_longer_served(const leaving_slice& slice,
                                        const coordinated_server& target, monotonic_time now) const;

    /// Until when the data path may send to the backend server.
    [[nodiscard]] monotonic_time may_send_until(const coordinated_server& target) const;

    [[nodiscard]] server_condition condition(monotonic_time now) const;
    [[nodiscard]] const grant_answer& last_answer() const;
    [[nodiscard]] std::uint32_t in_flight_elsewhere(const coordinated_server& target,
                                                    monotonic_time now) const;
    [[nodiscard]] std::uint64_t term() const;

private:
    struct sent_grant {
        std::uint64_t term = 0;
        monotonic_time ends_at{};
    };
    struct revocation {
        std::uint64_t revoked_from_sequence = 0; ///< sequence of the first grant without the slice
        monotonic_time grants_end{};
        monotonic_time stopped_sending_at{};
        bool idle = false;
    };

    void track_revocations(const coordinated_server& target, monotonic_time now);
    [[nodiscard]] grant make_term_query();
    [[nodiscard]] bool requests_ended(const revocation& one, const coordinated_server& target,
                                      monotonic_time now) const;

    host_id self;
    ownership_settings settings;
    monotonic_time took_over_at{};
    std::uint64_t own_term = 0; ///< 0: not known yet
    std::uint64_t sequence = 0;
    std::uint64_t last_accepted = 0; ///< the latest grant of this term that was accepted
    monotonic_time last_accepted_at{};
    monotonic_time last_answer_at{};
    monotonic_time next_due{};
    monotonic_time grants_end{};
    monotonic_time accepted_until{};
    grant_answer latest_answer;
    std::uint32_t initial_in_flight = 0;
    std::vector<granted_slice> last_slices;
    std::map<std::uint64_t, sent_grant> sent;
    std::map<leaving_slice, revocation> revocations;
};

} // namespace figreach
