#pragma once

#include <cstddef>
#include <cstdint>
#include <set>

#include "figreach/ids.h"

namespace figreach::direct {

/// Counts the backend servers to which one client attempt has been sent, against the limit of its
/// route. A repeat at the same server does not count again.
class server_allowance {
public:
    explicit server_allowance(std::uint32_t max_servers);

    /// Records that this or another host has sent the request to the server.
    void record(const backend_server_id& server);
    /// Records that another host may have sent the request to a server that is not known here.
    void record_unknown();

    [[nodiscard]] bool was_sent_to(const backend_server_id& server) const;
    /// Whether the request may be sent to the server.
    [[nodiscard]] bool allows(const backend_server_id& server) const;
    /// Whether the request may be sent to any server, also one that has not had it.
    [[nodiscard]] bool allows_another() const;

private:
    [[nodiscard]] std::size_t used() const;

    std::uint32_t max_servers;
    std::set<backend_server_id> known;
    std::size_t unknown = 0;
};

} // namespace figreach::direct
