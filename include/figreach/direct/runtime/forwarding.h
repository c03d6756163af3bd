#pragma once

#include <optional>
#include <string>

#include "figreach/direct/forwarding_head.h"
#include "figreach/direct/runtime/http_client.h"
#include "figreach/direct/runtime/request_runner.h"
#include "figreach/ids.h"
#include "figreach/time.h"

namespace figreach::direct {

/// What an entry host adds to the answer to a forwarded request.
struct forwarded_answer_head {
    backend_server_id server;            ///< server that answered; empty if none did
    std::optional<host_refusal> refusal; ///< set if the answer comes from the host itself
};

[[nodiscard]] http_request encode_forwarded(const caller_request& request,
                                            const forwarding_head& head, milliseconds time_left);
/// Returns an empty optional if the message is not a forwarded request, and removes its forwarding
/// fields otherwise.
[[nodiscard]] std::optional<forwarding_head> take_forwarding_head(http_request& message);

/// Requires that `outcome` is not caller_disconnected.
[[nodiscard]] http_response encode_forwarded_answer(request_outcome outcome,
                                                    const std::string& request_id,
                                                    const backend_server_id& server);
/// Removes the forwarding fields. A refusal of an unknown kind counts as an unknown outcome.
[[nodiscard]] forwarded_answer_head take_forwarded_answer_head(http_response& answer);

} // namespace figreach::direct
