#include "figreach/runtime/server_link_registry.h"

#include <mutex>

namespace figreach {

void server_link_registry::update(const routing_snapshot& snapshot)
{
    const std::unique_lock lock{this->mutex};
    for (const auto& server : snapshot.system_description->backend_servers) {
        auto& link = this->links[server.name];
        if (!link) {
            link = std::make_shared<server_link>(gate_settings{.slots = server.slots});
        }
        link->set_slots(server.slots);
    }
}

std::shared_ptr<server_link> server_link_registry::find(const backend_server_id& name) const
{
    const std::shared_lock lock{this->mutex};
    const auto found = this->links.find(name);
    return found == this->links.end() ? nullptr : found->second;
}

} // namespace figreach
