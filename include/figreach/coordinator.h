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

/// A slice that is moving off a backend server.
struct leaving_slice {
    partition_id id;
    key_hash first = 0;
    std::uint64_t fence = 0;

    friend auto operator<=>(const leaving_slice&, const leaving_slice&) = default;
};

/// Input of a coordinator: the authority, settings and slices of its backend server at one time.
struct coordinated_server {
    monotonic_time authority_until{};
    bool checks_fences = true;
    milliseconds longest_deadline{0};
    std::vector<granted_slice> slices;  ///< to be granted to the backend server
    std::vector<leaving_slice> leaving; ///< to be revoked
};

/// Coordinates one backend server during one continuous period of authority: issues grants,
/// monitors the server's health and determines when revoked slices are no longer served.
class coordinator {
public:
    coordinator(host_id self, ownership_settings settings, monotonic_time took_over_at);

    /// Returns the next grant if one is due. A grant under term 0 without slices and duration
    /// queries the highest term that the backend server has seen.
    [[nodiscard]] std::optional<grant> next_grant(const coordinated_server& target,
                                                  monotonic_time now);

    /// Handles the answer to a grant; empty if none arrived.
    void on_answer(std::uint64_t sequence, const std::optional<grant_answer>& answer,
                   monotonic_time now);

    /// Records that this host has no request for these slices in flight to the backend server.
    void on_idle(const std::vector<leaving_slice>& slices);

    /// Returns whether the backend server no longer serves a leaving slice and cannot serve it
    /// again under grants of this or earlier coordinators.
    [[nodiscard]] bool no_longer_served(const leaving_slice& slice,
                                        const coordinated_server& target, monotonic_time now) const;

    /// Returns until when the data path may send to the backend server.
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
        std::uint64_t revoked_from_sequence = 0; ///< first grant without the slice
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
    std::uint64_t own_term = 0; ///< 0 until known
    std::uint64_t sequence = 0;
    std::uint64_t last_accepted = 0; ///< last accepted sequence of this term
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
