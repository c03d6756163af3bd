#pragma once

#include <map>
#include <memory>
#include <shared_mutex>

#include "figreach/control.h"
#include "figreach/runtime/server_link.h"

namespace figreach {

/// The links to all backend servers, by name. Thread-safe.
class server_link_registry {
public:
    /// Creates links for servers that are new in the snapshot and updates the slots of all.
    void update(const routing_snapshot& snapshot);
    /// Returns null if the server is unknown.
    [[nodiscard]] std::shared_ptr<server_link> find(const backend_server_id& name) const;

private:
    mutable std::shared_mutex mutex;
    std::map<backend_server_id, std::shared_ptr<server_link>> links;
};

} // namespace figreach
