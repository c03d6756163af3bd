#pragma once

#include <string>
#include <string_view>

#include "figreach/ids.h"

namespace figreach::direct {

/// Random bytes that a host publishes with its registration in the store, which only hosts read.
struct host_secret {
    std::string bytes;
};

[[nodiscard]] host_secret make_host_secret();

/// Shows that `sender` has counted a request against the limit of its tenant: an HMAC-SHA256 of the
/// request's id and the sender's name under the sender's secret, in hexadecimal digits. Empty if
/// the secret is.
[[nodiscard]] std::string counted_proof(std::string_view secret, const host_id& sender,
                                        std::string_view request_id);
/// Whether the proof is the one of these inputs. An empty proof never is.
[[nodiscard]] bool is_counted_proof(std::string_view proof, std::string_view secret,
                                    const host_id& sender, std::string_view request_id);

} // namespace figreach::direct
