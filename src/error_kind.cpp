#include "figreach/error_kind.h"

#include <algorithm>
#include <array>
#include <cstddef>

namespace figreach {

namespace {

using enum error_kind;
using enum run_state;

constexpr auto table = std::to_array<error_answer>({
    {malformed_request, "malformed_request", 400, not_run, false,
     "Send a well-formed HTTP/1.1 request."},
    {header_too_large, "header_too_large", 431, not_run, false,
     "Shorten the request's header fields."},
    {body_too_large, "body_too_large", 413, not_run, false, "Send a shorter body."},
    {missing_service, "missing_service", 400, not_run, false,
     "Name the service in the X-Figreach-Service header."},
    {missing_key, "missing_key", 400, not_run, false, "Name the key in the X-Figreach-Key header."},
    {unknown_service, "unknown_service", 404, not_run, false,
     "Use a service that the description in force names."},
    {unknown_tenant, "unknown_tenant", 403, not_run, false,
     "Use a tenant that the description in force names."},
    {unknown_class, "unknown_class", 400, not_run, false,
     "Use a class that the description in force lists for the service."},
    {malformed_deadline, "malformed_deadline", 400, not_run, false,
     "Give X-Figreach-Deadline-Ms as a whole number of milliseconds above zero."},
    {deadline_expired, "deadline_expired", 504, not_run, false,
     "The time allowed had passed before the request was sent on."},
    {deadline_exceeded, "deadline_exceeded", 504, unknown, false,
     "The time allowed passed while the request ran; look whether it took effect."},
    {no_owner, "no_owner", 503, not_run, true, "The key has no owner at this moment; come back."},
    {stale_route, "stale_route", 503, not_run, true, "The key was moving; come back."},
    {not_coordinator, "not_coordinator", 421, not_run, true,
     "The host does not coordinate the owner of the key; come back."},
    {too_many_hops, "too_many_hops", 508, not_run, true,
     "The hosts disagreed about the route; come back."},
    {overloaded, "overloaded", 503, not_run, true, "The owner of the key is overloaded."},
    {tenant_over_limit, "tenant_over_limit", 429, not_run, true,
     "The tenant uses its whole share; come back."},
    {queue_full, "queue_full", 503, not_run, true, "The queue to the owner is full."},
    {server_cold, "server_cold", 503, not_run, true, "The owner is warming up; come back."},
    {server_at_limit, "server_at_limit", 503, not_run, true,
     "The backend server takes no more requests at this moment; come back."},
    {server_resting, "server_resting", 503, not_run, true,
     "The backend server wants no request from this entry host for a while; come back."},
    {server_refused, "server_refused", 503, not_run, true,
     "The backend server refused the request before running it."},
    {server_unreachable, "server_unreachable", 502, not_run, true,
     "No connection to the backend server could be made."},
    {no_server_path, "no_server_path", 503, not_run, true,
     "The entry host reaches no backend server at this moment; come back through another."},
    {attempts_exhausted, "attempts_exhausted", 503, not_run, true,
     "The request was refused by as many backend servers as its route allows; come back."},
    {request_suspected, "request_suspected", 503, not_run, true,
     "Backend servers ended while they ran this request; it is sent alone, come back."},
    {request_held, "request_held", 503, not_run, false,
     "Backend servers ended each time that they ran this request; send another one."},
    {no_configuration, "no_configuration", 503, not_run, true,
     "The entry host has not read the operators' configuration yet; come back."},
    {unreadable_route, "unreadable_route", 503, not_run, true,
     "The operators' configuration of this route or its service cannot be read; come back."},
    {invalid_api_key, "invalid_api_key", 401, not_run, false,
     "Send one API key that the operators' configuration holds, as Authorization: Bearer KEY."},
    {stale_configuration, "stale_configuration", 503, not_run, true,
     "The entry host cannot confirm that the API key is still valid; come back through another."},
    {configuration_mismatch, "configuration_mismatch", 503, not_run, true,
     "The entry hosts that could serve the request have different configurations; come back."},
    {tenant_share_unknown, "tenant_share_unknown", 503, not_run, true,
     "The entry host has not learned yet how much of the tenant's limit it may use; come back."},
    {outcome_unknown, "outcome_unknown", 502, unknown, false,
     "The backend server was lost after the request was sent; look whether it took effect."},
    {unconfirmed_refusal, "unconfirmed_refusal", 502, unknown, false,
     "The backend server refused the request without saying that it did not run; look whether it "
     "took effect."},
    {answer_incomplete, "answer_incomplete", 0, unknown, false,
     "The answer broke off; the connection is closed without a clean end."},
    {retry_budget_spent, "retry_budget_spent", 503, not_run, true,
     "Too many requests need a retry at this moment; come back."},
    {repeat_in_progress, "repeat_in_progress", 409, unknown, true,
     "The first request with this idempotency key still runs; come back."},
    {repeat_outcome_unknown, "repeat_outcome_unknown", 409, unknown, false,
     "Whether an earlier request with this idempotency key ran cannot be known; look."},
    {repeat_mismatch, "repeat_mismatch", 422, not_run, false,
     "The idempotency key was used for another request; use a new one."},
    {repeat_answer_not_kept, "repeat_answer_not_kept", 409, ran, false,
     "The first request with this idempotency key ran, its answer is no longer kept; read the "
     "result."},
    {missing_idempotency_key, "missing_idempotency_key", 400, not_run, false,
     "Send an Idempotency-Key with this request."},
    {caller_gone, "caller_gone", 0, unknown, false, "The caller left before the answer."},
    {host_stopping, "host_stopping", 503, not_run, true,
     "The entry host is stopping; come back through another."},
    {malformed_peer_message, "malformed_peer_message", 0, not_run, false,
     "Look whether all entry hosts run compatible versions."},
    {malformed_document, "malformed_document", 0, not_run, false,
     "A document in the store is damaged; the last good version stays in force."},
    {malformed_settings, "malformed_settings", 0, not_run, false,
     "Mend the settings file; nothing was started."},
    {invalid_description, "invalid_description", 422, not_run, false,
     "Mend the description; the version in force is unchanged."},
    {version_conflict, "version_conflict", 409, not_run, false,
     "The description changed meanwhile; read it and apply again."},
    {dangerous_change, "dangerous_change", 412, not_run, false,
     "The change can take a service away; apply it with force if it is meant."},
    {store_unavailable, "store_unavailable", 503, not_run, true,
     "The platform's store does not answer; nothing was written."},
    {store_outcome_unknown, "store_outcome_unknown", 504, unknown, false,
     "The store's answer was lost; read the history to see whether it took effect."},
    {unauthorized, "unauthorized", 401, not_run, false,
     "Present the token or certificate that the settings name."},
});

constexpr bool in_order()
{
    for (std::size_t i = 0; i < table.size(); ++i) {
        if (static_cast<std::size_t>(table[i].kind) != i) {
            return false;
        }
    }
    return true;
}

static_assert(in_order());
static_assert(table.size() == static_cast<std::size_t>(unauthorized) + 1);

} // namespace

std::span<const error_answer> error_table()
{
    return table;
}

const error_answer& answer_of(error_kind kind)
{
    return table[static_cast<std::size_t>(kind)];
}

std::string_view name_of(error_kind kind)
{
    return answer_of(kind).name;
}

std::optional<error_kind> find_error_kind(std::string_view name)
{
    const auto found =
        std::find_if(table.begin(), table.end(), [&](const auto& row) { return row.name == name; });
    return found != table.end() ? std::optional{found->kind} : std::nullopt;
}

std::string_view name_of(run_state state)
{
    switch (state) {
    case run_state::not_run:
        return "not_run";
    case run_state::unknown:
        return "unknown";
    case run_state::ran:
        return "ran";
    }
    return "unknown";
}

} // namespace figreach
