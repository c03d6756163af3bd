#pragma once

#include <map>
#include <memory>
#include <shared_mutex>

#include "figreach/control.h"
#include "figreach/runtime/server_link.h"

namespace figreach {

/// The links to all backend servers, by name.
class server_link_registry {
public:
    /// Makes links for servers that are new in the snapshot.
    void update(const routing_snapshot& snapshot);
    /// Null when the server is unknown.
    [[nodiscard]] std::shared_ptr<server_link> find(const backend_server_id& name) const;

private:
    mutable std::shared_mutex mutex;
    std::map<backend_server_id, std::shared_ptr<server_link>> links;
};

} // namespace figreach
