#pragma once

#include <variant>

#include "figreach/direct/execution_claim.h"
#include "figreach/error_kind.h"

namespace figreach::direct {

/// Pass the answer on to the caller unchanged.
struct relay_answer {};

/// Send the request again, and pass the answer on unchanged if that is not possible.
struct retry_or_relay {};

/// Answer the caller with an error of this host instead.
struct replace_answer {
    error_kind kind = error_kind::outcome_unknown;
};

using answer_handling = std::variant<relay_answer, retry_or_relay, replace_answer>;

/// Whether the server failed to serve a request that it may have executed.
[[nodiscard]] bool is_failure(unsigned status, execution_claim claim);

/// Decides what the caller gets for an answer to a request that may have been executed. A caller
/// repeats a request that is not idempotent if the status reads as "not run".
[[nodiscard]] answer_handling handle_answer(unsigned status, execution_claim claim,
                                            bool idempotent);

} // namespace figreach::direct
