#include "figreach/description.h"

#include <algorithm>

namespace figreach {

namespace {

template <class Item, class Name>
const Item* find_named(const std::vector<Item>& items, const Name& name)
{
    const auto found = std::ranges::find(items, name, &Item::name);
    return found == items.end() ? nullptr : &*found;
}

} // namespace

const service* find_service(const description& all, const service_id& name)
{
    return find_named(all.services, name);
}

const backend_server* find_server(const description& all, const backend_server_id& name)
{
    return find_named(all.backend_servers, name);
}

const failure_domain* find_failure_domain(const description& all, const failure_domain_id& name)
{
    return find_named(all.failure_domains, name);
}

bool receives_work(const description& all, const backend_server& server)
{
    const auto* domain = find_failure_domain(all, server.failure_domain);
    const bool domain_in = domain != nullptr && domain->state == service_state::in;
    return domain_in && server.state == service_state::in;
}

} // namespace figreach
