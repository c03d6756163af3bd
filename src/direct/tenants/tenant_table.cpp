#include "figreach/direct/tenants/tenant_table.h"

#include <cstring>

#include "figreach/direct/tenants/tenant_rule.h"

namespace figreach::direct {

/// Any bytes of a cryptographic digest are evenly distributed.
std::size_t tenant_table::digest_hash::operator()(const api_key_digest& key) const noexcept
{
    std::size_t out = 0;
    std::memcpy(&out, key.bytes.data(), sizeof out);
    return out;
}

tenant_table::tenant_table(const std::vector<tenant_rule>& tenants) : has_tenants{!tenants.empty()}
{
    for (const auto& tenant : tenants) {
        const bool readable = tenant.unreadable_field.empty();
        if (readable) {
            this->names[tenant.name.value] = &tenant;
        }
        const key_lookup own{.state = readable ? key_state::valid : key_state::unusable,
                             .tenant = readable ? &tenant : nullptr};
        for (const auto& key : tenant.keys) {
            const auto [place, is_new] = this->keys.try_emplace(key, own);
            if (!is_new && place->second.tenant != own.tenant) {
                place->second = {.state = key_state::unusable, .tenant = nullptr};
            }
        }
    }
}

bool tenant_table::empty() const
{
    return !this->has_tenants;
}

key_lookup tenant_table::find(const api_key_digest& key) const
{
    const auto found = this->keys.find(key);
    return found != this->keys.end() ? found->second : key_lookup{};
}

const tenant_rule* tenant_table::find(const tenant_id& name) const
{
    const auto found = this->names.find(name.value);
    return found != this->names.end() ? found->second : nullptr;
}

} // namespace figreach::direct
