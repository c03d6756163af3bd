#include "figreach/direct/route_table.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace figreach::direct {

namespace {

std::string plain_host(std::string_view host)
{
    std::string out{host.substr(0, host.rfind(':'))};
    std::transform(out.begin(), out.end(), out.begin(),
                   [](unsigned char one) { return static_cast<char>(std::tolower(one)); });
    return out;
}

} // namespace

route_table::route_table(std::shared_ptr<const route_configuration> all_)
    : all{std::move(all_)}, tenants_by_key{this->all->tenants}
{
    for (std::size_t i = 0; i < this->all->routes.size(); ++i) {
        const auto& route = this->all->routes[i];
        const auto host = plain_host(route.host);
        if (host.empty() || route.prefix.empty()) {
            this->hosts_with_unreadable_prefix.insert(host);
            continue;
        }
        this->hosts[host][route.prefix] = i;
    }
}

bool route_table::may_have_unreadable_route(std::string_view host) const
{
    const auto& unreadable = this->hosts_with_unreadable_prefix;
    return unreadable.contains("") || unreadable.contains(plain_host(host));
}

const route_configuration& route_table::configuration() const
{
    return *this->all;
}

const tenant_table& route_table::tenants() const
{
    return this->tenants_by_key;
}

const route_rule* route_table::find(std::string_view host, std::string_view target) const
{
    const auto found = this->hosts.find(plain_host(host));
    if (found == this->hosts.end()) {
        return nullptr;
    }
    const auto path = target.substr(0, target.find('?'));
    // Each prefix ends with a slash, so the longest match ends at the last slash with a route.
    auto end = path.rfind('/');
    while (end != std::string_view::npos) {
        const auto route = found->second.find(std::string{path.substr(0, end + 1)});
        if (route != found->second.end()) {
            return &this->all->routes[route->second];
        }
        end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1);
    }
    return nullptr;
}

/// Smooth weighted round-robin: each service gains its weight as credit, and the one with the most
/// credit is selected and pays the sum of the weights.
const service_rule* route_table::next_service(const route_rule& route)
{
    const auto& parts = route.services;
    std::size_t chosen = 0;
    if (parts.size() > 1) {
        auto& credit = this->credits[route.name];
        credit.resize(parts.size(), 0.0);
        double sum = 0.0;
        for (std::size_t i = 0; i < parts.size(); ++i) {
            credit[i] += parts[i].weight;
            sum += parts[i].weight;
        }
        const auto richest = std::max_element(credit.begin(), credit.end());
        *richest -= sum;
        chosen = static_cast<std::size_t>(richest - credit.begin());
    }
    return this->find_readable(parts[chosen].service);
}

const service_rule* route_table::find_service(const route_rule& route, const service_id& name) const
{
    const bool is_part = std::any_of(route.services.begin(), route.services.end(),
                                     [&](const auto& part) { return part.service == name; });
    return is_part ? this->find_readable(name) : nullptr;
}

const service_rule* route_table::find_readable(const service_id& name) const
{
    const auto found = this->all->services.find(name);
    const bool usable =
        found != this->all->services.end() && found->second.unreadable_field.empty();
    return usable ? &found->second : nullptr;
}

} // namespace figreach::direct
