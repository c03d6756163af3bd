#pragma once

#include <functional>
#include <string>

#include "figreach/description_danger.h"
#include "figreach/ids.h"
#include "figreach/store_call.h"

namespace figreach {

/// What the operators' RPC of one entry host needs to know.
struct operator_settings {
    host_id host;
    std::string address;         ///< IP number and port to listen at
    std::string store_address;   ///< IP number and port of the platform's store
    std::string token;           ///< bearer token that allows changes; empty: none does
    std::string tls_certificate; ///< file in PEM; empty: plaintext
    std::string tls_key;         ///< file in PEM
    std::string tls_client_ca;   ///< file in PEM; callers need a certificate signed by it
};

/// What the operators' RPC tells and asks the rest of the entry host. Each may be empty.
struct operator_hooks {
    /// Called with the history after a change was accepted here, by one thread at a time.
    std::function<void(stored_value)> on_accepted;
    /// Slots that are busy now, by service; called by any thread.
    std::function<service_load()> present_load;
};

} // namespace figreach
