#pragma once

#include <optional>
#include <variant>

#include "figreach/direct/tenants/api_key_digest.h"
#include "figreach/error_kind.h"

namespace figreach::direct {

class tenant_table;
struct tenant_rule;

/// The request needs no API key.
struct no_tenant {};

/// The request carries a valid key of the tenant, which is never null.
struct identified_tenant {
    const tenant_rule* tenant = nullptr;
};

struct identification_refused {
    error_kind kind = error_kind::invalid_api_key;
};

using identification = std::variant<no_tenant, identified_tenant, identification_refused>;

/// What a host needs to know to identify the tenant of a request.
struct identification_input {
    const tenant_table& tenants;
    bool is_public = false;            ///< the route needs no key
    bool is_fresh = true;              ///< a revocation of the key would be known if it binds
    std::optional<api_key_digest> key; ///< empty if the request has none or a malformed one
};

/// Identifies the tenant of a request. A host that may not know the newest configuration refuses
/// valid and unknown keys alike: the one may be revoked and the other be new.
[[nodiscard]] identification identify(const identification_input& input);

} // namespace figreach::direct
