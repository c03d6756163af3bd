#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <string>

namespace figreach {

/// A strongly typed name: a host's name does not convert to a service's name.
template <class Tag>
struct named_id {
    std::string value;

    [[nodiscard]] bool empty() const { return this->value.empty(); }
    friend auto operator<=>(const named_id&, const named_id&) = default;
};

using host_id = named_id<struct host_tag>;
using backend_server_id = named_id<struct backend_server_tag>;
using failure_domain_id = named_id<struct failure_domain_tag>;
using region_id = named_id<struct region_tag>;
using service_id = named_id<struct service_tag>;
using tenant_id = named_id<struct tenant_tag>;
using class_id = named_id<struct class_tag>;

} // namespace figreach

template <class Tag>
struct std::hash<figreach::named_id<Tag>> {
    std::size_t operator()(const figreach::named_id<Tag>& id) const noexcept
    {
        return std::hash<std::string>{}(id.value);
    }
};
