#pragma once

#include <cstdint>
#include <variant>

#include "figreach/error_kind.h"
#include "figreach/retry_budget.h"
#include "figreach/time.h"

namespace figreach {

/// Properties of one request that stay constant across its attempts.
struct attempt_facts {
    bool idempotent = false;
    bool divided_by_key = true;
    bool forwarded = false; ///< received from another entry host; only that host retries
    monotonic_time arrival{};
    monotonic_time deadline{};
};

struct attempt_settings {
    std::uint32_t max_sends = 3;
    /// Retries after attempts in which nothing was sent.
    std::uint32_t max_unsent_retries = 3;
    milliseconds max_route_wait{500}; ///< upper bound of all waits for a route combined
    milliseconds route_poll{20};
    milliseconds retry_after{200};
    backoff_settings backoff;
};

enum class route_location : std::uint8_t {
    local,  ///< this host coordinates the owner
    remote, ///< another host coordinates the owner
    none,   ///< the key has no owner, or the owner has no known coordinator
};

/// A route lookup completed.
struct route_resolved {
    route_location where = route_location::none;
};

/// The gate or the idempotency window rejected the request; nothing was sent.
struct rejected_locally {
    error_kind kind = error_kind::overloaded;
    milliseconds retry_after{0};
};

/// The connection failed, or the host lost its authority before the first byte was sent.
struct not_sent {
    error_kind kind = error_kind::server_unreachable;
};

/// Sending begins: from now on the upstream may receive the request.
struct sending {};

/// The upstream reported that it did not run the request and will not. Follows `sending`.
struct refused_not_run {
    error_kind kind = error_kind::server_refused;
    milliseconds retry_after{0};
    /// No part of the caller's body has been consumed, and the limits allow another send.
    bool replayable = true;
};

/// The connection was lost after `sending` and before the answer began, or the answer cannot be
/// used.
struct lost_after_send {
    bool replayable = true;                        ///< as in `refused_not_run`
    error_kind kind = error_kind::outcome_unknown; ///< reported if the request is not idempotent
};

/// The first part of the answer was forwarded to the caller.
struct answer_begun {};

/// The complete answer was forwarded to the caller.
struct answer_ended {};

/// The answer ended early after a part of it was forwarded.
struct answer_truncated {};

/// The deadline passed.
struct deadline_passed {};

struct caller_left {};

using attempt_event = std::variant<route_resolved, rejected_locally, not_sent, sending,
                                   refused_not_run, lost_after_send, answer_begun, answer_ended,
                                   answer_truncated, deadline_passed, caller_left>;

/// Pass the request through the owner's gate and send it to the backend server.
struct send_to_server {};

/// Forward the request to the host that coordinates the owner.
struct forward_request {};

/// Look up the route after a delay.
struct look_up_route {
    milliseconds delay{0};
};

/// Answer the caller with an error. This is the final answer.
struct reply_with_error {
    error_kind kind = error_kind::outcome_unknown;
    milliseconds retry_after{0};
};

/// End the request without a further answer. `clean` is true if the caller received a complete
/// answer.
struct conclude {
    bool clean = false;
};

/// Continue the operation in progress.
struct no_action {};

using attempt_action = std::variant<send_to_server, forward_request, look_up_route,
                                    reply_with_error, conclude, no_action>;

/// State machine of one request from arrival to final answer. Each event returns the next action.
/// Exactly one reply_with_error or conclude is returned; all later events return no_action. A
/// non-idempotent request is sent again only if the upstream reported that it did not run.
class request_attempts {
public:
    /// `budget` must outlive this object. A request that was not forwarded earns a fraction of a
    /// retry.
    request_attempts(attempt_settings settings, attempt_facts facts, retry_budget& budget,
                     std::uint64_t seed);

    [[nodiscard]] attempt_action handle(const attempt_event& event, monotonic_time now);

    [[nodiscard]] bool ended() const;
    /// Whether the upstream may have received a part of the current or last send.
    [[nodiscard]] bool may_run() const;
    [[nodiscard]] std::uint32_t sends() const;
    /// The kind to report for a request that ends with an error of this kind: the outcome is
    /// unknown if an earlier send may have run, whatever has ended the last attempt.
    [[nodiscard]] error_kind reported_kind(error_kind kind) const;

private:
    [[nodiscard]] attempt_action on(const route_resolved& event, monotonic_time now);
    [[nodiscard]] attempt_action on(const rejected_locally& event, monotonic_time now);
    [[nodiscard]] attempt_action on(const not_sent& event, monotonic_time now);
    [[nodiscard]] attempt_action on(const sending& event, monotonic_time now);
    [[nodiscard]] attempt_action on(const refused_not_run& event, monotonic_time now);
    [[nodiscard]] attempt_action on(const lost_after_send& event, monotonic_time now);
    [[nodiscard]] attempt_action on(const answer_begun& event, monotonic_time now);
    [[nodiscard]] attempt_action on(const answer_ended& event, monotonic_time now);
    [[nodiscard]] attempt_action on(const answer_truncated& event, monotonic_time now);
    [[nodiscard]] attempt_action on(const deadline_passed& event, monotonic_time now);
    [[nodiscard]] attempt_action on(const caller_left& event, monotonic_time now);

    /// A retry draws on the budget unless nothing has been sent to a backend server yet.
    enum class retry_cost : std::uint8_t { budgeted, free };

    [[nodiscard]] attempt_action fail(error_kind kind, milliseconds retry_after);
    [[nodiscard]] attempt_action retry_unsent_or_fail(error_kind kind, milliseconds retry_after,
                                                      monotonic_time now, retry_cost cost);
    [[nodiscard]] attempt_action retry_or_fail(error_kind kind, milliseconds retry_after,
                                               monotonic_time now,
                                               retry_cost cost = retry_cost::budgeted);
    [[nodiscard]] bool is_retryable(error_kind kind) const;

    attempt_settings settings;
    attempt_facts facts;
    retry_budget& budget;
    std::uint64_t random_state;
    std::uint32_t sent = 0;
    std::uint32_t retries = 0;
    std::uint32_t unsent_retries = 0; ///< after attempts in which nothing was sent
    milliseconds total_route_wait{0};
    bool byte_sent = false;
    bool may_have_run = false; ///< the connection of an earlier send was lost
    bool answering = false;
    bool finished = false;
};

} // namespace figreach
