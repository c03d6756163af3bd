#pragma once

#include <cstdint>

namespace figreach::direct {

/// What a backend server's answer says about the execution of the request.
enum class execution_claim : std::uint8_t {
    none,        ///< nothing that a caller could conclude from the status
    not_run,     ///< the server states that the request was not and will not be executed
    unconfirmed, ///< the status reads as that statement, but the server does not make it
};

} // namespace figreach::direct
