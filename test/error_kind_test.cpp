#include "figreach/error_kind.h"

#include <algorithm>
#include <set>

#include "property.h"

using namespace figreach;

namespace {

struct meaning_row {
    error_kind kind;
    const char* name;
    unsigned http_status;
    run_state ran;
    bool sends_retry_after;
};

using enum error_kind;
using enum run_state;

/// Independent copy of the properties that callers rely on.
const meaning_row meaning_rows[] = {
    {malformed_request, "malformed_request", 400, not_run, false},
    {header_too_large, "header_too_large", 431, not_run, false},
    {body_too_large, "body_too_large", 413, not_run, false},
    {missing_service, "missing_service", 400, not_run, false},
    {missing_key, "missing_key", 400, not_run, false},
    {unknown_service, "unknown_service", 404, not_run, false},
    {unknown_tenant, "unknown_tenant", 403, not_run, false},
    {unknown_class, "unknown_class", 400, not_run, false},
    {malformed_deadline, "malformed_deadline", 400, not_run, false},
    {deadline_expired, "deadline_expired", 504, not_run, false},
    {deadline_exceeded, "deadline_exceeded", 504, unknown, false},
    {no_owner, "no_owner", 503, not_run, true},
    {stale_route, "stale_route", 503, not_run, true},
    {not_coordinator, "not_coordinator", 421, not_run, true},
    {too_many_hops, "too_many_hops", 508, not_run, true},
    {overloaded, "overloaded", 503, not_run, true},
    {tenant_over_limit, "tenant_over_limit", 429, not_run, true},
    {queue_full, "queue_full", 503, not_run, true},
    {server_cold, "server_cold", 503, not_run, true},
    {server_at_limit, "server_at_limit", 503, not_run, true},
    {server_resting, "server_resting", 503, not_run, true},
    {server_refused, "server_refused", 503, not_run, true},
    {server_unreachable, "server_unreachable", 502, not_run, true},
    {no_server_path, "no_server_path", 503, not_run, true},
    {attempts_exhausted, "attempts_exhausted", 503, not_run, true},
    {request_suspected, "request_suspected", 503, not_run, true},
    {request_held, "request_held", 503, not_run, false},
    {no_configuration, "no_configuration", 503, not_run, true},
    {unreadable_route, "unreadable_route", 503, not_run, true},
    {invalid_api_key, "invalid_api_key", 401, not_run, false},
    {stale_configuration, "stale_configuration", 503, not_run, true},
    {configuration_mismatch, "configuration_mismatch", 503, not_run, true},
    {tenant_share_unknown, "tenant_share_unknown", 503, not_run, true},
    {outcome_unknown, "outcome_unknown", 502, unknown, false},
    {unconfirmed_refusal, "unconfirmed_refusal", 502, unknown, false},
    {answer_incomplete, "answer_incomplete", 0, unknown, false},
    {retry_budget_spent, "retry_budget_spent", 503, not_run, true},
    {repeat_in_progress, "repeat_in_progress", 409, unknown, true},
    {repeat_outcome_unknown, "repeat_outcome_unknown", 409, unknown, false},
    {repeat_mismatch, "repeat_mismatch", 422, not_run, false},
    {repeat_answer_not_kept, "repeat_answer_not_kept", 409, ran, false},
    {missing_idempotency_key, "missing_idempotency_key", 400, not_run, false},
    {caller_gone, "caller_gone", 0, unknown, false},
    {host_stopping, "host_stopping", 503, not_run, true},
    {malformed_peer_message, "malformed_peer_message", 0, not_run, false},
    {malformed_document, "malformed_document", 0, not_run, false},
    {malformed_settings, "malformed_settings", 0, not_run, false},
    {invalid_description, "invalid_description", 422, not_run, false},
    {version_conflict, "version_conflict", 409, not_run, false},
    {dangerous_change, "dangerous_change", 412, not_run, false},
    {store_unavailable, "store_unavailable", 503, not_run, true},
    {store_outcome_unknown, "store_outcome_unknown", 504, unknown, false},
    {unauthorized, "unauthorized", 401, not_run, false},
};

} // namespace

TEST_GROUP(error_kind_test){};

TEST(error_kind_test, every_row_means_what_callers_rely_on)
{
    CHECK_EQUAL(std::size(meaning_rows), error_table().size());
    for (const auto& row : meaning_rows) {
        const auto& answer = answer_of(row.kind);
        CHECK_TRUE_TEXT(answer.name == row.name, row.name);
        CHECK_TRUE_TEXT(name_of(row.kind) == row.name, row.name);
        CHECK_EQUAL_TEXT(row.http_status, answer.http_status, row.name);
        CHECK_TRUE_TEXT(row.ran == answer.ran, row.name);
        CHECK_TRUE_TEXT(row.sends_retry_after == answer.sends_retry_after, row.name);
    }
}

TEST(error_kind_test, every_row_is_complete_and_named_once)
{
    std::set<std::string_view> names;
    for (const auto& row : error_table()) {
        const std::string name{row.name};
        CHECK_TRUE_TEXT(names.insert(row.name).second, name.c_str());
        CHECK_TRUE_TEXT(row.remedy.ends_with('.'), name.c_str());
        const bool plain =
            row.http_status == 0 || (row.http_status >= 400 && row.http_status < 600);
        CHECK_TRUE_TEXT(plain, name.c_str());
        CHECK_FALSE_TEXT(row.sends_retry_after && row.http_status == 0, name.c_str());
    }
}
