#pragma once

#include <cstddef>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "figreach/direct/route_configuration.h"
#include "figreach/direct/tenants/tenant_table.h"

namespace figreach::direct {

/// Looks up the routes of one configuration by host name and longest prefix. Not thread-safe.
class route_table {
public:
    explicit route_table(std::shared_ptr<const route_configuration> all);

    [[nodiscard]] const route_configuration& configuration() const;
    [[nodiscard]] const tenant_table& tenants() const;
    /// Returns the route of a request, or null if there is none. `host` may include a port and
    /// `target` a query. The route lives as long as the table.
    [[nodiscard]] const route_rule* find(std::string_view host, std::string_view target) const;
    /// Whether a request without a route may belong to one whose host name or prefix cannot be
    /// read.
    [[nodiscard]] bool may_have_unreadable_route(std::string_view host) const;
    /// Selects the service of the next request of a route, in proportion to the weights. Returns
    /// null if the configuration does not say how to serve it. `route` must be readable.
    [[nodiscard]] const service_rule* next_service(const route_rule& route);
    /// Returns the service with this name if requests of the route may go to it and it is readable,
    /// otherwise null.
    [[nodiscard]] const service_rule* find_service(const route_rule& route,
                                                   const service_id& name) const;

private:
    using by_prefix = std::unordered_map<std::string, std::size_t>;

    [[nodiscard]] const service_rule* find_readable(const service_id& name) const;

    std::shared_ptr<const route_configuration> all;
    tenant_table tenants_by_key;
    std::unordered_map<std::string, by_prefix> hosts;
    std::set<std::string> hosts_with_unreadable_prefix; ///< "" if a host name cannot be read
    std::map<std::string, std::vector<double>> credits; ///< by route, one per service
};

} // namespace figreach::direct
