#pragma once

#include <cstdint>
#include <variant>

#include "figreach/error_kind.h"
#include "figreach/retry_budget.h"
#include "figreach/time.h"

namespace figreach {

/// Facts of one request that do not change.
struct attempt_facts {
    bool idempotent = false;
    bool divided_by_key = true;
    bool forwarded = false; ///< came from another entry host, which alone may retry
    monotonic_time arrival{};
    monotonic_time deadline{};
};

struct attempt_settings {
    std::uint32_t max_sends = 3;
    milliseconds max_route_wait{500}; ///< longest wait for a route, all waits together
    milliseconds route_poll{20};
    milliseconds retry_after{200};
    backoff_settings backoff;
};

enum class route_location : std::uint8_t {
    local,  ///< the owner is coordinated by this host
    remote, ///< another host coordinates it
    none,   ///< no owner, or nobody known to coordinate it
};

/// The route was looked up.
struct route_resolved {
    route_location where = route_location::none;
};

/// Nothing was sent: the gate or the idempotency window gave the request up.
struct rejected_locally {
    error_kind kind = error_kind::overloaded;
    milliseconds retry_after{0};
};

/// No connection could be made, or authority was lost before the first byte.
struct not_sent {
    error_kind kind = error_kind::server_unreachable;
};

/// The first byte may leave from now on.
struct sending {};

/// The upstream said that it did not run the request and will not. After `sending`.
struct refused_not_run {
    error_kind kind = error_kind::server_refused;
    milliseconds retry_after{0};
    bool replayable = true; ///< nothing of the caller's body has been consumed
};

/// The upstream was lost after the first byte may have left, before its answer began.
struct lost_after_send {
    bool replayable = true;
};

/// The first part of the answer was passed to the caller.
struct answer_begun {};

/// The whole answer was passed to the caller.
struct answer_ended {};

/// The answer broke off after its beginning was passed on.
struct answer_truncated {};

/// The deadline passed.
struct deadline_passed {};

struct caller_left {};

using attempt_event = std::variant<route_resolved, rejected_locally, not_sent, sending,
                                   refused_not_run, lost_after_send, answer_begun, answer_ended,
                                   answer_truncated, deadline_passed, caller_left>;

/// Admit the request to the owner's gate and send it.
struct send_to_server {};

/// Send the request to the host that coordinates the owner.
struct forward_request {};

/// Look up the route after a delay.
struct look_up_route {
    milliseconds delay{0};
};

/// Give the caller its final answer.
struct reply_with_error {
    error_kind kind = error_kind::outcome_unknown;
    milliseconds retry_after{0};
};

/// Nothing more is to be given to the caller; `clean`: its answer was whole.
struct conclude {
    bool clean = false;
};

/// Carry on with what is under way.
struct no_action {};

using attempt_action = std::variant<send_to_server, forward_request, look_up_route,
                                    reply_with_error, conclude, no_action>;

/// One request from arrival to its final answer. Each event gives the next action; reply_with_error
/// or conclude is given once, after which every event gives no_action. A non-idempotent request is
/// sent again only when the upstream said that it had not run.
class request_attempts {
public:
    /// `budget` outlives the request; a request from a caller earns a part of a retry.
    request_attempts(attempt_settings settings, attempt_facts facts, retry_budget& budget,
                     std::uint64_t seed);

    [[nodiscard]] attempt_action handle(const attempt_event& event, monotonic_time now);

    [[nodiscard]] bool ended() const;
    /// Whether a byte may have left in the send that is under way or was the last.
    [[nodiscard]] bool may_run() const;
    [[nodiscard]] std::uint32_t sends() const;

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

    [[nodiscard]] attempt_action fail(error_kind kind, milliseconds retry_after);
    [[nodiscard]] attempt_action retry_or_fail(error_kind kind, milliseconds retry_after,
                                               monotonic_time now);
    [[nodiscard]] bool is_retryable(error_kind kind) const;

    attempt_settings settings;
    attempt_facts facts;
    retry_budget& budget;
    std::uint64_t random_state;
    std::uint32_t sent = 0;
    std::uint32_t retries = 0;
    milliseconds total_route_wait{0}; ///< for a route
    bool byte_sent = false;
    bool may_have_run = false; ///< an earlier send was lost
    bool answering = false;
    bool finished = false;
};

} // namespace figreach
