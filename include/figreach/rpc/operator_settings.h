#pragma once

#include <functional>
#include <string>

#include "figreach/description_danger.h"
#include "figreach/ids.h"
#include "figreach/store_call.h"

namespace figreach {

/// Settings of the operator RPC service of one entry host.
struct operator_settings {
    host_id host;
    std::string address;         ///< IP address and port to listen on
    std::string store_address;   ///< IP address and port of the platform's store
    std::string token;           ///< bearer token that permits changes; empty: no token does
    std::string tls_certificate; ///< PEM file; empty: plaintext
    std::string tls_key;         ///< PEM file
    std::string tls_client_ca;   ///< PEM file; clients need a certificate signed by it
};

/// Callbacks from the operator RPC service into the entry host. Each may be empty.
struct operator_hooks {
    /// Called with the stored history after this host accepted a change, by one thread at a time.
    std::function<void(stored_value)> on_accepted;
    /// Returns the busy slots by service. Called by any thread.
    std::function<service_load()> present_load;
};

} // namespace figreach
