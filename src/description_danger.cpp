#include "figreach/description_danger.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace figreach {

namespace {

/// A change that leaves less than 1 / min_capacity_divisor of the slots requires force.
constexpr std::uint64_t min_capacity_divisor = 2;

bool any_domain_in(const description& all)
{
    return std::ranges::any_of(
        all.failure_domains, [](const auto& domain) { return domain.state == service_state::in; });
}

/// Number of slots of a service on backend servers that receive work.
std::uint64_t capacity_of(const description& all, const service_id& name)
{
    std::uint64_t slots = 0;
    for (const auto& server : all.backend_servers) {
        if (server.service == name && receives_work(all, server)) {
            slots += server.slots;
        }
    }
    return slots;
}

double load_of(const service_load& load, const service_id& name)
{
    const auto found = load.find(name);
    return found == load.end() ? 0.0 : found->second;
}

bool has_services(const description& all, const tenant_id& name)
{
    return std::ranges::any_of(all.services,
                               [&](const auto& service) { return service.tenant == name; });
}

std::string service_danger(const service_id& name, const description& before,
                           const description& after, const service_load& load)
{
    const auto title = "service '" + name.value + "'";
    const auto old_slots = capacity_of(before, name);
    const auto new_slots = capacity_of(after, name);
    const auto busy = load_of(load, name);
    const bool in_use = old_slots > 0 || busy > 0.0;
    if (find_service(after, name) == nullptr) {
        return in_use ? title + " is in use and would be removed." : "";
    }
    if (old_slots > 0 && new_slots == 0) {
        return title + " would have no backend server that receives work.";
    }
    const auto slots_text = std::to_string(new_slots) + " of " + std::to_string(old_slots);
    if (new_slots < old_slots && static_cast<double>(new_slots) < busy) {
        return title + " would keep " + slots_text + " slots; " +
               std::to_string(std::llround(std::ceil(busy))) + " are busy now.";
    }
    if (new_slots * min_capacity_divisor < old_slots) {
        return title + " would keep " + slots_text + " slots, less than half.";
    }
    return "";
}

/// Adds a danger for each pinned key whose backend server would stop receiving work.
void add_pin_dangers(const description& before, const description& after, const service& one,
                     std::vector<std::string>& out)
{
    for (const auto& pin : one.pins) {
        const auto* old = find_server(before, pin.server);
        const auto* now = find_server(after, pin.server);
        const bool was_served = old != nullptr && receives_work(before, *old);
        if (was_served && now != nullptr && !receives_work(after, *now)) {
            std::string text = "key '" + pin.key;
            text += "' of service '" + one.name.value;
            text += "' is pinned to backend server '" + pin.server.value;
            out.push_back(text + "', which would not receive work.");
        }
    }
}

} // namespace

std::vector<std::string> description_dangers(const description& before, const description& after,
                                             const service_load& load)
{
    std::vector<std::string> out;
    if (any_domain_in(before) && !any_domain_in(after)) {
        out.emplace_back("No failure domain would be in: nothing would receive work.");
    }
    for (const auto& service : before.services) {
        auto danger = service_danger(service.name, before, after, load);
        if (!danger.empty()) {
            out.push_back(std::move(danger));
        }
    }
    for (const auto& service : after.services) {
        add_pin_dangers(before, after, service, out);
    }
    for (const auto& tenant : before.tenants) {
        const bool kept =
            std::ranges::find(after.tenants, tenant.name, &tenant::name) != after.tenants.end();
        if (!kept && has_services(before, tenant.name)) {
            out.push_back("tenant '" + tenant.name.value + "' has services and would be removed.");
        }
    }
    return out;
}

} // namespace figreach
