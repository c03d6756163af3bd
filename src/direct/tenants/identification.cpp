#include "figreach/direct/tenants/identification.h"

#include "figreach/direct/tenants/tenant_table.h"

namespace figreach::direct {

identification identify(const identification_input& input)
{
    if (input.tenants.empty() || input.is_public) {
        return no_tenant{};
    }
    if (!input.key) {
        return identification_refused{error_kind::invalid_api_key};
    }
    if (!input.is_fresh) {
        return identification_refused{error_kind::stale_configuration};
    }
    const auto found = input.tenants.find(*input.key);
    switch (found.state) {
    case key_state::valid:
        return identified_tenant{found.tenant};
    case key_state::unusable:
        return identification_refused{error_kind::unreadable_route};
    case key_state::unknown:
        break;
    }
    return identification_refused{error_kind::invalid_api_key};
}

} // namespace figreach::direct
