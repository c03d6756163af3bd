#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "figreach/direct/tenants/api_key_digest.h"
#include "figreach/ids.h"

namespace figreach::direct {

struct tenant_rule;

enum class key_state : std::uint8_t {
    unknown,  ///< no tenant holds the key
    unusable, ///< several tenants hold it, or the entry of its tenant cannot be read
    valid,
};

struct key_lookup {
    key_state state = key_state::unknown;
    const tenant_rule* tenant = nullptr; ///< null unless the key is valid
};

/// Looks up tenants by API key and by name.
class tenant_table {
public:
    /// `tenants` must outlive the table.
    explicit tenant_table(const std::vector<tenant_rule>& tenants);

    /// Whether the configuration has no tenants, so that requests need no API key.
    [[nodiscard]] bool empty() const;
    [[nodiscard]] key_lookup find(const api_key_digest& key) const;
    /// Returns null if there is no such tenant, or if its entry cannot be read.
    [[nodiscard]] const tenant_rule* find(const tenant_id& name) const;

private:
    struct digest_hash {
        std::size_t operator()(const api_key_digest& key) const noexcept;
    };

    std::unordered_map<api_key_digest, key_lookup, digest_hash> keys;
    std::unordered_map<std::string_view, const tenant_rule*> names;
    bool has_tenants;
};

} // namespace figreach::direct
