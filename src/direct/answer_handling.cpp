#include "figreach/direct/answer_handling.h"

namespace figreach::direct {

namespace {

constexpr unsigned first_server_error = 500;

} // namespace

bool is_failure(unsigned status, execution_claim claim)
{
    return status >= first_server_error || claim == execution_claim::unconfirmed;
}

answer_handling handle_answer(unsigned status, execution_claim claim, bool idempotent)
{
    if (!idempotent && claim == execution_claim::unconfirmed) {
        return replace_answer{.kind = error_kind::unconfirmed_refusal};
    }
    if (idempotent && status >= first_server_error) {
        return retry_or_relay{};
    }
    return relay_answer{};
}

} // namespace figreach::direct
