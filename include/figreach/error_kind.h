#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace figreach {

/// What is known about the execution of a request at a backend server.
enum class run_state : std::uint8_t {
    not_run, ///< it did not run and will not
    unknown, ///< it may or may not have run
    ran,     ///< it ran
};

/// All ways in which a request, an operator's call or a message can fail.
enum class error_kind : std::uint8_t {
    malformed_request,
    header_too_large,
    body_too_large,
    missing_service,
    missing_key,
    unknown_service,
    unknown_tenant,
    unknown_class,
    malformed_deadline,
    deadline_expired,
    deadline_exceeded,
    no_owner,
    stale_route,
    not_coordinator,
    too_many_hops,
    overloaded,
    tenant_over_limit,
    queue_full,
    server_cold,
    server_at_limit,
    server_resting,
    server_refused,
    server_unreachable,
    no_server_path,
    attempts_exhausted,
    request_suspected,
    request_held,
    no_configuration,
    unreadable_route,
    invalid_api_key,
    stale_configuration,
    configuration_mismatch,
    tenant_share_unknown,
    outcome_unknown,
    unconfirmed_refusal,
    answer_incomplete,
    retry_budget_spent,
    repeat_in_progress,
    repeat_outcome_unknown,
    repeat_mismatch,
    repeat_answer_not_kept,
    missing_idempotency_key,
    caller_gone,
    host_stopping,
    malformed_peer_message,
    malformed_document,
    malformed_settings,
    invalid_description,
    version_conflict,
    dangerous_change,
    store_unavailable,
    store_outcome_unknown,
    unauthorized,
};

/// How an error kind is reported to a caller.
struct error_answer {
    error_kind kind;
    std::string_view name; ///< machine-readable, stable
    unsigned http_status;  ///< 0 if no HTTP answer is sent
    run_state ran;
    bool sends_retry_after;  ///< whether Retry-After is sent
    std::string_view remedy; ///< one human-readable sentence
};

/// One row for each kind, in the order of the enumeration.
[[nodiscard]] std::span<const error_answer> error_table();

/// The table row of a kind.
[[nodiscard]] const error_answer& answer_of(error_kind kind);

[[nodiscard]] std::string_view name_of(error_kind kind);
/// The kind with this name; empty if there is none.
[[nodiscard]] std::optional<error_kind> find_error_kind(std::string_view name);
[[nodiscard]] std::string_view name_of(run_state state);

} // namespace figreach
